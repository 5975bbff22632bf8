#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/orders/ClaimDecision.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/reducer/Event.h>
#include <catkinwell/store/StoreCallIds.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

class ClaimShard;
struct ClaimContext;
struct ClaimNotice;
struct PeerClaim;
struct StoredOutcome;
enum class EntryState : std::uint8_t;

struct LiveHost {
    HostId host;
    Incarnation incarnation = 0;
};

struct ClaimSettings {
    HostId self;
    // Must differ from the incarnation of every earlier run of the host: a request claimed by an
    // earlier incarnation may have run, so that claim is never withdrawn.
    Incarnation incarnation = 0;
    Duration retention = std::chrono::hours(24);
    // Must be the same on every host.
    std::uint32_t shardCount = 64;
    // Minimum time between two writes of a shard; claims that arrive meanwhile share the next write.
    Duration groupingWindow = std::chrono::milliseconds(5);
    // Maximum number of claims and outcomes in one write; bounds its duration.
    std::uint32_t maximumUpdatesPerWrite = 256;
    // Forwards claims to the shard's preferred host, which writes the claims of all hosts together. Off by default:
    // it lengthens the median wait, and the longest waits at high load (docs/decisions/orders.md).
    bool forwarding = false;
    // If the preferred host does not answer within this time, this host writes the claim itself.
    Duration forwardTimeout = std::chrono::milliseconds(100);
    // Rate limit of this host's store writes. Claims above it wait and are written together.
    double storeWritesPerSecond = 60;
    Duration storeTimeout = std::chrono::seconds(1);
    // Limit of unsettled claims (waiting, running, being withdrawn, or with an unwritten outcome). More are refused.
    std::uint32_t maximumClaims = 4096;
    // Limit of buffered response bodies. Above it, only the status and body digest of an outcome are recorded.
    std::size_t maximumUnwrittenBytes = 16U << 20;
    // Limit of cached shard values.
    std::size_t maximumCachedBytes = 16U << 20;
    // New claims are refused when the shard's value would exceed this size. The store's limit is
    // 1 MB; the difference is reserved for the outcomes of claims already admitted.
    std::size_t maximumShardBytes = 900'000;
};

struct ClaimCounts {
    // Waiting for confirmation, for another claim of the same key, or for a stored outcome.
    std::size_t waiting = 0;
    std::size_t running = 0;
    // Finished; the store has not confirmed the outcome.
    std::size_t unwritten = 0;
    std::size_t unwrittenBytes = 0;
    // Not run; the store may still contain the entry.
    std::size_t withdrawing = 0;
    std::size_t cachedBytes = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t forwarded = 0;
    bool storeUnavailable = false;
    // How long the store keeps entries.
    Duration retention {};
};

// Ensures that a request with an idempotency key runs at most once across all hosts, and
// replays the first outcome to repeated requests.
//
// Call sequence: claim() -> ClaimRun from takeDecisions() -> the caller sends the request ->
// exactly one of recordOutcome(), recordUnknown(), recordNotSent().
// Every claim() produces exactly one decision, no later than the first tick() at or after its deadline.
//
// A shard's value holds all of its claims and outcomes, and one compare-and-swap writes every
// pending update. A request needs two updates (claim and outcome): at low load, that is two
// writes and, with several hosts, two reads. At the write limit, updates are grouped: in
// experiments/KeyedRequests, 4 hosts with 240 writes a second handled 807 requests a second, at
// 0.33 writes each and a median wait of 0.54 s; without grouping, they handled 150.
//
// Not thread-safe. The wall clock is used only to expire entries.
class ClaimManager {
public:
    // The seed randomizes the backoff, so that hosts do not retry at the same moment.
    explicit ClaimManager(std::uint64_t seed);
    ~ClaimManager();

    // Must be called before the first claim. Later calls may change any field except self,
    // incarnation and shardCount.
    void configure(ClaimSettings settings, const std::vector<LiveHost>& liveHosts);
    // A claim whose host is not listed with the claim's incarnation counts as abandoned.
    void setLiveHosts(const std::vector<LiveHost>& liveHosts);

    // Asks whether the request may run. The digest must cover everything that defines the request (method, path and
    // body). The store holds only hashes of the key and the digest; keys are scoped by account.
    // Precondition: the request identifier is new and the deadline is in the future. Until the first tick(), claims
    // are refused with StoreUnavailable.
    void claim(RequestId, const AccountId&, const std::string& idempotencyKey, const std::string& bodyDigest,
        MonotonicTime deadline, MonotonicTime now, EffectList&);

    // Returns the decisions made since the last call. Call this after every method that takes an EffectList.
    std::vector<ClaimDecision> takeDecisions();

