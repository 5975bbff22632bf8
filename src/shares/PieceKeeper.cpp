#include "PieceKeeper.h"

#include <utility>

namespace Catkinwell {

PieceKeeper::PieceKeeper(const AccountId& account, Duration standingValidity)
    : m_key("shares/" + account.value)
    , m_held(standingValidity)
{
}

StoreCall PieceKeeper::startRead(StoreCallIds& ids)
{
    m_isWriting = false;
    m_call = ids.next();
    return { *m_call, StoreGet { m_key } };
}

KeeperStep PieceKeeper::handle(const StoreReply& reply, const PlanInput& input, StoreCallIds& ids, MonotonicTime now,
    std::optional<StoreCall>& next)
{
    if (!m_call || reply.id != *m_call)
        return KeeperStep::Ignored;
    m_call.reset();
    return m_isWriting ? handleWrite(reply, now) : handleRead(reply, input, ids, now, next);
}

KeeperStep PieceKeeper::handleRead(const StoreReply& reply, const PlanInput& input, StoreCallIds& ids,
    MonotonicTime now, std::optional<StoreCall>& next)
{
    const bool exists = reply.status == StoreStatus::Ok;
    if (!exists && reply.status != StoreStatus::NotFound)
        return KeeperStep::Failed;
    const StoreVersion version = exists ? reply.version : 0;
    auto table = decodePieceTable(exists ? std::string_view(reply.value) : std::string_view());
    if (!table)
        return KeeperStep::InvalidValue;
    m_valueBytes = reply.value.size();
    m_seenAt = now;
    m_held.observe(*table, version);
    m_table = std::move(*table);
    PlanInput own = input;
    own.ownEntry = m_held.entry();
    if (own.lease.empty() && !own.leaving)
        return KeeperStep::Settled;
    PiecePlan plan = planPieces(m_table, own);
    // While the result of an earlier write is unknown, write an unchanged table too: the larger version prevents the
    // earlier write from taking effect.
    if (!plan.changed && !m_held.isUncertain())
        return KeeperStep::Settled;
    const Piece* intended = plan.table.find(own.lease);
    m_held.beginWrite(own.leaving || intended == nullptr ? Piece {} : *intended, version);
    m_written = std::move(plan.table);
    m_writtenReclaimed = plan.reclaimed;
    m_isWriting = true;
    m_call = ids.next();
    StoreCompareAndSwap write { m_key, encodePieceTable(m_written), version };
    m_valueBytes = write.value.size();
    next = StoreCall { *m_call, std::move(write) };
    return KeeperStep::Writing;
}

KeeperStep PieceKeeper::handleWrite(const StoreReply& reply, MonotonicTime now)
{
    m_reclaimed = 0;
    switch (reply.status) {
    case StoreStatus::Ok:
        m_held.confirmWrite();
        m_table = std::move(m_written);
        m_reclaimed = m_writtenReclaimed;
        m_seenAt = now;
        return KeeperStep::Settled;
    case StoreStatus::Unknown:
        m_held.loseWrite();
        return KeeperStep::Failed;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        return KeeperStep::Conflict;
    case StoreStatus::Unavailable:
    case StoreStatus::RateLimited:
    case StoreStatus::HistoryLost:
        break;
    }
    return KeeperStep::Failed;
}

} // namespace Catkinwell
