#pragma once

#include "AllocationPlan.h"
#include "HeldAllocation.h"

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/store/StoreCallIds.h>
#include <catkinwell/store/StoreTypes.h>
#include <optional>

namespace Catkinwell {

// The result of handling a store reply.
enum class UpdateStep : std::uint8_t {
    // The reply does not belong to the call in flight.
    Ignored,
    // A write follows; its call is returned.
    Writing,
    // The stored allocation is as planned.
    Settled,
    // The value was changed by another host since the read.
    Conflict,
    // The call failed, or the result of the write is unknown.
    Failed,
    // The stored value cannot be decoded and is left unchanged.
    InvalidValue,
};

// Reads and adjusts this host's entry in one account's stored table, with one store call in flight at a time. Not
// thread-safe.
class AllocationUpdater {
public:
    AllocationUpdater(const AccountId&, Duration standingValidity);

    bool isIdle() const { return !m_call; }
    HeldAllocation& held() { return m_held; }
    const HeldAllocation& held() const { return m_held; }
    // The stored table as last read or written, and when (MonotonicTime::min() if never).
    const AllocationTable& table() const { return m_table; }
    MonotonicTime seenAt() const { return m_seenAt; }
    std::size_t valueBytes() const { return m_valueBytes; }
    // Units that the last write reclaimed from holders whose lease is absent; 0 if it failed.
    std::uint32_t reclaimed() const { return m_reclaimed; }
    std::optional<StoreCallId> callInFlight() const { return m_call; }

    // Precondition: isIdle().
    StoreCall startRead(StoreCallIds&);

    // Handles the reply to the call in flight. If a write follows, sets next to it; reductions of the
    // held allocation are already in effect when this method returns.
    UpdateStep handle(
        const StoreReply&, const PlanInput&, StoreCallIds&, MonotonicTime now, std::optional<StoreCall>& next);

private:
    UpdateStep handleRead(
        const StoreReply&, const PlanInput&, StoreCallIds&, MonotonicTime now, std::optional<StoreCall>&);
    UpdateStep handleWrite(const StoreReply&, MonotonicTime now);

    std::string m_key;
    HeldAllocation m_held;
    AllocationTable m_table;
    AllocationTable m_written;
    std::uint32_t m_writtenReclaimed = 0;
    std::uint32_t m_reclaimed = 0;
    std::size_t m_valueBytes = 0;
    MonotonicTime m_seenAt = MonotonicTime::min();
    std::optional<StoreCallId> m_call;
    bool m_isWriting = false;
};

} // namespace Catkinwell
