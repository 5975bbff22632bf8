#include "placement/PlanRecorder.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
    constexpr std::uint32_t maximumBackoffSteps = 5;
    // Changes within this time are combined into one write: at most 20 writes per second and data centre.
    constexpr Duration minimumWriteInterval = std::chrono::milliseconds(50);

    // Size of the head above which a new base is written. A base of 75 KB (2,353 replicas) is then written once
    // in about 60 changes, and the average head is about 2 KB.
    constexpr std::size_t compactionBytes = 4000;
    constexpr Duration compactionRetryDelay = std::chrono::seconds(2);
    // A base that cannot be read after this many attempts is considered lost. The plan is then rebuilt from the
    // engines' reports.
    constexpr std::uint32_t maximumBaseFailures = 5;

} // namespace

PlanRecorder::PlanRecorder(
    std::string key, HostId self, Incarnation incarnation, StoreCallIds& callIds, RandomGenerator& random)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_callIds(callIds)
    , m_random(random)
{
}

void PlanRecorder::beginTakeover(FencingToken highestKnownToken, MonotonicTime now)
{
    stop();
    m_state = State::TakingOver;
    m_highestKnownToken = highestKnownToken;
    m_notBefore = now;
    m_failures = 0;
}

void PlanRecorder::stop()
{
    m_state = State::Idle;
    m_token = 0;
    m_working = {};
    m_base = {};
    m_nextBase.reset();
    m_pendingHead.reset();
    m_nextBaseStoreVersion.reset();
    m_changed = false;
    m_tooLarge = false;
    m_headBytes = 0;
    m_baseFailures = 0;
    m_storeVersion.reset();
    m_call.reset();
    m_compactionCall.reset();
}

void PlanRecorder::call(
    std::optional<std::pair<StoreCallId, CallKind>>& slot, CallKind kind, StoreOperation operation, EffectList& effects)
{
    slot.emplace(m_callIds.next(), kind);
    effects.push_back(StoreCall { slot->first, std::move(operation) });
}

void PlanRecorder::tick(MonotonicTime now, EffectList& effects)
{
    if (m_state != State::TakingOver && m_state != State::Ready)
        return;
    if (m_state == State::Ready && !m_compactionCall && now >= m_compactNotBefore)
        compact(now, effects);
    if (m_call || now < m_notBefore)
        return;
    if (m_pendingHead)
        call(m_call, CallKind::ReadBase, StoreGet { planBaseKey(m_key, m_pendingHead->baseVersion) }, effects);
    else if (!m_storeVersion)
        call(m_call, CallKind::ReadHead, StoreGet { m_key }, effects);
    else if (m_state == State::TakingOver || m_changed)
        write(now, effects);
}

void PlanRecorder::write(MonotonicTime now, EffectList& effects)
{
    m_written = m_working;
    // Every attempt has its own version, so that a later read shows which attempt took effect.
    m_written.version = ++m_nextVersion;
    m_writtenOnNextBase = m_nextBase.has_value();
    std::string bytes = encodePlanChange(differenceOf(m_writtenOnNextBase ? *m_nextBase : m_base, m_written));
    m_headBytes = bytes.size();
    m_notBefore = now + minimumWriteInterval;
    if (m_headBytes > maximumEncodedBytes) {
        m_tooLarge = true;
        return;
    }
    m_changed = false;
    call(m_call, CallKind::WriteHead, StoreCompareAndSwap { m_key, std::move(bytes), *m_storeVersion }, effects);
}

// Writes the confirmed plan into the base value that the stored head does not refer to.
void PlanRecorder::compact(MonotonicTime now, EffectList& effects)
{
    if (m_nextBase || m_headBytes <= compactionBytes)
        return;
    const std::string key = planBaseKey(m_key, m_base.version + 1);
    if (!m_nextBaseStoreVersion) {
        call(m_compactionCall, CallKind::ReadNextBase, StoreGet { key }, effects);
        return;
    }
    m_compacted = m_confirmed;
    // The parity of the version selects the base key.
    m_nextVersion = std::max(m_nextVersion, m_base.version) + 1;
    m_nextVersion += (m_nextVersion + m_base.version) % 2 == 0 ? 1 : 0;
    m_compacted.version = m_nextVersion;
    std::string bytes = encodePlan(m_compacted);
    m_lastEncodedBytes = bytes.size();
    m_tooLarge = bytes.size() > maximumEncodedBytes;
    if (m_tooLarge)
        m_compactNotBefore = now + compactionRetryDelay;
    else
        call(m_compactionCall, CallKind::WriteNextBase,
            StoreCompareAndSwap { key, std::move(bytes), *m_nextBaseStoreVersion }, effects);
}

