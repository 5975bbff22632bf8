#pragma once

#include "HeldPiece.h"
#include "PiecePlan.h"

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/store/StoreCallIds.h>
#include <catkinwell/store/StoreTypes.h>
#include <optional>

namespace Catkinwell {

// What a reply led to.
enum class KeeperStep : std::uint8_t {
    // The reply belongs to no call in flight.
    Ignored,
    // A write follows; its call was returned.
    Writing,
    // The pieces are as they should be.
    Settled,
    // Another host changed the value first.
    Conflict,
    // The store did not answer or refused, or a write's outcome is unknown.
    Failed,
    // The stored value cannot be decoded; it is left as it is.
    InvalidValue,
};

// Reads and adjusts one account's stored pieces, with one store call in flight at a time. Not thread safe.
class PieceKeeper {
public:
    PieceKeeper(const AccountId&, Duration standingValidity);

    bool isIdle() const { return !m_call; }
    HeldPiece& held() { return m_held; }
    const HeldPiece& held() const { return m_held; }
    // The stored table as last seen or written, and when that was (minimum: never).
    const PieceTable& table() const { return m_table; }
    MonotonicTime seenAt() const { return m_seenAt; }
    std::size_t valueBytes() const { return m_valueBytes; }
    // Units that the last confirmed write took from holders whose lease was gone.
    std::uint32_t reclaimed() const { return m_reclaimed; }
    std::optional<StoreCallId> callInFlight() const { return m_call; }

    // Precondition: isIdle().
    StoreCall startRead(StoreCallIds&);

    // Takes the reply to the call in flight. The write that follows, if any, is stored in next;
    // reductions of the held piece are effective when this method returns.
    KeeperStep handle(
        const StoreReply&, const PlanInput&, StoreCallIds&, MonotonicTime now, std::optional<StoreCall>& next);

private:
    KeeperStep handleRead(
        const StoreReply&, const PlanInput&, StoreCallIds&, MonotonicTime now, std::optional<StoreCall>&);
    KeeperStep handleWrite(const StoreReply&, MonotonicTime now);

    std::string m_key;
    HeldPiece m_held;
    PieceTable m_table;
    PieceTable m_written;
    std::uint32_t m_writtenReclaimed = 0;
    std::uint32_t m_reclaimed = 0;
    std::size_t m_valueBytes = 0;
    MonotonicTime m_seenAt = MonotonicTime::min();
    std::optional<StoreCallId> m_call;
    bool m_isWriting = false;
};

} // namespace Catkinwell
