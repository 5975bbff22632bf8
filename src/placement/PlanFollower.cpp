#include "placement/PlanFollower.h"

namespace Catkinwell {

namespace {

    // All hosts of a data centre may miss the same announcement. The jitter spreads their reads over one second.
    constexpr Duration readInterval = std::chrono::seconds(2);
    constexpr std::uint64_t readJitterMilliseconds = 1000;

} // namespace

PlanFollower::PlanFollower(std::string key, StoreCallIds& callIds, RandomGenerator& random)
    : m_key(std::move(key))
    , m_callIds(callIds)
    , m_random(random)
{
}

void PlanFollower::handle(const PlanAnnounced& announced, EffectList& effects)
{
    auto decoded = decodePlanChange(announced.planJson);
    if (isError(decoded)) {
        effects.push_back(LogEntry { LogEvent::PlanUnreadable, { { "reason", errorOf(decoded).message } } });
        return;
    }
    const PlanChange change = takeValue(std::move(decoded));
    if (change.fencingToken < m_plan.fencingToken || change.version <= m_plan.version) {
        // Outdated, or an announcement without a change, which repeats the version.
        return;
    }
    if (change.baseVersion != m_plan.version) {
        m_needsRead = true;
        return;
    }
    applyPlanChange(change, m_plan);
}

bool PlanFollower::handle(const StoreReply& reply, MonotonicTime now)
{
    if (!m_read || *m_read != reply.id)
        return false;
    m_read.reset();
    const bool isAnswered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
    if (!isAnswered)
        m_pendingHead.reset();
    else if (m_pendingHead)
        acceptBase(reply);
    else
        acceptHead(reply);
    // The base is read immediately after its head.
    if (!m_pendingHead)
        m_notBefore = now + readInterval + std::chrono::milliseconds(m_random.below(readJitterMilliseconds));
    return true;
}

void PlanFollower::acceptHead(const StoreReply& reply)
{
    if (reply.status == StoreStatus::NotFound) {
        m_needsRead = false;
        return;
    }
    auto decoded = decodePlanChange(reply.value);
    if (isError(decoded))
        return;
    PlanChange head = takeValue(std::move(decoded));
    if (head.baseVersion == 0)
        adoptPlan(head, {});
    else
        m_pendingHead = std::move(head);
}

void PlanFollower::acceptBase(const StoreReply& reply)
{
    const PlanChange head = std::move(*m_pendingHead);
    m_pendingHead.reset();
    auto decoded = decodePlan(reply.value);
    // Otherwise the owner replaced the base between the two reads, and the head and base are read again.
    if (!isError(decoded) && valueOf(decoded).version == head.baseVersion)
        adoptPlan(head, takeValue(std::move(decoded)));
}

void PlanFollower::adoptPlan(const PlanChange& head, PlacementPlan base)
{
    m_needsRead = false;
    if (head.version <= m_plan.version)
        return;
    applyPlanChange(head, base);
    m_plan = std::move(base);
}

void PlanFollower::tick(MonotonicTime now, EffectList& effects)
{
    if (!m_needsRead || m_read || now < m_notBefore)
        return;
    m_read = m_callIds.next();
    const std::string key = m_pendingHead ? planBaseKey(m_key, m_pendingHead->baseVersion) : m_key;
    effects.push_back(StoreCall { *m_read, StoreGet { key } });
}

} // namespace Catkinwell
