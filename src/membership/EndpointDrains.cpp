#include <catkinwell/membership/EndpointDrains.h>

#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::seconds(1);
    // Membership reads a short list of marks every 5 s, so after this time the marks contain what was written.
    constexpr Duration marksReadTime = std::chrono::seconds(15);

    std::string keyOf(const EndpointId& endpoint) { return "leaving/" + endpoint.value; }

} // namespace

EndpointDrains::EndpointDrains(std::uint64_t seed)
    : m_random(seed)
{
}

void EndpointDrains::set(const EndpointId& endpoint, bool draining, const std::string& reason, MonotonicTime now)
{
    Change change;
    change.draining = draining;
    change.reason = reason;
    change.nextAt = now;
    m_changes[endpoint] = change;
    m_written.erase(endpoint);
    // A reply to an earlier change of the same endpoint must not complete this one.
    if (m_hasPending && m_pendingEndpoint == endpoint)
        m_hasPending = false;
}

void EndpointDrains::tick(MonotonicTime now, EffectList& effects)
{
    std::erase_if(m_written, [now](const auto& entry) { return now >= entry.second.until; });
    if (m_hasPending)
        return;
    for (auto& [endpoint, change] : m_changes) {
        if (now < change.nextAt)
            continue;
        m_pending = m_callIds.next();
        m_pendingEndpoint = endpoint;
        m_hasPending = true;
        m_pendingWrite = change.versionKnown;
        StoreOperation operation = StoreGet { keyOf(endpoint) };
        if (change.versionKnown && change.draining)
            operation = StoreCompareAndSwap { keyOf(endpoint),
                nlohmann::json { { "reason", change.reason }, { "source", "operator" } }.dump(), change.version, {} };
        else if (change.versionKnown)
            operation = StoreDelete { keyOf(endpoint), change.version };
        effects.push_back(StoreCall { m_pending, std::move(operation), callTimeout });
        return;
    }
}

void EndpointDrains::handle(const StoreReply& reply, MonotonicTime now, EffectList&)
{
    if (!m_hasPending || reply.id != m_pending)
        return;
    m_hasPending = false;
    const auto found = m_changes.find(m_pendingEndpoint);
    if (found != m_changes.end())
        applyReply(found->first, found->second, reply, now);
}

void EndpointDrains::applyReply(const EndpointId& endpoint, Change& change, const StoreReply& reply, MonotonicTime now)
{
    const bool done = m_pendingWrite && reply.status == StoreStatus::Ok;
    const bool nothingToDelete = !m_pendingWrite && reply.status == StoreStatus::NotFound && !change.draining;
    if (done || nothingToDelete) {
        m_written[endpoint] = { change.draining, now + marksReadTime };
        m_changes.erase(endpoint);
        return;
    }
    if (!m_pendingWrite && (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound)) {
        change.versionKnown = true;
        change.version = reply.status == StoreStatus::Ok ? reply.version : 0;
        change.nextAt = now;
        return;
    }
    // After a conflict or an unknown outcome, the current version must be read again.
    change.versionKnown = false;
    change.nextAt = now + change.backoff.next(m_random);
}

std::set<EndpointId> EndpointDrains::withLocalChanges(std::set<EndpointId> marks) const
{
    const auto apply = [&marks](const EndpointId& endpoint, bool draining) {
        if (draining)
            marks.insert(endpoint);
        else
            marks.erase(endpoint);
    };
    for (const auto& [endpoint, written] : m_written)
        apply(endpoint, written.draining);
    for (const auto& [endpoint, change] : m_changes)
        apply(endpoint, change.draining);
    return marks;
}

} // namespace Catkinwell
