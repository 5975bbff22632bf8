#include "placement/PlanRecorder.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
    constexpr std::uint32_t maximumBackoffSteps = 5;
    // Changes within this time share one write: at most 20 writes a second for a data centre.
    constexpr Duration minimumWriteInterval = std::chrono::milliseconds(50);

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

void PlanRecorder::beginTakeover(FencingToken atLeast, MonotonicTime now)
{
    stop();
    m_state = State::TakingOver;
    m_atLeast = atLeast;
    m_notBefore = now;
    m_failures = 0;
}

void PlanRecorder::stop()
{
    m_state = State::Idle;
    m_token = 0;
    m_working = {};
    m_changed = false;
    m_tooLarge = false;
    m_storeVersion.reset();
    m_read.reset();
    m_write.reset();
}

void PlanRecorder::tick(MonotonicTime now, EffectList& effects)
{
    if ((m_state != State::TakingOver && m_state != State::Ready) || m_read || m_write || now < m_notBefore)
        return;
    if (!m_storeVersion) {
        m_read = m_callIds.next();
        effects.push_back(StoreCall { *m_read, StoreGet { m_key } });
    } else if (m_state == State::TakingOver || m_changed) {
        write(now, effects);
    }
}

void PlanRecorder::write(MonotonicTime now, EffectList& effects)
{
    m_written = m_working;
    // Every attempt has its own version, so that a later read tells which attempt took effect.
    m_written.version = ++m_nextVersion;
    std::string bytes = encodePlan(m_written);
    m_lastEncodedBytes = bytes.size();
    m_tooLarge = bytes.size() > maximumEncodedBytes;
    m_notBefore = now + minimumWriteInterval;
    if (m_tooLarge)
        return;
    m_changed = false;
    m_write = m_callIds.next();
    effects.push_back(StoreCall { *m_write, StoreCompareAndSwap { m_key, std::move(bytes), *m_storeVersion } });
}

bool PlanRecorder::handle(const StoreReply& reply, MonotonicTime now)
{
    const bool isWrite = m_write && *m_write == reply.id;
    if (!isWrite && !(m_read && *m_read == reply.id))
        return false;
    (isWrite ? m_write : m_read).reset();
    const bool answered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::Conflict
        || (!isWrite && reply.status == StoreStatus::NotFound);
    m_failures = answered ? 0 : std::min(m_failures + 1, maximumBackoffSteps);
    if (!answered)
        m_notBefore = now + firstRetryDelay * (1U << m_failures) + std::chrono::milliseconds(m_random.below(100));
    if (!isWrite) {
        if (answered)
            acceptStored(reply);
        return true;
    }
    m_storeVersion.reset();
    if (reply.status != StoreStatus::Ok) {
        m_changed = true;
        return true;
    }
    m_confirmed = std::move(m_written);
    m_state = State::Ready;
    if (reply.version != 0)
        m_storeVersion = reply.version;
    return true;
}

void PlanRecorder::acceptStored(const StoreReply& reply)
{
    PlacementPlan stored;
    if (reply.status == StoreStatus::Ok) {
        auto decoded = decodePlan(reply.value);
        // An unreadable plan says nothing of what is loaded; the engines' reports do.
        if (!isError(decoded))
            stored = takeValue(std::move(decoded));
    }
    m_storeVersion = reply.status == StoreStatus::Ok ? reply.version : 0;
    m_nextVersion = std::max(m_nextVersion, stored.version);
    const bool isOwn = m_token != 0 && stored.fencingToken == m_token && stored.owner == m_self
        && stored.ownerIncarnation == m_incarnation;
    if (isOwn) {
        m_confirmed = std::move(stored);
        m_state = State::Ready;
    } else if (m_state == State::TakingOver) {
        m_token = std::max(stored.fencingToken, m_atLeast) + 1;
        m_inherited = stored;
        m_working = std::move(stored);
        m_working.fencingToken = m_token;
        m_working.owner = m_self;
        m_working.ownerIncarnation = m_incarnation;
        // A planned replica was surely never sent, so the successor decides anew.
        for (auto& [endpoint, row] : m_working.replicas)
            std::erase_if(row, [](const auto& cell) { return !cell.second.occupiesMemory(); });
        std::erase_if(m_working.replicas, [](const auto& row) { return row.second.empty(); });
    } else if (stored.fencingToken >= m_token) {
        m_state = State::Superseded;
    }
}

} // namespace Catkinwell
