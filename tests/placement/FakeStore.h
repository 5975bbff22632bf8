#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/store/StoreTypes.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Catkinwell {

// An in-memory store with versions, watches, and leases that last for one to two times their TTL.
class FakeStore {
public:
    struct Value {
        std::string value;
        StoreVersion version = 0;
        LeaseId lease;
    };
    struct Waiting {
        std::string key;
        StoreVersion afterVersion = 0;
        MonotonicTime until {};
        std::function<void(StoreReply)> answer;
    };

    // Called with every value that a compare-and-swap stores.
    std::function<void(const std::string& key, const std::string& value)> onStored;

    // Performs the operation. Only a watch may be answered after the call returns.
    void perform(const StoreCall& call, MonotonicTime now, const std::function<void(StoreReply)>& answer)
    {
        StoreReply reply { call.id, StoreStatus::Ok };
        if (const auto* watch = std::get_if<StoreWatch>(&call.operation)) {
            const auto found = m_values.find(watch->key);
            const StoreVersion version = found == m_values.end() ? 0 : found->second.version;
            if (version == watch->afterVersion) {
                m_waiting.push_back(
                    { watch->key, watch->afterVersion, now + watch->wait, [answer, id = call.id](StoreReply later) {
                         later.id = id;
                         answer(later);
                     } });
                return;
            }
            reply = read(watch->key);
        } else {
            reply = performNow(call.operation, now);
        }
        reply.id = call.id;
        answer(reply);
    }

    void tick(MonotonicTime now)
    {
        std::vector<LeaseId> ended;
        for (const auto& [lease, expires] : m_leases) {
            if (now >= expires)
                ended.push_back(lease);
        }
        for (const LeaseId& lease : ended)
            endLease(lease);
        const auto waiting = std::exchange(m_waiting, {});
        for (const Waiting& watch : waiting) {
            const StoreReply reply = read(watch.key);
            if (reply.version != watch.afterVersion || now >= watch.until)
                watch.answer(reply);
            else
                m_waiting.push_back(watch);
        }
    }

    std::uint64_t writes() const { return m_version; }

private:
    StoreReply read(const std::string& key) const
    {
        const auto found = m_values.find(key);
        if (found == m_values.end())
            return { {}, StoreStatus::NotFound };
        return { {}, StoreStatus::Ok, found->second.version, found->second.value };
    }

    StoreReply performNow(const StoreOperation& operation, MonotonicTime now)
    {
        if (const auto* get = std::get_if<StoreGet>(&operation))
            return read(get->key);
        if (const auto* swap = std::get_if<StoreCompareAndSwap>(&operation))
            return compareAndSwap(*swap);
        if (const auto* removal = std::get_if<StoreDelete>(&operation)) {
            const bool matches = read(removal->key).version == removal->expectedVersion;
            if (matches)
                m_values.erase(removal->key);
            return { {}, matches ? StoreStatus::Ok : StoreStatus::Conflict };
        }
        if (const auto* creation = std::get_if<LeaseCreate>(&operation)) {
            const LeaseId lease = "lease-" + std::to_string(++m_lastLease);
            m_ttl = creation->ttl;
            m_leases[lease] = now + leaseLife();
            return { {}, StoreStatus::Ok, 0, lease };
        }
        if (const auto* renewal = std::get_if<LeaseRenew>(&operation)) {
            const auto found = m_leases.find(renewal->lease);
            if (found == m_leases.end())
                return { {}, StoreStatus::NotFound };
            found->second = now + leaseLife();
            return { {}, StoreStatus::Ok };
        }
        if (const auto* revocation = std::get_if<LeaseRevoke>(&operation))
            endLease(revocation->lease);
        return { {}, StoreStatus::Ok };
    }

    StoreReply compareAndSwap(const StoreCompareAndSwap& swap)
    {
        if (read(swap.key).version != swap.expectedVersion)
            return { {}, StoreStatus::Conflict };
        if (!swap.lease.empty() && !m_leases.contains(swap.lease))
            return { {}, StoreStatus::Conflict };
        m_values[swap.key] = { swap.value, ++m_version, swap.lease };
        if (onStored)
            onStored(swap.key, swap.value);
        // Like Consul, the store does not always return the new version.
        return { {}, StoreStatus::Ok, m_random.below(2) == 0 ? m_version : 0 };
    }

    Duration leaseLife() { return m_ttl + m_ttl * static_cast<std::int64_t>(m_random.below(100)) / 100; }

    void endLease(const LeaseId& lease)
    {
        m_leases.erase(lease);
        std::erase_if(m_values, [&](const auto& entry) { return entry.second.lease == lease; });
    }

    std::map<std::string, Value> m_values;
    std::map<LeaseId, MonotonicTime> m_leases;
    std::vector<Waiting> m_waiting;
    StoreVersion m_version = 0;
    std::uint64_t m_lastLease = 0;
    Duration m_ttl = std::chrono::seconds(10);
    RandomGenerator m_random { 7 };
};

} // namespace Catkinwell
