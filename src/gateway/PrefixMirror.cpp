#include <catkinwell/gateway/PrefixMirror.h>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(700);
    constexpr Duration shortestRetry = std::chrono::milliseconds(100);
    constexpr Duration longestRetry = std::chrono::milliseconds(1000);
    // From the end of a watch's wait: its call times out, and the next one is sent and answered.
    constexpr Duration reconnectAllowance = callTimeout + std::chrono::milliseconds(300);
    constexpr Duration shortestWatchWait = std::chrono::milliseconds(500);

} // namespace

PrefixMirror::PrefixMirror(StoreUser user, PrefixMirrorSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_callIds(user)
    , m_random(seed)
    , m_backoff(shortestRetry, longestRetry)
    , m_listTimeout(callTimeout)
{
}

void PrefixMirror::tick(MonotonicTime now, EffectList& effects)
{
    if (m_pending.value != 0 || now < m_nextAt)
        return;
    m_pending = m_callIds.next();
    m_nextAt = now + m_settings.minimumInterval;
    m_pendingWait = m_needsList ? Duration::zero() : watchWait();
    if (m_needsList)
        effects.push_back(StoreCall { m_pending, StoreList { m_settings.prefix }, m_listTimeout });
    else
        effects.push_back(
            StoreCall { m_pending, StoreWatchPrefix { m_settings.prefix, m_version, m_pendingWait }, callTimeout });
}

Duration PrefixMirror::watchWait() const
{
    const Duration wait = std::max(m_settings.reconnect - reconnectAllowance, shortestWatchWait);
    return m_longestWait ? std::min(wait, *m_longestWait) : wait;
}

std::vector<StoreEntry> PrefixMirror::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    std::vector<StoreEntry> changes;
    if (reply.id != m_pending || m_pending.value == 0)
        return changes;
    m_pending = StoreCallId();
    if (reply.status == StoreStatus::HistoryLost) {
        m_needsList = true;
        return changes;
    }
    const bool isEmptyList = m_needsList && reply.status == StoreStatus::NotFound;
    if (reply.status != StoreStatus::Ok && !isEmptyList) {
        // Only a list without a complete answer in time needs a longer timeout.
        if (m_needsList && reply.status == StoreStatus::Unknown)
            m_listTimeout = std::min(m_listTimeout * 2, m_settings.longestListTimeout);
        noteFailure(reply.status, now, effects);
        return changes;
    }
    noteSuccess(reply, now, effects);
    if (m_needsList || reply.isWholeList) {
        replaceAll(reply.entries, changes);
        if (m_needsList)
            effects.push_back(LogEntry { LogEvent::GatewayMirrorRead,
                { { "prefix", m_settings.prefix }, { "entries", std::to_string(m_entries.size()) },
                    { "version", std::to_string(reply.version) } } });
        m_isRead = true;
        m_needsList = false;
        m_isRestored = false;
        m_listTimeout = callTimeout;
        m_version = reply.version;
        m_epoch = reply.epoch;
    } else {
        changes = merge(reply.entries, reply.version);
    }
    return changes;
}

std::vector<StoreEntry> PrefixMirror::merge(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    std::vector<StoreEntry> changes;
    for (const StoreEntry& entry : entries) {
        // Also of a key that was deleted since.
        if (entry.version > m_version)
            apply(entry, changes);
    }
    m_version = std::max(m_version, version);
    return changes;
}

void PrefixMirror::noteSuccess(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (m_failingSince != MonotonicTime()) {
        effects.push_back(LogEntry { LogEvent::GatewayMirrorRecovered,
            { { "prefix", m_settings.prefix }, { "failed_ms", std::to_string(millisecondsOf(now - m_failingSince)) },
                { "age_ms", std::to_string(millisecondsOf(now - m_confirmedAt)) },
                { "version", std::to_string(m_version) }, { "store_version", std::to_string(reply.version) },
                { "changes", std::to_string(reply.entries.size()) } } });
        m_recoveredAt = now;
    }
    m_failingSince = MonotonicTime();
    m_readAt = reply.sentAt;
    m_confirmedAt = std::max(m_confirmedAt, completeAsOf(reply, now));
    m_backoff.reset();
}

// The store answers a watch without changes only when its wait is over.
MonotonicTime PrefixMirror::completeAsOf(const StoreReply& reply, MonotonicTime now) const
{
    const MonotonicTime waitEnd = reply.sentAt + m_pendingWait;
    return reply.entries.empty() && now >= waitEnd ? waitEnd : reply.sentAt;
}

std::vector<StoreEntry> PrefixMirror::replace(const std::vector<StoreEntry>& entries, StoreVersion version)
{
    std::vector<StoreEntry> changes;
    replaceAll(entries, changes);
    m_version = version;
    return changes;
}

void PrefixMirror::renewWatch(MonotonicTime now)
{
    // A list of many pages may take long on a sound connection too.
    if (m_pending.value == 0 || (m_needsList && !m_settings.listsAfterFailure))
        return;
    m_pending = StoreCallId();
    m_listTimeout = callTimeout;
    m_nextAt = now;
}

void PrefixMirror::noteRecovered(MonotonicTime at) { m_recoveredAt = std::max(m_recoveredAt, at); }

void PrefixMirror::noteRestored(MonotonicTime now)
{
    // The reply to a call that was sent before the restore is ignored.
    m_pending = StoreCallId();
    m_needsList = true;
    m_isRestored = true;
    m_recoveredAt = now;
    m_nextAt = now;
    m_backoff.reset();
}

void PrefixMirror::noteFailure(StoreStatus status, MonotonicTime now, EffectList& effects)
{
    if (m_failingSince == MonotonicTime()) {
        m_failingSince = now;
        effects.push_back(LogEntry { LogEvent::GatewayMirrorLost,
            { { "prefix", m_settings.prefix }, { "status", std::string(nameOf(status)) },
                { "version", std::to_string(m_version) } } });
    }
    m_needsList = m_needsList || m_settings.listsAfterFailure;
    m_nextAt = now + m_backoff.next(m_random);
}

void PrefixMirror::replaceAll(const std::vector<StoreEntry>& entries, std::vector<StoreEntry>& changes)
{
    std::map<std::string, StoreEntry> previous = std::move(m_entries);
    m_entries.clear();
    for (const StoreEntry& entry : entries) {
        const auto known = previous.find(entry.key);
        // A restored store gives out the same version for another value.
        const bool isKnown
            = known != previous.end() && known->second.version == entry.version && known->second.value == entry.value;
        if (!isKnown)
            changes.push_back(entry);
        if (known != previous.end())
            previous.erase(known);
        m_entries[entry.key] = entry;
    }
    for (auto& [key, entry] : previous) {
        entry.isDeleted = true;
        entry.isLost = m_isRestored;
        changes.push_back(entry);
    }
}

void PrefixMirror::apply(const StoreEntry& entry, std::vector<StoreEntry>& changes)
{
    const auto known = m_entries.find(entry.key);
    if (known != m_entries.end() && known->second.version >= entry.version)
        return;
    if (entry.isDeleted)
        m_entries.erase(entry.key);
    else
        m_entries[entry.key] = entry;
    changes.push_back(entry);
}

const StoreEntry* PrefixMirror::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool PrefixMirror::hasKeyWithPrefix(const std::string& prefix) const
{
    const auto first = m_entries.lower_bound(prefix);
    return first != m_entries.end() && first->first.starts_with(prefix);
}

} // namespace Catkinwell
