#include "gateway/SimulatedFleet.h"

#include <algorithm>

namespace Catkinwell::Testing {

void SimulatedStore::put(const std::string& key, const std::string& value, const LeaseId& lease)
{
    const StoreEntry entry { key, value, ++m_state.version };
    m_state.items[key] = { entry, lease };
    m_state.history.push_back(entry);
}

void SimulatedStore::erase(const std::string& key)
{
    if (m_state.items.erase(key) > 0)
        m_state.history.push_back({ key, "", ++m_state.version, true });
}

std::string SimulatedStore::value(const std::string& key) const
{
    const auto item = m_state.items.find(key);
    return item == m_state.items.end() ? "" : item->second.entry.value;
}

std::vector<std::string> SimulatedStore::keys(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (const auto& [key, item] : m_state.items) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

void SimulatedStore::endLease(const LeaseId& lease)
{
    m_state.leases.erase(lease);
    std::vector<std::string> held;
    for (const auto& [key, item] : m_state.items) {
        if (item.lease == lease)
            held.push_back(key);
    }
    for (const std::string& key : held)
        erase(key);
}

void SimulatedStore::expireLeases(MonotonicTime now)
{
    std::vector<LeaseId> ended;
    for (const auto& [id, lease] : m_state.leases) {
        if (now >= lease.endsAt)
            ended.push_back(id);
    }
    for (const LeaseId& id : ended)
        endLease(id);
}

void SimulatedStore::restore(MonotonicTime now)
{
    m_state = m_copy;
    for (auto& [id, lease] : m_state.leases)
        lease.endsAt = now + lease.ttl;
    ++m_epoch;
}

StoreReply SimulatedStore::write(const StoreCompareAndSwap& swap)
{
    StoreReply reply { {}, StoreStatus::Ok };
    const auto item = m_state.items.find(swap.key);
    if ((item == m_state.items.end() ? 0 : item->second.entry.version) != swap.expectedVersion) {
        reply.status = StoreStatus::Conflict;
    } else if (!swap.lease.empty() && !m_state.leases.contains(swap.lease)) {
        reply.status = StoreStatus::NotFound;
    } else {
        put(swap.key, swap.value, swap.lease);
        reply.version = m_state.version;
    }
    return reply;
}

std::vector<StoreEntry> SimulatedStore::changesOf(const StoreWatchPrefix& watch) const
{
    std::vector<StoreEntry> changes;
    const auto first = std::upper_bound(m_state.history.begin(), m_state.history.end(), watch.afterVersion,
        [](StoreVersion version, const StoreEntry& entry) { return version < entry.version; });
    std::copy_if(first, m_state.history.end(), std::back_inserter(changes),
        [&watch](const StoreEntry& entry) { return entry.key.starts_with(watch.prefix); });
    return changes;
}

std::optional<StoreReply> SimulatedStore::answer(const StoreCall& call, MonotonicTime now)
{
    StoreReply reply { call.id, StoreStatus::Ok };
    reply.version = m_state.version;
    if (const auto* list = std::get_if<StoreList>(&call.operation)) {
        for (const auto& [key, item] : m_state.items) {
            if (key.starts_with(list->prefix))
                reply.entries.push_back(item.entry);
        }
        reply.isWholeList = true;
    } else if (const auto* watch = std::get_if<StoreWatchPrefix>(&call.operation)) {
        if (watch->afterVersion > m_state.version)
            reply.status = StoreStatus::HistoryLost;
        else if (reply.entries = changesOf(*watch); reply.entries.empty())
            return std::nullopt;
    } else if (const auto* swap = std::get_if<StoreCompareAndSwap>(&call.operation)) {
        reply = write(*swap);
    } else if (const auto* removal = std::get_if<StoreDelete>(&call.operation)) {
        const auto item = m_state.items.find(removal->key);
        if (item == m_state.items.end() || item->second.entry.version != removal->expectedVersion)
            reply.status = StoreStatus::Conflict;
        else
            erase(removal->key);
    } else if (const auto* created = std::get_if<LeaseCreate>(&call.operation)) {
        reply.value = std::to_string(++m_state.lastLease);
        m_state.leases[reply.value] = { created->ttl, now + created->ttl };
    } else if (const auto* renewed = std::get_if<LeaseRenew>(&call.operation)) {
        const auto lease = m_state.leases.find(renewed->lease);
        if (lease == m_state.leases.end())
            reply.status = StoreStatus::NotFound;
        else
            lease->second.endsAt = now + lease->second.ttl;
    } else if (const auto* revoked = std::get_if<LeaseRevoke>(&call.operation)) {
        endLease(revoked->lease);
    }
    return reply;
}

} // namespace Catkinwell::Testing
