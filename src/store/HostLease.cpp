#include <catkinwell/store/HostLease.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    constexpr Duration conflictRetry = std::chrono::seconds(1);

} // namespace

HostLease::HostLease(HostRegistration registration, std::uint64_t seed, HostLeaseSettings settings)
    : m_settings(std::move(settings))
    , m_registration(std::move(registration))
    , m_random(seed)
    , m_backoff(m_settings.shortestRetry, m_settings.longestRetry)
{
}

MonotonicTime HostLease::validityEnd(MonotonicTime sentAt) const
{
    return sentAt + m_settings.ttl - m_settings.ttl / 10;
}

std::string HostLease::registrationKey() const
{
    std::string key = m_settings.keyPrefix + m_registration.host.value;
    if (!m_settings.isKeyPerIncarnation)
        return key;
    key += "/" + std::to_string(m_registration.incarnation);
    return m_restoredEpoch == 0 ? key : key + "/" + std::to_string(m_restoredEpoch);
}

std::string HostLease::registrationValue() const
{
    nlohmann::json value { { "data_centre", m_registration.dataCentre.value },
        { "address", m_registration.peerAddress }, { "incarnation", m_registration.incarnation },
        { "leaving", m_leaving } };
    if (!m_registration.relayAddress.empty())
        value["relay_address"] = m_registration.relayAddress;
    return value.dump();
}

void HostLease::start(Call call, StoreOperation operation, EffectList& effects)
{
    m_pending = call;
    m_pendingId = m_callIds.next();
    effects.push_back(StoreCall { m_pendingId, std::move(operation), m_settings.callTimeout });
}

void HostLease::tick(MonotonicTime now, EffectList& effects)
{
    if (!m_status.id.empty() && now >= m_status.validUntil)
        dropLease(effects);
    if (m_revoked || m_pending != Call::None || now < m_nextAt)
        return;
    if (m_status.id.empty())
        start(Call::Create, LeaseCreate { m_settings.ttl }, effects);
    else if (m_mustReadEntry)
        start(Call::ReadEntry, StoreGet { registrationKey() }, effects);
    else if (!m_registered)
        start(Call::Register,
            StoreCompareAndSwap { registrationKey(), registrationValue(), m_entryVersion, m_status.id }, effects);
    else
        start(Call::Renew, LeaseRenew { m_status.id }, effects);
}

void HostLease::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (reply.id != m_pendingId || m_pending == Call::None)
        return;
    const Call call = m_pending;
    m_pending = Call::None;
    if (call == Call::Revoke) {
        m_revoked = true;
        return;
    }
    const bool reached = reply.status != StoreStatus::Unknown && reply.status != StoreStatus::Unavailable;
    updateReachability(reached, effects);
    // The store replied but did not create the lease; an immediate retry would probably fail as well.
    const bool refused = call == Call::Create && reply.status != StoreStatus::Ok;
    if (!reached || refused || reply.status == StoreStatus::RateLimited) {
        if (refused)
            effects.push_back(LogEntry { LogEvent::HostLeaseRefused,
                { { "status", std::string(nameOf(reply.status)) },
                    { "failures", std::to_string(m_backoff.failures() + 1) } } });
        m_nextAt = now + m_backoff.next(m_random);
        return;
    }
    if (call != Call::Register || reply.status == StoreStatus::Ok)
        m_backoff.reset();
    if (call == Call::Register) {
        handleRegistration(reply.status, now);
        return;
    }
    if (call == Call::ReadEntry) {
        m_mustReadEntry = false;
        m_entryVersion = reply.status == StoreStatus::Ok ? reply.version : 0;
        m_nextAt = now;
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        dropLease(effects);
        m_nextAt = now;
        return;
    }
    if (call == Call::Create) {
        m_status.id = reply.value;
        m_registered = false;
        effects.push_back(LogEntry { LogEvent::HostLeaseAcquired, { { "lease", reply.value } } });
    }
    m_status.lastRenewalSentAt = reply.sentAt;
    m_status.validUntil = validityEnd(reply.sentAt);
    m_changed = true;
    m_nextAt = call == Call::Create ? now : reply.sentAt + m_settings.renewalInterval;
}

void HostLease::handleRegistration(StoreStatus status, MonotonicTime now)
{
    m_registered = status == StoreStatus::Ok;
    if (m_registered) {
        m_nextAt = m_status.lastRenewalSentAt + m_settings.renewalInterval;
        return;
    }
    // An existing key of this incarnation was written by an earlier call whose reply was lost. Its lease may be one
    // that was given up since, with which the entry would end, so it is written again under the present one. An entry
    // of an earlier run of this host blocks the key until its lease expires.
    m_mustReadEntry = m_settings.isKeyPerIncarnation && status == StoreStatus::Conflict;
    const bool isUnread = m_mustReadEntry && m_entryVersion == 0;
    m_nextAt = isUnread ? now : now + std::min<Duration>(conflictRetry, m_settings.renewalInterval);
}

void HostLease::updateReachability(bool reachable, EffectList& effects)
{
    if (reachable != m_storeReachable)
        effects.push_back(LogEntry { reachable ? LogEvent::StoreReachable : LogEvent::StoreUnreachable, {} });
    m_storeReachable = reachable;
}

void HostLease::dropLease(EffectList& effects)
{
    if (m_status.id.empty())
        return;
    effects.push_back(LogEntry { LogEvent::HostLeaseLost, { { "lease", m_status.id } } });
    m_status = LeaseStatus {};
    m_registered = false;
    m_mustReadEntry = false;
    m_entryVersion = 0;
    m_changed = true;
}

void HostLease::noteRestored(StoreEpoch epoch, Duration delay, MonotonicTime now, EffectList& effects)
{
    dropLease(effects);
    m_restoredEpoch = epoch;
    if (m_pending == Call::Revoke)
        return;
    // The reply to a call that was sent before the restore is ignored.
    m_pending = Call::None;
    m_nextAt = now + delay;
    m_backoff.reset();
}

void HostLease::announceLeaving(MonotonicTime now)
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_registered = false;
    m_nextAt = now;
}

void HostLease::revoke(EffectList& effects)
{
    if (m_status.id.empty()) {
        m_revoked = true;
        return;
    }
    start(Call::Revoke, LeaseRevoke { m_status.id }, effects);
    m_status = LeaseStatus {};
    m_changed = true;
}

bool HostLease::changedSinceLastTake() { return std::exchange(m_changed, false); }

} // namespace Catkinwell
