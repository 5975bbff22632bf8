#pragma once

#include "DemandMeter.h"
#include "PieceKeeper.h"

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/shares/ShareTypes.h>
#include <catkinwell/shares/TokenBucket.h>
#include <deque>
#include <optional>

namespace Catkinwell {

// A reservation that waits for refill, a larger piece or a loan.
struct WaitingReservation {
    RequestId request;
    TokenCount tokens = 0;
    MonotonicTime deadline;
};

// One account's pieces, bucket and queue on one host. Not thread safe.
class AccountShare {
public:
    AccountShare(const ClientAccount&, const ShareOptions&, MonotonicTime now);

    // Scales the pieces to a changed rate and burst.
    void configure(const ClientAccount&, MonotonicTime now);
    void setLease(const LeaseStatus&, MonotonicTime now);
    // Whether this host may lend; if so, its capacity is reduced by rate × loanWindow.
    void setLending(bool mayLend, MonotonicTime now);

    // Brings the bucket to the given time; pieces that lapsed meanwhile end at their exact time.
    // Must precede every other use of the bucket.
    void refresh(MonotonicTime now);

    const ClientAccount& account() const { return m_account; }
    TokenBucket& bucket() { return m_bucket; }
    PieceKeeper& keeper() { return m_keeper; }
    const PieceKeeper& keeper() const { return m_keeper; }
    DemandMeter& demand() { return m_demand; }
    std::deque<WaitingReservation>& waiting() { return m_waiting; }
    const std::deque<WaitingReservation>& waiting() const { return m_waiting; }
    bool lends() const { return m_lends; }

    // Units valid now, as of the last refresh.
    std::uint32_t floatingUnits() const { return m_floating; }
    std::uint32_t standingUnits() const { return m_standing; }

    // The capacity that the given number of units gives this host, in tokens.
    TokenCount capacityOf(std::uint32_t units) const;
    // The units that the demand asks for.
    double wantedUnits(MonotonicTime now) const;
    // Tokens that the bucket can lend without refusing the host's own requests soon.
    TokenCount spare(MonotonicTime now);
    // When a reservation of this size can succeed if nobody else asks for tokens.
    Duration retryAfter(TokenCount tokens, MonotonicTime now);

    ShareStatus status(MonotonicTime now);

    // The account was removed from the configuration: its pieces are given back.
    bool isRemoved = false;
    // When the stored pieces are looked at next, and the failures since the last success.
    MonotonicTime nextAdjustAt {};
    MonotonicTime lastAdjustAt {};
    unsigned failures = 0;
    MonotonicTime nextLoanAt {};
    // Units when they were last logged.
    std::uint32_t loggedFloating = 0;
    std::uint32_t loggedStanding = 0;

private:
    void applyUnits(std::uint32_t floating, std::uint32_t standing, MonotonicTime at);
    MicroTokens microCapacity(std::uint32_t units) const;

    ClientAccount m_account;
    const ShareOptions& m_options;
    TokenBucket m_bucket;
    PieceKeeper m_keeper;
    DemandMeter m_demand;
    std::deque<WaitingReservation> m_waiting;
    bool m_lends = false;
    std::uint32_t m_floating = 0;
    std::uint32_t m_standing = 0;
};

} // namespace Catkinwell
