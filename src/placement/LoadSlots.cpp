#include <catkinwell/placement/LoadSlots.h>

#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    // Maximum duration of one watch while all slots are taken. Bounds the delay if a change is missed.
    constexpr Duration watchTime = std::chrono::seconds(5);
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
    constexpr std::uint32_t maximumBackoffSteps = 5;
    // A late write of a previous owner can add an entry that only a read discovers.
    constexpr Duration rereadInterval = std::chrono::seconds(30);

} // namespace

LoadSlots::LoadSlots(std::string key, DataCentreId dataCentre, StoreCallIds& callIds)
    : m_key(std::move(key))
    , m_dataCentre(std::move(dataCentre))
    , m_callIds(callIds)
{
}

void LoadSlots::configure(std::uint32_t capacity, Duration minimumHold)
{
    m_capacity = capacity;
    m_minimumHold = minimumHold;
}

void LoadSlots::start(const std::set<CommandId>& unsettled, MonotonicTime now)
{
    stop();
    m_active = true;
    m_inheritedUnsettled = unsettled;
    m_notBefore = now;
    m_failures = 0;
}

void LoadSlots::stop()
{
    m_active = false;
    m_requested.clear();
    m_held.clear();
    m_entries.reset();
    m_call.reset();
    m_watch.reset();
    m_inheritedUnsettled.clear();
}

void LoadSlots::request(CommandId command, const EndpointId& endpoint)
{
    if (!m_held.contains(command))
        m_requested.emplace(command, endpoint);
}

void LoadSlots::noteStarted(CommandId command, MonotonicTime now)
{
    const auto found = m_held.find(command);
    if (found != m_held.end())
        found->second.releaseAfter = now + m_minimumHold;
}

void LoadSlots::release(CommandId command, MonotonicTime)
{
    m_requested.erase(command);
    m_inheritedUnsettled.erase(command);
    const auto found = m_held.find(command);
    if (found != m_held.end())
        found->second.released = true;
}

bool LoadSlots::hasReleaseDue(MonotonicTime now) const
{
    return std::any_of(m_held.begin(), m_held.end(),
        [now](const auto& entry) { return entry.second.released && now >= entry.second.releaseAfter; });
}

std::vector<LoadSlots::Entry> LoadSlots::entriesAfterChanges(MonotonicTime now) const
{
    std::vector<Entry> result;
    for (const Entry& entry : *m_entries) {
        const auto held = m_held.find(CommandId(entry.command));
        const bool isReleased = entry.dataCentre == m_dataCentre.value && held != m_held.end() && held->second.released
            && now >= held->second.releaseAfter;
        if (!isReleased)
            result.push_back(entry);
    }
    for (const auto& [command, endpoint] : m_requested) {
        if (result.size() >= m_capacity)
            break;
        result.push_back({ m_dataCentre.value, endpoint.value, command.value });
    }
    return result;
}

void LoadSlots::tick(MonotonicTime now, EffectList& effects)
{
    if (!m_active || m_call || now < m_notBefore)
        return;
    const auto call = [&](CallKind kind, StoreOperation operation, Duration timeout) {
        m_call.emplace(m_callIds.next(), kind);
        effects.push_back(StoreCall { m_call->first, std::move(operation), timeout });
    };
    constexpr Duration timeout = std::chrono::seconds(2);
    if (!m_entries || now >= m_lastRead + rereadInterval) {
        call(CallKind::Read, StoreGet { m_key }, timeout);
        return;
    }
    const bool canTake = !m_requested.empty() && m_entries->size() < m_capacity;
    if (canTake || hasReleaseDue(now)) {
        call(CallKind::Write, StoreCompareAndSwap { m_key, encode(entriesAfterChanges(now)), m_version }, timeout);
        return;
    }
    if (!m_requested.empty() && !m_watch) {
        m_watch = m_callIds.next();
        effects.push_back(StoreCall { *m_watch, StoreWatch { m_key, m_version, watchTime }, watchTime + timeout });
    }
}

bool LoadSlots::handle(const StoreReply& reply, MonotonicTime now)
{
    if (m_watch && *m_watch == reply.id) {
        // This object may have changed the value since, so the current one is read.
        m_watch.reset();
        if (!m_call && reply.version != m_version)
            m_entries.reset();
        if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
            m_notBefore = now + firstRetryDelay;
        return true;
    }
    if (!m_call || m_call->first != reply.id)
        return false;
    const CallKind kind = m_call->second;
    m_call.reset();
    if (kind == CallKind::Write || (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)) {
        // Reading after every write determines the new version, also after a lost reply.
        m_entries.reset();
        const bool failed = reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict;
        m_failures = failed ? std::min(m_failures + 1, maximumBackoffSteps) : 0;
        m_notBefore = failed ? now + firstRetryDelay * (1U << m_failures) : now;
        return true;
    }
    m_failures = 0;
    m_lastRead = now;
    acceptEntries(reply, now);
    return true;
}

void LoadSlots::acceptEntries(const StoreReply& reply, MonotonicTime now)
{
    m_entries = reply.status == StoreStatus::Ok ? decode(reply.value) : std::vector<Entry> {};
    m_version = reply.status == StoreStatus::Ok ? reply.version : 0;
    syncHeldSlots(now);
}

// Updates the held slots to match the stored entries of this data centre.
void LoadSlots::syncHeldSlots(MonotonicTime now)
{
    std::set<CommandId> stored;
    for (const Entry& entry : *m_entries) {
        if (entry.dataCentre != m_dataCentre.value)
            continue;
        const CommandId command(entry.command);
        stored.insert(command);
        if (m_held.contains(command))
            continue;
        Held held { EndpointId(entry.endpoint), now + m_minimumHold, false };
        // Neither requested here nor unfinished in the inherited plan: the previous owner never sent the
        // command, or this owner cancelled the request while the write was in progress.
        held.released = m_requested.erase(command) == 0 && !m_inheritedUnsettled.contains(command);
        m_held.emplace(command, held);
    }
    std::erase_if(m_held, [&](const auto& entry) { return !stored.contains(entry.first); });
}

std::string LoadSlots::encode(const std::vector<Entry>& entries)
{
    auto json = nlohmann::json::array();
    for (const Entry& entry : entries)
        json.push_back({ entry.dataCentre, entry.endpoint, entry.command });
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::vector<LoadSlots::Entry> LoadSlots::decode(const std::string& bytes)
{
    std::vector<Entry> entries;
    const auto json = parseBoundedCbor(bytes);
    if (!json.is_array())
        return entries;
    for (const auto& entry : json) {
        if (entry.is_array() && entry.size() == 3 && entry[0].is_string() && entry[1].is_string()
            && entry[2].is_number_unsigned())
            entries.push_back({ entry[0], entry[1], entry[2] });
    }
    return entries;
}

} // namespace Catkinwell