    // Records the first outcome, which is buffered and replayed to repeats until the store has confirmed it.
    // Precondition: the request received ClaimRun, and no record method has been called for it.
    void recordOutcome(RequestId, int status, HeaderList headers, std::string body, MonotonicTime now, EffectList&);
    // The request may have run; repeats receive ClaimUnknownOutcome. Same precondition.
    void recordUnknown(RequestId, MonotonicTime now, EffectList&);
    // No byte of the request was sent, so a repeat may run. Same precondition.
    void recordNotSent(RequestId, MonotonicTime now, EffectList&);

    // Late replies and replies to calls of other modules are ignored.
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ForwardedClaim&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ForwardedClaimResult&, MonotonicTime now, EffectList&);

    // Must be called every 20 ms. The wall clock is used only to expire entries.
    void tick(MonotonicTime now, WallTime wallNow, EffectList&);

    // Refuses new claims; accepted claims continue.
    void beginShutdown();
    // Returns whether every accepted claim is settled in the store. Stays false while the store is
    // unreachable, so the caller must bound the wait.
    bool isSettled() const;

    ClaimCounts counts() const;

private:
    struct ClaimLocation {
        std::uint32_t shard = 0;
        std::uint64_t nonce = 0;
    };

    // A repeat whose recorded outcome is in a separate store value.
    struct OutcomeRead {
        RequestId request;
        std::string storeKey;
        MonotonicTime deadline {};
        // Default-constructed while no call is in flight.
        StoreCallId call;
    };

    ClaimContext contextAt(MonotonicTime) const;
    std::uint32_t wallSecondsAt(MonotonicTime) const;
    ClaimShard& shardOf(const std::string& key);
    std::size_t claimCount() const;
    bool isUnavailable(MonotonicTime) const;
    void decide(RequestId, ClaimVerdict, EffectList&);
    void forward(ClaimShard&, std::uint64_t nonce, MonotonicTime, EffectList&);
    void answerPeerClaim(const PeerClaim&, std::string_view status, EffectList&);
    void finish(RequestId, EntryState, StoredOutcome, MonotonicTime, EffectList&);
    void applyNotices(std::vector<ClaimNotice>, MonotonicTime, EffectList&);

    // Store calls; defined in ClaimManagerStore.cpp.
    StoreCallId send(StoreOperation, EffectList&);
    double writeBurst() const;
    void refillWriteTokens(MonotonicTime);
    void recordStoreReply(StoreStatus, MonotonicTime, EffectList&);
    void handleOutcomeRead(const OutcomeRead&, const StoreReply&, EffectList&);
    void handleOutcomeWrite(const ClaimLocation&, StoreStatus);
    void recordClocks(MonotonicTime, WallTime);
    void startShardCall(ClaimShard&, MonotonicTime, EffectList&, double reservedTokens = -1);
    void startOutcomeCalls(MonotonicTime, EffectList&);
    void startExpiryCalls(MonotonicTime, EffectList&);
    void dropIdleValues(const ClaimContext&);

    ClaimSettings m_settings;
    std::unordered_map<HostId, Incarnation> m_live;
    RandomGenerator m_random;
    StoreCallIds m_callIds { StoreUser::Orders };
    std::vector<std::unique_ptr<ClaimShard>> m_shards;
    std::size_t m_nextShard = 0;
    std::uint64_t m_lastNonce = 0;
    // Waiting and running claims of this host.
    std::unordered_map<RequestId, ClaimLocation> m_claimLocations;
    std::unordered_map<StoreCallId, std::uint32_t> m_shardCalls;
    std::unordered_map<StoreCallId, ClaimLocation> m_outcomeWrites;
    std::vector<OutcomeRead> m_outcomeReads;
    // Keys of outcome values whose entry has expired. If the host stops first, these values are never deleted.
    std::vector<std::string> m_expiredValues;
    std::unordered_map<StoreCallId, std::string> m_expiredReads;
    std::vector<ClaimDecision> m_decisions;
    std::unordered_map<HostId, MonotonicTime> m_forwardRetryAt;
    double m_writeTokens = 0;
    // Reads in flight; each reserves a write token for the write that follows it.
    std::size_t m_shardReads = 0;
    MonotonicTime m_tokensAt {};
    unsigned m_failures = 0;
    MonotonicTime m_failingSince {};
    MonotonicTime m_retryAt {};
    bool m_wasUnavailable = false;
    MonotonicTime m_tickedAt {};
    WallTime m_wallAtTick {};
    // Wall clock minus monotonic clock at the first tick.
    Duration m_clockOffset {};
    bool m_ticked = false;
    bool m_clockJumped = false;
    bool m_shuttingDown = false;
    std::size_t m_unwrittenBytes = 0;
    ClaimCounts m_totals;
};

} // namespace Catkinwell
