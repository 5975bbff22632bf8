#pragma once

#include "AllocationTable.h"

#include <catkinwell/store/LeaseStatus.h>
#include <utility>

namespace Catkinwell {

// The allocation of one account that this host may use, and until when. While the result of a
// write is unknown, the smaller of the possible allocations counts. Not thread-safe.
class HeldAllocation {
public:
    explicit HeldAllocation(Duration standingValidity)
        : m_standingValidity(standingValidity)
    {
    }

    // Sets the host's current lease. Floating units are valid only while the lease named in the entry is.
    void setLease(const LeaseStatus&);

    std::uint32_t floating() const { return m_floating; }
    std::uint32_t standing() const { return m_standing; }
    MonotonicTime floatingUntil() const;
    MonotonicTime standingUntil() const;
    // The lease of the host's entry; empty if there is no entry.
    const LeaseId& entry() const { return m_entry; }
    bool isUncertain() const { return !m_candidates.empty(); }
    // Returns whether the stored value may contain an entry of this host.
    bool mayBeStored() const { return !m_entry.empty() || isUncertain(); }

    // Must be called before the write is sent; reductions apply at once. An allocation without a lease removes the
    // entry.
    void beginWrite(const Allocation& intended, StoreVersion expected);
    // The write has taken effect.
    void confirmWrite();
    // The result of the write is unknown. It may still take effect while the stored version is the expected one.
    void recordUnknownWrite();
    // Adopts this host's entry in a table that was read. Ignores the table and returns false if a write with an unknown
    // result may still take effect after the read.
    bool observe(const AllocationTable&, StoreVersion);

private:
    void adopt(const Allocation&);
    MonotonicTime lastRenewalOf(const LeaseId&) const;

    Duration m_standingValidity;
    LeaseStatus m_status;
    std::vector<std::pair<LeaseId, MonotonicTime>> m_ownLeases;
    LeaseId m_entry;
    std::uint32_t m_floating = 0;
    std::uint32_t m_standing = 0;
    Allocation m_intended;
    StoreVersion m_expected = 0;
    // Leases of the entries that writes with unknown results may have stored. The stored entry has one of them or
    // m_entry.
    std::vector<LeaseId> m_candidates;
};

} // namespace Catkinwell
