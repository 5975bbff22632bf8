#include "placement/OwnerElection.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Each watch is one store call: 400 hosts with 10 s each make 40 calls per second.
    constexpr Duration watchTime = std::chrono::seconds(10);
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(250);
    constexpr std::uint32_t maximumBackoffSteps = 4;
    // Spreads the attempts of a data centre's hosts to take the key after the holder's lease has ended.
    constexpr std::uint64_t acquireJitterMilliseconds = 200;

} // namespace

OwnerElection::OwnerElection(
    std::string key, HostId self, Incarnation incarnation, StoreCallIds& callIds, RandomGenerator& random)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_callIds(callIds)
    , m_random(random)
{
}

// The value contains the lease, so that a key written under an earlier lease is not mistaken for a current one.
std::string OwnerElection::ownValue() const
{
    return m_self.value + '\n' + std::to_string(m_incarnation) + '\n' + m_lease.id;
}

void OwnerElection::call(CallKind kind, StoreOperation operation, EffectList& effects, Duration timeout)
{
    m_call.emplace(m_callIds.next(), kind);
    effects.push_back(StoreCall { m_call->first, std::move(operation), timeout });
}

void OwnerElection::tick(MonotonicTime now, EffectList& effects)
{
    if (m_holding && !isHolder(now)) {
        m_holding = false;
        m_version.reset();
    }
    if (m_call || now < m_notBefore)
        return;
    if (m_releasing) {
        if (!m_holding)
            return;
        if (m_version)
            call(CallKind::Remove, StoreDelete { m_key, *m_version }, effects);
        else
            call(CallKind::Read, StoreGet { m_key }, effects);
        return;
    }
    if (m_holding)
        return;
    if (!m_version)
        call(CallKind::Read, StoreGet { m_key }, effects);
    else if (*m_version == 0 && m_lease.isValidAt(now))
        call(CallKind::Write, StoreCompareAndSwap { m_key, ownValue(), 0, m_lease.id }, effects);
    else
        call(CallKind::Wait, StoreWatch { m_key, *m_version, watchTime }, effects, watchTime + std::chrono::seconds(2));
}

bool OwnerElection::handle(const StoreReply& reply, MonotonicTime now)
{
    if (!m_call || m_call->first != reply.id)
        return false;
    const CallKind kind = m_call->second;
    m_call.reset();
    const bool answered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound
        || reply.status == StoreStatus::Conflict;
    m_failures = answered ? 0 : std::min(m_failures + 1, maximumBackoffSteps);
    m_notBefore = now;
    if (!answered) {
        const Duration delay = firstRetryDelay * (1U << m_failures);
        m_notBefore = now + delay + std::chrono::milliseconds(m_random.below(250));
        m_version.reset();
    } else if (kind == CallKind::Remove) {
        m_holding = false;
        m_holder = {};
    } else if (kind == CallKind::Write) {
        // The following read determines the holder, also after a lost reply.
        m_version.reset();
    } else {
        acceptValue(reply, now);
    }
    return true;
}

void OwnerElection::acceptValue(const StoreReply& reply, MonotonicTime now)
{
    if (reply.status != StoreStatus::Ok) {
        m_holder = {};
        m_holding = false;
        m_version = 0;
        m_notBefore = now + std::chrono::milliseconds(m_random.below(acquireJitterMilliseconds));
        if (!m_lease.isValidAt(now))
            m_notBefore += std::chrono::seconds(1);
        return;
    }
    m_version = reply.version;
    m_holder = HostId(reply.value.substr(0, reply.value.find('\n')));
    m_holding = m_lease.isValidAt(now) && reply.value == ownValue();
    m_heldLease = m_holding ? m_lease.id : LeaseId {};
}

} // namespace Catkinwell
