#include <catkinwell/gateway/PlacementOwnership.h>

#include <charconv>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(700);
    constexpr Duration retryPause = std::chrono::milliseconds(300);
    // Spreads the attempts of the hosts after the owner's lease has ended.
    constexpr std::uint64_t competitionSpreadMilliseconds = 60;
    // A store in a later epoch may have lost its record of the last owner.
    constexpr StoreEpoch firstEpoch = 1;
    // The low bits of a fencing token hold the version of the owner key, the others the epoch, so that tokens increase
    // although versions go back at a restore. They stay within the whole numbers that JSON readers keep exactly.
    constexpr unsigned versionBits = 40;

    // Returns the epoch in which the last owner was recorded; 0 for a record without one.
    StoreEpoch epochOfRecord(const std::string& record)
    {
        StoreEpoch epoch = 0;
        const std::size_t end = record.find('\n');
        if (end != std::string::npos)
            std::from_chars(record.data() + end + 1, record.data() + record.size(), epoch);
        return epoch;
    }

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

std::string PlacementOwnership::recordPrefix() const
{
    return m_settings.self.value + '\n' + std::to_string(m_epoch) + '\n';
}

std::string PlacementOwnership::ownRecord() const { return recordPrefix() + std::to_string(m_heldVersion); }

std::uint64_t PlacementOwnership::fencingToken() const { return (m_epoch << versionBits) | m_heldVersion; }

void PlacementOwnership::noteRestored(
    StoreEpoch epoch, const LeaseStatus& lease, MonotonicTime now, EffectList& effects)
{
    m_orderedUntilRestore = permission(lease, now).has_value();
    if (m_heldVersion != 0)
        loseOwnership("the store was restored", effects);
    // The reply to a call that was sent before the restore is ignored.
    m_pending = StoreCallId();
    m_isClearingOwnKey = false;
    m_notBefore = now;
    m_epoch = epoch;
}

void PlacementOwnership::call(StoreOperation operation, EffectList& effects)
{
    m_pending = m_callIds.next();
    effects.push_back(StoreCall { m_pending, std::move(operation), callTimeout });
}

void PlacementOwnership::tick(
    const LeaseStatus& lease, const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    m_epoch = std::max(m_epoch, mirror.epoch());
    const StoreEntry* entry = mirror.find(ownerKey());
    m_owner = entry ? HostId(entry->value.substr(0, entry->value.find('\n'))) : HostId();
    if (m_heldVersion != 0) {
        const bool isReplaced = entry && entry->version > m_heldVersion;
        if (lease.id != m_heldLease || isReplaced)
            loseOwnership(isReplaced ? "another host holds the owner key" : "the lease ended", effects);
    }
    if (m_isReleased || m_pending.value != 0 || now < m_notBefore || !mirror.isCurrent() || !lease.isValidAt(now))
        return;
    if (m_isYielding) {
        yield(mirror, effects);
        return;
    }
    if (m_heldVersion == 0 && m_isStopping)
        return;
    if (m_heldVersion == 0)
        tryAcquire(lease, mirror, now, effects);
    else if (!m_isRecorded)
        recordOwner(mirror, now, effects);
}

// Deletes this host's owner key, so that another host need not wait for the end of the lease.
void PlacementOwnership::yield(const PrefixMirror& mirror, EffectList& effects)
{
    if (m_heldVersion != 0)
        loseOwnership("another host reaches the engines and this one does not", effects);
    const StoreEntry* entry = mirror.find(ownerKey());
    const std::string ofThisRun = m_settings.self.value + '\n' + std::to_string(m_settings.incarnation) + '\n';
    if (!entry || !entry->value.starts_with(ofThisRun))
        return;
    m_isClearingOwnKey = true;
    call(StoreDelete { ownerKey(), entry->version }, effects);
}

void PlacementOwnership::tryAcquire(
    const LeaseStatus& lease, const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    const StoreEntry* entry = mirror.find(ownerKey());
    if (entry) {
        const std::string ofThisRun = m_settings.self.value + '\n' + std::to_string(m_settings.incarnation) + '\n';
        if (entry->value == ownValue(lease.id)) {
            // This host's own write succeeded, but its answer was lost.
            acquire(entry->version, lease.id, now);
        } else if (entry->value.starts_with(ofThisRun)) {
            // Bound to a lease that this host gave up, and that a restored store may have given to another host.
            m_isClearingOwnKey = true;
            call(StoreDelete { ownerKey(), entry->version }, effects);
        } else {
            m_notBefore = now + std::chrono::milliseconds(m_random.below(competitionSpreadMilliseconds));
        }
        return;
    }
    m_competingLease = lease.id;
    call(StoreCompareAndSwap { ownerKey(), ownValue(lease.id), 0, lease.id }, effects);
}

// The last-owner key changes only after the silence. If this host loses the ownership during its silence, the key still
// names the host before it, whose orders the next owner has to wait for. Each ownership writes the key before its first
// order, also if it names this host already: a write of another host that is carried out late then fails.
void PlacementOwnership::recordOwner(const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    const StoreEntry* last = mirror.find(lastOwnerKey());
    if (last && last->value == ownRecord()) {
        beginOrders(now, effects);
        return;
    }
    const bool sentLastOrders = last && last->value.starts_with(recordPrefix());
    if (!sentLastOrders && mustWait(last, now))
        return;
    call(StoreCompareAndSwap { lastOwnerKey(), ownRecord(), last ? last->version : 0, {} }, effects);
}

bool PlacementOwnership::mustWait(const StoreEntry* lastOwner, MonotonicTime now) const
{
    if (now >= m_acquiredAt + m_settings.silence)
        return false;
    const bool isFirstOfEpoch = !lastOwner || epochOfRecord(lastOwner->value) < m_epoch;
    if (isFirstOfEpoch && m_orderedUntilRestore)
        return false;
    return lastOwner || m_epoch > firstEpoch;
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
        { { "fencing_token", std::to_string(fencingToken()) },
            { "silence_ms", std::to_string(millisecondsOf(now - m_acquiredAt)) } } });
}

void PlacementOwnership::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (reply.id != m_pending || m_pending.value == 0)
        return;
    m_pending = StoreCallId();
    if (std::exchange(m_isClearingOwnKey, false) || reply.status != StoreStatus::Ok) {
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

void PlacementOwnership::loseOwnership(std::string_view reason, EffectList& effects)
{
    effects.push_back(LogEntry { LogEvent::GatewayOwnershipLost,
        { { "fencing_token", std::to_string(fencingToken()) }, { "reason", std::string(reason) } } });
    m_heldVersion = 0;
    m_heldLease.clear();
    m_isRecorded = false;
}

void PlacementOwnership::release(EffectList& effects)
{
    m_isReleased = true;
    if (m_heldVersion != 0)
        loseOwnership("the host is shutting down", effects);
}

std::optional<PlacementPermission> PlacementOwnership::permission(const LeaseStatus& lease, MonotonicTime now) const
{
    if (m_heldVersion == 0 || !m_isRecorded || lease.id != m_heldLease)
        return std::nullopt;
    const MonotonicTime until = lease.validUntil - m_settings.sendMargin;
    if (now >= until)
        return std::nullopt;
    return PlacementPermission { m_settings.self, fencingToken(), m_ordersFrom, until };
}

} // namespace Catkinwell
