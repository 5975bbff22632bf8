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
class Pace;
enum class KeeperStep : std::uint8_t;
class LoanDesk;

// This host's part of every client account's rate and burst. All hosts' managers
// together admit at most rate × time + burst tokens of an account in every window.
//
// The store value shares/<account> lists who holds which piece. The manager keeps its
// entry in step with demand, borrows tokens from and lends them to peers, queues
// reservations until their deadline, and settles them. Not thread safe; all calls come
// from the reducer, with times that do not run backwards.
class ShareManager {
public:
    // The incarnation keeps loans of an earlier run of the same host apart. The seed is for jitter.
    ShareManager(const HostId&, Incarnation, std::uint64_t seed, MonotonicTime now, const ShareOptions& = {});
    ~ShareManager();
    ShareManager(const ShareManager&) = delete;
    ShareManager& operator=(const ShareManager&) = delete;

    // Takes the effective accounts. A changed rate or burst applies at once to the pieces held; the pieces of a
    // removed account are given back and its waiting reservations are refused.
    // Precondition: rates and bursts are positive and below 10^12.
    void configure(const std::map<AccountId, ClientAccount>&, MonotonicTime now, EffectList&);
    // Must be called whenever the host's lease changes or was renewed.
    void setLease(const LeaseStatus&, MonotonicTime now);
    // Takes the other live hosts of the same data centre and the number of live
    // hosts in the fleet, this one included.
    void setPeers(std::vector<HostId> sameDataCentre, std::size_t liveHosts, MonotonicTime now);

    // Asks for tokens. A pending reservation is decided at the latest with the first tick
    // after the deadline. Precondition: tokens ≥ 0.
    ShareResult reserve(
        RequestId, const AccountId&, TokenCount tokens, MonotonicTime deadline, MonotonicTime now, EffectList&);
    // Returns the outcomes of reservations that were pending, each once.
    std::vector<ShareDecision> takeDecisions();
    // Withdraws a pending reservation, or settles a granted one with no tokens used. Unknown requests are ignored.
    void cancel(RequestId, MonotonicTime now);
    // Ends a granted reservation. Unused tokens are refunded as far as the bucket would hold them
    // had the reservation been smaller; usage above it is owed. Unknown requests are ignored.
    void settle(RequestId, TokenCount usedTokens, MonotonicTime now);

    // Takes the reply to a call whose identifier belongs to StoreUser::Shares. Unknown identifiers are ignored.
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const BorrowTokens&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const LendTokens&, MonotonicTime now, EffectList&);
    // Drives deadlines, loans and adjustments; due every 20 ms.
    void tick(MonotonicTime now, EffectList&);

    // Refuses new reservations and gives every piece back; an account's pieces stay as long as reservations wait.
    void beginShutdown(MonotonicTime now);
    // Whether the store surely names this host no more. The caller bounds the wait:
    // without the store this stays false, and the pieces come back when they lapse.
    bool isReleased() const;

    std::vector<ShareStatus> status(MonotonicTime now) const;

private:
    struct Reserved {
        AccountShare* share = nullptr;
        TokenBucket::Reservation reservation;
        // Tokens debited from the own bucket, and the whole reservation with loans.
        TokenCount own = 0;
        TokenCount tokens = 0;
    };

    ShareResult refuse(RequestId, const AccountId&, TokenCount tokens, ShareRefusal, Duration retryAfter, EffectList&);
    std::optional<ShareRefusal> refusalAtOnce(
        AccountShare&, TokenCount tokens, MonotonicTime deadline, MonotonicTime now);
    std::uint32_t reachableUnits(const AccountShare&) const;
    bool grant(AccountShare&, RequestId, TokenCount tokens, TokenCount borrowed, MonotonicTime now);
    void serveQueue(AccountShare&, MonotonicTime now, EffectList&);
    void decideRefused(AccountShare&, std::size_t index, ShareRefusal, MonotonicTime now, EffectList&);
    void seekTokens(AccountShare&, MonotonicTime now, EffectList&);

    bool isWorthBorrowing(AccountShare&, MonotonicTime now);
    bool isLeaving(const AccountShare&) const;
    void startAdjustments(MonotonicTime now, EffectList&);
    void scheduleAfter(AccountShare&, KeeperStep, MonotonicTime now);
    Duration regularInterval(const AccountShare&) const;
    Duration jittered(Duration);
    MonotonicTime firstAdjustAt(MonotonicTime now);
    void readOneLease(MonotonicTime now, EffectList&);
    void handleLeaseRead(const StoreReply&, MonotonicTime now, EffectList&);
    void forgetReleasedAccounts();
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
    std::unique_ptr<LoanDesk> m_loans;
    std::unique_ptr<LeaseObserver> m_observer;
    std::unique_ptr<Pace> m_writePace;
    std::unique_ptr<Pace> m_bytePace;
    std::optional<std::pair<StoreCallId, LeaseId>> m_leaseRead;
    MonotonicTime m_nextLeaseReadAt {};
    MonotonicTime m_nextMetricsAt {};
};

} // namespace Catkinwell
