#include "placement/PlanFollower.h"

namespace Catkinwell {

namespace {

    // All hosts of a data centre can notice the same gap: their reads are spread over a second.
    constexpr Duration readInterval = std::chrono::seconds(2);
    constexpr std::uint64_t readSpreadMilliseconds = 1000;

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
        // An announcement without a change repeats the version.
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
    m_notBefore = now + readInterval + std::chrono::milliseconds(m_random.below(readSpreadMilliseconds));
    if (reply.status == StoreStatus::NotFound)
        m_needsRead = false;
    if (reply.status != StoreStatus::Ok)
        return true;
    m_needsRead = false;
    auto decoded = decodePlan(reply.value);
    if (!isError(decoded) && valueOf(decoded).version > m_plan.version)
        m_plan = takeValue(std::move(decoded));
    return true;
}

void PlanFollower::tick(MonotonicTime now, EffectList& effects)
{
    if (!m_needsRead || m_read || now < m_notBefore)
        return;
    m_read = m_callIds.next();
    effects.push_back(StoreCall { *m_read, StoreGet { m_key } });
}

} // namespace Catkinwell
