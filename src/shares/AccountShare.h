#pragma once

#include "AllocationUpdater.h"
#include "DemandMeter.h"

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/shares/ShareTypes.h>
#include <catkinwell/shares/TokenBucket.h>
#include <deque>
#include <optional>

namespace Catkinwell {

// A reservation that waits for refill, a larger allocation or a loan.
struct WaitingReservation {
    RequestId request;
    TokenCount tokens = 0;
    MonotonicTime deadline;
};

// One account's allocation, bucket and queue on one host. Not thread-safe.
class AccountShare {
public:
    AccountShare(const ClientAccount&, const ShareOptions&, MonotonicTime now);

    // Applies a changed rate and burst to the current allocation.
    void configure(const ClientAccount&, MonotonicTime now);
    void setLease(const LeaseStatus&, MonotonicTime now);
    // Sets whether this host may lend. If it lends, its capacity is reduced by its rate × loanWindow.
    void setLending(bool mayLend, MonotonicTime now);

    // Applies allocation changes up to the given time. An allocation that has expired since ends at its
    // exact expiry time. Must be called before any other use of the bucket.
    void refresh(MonotonicTime now);

    const ClientAccount& account() const { return m_account; }
    TokenBucket& bucket() { return m_bucket; }
    AllocationUpdater& updater() { return m_updater; }
    const AllocationUpdater& updater() const { return m_updater; }
    DemandMeter& demand() { return m_demand; }
    std::deque<WaitingReservation>& waiting() { return m_waiting; }
    const std::deque<WaitingReservation>& waiting() const { return m_waiting; }
    bool lends() const { return m_lends; }

    // Units valid at the last refresh.
    std::uint32_t floatingUnits() const { return m_floating; }
    std::uint32_t standingUnits() const { return m_standing; }

    // The bucket capacity for the given number of units, in tokens.
    TokenCount capacityOf(std::uint32_t units) const;
    // The number of units that covers the demand on this host.
    double demandUnits(MonotonicTime now) const;
    // Tokens that this host can lend while keeping enough for its own demand of the next second, or half of its
    // capacity if that is less; 0 while reservations wait.
    TokenCount spare(MonotonicTime now);
    // Time until a reservation of this size can succeed if there are no others, between 1 and 60 s.
    Duration retryAfter(TokenCount tokens, MonotonicTime now);

    ShareStatus status(MonotonicTime now);

    // The account is no longer configured; its allocation is released.
    bool isRemoved = false;
    // Times of the next and the last adjustment of the stored allocation, and failures since the last success.
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
    AllocationUpdater m_updater;
    DemandMeter m_demand;
    std::deque<WaitingReservation> m_waiting;
    bool m_lends = false;
    std::uint32_t m_floating = 0;
    std::uint32_t m_standing = 0;
};

} // namespace Catkinwell
