#include <catch2/catch.hpp>
#include <catkinwell/store/HostLease.h>
#include <map>
#include <optional>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr Duration ttl = 2s;
const std::string key = "hosts/a/7";

// A store that removes the entry of a host with its lease, and whose answers are lost for a while.
class LeaseStore {
public:
    struct Item {
        StoreVersion version = 0;
        LeaseId lease;
    };

    // Carries the call out.
    StoreReply answer(const StoreCall& call, MonotonicTime now)
    {
        StoreReply reply = std::visit([&](const auto& operation) { return carryOut(operation, now); }, call.operation);
        reply.id = call.id;
        reply.sentAt = now;
        return reply;
    }

    void expireLeases(MonotonicTime now)
    {
        std::erase_if(m_leases, [now](const auto& lease) { return now >= lease.second; });
        if (m_item && !m_leases.contains(m_item->lease))
            m_item.reset();
    }

    const std::optional<Item>& item() const { return m_item; }

private:
    static StoreReply replyWith(StoreStatus status)
    {
        StoreReply reply;
        reply.status = status;
        return reply;
    }

    StoreReply carryOut(const LeaseCreate& create, MonotonicTime now)
    {
        StoreReply reply = replyWith(StoreStatus::Ok);
        reply.value = std::to_string(++m_lastLease);
        m_leases[reply.value] = now + create.ttl;
        return reply;
    }
    StoreReply carryOut(const LeaseRenew& renewal, MonotonicTime now)
    {
        const auto found = m_leases.find(renewal.lease);
        if (found == m_leases.end())
            return replyWith(StoreStatus::NotFound);
        found->second = now + ttl;
        return replyWith(StoreStatus::Ok);
    }
    StoreReply carryOut(const StoreCompareAndSwap& write, MonotonicTime)
    {
        CHECK(write.key == key);
        if (!m_leases.contains(write.lease))
            return replyWith(StoreStatus::NotFound);
        if (write.expectedVersion != (m_item ? m_item->version : 0))
            return replyWith(StoreStatus::Conflict);
        m_item = Item { ++m_lastVersion, write.lease };
        return replyWith(StoreStatus::Ok);
    }
    StoreReply carryOut(const StoreGet& read, MonotonicTime)
    {
        CHECK(read.key == key);
        StoreReply reply = replyWith(m_item ? StoreStatus::Ok : StoreStatus::NotFound);
        reply.version = m_item ? m_item->version : 0;
        return reply;
    }
    template <typename Other> StoreReply carryOut(const Other&, MonotonicTime)
    {
        FAIL("an unexpected call");
        return {};
    }

    std::map<LeaseId, MonotonicTime> m_leases;
    std::optional<Item> m_item;
    std::uint64_t m_lastLease = 0;
    StoreVersion m_lastVersion = 0;
};

struct LostAnswersCase {
    const char* name;
    // The answers to the calls of this kind are lost in this time after the start.
    bool losesWritesOnly;
    Duration from;
    Duration until;
    // Number of leases that the host has had in the end.
    std::size_t leases;
};

HostLeaseSettings leaseSettings()
{
    HostLeaseSettings settings;
    settings.ttl = ttl;
    settings.renewalInterval = 500ms;
    settings.isKeyPerIncarnation = true;
    settings.shortestRetry = 50ms;
    settings.longestRetry = 200ms;
    return settings;
}

} // namespace

// Guards against a host that serves without an entry, so that the others neither count it nor relay requests to it: its
// entry ends with a lease that it gave up when answers of the store were lost.
TEST_CASE("The entry of a host is bound to its present lease after answers were lost")
{
    const auto test = GENERATE(values<LostAnswersCase>({
        { "no answer is lost", true, 0ms, 0ms, 1 },
        { "the answer to the first write", true, 0ms, 30ms, 1 },
        { "the answers to writes, until the lease is given up", true, 0ms, 2100ms, 2 },
        { "all answers, until the lease is given up", false, 1000ms, 3200ms, 2 },
        { "all answers for longer than both leases", false, 1000ms, 9000ms, 2 },
    }));
    INFO(test.name);
    const MonotonicTime start { 1h };
    HostLease lease({ HostId("a"), 7, DataCentreId("dc"), "127.0.0.1:1" }, 3, leaseSettings());
    LeaseStore store;
    std::size_t leases = 0;
    LeaseId last;
    for (Duration passed {}; passed < 14s; passed += 20ms) {
        const MonotonicTime now = start + passed;
        store.expireLeases(now);
        EffectList effects;
        lease.tick(now, effects);
        for (std::size_t i = 0; i < effects.size(); ++i) {
            const auto* call = std::get_if<StoreCall>(&effects[i]);
            if (!call)
                continue;
            StoreReply reply = store.answer(*call, now);
            const bool isWrite = std::holds_alternative<StoreCompareAndSwap>(call->operation);
            if ((isWrite || !test.losesWritesOnly) && passed >= test.from && passed < test.until)
                reply.status = StoreStatus::Unknown;
            lease.handle(reply, now, effects);
        }
        if (!lease.status().id.empty() && lease.status().id != last) {
            last = lease.status().id;
            ++leases;
        }
        if (passed < test.until + 500ms)
            continue;
        INFO(millisecondsOf(passed) << " ms");
        REQUIRE(store.item());
        REQUIRE(store.item()->lease == lease.status().id);
    }
    CHECK(leases == test.leases);
}
