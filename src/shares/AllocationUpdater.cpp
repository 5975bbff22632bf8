#include "AllocationUpdater.h"

#include <utility>

namespace Catkinwell {

AllocationUpdater::AllocationUpdater(const AccountId& account, Duration standingValidity)
    : m_key("shares/" + account.value)
    , m_held(standingValidity)
{
}

StoreCall AllocationUpdater::startRead(StoreCallIds& ids)
{
    m_isWriting = false;
    m_call = ids.next();
    return { *m_call, StoreGet { m_key } };
}

UpdateStep AllocationUpdater::handle(const StoreReply& reply, const PlanInput& input, StoreCallIds& ids,
    MonotonicTime now, std::optional<StoreCall>& next)
{
    if (!m_call || reply.id != *m_call)
        return UpdateStep::Ignored;
    m_call.reset();
    return m_isWriting ? handleWrite(reply, now) : handleRead(reply, input, ids, now, next);
}

UpdateStep AllocationUpdater::handleRead(const StoreReply& reply, const PlanInput& input, StoreCallIds& ids,
    MonotonicTime now, std::optional<StoreCall>& next)
{
    const bool exists = reply.status == StoreStatus::Ok;
    if (!exists && reply.status != StoreStatus::NotFound)
        return UpdateStep::Failed;
    const StoreVersion version = exists ? reply.version : 0;
    auto table = decodeAllocationTable(exists ? std::string_view(reply.value) : std::string_view());
    if (!table)
        return UpdateStep::InvalidValue;
    m_valueBytes = reply.value.size();
    m_seenAt = now;
    m_held.observe(*table, version);
    m_table = std::move(*table);
    PlanInput own = input;
    own.ownEntry = m_held.entry();
    if (own.lease.empty() && !own.leaving)
        return UpdateStep::Settled;
    AllocationPlan plan = planAllocations(m_table, own);
    // While the result of an earlier write is unknown, write an unchanged table too: the larger version prevents the
    // earlier write from taking effect.
    if (!plan.changed && !m_held.isUncertain())
        return UpdateStep::Settled;
    const Allocation* intended = plan.table.find(own.lease);
    m_held.beginWrite(own.leaving || intended == nullptr ? Allocation {} : *intended, version);
    m_written = std::move(plan.table);
    m_writtenReclaimed = plan.reclaimed;
    m_isWriting = true;
    m_call = ids.next();
    StoreCompareAndSwap write { m_key, encodeAllocationTable(m_written), version };
    m_valueBytes = write.value.size();
    next = StoreCall { *m_call, std::move(write) };
    return UpdateStep::Writing;
}

UpdateStep AllocationUpdater::handleWrite(const StoreReply& reply, MonotonicTime now)
{
    m_reclaimed = 0;
    switch (reply.status) {
    case StoreStatus::Ok:
        m_held.confirmWrite();
        m_table = std::move(m_written);
        m_reclaimed = m_writtenReclaimed;
        m_seenAt = now;
        return UpdateStep::Settled;
    case StoreStatus::Unknown:
        m_held.recordUnknownWrite();
        return UpdateStep::Failed;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        return UpdateStep::Conflict;
    case StoreStatus::Unavailable:
    case StoreStatus::RateLimited:
    case StoreStatus::HistoryLost:
        break;
    }
    return UpdateStep::Failed;
}

} // namespace Catkinwell
