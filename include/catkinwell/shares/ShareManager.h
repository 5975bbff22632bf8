#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/shares/ShareTypes.h>
#include <catkinwell/shares/TokenBucket.h>
#include <catkinwell/store/LeaseStatus.h>
#include <catkinwell/store/StoreCallIds.h>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

class AccountShare;
class LeaseObserver;
class RateLimiter;
enum class UpdateStep : std::uint8_t;
class LoanManager;

// Enforces this host's allocation of every client account's rate and burst. The managers of all
// hosts together admit at most rate × time + burst tokens of an account in any time window.
//
// The store value shares/<account> lists every host's allocation. The manager adjusts its own
// entry to demand, borrows tokens from and lends tokens to peers, queues reservations until their
// deadline, and settles them. Not thread-safe. The times passed must not decrease.
class ShareManager {
public:
    // The incarnation distinguishes loans from those of an earlier run of the host. The seed is for jitter.
    ShareManager(const HostId&, Incarnation, std::uint64_t seed, MonotonicTime now, const ShareOptions& = {});
    ~ShareManager();
    ShareManager(const ShareManager&) = delete;
    ShareManager& operator=(const ShareManager&) = delete;

    // Sets the effective accounts. A changed rate or burst applies to the current allocation at once. The allocation
    // of a removed account is released and its waiting reservations are refused.
    // Precondition: rates and bursts are positive and below 10^12.
    void configure(const std::map<AccountId, ClientAccount>&, MonotonicTime now, EffectList&);
    // Must be called whenever the host's lease is changed or renewed.
    void setLease(const LeaseStatus&, MonotonicTime now);
    // Sets the other live hosts of this data centre, and the number of live hosts in the fleet
    // including this one.
    void setPeers(std::vector<HostId> sameDataCentre, std::size_t liveHosts, MonotonicTime now);

    // Reserves tokens. A pending reservation is decided no later than the first tick after the
    // deadline. Precondition: tokens ≥ 0.
    ShareResult reserve(
        RequestId, const AccountId&, TokenCount tokens, MonotonicTime deadline, MonotonicTime now, EffectList&);
    // Returns the decisions on pending reservations since the last call.
    std::vector<ShareDecision> takeDecisions();
    // Cancels a pending reservation, or settles a granted one with no tokens used. Unknown requests are ignored.
    void cancel(RequestId, MonotonicTime now);
    // Ends a granted reservation. Unused tokens are refunded as far as the bucket would hold them
    // had the reservation been smaller; usage above the reservation is debited. Unknown requests are ignored.
    void settle(RequestId, TokenCount usedTokens, MonotonicTime now);

    // Handles the reply to a call of StoreUser::Shares. Unknown identifiers are ignored.
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const BorrowTokens&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const LendTokens&, MonotonicTime now, EffectList&);
    // Processes deadlines, loans and adjustments. Must be called every 20 ms.
    void tick(MonotonicTime now, EffectList&);

    // Refuses new reservations and releases the allocation of each account once none of its reservations wait.
    void beginShutdown(MonotonicTime now);
    // Returns whether the store certainly has no entry of this host. Stays false while the store is
    // unreachable, so the caller must bound the wait; other hosts then reclaim the allocations after they expire.
    bool isReleased() const;

    std::vector<ShareStatus> status(MonotonicTime now) const;

private:
    struct Reserved {
        AccountShare* share = nullptr;
        TokenBucket::Reservation reservation;
        // Tokens debited from this host's bucket, and the size of the reservation including loans.
        TokenCount own = 0;
        TokenCount tokens = 0;
    };

    ShareResult refuse(RequestId, const AccountId&, TokenCount tokens, ShareRefusal, Duration retryAfter, EffectList&);
    std::optional<ShareRefusal> immediateRefusal(
        AccountShare&, TokenCount tokens, MonotonicTime deadline, MonotonicTime now);
    std::uint32_t reachableUnits(const AccountShare&) const;
    bool grant(AccountShare&, RequestId, TokenCount tokens, TokenCount borrowed, MonotonicTime now);
    void serveQueue(AccountShare&, MonotonicTime now, EffectList&);
    void decideRefused(AccountShare&, std::size_t index, ShareRefusal, MonotonicTime now, EffectList&);
    void requestMoreTokens(AccountShare&, MonotonicTime now, EffectList&);

    bool isWorthBorrowing(AccountShare&, MonotonicTime now);
    bool isLeaving(const AccountShare&) const;
    void startAdjustments(MonotonicTime now, EffectList&);
    void scheduleAfter(AccountShare&, UpdateStep, MonotonicTime now);
    Duration regularInterval(const AccountShare&) const;
    Duration jittered(Duration);
    MonotonicTime firstAdjustAt(MonotonicTime now);
    void readOneLease(MonotonicTime now, EffectList&);
    void handleLeaseRead(const StoreReply&, MonotonicTime now, EffectList&);
    void removeReleasedAccounts();
    void logChanges(AccountShare&, std::string_view reason, EffectList&);
    void recordMetrics(MonotonicTime now, EffectList&);
    AccountShare* find(const AccountId&);

    ShareOptions m_options;
    RandomGenerator m_random;
    StoreCallIds m_callIds;
    LeaseStatus m_lease;
    bool m_hasPeers = false;
    std::uint32_t m_liveHosts = 1;
    bool m_leaving = false;
    std::map<AccountId, std::unique_ptr<AccountShare>> m_shares;
    std::unordered_map<RequestId, Reserved> m_reserved;
    std::unordered_map<RequestId, AccountShare*> m_waitingIn;
    std::vector<ShareDecision> m_decisions;
    std::unique_ptr<LoanManager> m_loans;
    std::unique_ptr<LeaseObserver> m_observer;
    std::unique_ptr<RateLimiter> m_writeLimiter;
    std::unique_ptr<RateLimiter> m_byteLimiter;
    std::optional<std::pair<StoreCallId, LeaseId>> m_leaseRead;
    MonotonicTime m_nextLeaseReadAt {};
    MonotonicTime m_nextMetricsAt {};
};

} // namespace Catkinwell
