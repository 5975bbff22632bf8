#include <catkinwell/gateway/PlacementOwnership.h>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(700);
    constexpr Duration retryPause = std::chrono::milliseconds(300);
    // Spreads the attempts of the hosts after the owner's lease has ended.
    constexpr std::uint64_t competitionSpreadMilliseconds = 60;

} // namespace

PlacementOwnership::PlacementOwnership(Settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
{
}

std::string PlacementOwnership::ownValue(const LeaseId& lease) const
{
    return m_settings.self.value + '\n' + std::to_string(m_settings.incarnation) + '\n' + lease;
}

void PlacementOwnership::call(StoreOperation operation, EffectList& effects)
{
    m_pending = m_callIds.next();
    effects.push_back(StoreCall { m_pending, std::move(operation), callTimeout });
}

void PlacementOwnership::tick(
    const LeaseStatus& lease, const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    const StoreEntry* entry = mirror.find(ownerKey());
    m_owner = entry ? HostId(entry->value.substr(0, entry->value.find('\n'))) : HostId();
    if (m_heldVersion != 0) {
        const bool isReplaced = entry && entry->version > m_heldVersion;
        if (lease.id != m_heldLease || isReplaced)
            lose(isReplaced ? "another host holds the owner key" : "the lease ended", effects);
    }
    if (m_isReleased || m_pending.value != 0 || now < m_notBefore || !mirror.isRead() || !lease.isValidAt(now))
        return;
    if (m_heldVersion == 0 && m_isStopping)
        return;
    if (m_heldVersion == 0)
        compete(lease, mirror, now, effects);
    else if (!m_isRecorded)
        recordOwner(mirror, now, effects);
}

void PlacementOwnership::compete(
    const LeaseStatus& lease, const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    const StoreEntry* entry = mirror.find(ownerKey());
    if (entry) {
        // This host's own write succeeded, but its answer was lost.
        if (entry->value == ownValue(lease.id)) {
            acquire(entry->version, lease.id, now);
        } else {
            m_notBefore = now + std::chrono::milliseconds(m_random.below(competitionSpreadMilliseconds));
        }
        return;
    }
    m_competingLease = lease.id;
    call(StoreCompareAndSwap { ownerKey(), ownValue(lease.id), 0, lease.id }, effects);
}

// The last-owner key changes only after the silence. If this host loses the ownership during its silence, the key still
// names the host before it, whose orders the next owner has to wait for.
void PlacementOwnership::recordOwner(const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    const StoreEntry* last = mirror.find(lastOwnerKey());
    if (last && last->value == m_settings.self.value) {
        beginOrders(now, effects);
        return;
    }
    if (last && now < m_acquiredAt + m_settings.silence)
        return;
    call(StoreCompareAndSwap { lastOwnerKey(), m_settings.self.value, last ? last->version : 0, {} }, effects);
}

void PlacementOwnership::acquire(StoreVersion version, const LeaseId& lease, MonotonicTime now)
{
    m_heldVersion = version;
    m_heldLease = lease;
    m_acquiredAt = now;
    m_isRecorded = false;
}

void PlacementOwnership::beginOrders(MonotonicTime now, EffectList& effects)
{
    m_isRecorded = true;
    m_ordersFrom = now;
    effects.push_back(LogEntry { LogEvent::GatewayOwnershipGained,
        { { "fencing_token", std::to_string(m_heldVersion) },
            { "silence_ms", std::to_string(millisecondsOf(now - m_acquiredAt)) } } });
}

void PlacementOwnership::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (reply.id != m_pending || m_pending.value == 0)
        return;
    m_pending = StoreCallId();
    if (reply.status != StoreStatus::Ok) {
        // The mirror will show the outcome of the write.
        m_notBefore = now + retryPause;
        return;
    }
    if (m_isReleased)
        return;
    if (m_heldVersion == 0) {
        acquire(reply.version, m_competingLease, now);
        return;
    }
    beginOrders(now, effects);
}

void PlacementOwnership::lose(std::string_view reason, EffectList& effects)
{
    effects.push_back(LogEntry { LogEvent::GatewayOwnershipLost,
        { { "fencing_token", std::to_string(m_heldVersion) }, { "reason", std::string(reason) } } });
    m_heldVersion = 0;
    m_heldLease.clear();
    m_isRecorded = false;
}

void PlacementOwnership::release(EffectList& effects)
{
    m_isReleased = true;
    if (m_heldVersion != 0)
        lose("the host is shutting down", effects);
}

std::optional<PlacementPermission> PlacementOwnership::permission(const LeaseStatus& lease, MonotonicTime now) const
{
    if (m_heldVersion == 0 || !m_isRecorded || lease.id != m_heldLease)
        return std::nullopt;
    const MonotonicTime until = lease.validUntil - m_settings.sendMargin;
    if (now >= until)
        return std::nullopt;
    return PlacementPermission { m_settings.self, m_heldVersion, m_ordersFrom, until };
}

} // namespace Catkinwell