bool PlanRecorder::handle(const StoreReply& reply, MonotonicTime now)
{
    if (m_compactionCall && m_compactionCall->first == reply.id) {
        const CallKind kind = m_compactionCall->second;
        m_compactionCall.reset();
        acceptNextBase(kind, reply, now);
        return true;
    }
    if (!m_call || m_call->first != reply.id)
        return false;
    const CallKind kind = m_call->second;
    m_call.reset();
    const bool isAnswered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict
        || (kind != CallKind::WriteHead && reply.status == StoreStatus::NotFound);
    m_failures = isAnswered ? 0 : std::min(m_failures + 1, maximumBackoffSteps);
    if (!isAnswered)
        m_notBefore = now + firstRetryDelay * (1U << m_failures) + std::chrono::milliseconds(m_random.below(100));
    if (kind == CallKind::WriteHead)
        acceptHeadWrite(reply);
    else if (isAnswered && kind == CallKind::ReadHead)
        acceptHead(reply);
    else if (isAnswered)
        acceptBase(reply);
    return true;
}

void PlanRecorder::acceptHeadWrite(const StoreReply& reply)
{
    m_storeVersion.reset();
    if (reply.status != StoreStatus::Ok) {
        m_changed = true;
        return;
    }
    m_confirmed = std::move(m_written);
    m_state = State::Ready;
    if (m_writtenOnNextBase) {
        m_base = std::move(*m_nextBase);
        m_nextBase.reset();
    }
    if (reply.version != 0)
        m_storeVersion = reply.version;
}

void PlanRecorder::acceptNextBase(CallKind kind, const StoreReply& reply, MonotonicTime now)
{
    const bool isRead
        = kind == CallKind::ReadNextBase && (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound);
    if (isRead) {
        m_nextBaseStoreVersion = reply.status == StoreStatus::Ok ? reply.version : 0;
        return;
    }
    m_nextBaseStoreVersion.reset();
    if (kind == CallKind::WriteNextBase && reply.status == StoreStatus::Ok) {
        m_nextBase = std::move(m_compacted);
        m_changed = true;
    } else {
        m_compactNotBefore = now + compactionRetryDelay;
    }
}

void PlanRecorder::acceptHead(const StoreReply& reply)
{
    PlanChange head;
    if (reply.status == StoreStatus::Ok) {
        auto decoded = decodePlanChange(reply.value);
        // An unreadable plan is treated as empty; the engines' reports then show which models are loaded.
        if (!isError(decoded))
            head = takeValue(std::move(decoded));
    }
    m_storeVersion = reply.status == StoreStatus::Ok ? reply.version : 0;
    m_nextVersion = std::max({ m_nextVersion, head.version, head.baseVersion });
    const bool isOwn = m_token != 0 && head.fencingToken == m_token && head.owner == m_self
        && head.ownerIncarnation == m_incarnation;
    if (!isOwn && m_state == State::Ready) {
        if (head.fencingToken >= m_token)
            m_state = State::Superseded;
        return;
    }
    if (m_nextBase && head.baseVersion == m_nextBase->version) {
        m_base = std::move(*m_nextBase);
        m_nextBase.reset();
    }
    if (head.baseVersion == 0)
        m_base = {};
    if (m_base.version == head.baseVersion)
        adoptStoredPlan(head);
    else
        m_pendingHead = std::move(head);
}

void PlanRecorder::acceptBase(const StoreReply& reply)
{
    const PlanChange head = std::move(*m_pendingHead);
    m_pendingHead.reset();
    auto decoded = decodePlan(reply.value);
    if (!isError(decoded) && valueOf(decoded).version == head.baseVersion) {
        m_base = takeValue(std::move(decoded));
    } else if (++m_baseFailures < maximumBaseFailures) {
        // The previous owner replaced the base between the two reads.
        m_storeVersion.reset();
        return;
    } else {
        m_base = {};
        m_base.version = head.baseVersion;
    }
    m_baseFailures = 0;
    adoptStoredPlan(head);
}

// Adopts the stored plan: as confirmed if this owner wrote it, and as inherited otherwise.
void PlanRecorder::adoptStoredPlan(const PlanChange& head)
{
    PlacementPlan stored = m_base;
    applyPlanChange(head, stored);
    const bool isOwn = m_token != 0 && head.fencingToken == m_token && head.owner == m_self
        && head.ownerIncarnation == m_incarnation;
    if (isOwn) {
        m_confirmed = std::move(stored);
        m_state = State::Ready;
        return;
    }
    m_token = std::max(stored.fencingToken, m_highestKnownToken) + 1;
    m_inherited = stored;
    m_working = std::move(stored);
    m_working.fencingToken = m_token;
    m_working.owner = m_self;
    m_working.ownerIncarnation = m_incarnation;
    // Planned replicas were never sent, so the new owner decides on them again.
    for (auto& [endpoint, row] : m_working.replicas)
        std::erase_if(row, [](const auto& cell) { return !cell.second.occupiesMemory(); });
    std::erase_if(m_working.replicas, [](const auto& row) { return row.second.empty(); });
}

} // namespace Catkinwell
