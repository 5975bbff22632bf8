#pragma once

#include "PieceTable.h"

#include <catkinwell/store/LeaseStatus.h>
#include <utility>

namespace Catkinwell {

// What a host may use of one account's pieces, and until when. While the outcome of a
// write is unknown, the smaller of the possible pieces counts. Not thread safe.
class HeldPiece {
public:
    explicit HeldPiece(Duration standingValidity)
        : m_standingValidity(standingValidity)
    {
    }

    // Tells the host's present lease. A floating piece is valid only under the lease that names it.
    void setLease(const LeaseStatus&);

    std::uint32_t floating() const { return m_floating; }
    std::uint32_t standing() const { return m_standing; }
    MonotonicTime floatingUntil() const;
    MonotonicTime standingUntil() const;
    // The lease that names the host's entry; empty if there is none.
    const LeaseId& entry() const { return m_entry; }
    bool isUncertain() const { return !m_candidates.empty(); }
    // Whether the stored value may still name this host.
    bool mayBeStored() const { return !m_entry.empty() || isUncertain(); }

    // Makes reductions effective before the write is sent. A piece without lease means removal.
    void beginWrite(const Piece& intended, StoreVersion expected);
    // The write took effect.
    void confirmWrite();
    // The write may have taken effect, or may still do so while the stored version is the expected one.
    void loseWrite();
    // Takes over what a read of the store says, unless a lost write may still take effect after that read.
    // Returns false in that case.
    bool observe(const PieceTable&, StoreVersion);

private:
    void adopt(const Piece&);
    MonotonicTime lastRenewalOf(const LeaseId&) const;

    Duration m_standingValidity;
    LeaseStatus m_status;
    std::vector<std::pair<LeaseId, MonotonicTime>> m_ownLeases;
    LeaseId m_entry;
    std::uint32_t m_floating = 0;
    std::uint32_t m_standing = 0;
    Piece m_intended;
    StoreVersion m_expected = 0;
    // Leases that name the entry if a lost write took effect; with the present entry they are all that can be stored.
    std::vector<LeaseId> m_candidates;
};

} // namespace Catkinwell
