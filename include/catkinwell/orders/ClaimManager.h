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
struct ForeignClaim;
struct StoredOutcome;
enum class EntryState : std::uint8_t;

struct LiveHost {
    HostId host;
    Incarnation incarnation = 0;
};

struct ClaimSettings {
    HostId self;
    // Must differ from that of every earlier run of the same host: a claim of an
    // earlier incarnation may have run and is never withdrawn.
    Incarnation incarnation = 0;
    Duration retention = std::chrono::hours(24);
    // Must be the same on every host.
    std::uint32_t shardCount = 64;
    // Claims of one shard that arrive within this time share one write.
    Duration groupingWindow = std::chrono::milliseconds(5);
    // Claims and outcomes in one write; bounds the time that one write takes.
    std::uint32_t maximumUpdatesPerWrite = 256;
    // Sends claims to the shard's preferred host, so that one host's writes carry them. Off because it
    // lengthens the median wait, and the longest waits at high load (docs/decisions/orders.md).
    bool forwarding = false;
    // After this time without an answer the claim is written by this host itself.
    Duration forwardTimeout = std::chrono::milliseconds(100);
    // Limit of this host's writes to the store; claims wait and share writes beyond it.
    double storeWritesPerSecond = 60;
    Duration storeTimeout = std::chrono::seconds(1);
    // Claims that run, wait or have an unwritten outcome; more are refused.
    std::uint32_t maximumClaims = 4096;
    // Bodies of unwritten outcomes; beyond it only status and digest of further outcomes are kept.
    std::size_t maximumUnwrittenBytes = 16U << 20;
    // Decoded shards that are kept between writes.
    std::size_t maximumCachedBytes = 16U << 20;
    // New claims are refused above this size of a shard's value. The store's limit is
    // 1 MB; the rest is room for the outcomes of the claims that were admitted.
    std::size_t maximumShardBytes = 900'000;
};

struct ClaimCounts {
    // Waiting for a confirmation or a lookup.
    std::size_t waiting = 0;
    std::size_t running = 0;
    // Have an outcome that the store has not confirmed.
    std::size_t unwritten = 0;
    std::size_t unwrittenBytes = 0;
    // Not run; the entry may still be in the store.
    std::size_t withdrawing = 0;
    std::size_t cachedBytes = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t forwarded = 0;
    bool storeUnavailable = false;
    // How long entries are kept.
    Duration retention {};
};

// Makes sure that a non-idempotent request with an idempotency key runs at most once
// over all hosts, and answers repeats with the first outcome (section 5.3).
//
// The order of a host's claims is: claim() -> ClaimRun from takeDecisions() -> the
// request is sent -> exactly one of recordOutcome(), recordUnknown(), recordNotSent().
// Every claim() yields exactly one decision, at the latest in the first tick() at or after its deadline.
//
// A shard's value carries all its claims and outcomes, and one compare-and-swap writes all
// that are waiting. An order needs two updates (claim and outcome): at low load that is two
// writes and, with several hosts, two reads. When the limit of writes is reached, updates share
// writes: in experiments/KeyedRequests 240 writes a second of 4 hosts carried 807 orders a second
// at 0.33 writes each with a median wait of 0.54 s; without grouping they carried 150.
//
// Not thread safe. Needs no wall clock but for the retention.
class ClaimManager {
public:
    // The seed spreads the retries of several hosts.
    explicit ClaimManager(std::uint64_t seed);
    ~ClaimManager();

    // Precondition: called before the first claim; later calls may change every field
    // but self, incarnation and shardCount.
    void configure(ClaimSettings settings, const std::vector<LiveHost>& liveHosts);
    // A claim of a host that is not listed with the same incarnation counts as abandoned.
    void setLiveHosts(const std::vector<LiveHost>& liveHosts);

    // Asks whether the request may run. The body's digest must cover everything that makes two requests the
    // same (method, path and body). Key and digest are stored as hashes, scoped by the account.
    // Precondition: the request identifier is new, the deadline is in the future, and tick() was called before.
    void claim(RequestId, const AccountId&, const std::string& idempotencyKey, const std::string& bodyDigest,
        MonotonicTime deadline, MonotonicTime now, EffectList&);

    // Returns the decisions since the last call. To be called after every method that takes effects.
    std::vector<ClaimDecision> takeDecisions();

    // Records the first outcome. It is kept and served to repeats until the store has it.
    // Precondition: the request got ClaimRun and none of the three record methods was called for it.
    void recordOutcome(RequestId, int status, HeaderList headers, std::string body, MonotonicTime now, EffectList&);
    // The request may have run; repeats get ClaimUnknownOutcome from now on. Precondition as above.
    void recordUnknown(RequestId, MonotonicTime now, EffectList&);
    // No byte of the request was sent; a repeat may run. Precondition as above.
    void recordNotSent(RequestId, MonotonicTime now, EffectList&);

    // Replies to calls of other modules, and late ones, are ignored.
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ForwardedClaim&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ForwardedClaimResult&, MonotonicTime now, EffectList&);

    // To be called every 20 ms. The wall clock decides on the retention alone.
    void tick(MonotonicTime now, WallTime wallNow, EffectList&);

    // Refuses new claims from now on; those that were accepted go on.
    void beginShutdown();
    // Whether every accepted claim is settled in the store. It stays false while the store is
    // out of reach, so the caller decides how long to wait.
    bool isSettled() const;

    ClaimCounts counts() const;

private:
    // Shard and nonce of a claim.
    struct Place {
        std::uint32_t shard = 0;
        std::uint64_t nonce = 0;
    };

    // A repeat whose answer is in a store value of its own.
    struct OutcomeRead {
        RequestId request;
        std::string storeKey;
        MonotonicTime deadline {};
        // Zero while no call is in flight.
        StoreCallId call;
    };

    ClaimContext contextAt(MonotonicTime) const;
    std::uint32_t wallSecondsAt(MonotonicTime) const;
    ClaimShard& shardOf(const std::string& key);
    std::size_t claimCount() const;
    bool isUnavailable(MonotonicTime) const;
    void decide(RequestId, ClaimVerdict, EffectList&);
    void forward(ClaimShard&, std::uint64_t nonce, MonotonicTime, EffectList&);
    void answerForeign(const ForeignClaim&, std::string_view status, EffectList&);
    void finish(RequestId, EntryState, StoredOutcome, MonotonicTime, EffectList&);
    void applyNotices(std::vector<ClaimNotice>, MonotonicTime, EffectList&);

    // Store traffic; defined in ClaimManagerStore.cpp.
    StoreCallId send(StoreOperation, EffectList&);
    double writeBurst() const;
    void refillWriteTokens(MonotonicTime);
    void noteStoreReply(StoreStatus, MonotonicTime, EffectList&);
    void handleOutcomeRead(const OutcomeRead&, const StoreReply&, EffectList&);
    void handleOutcomeWrite(const Place&, StoreStatus);
    void noteClocks(MonotonicTime, WallTime);
    void pumpShard(ClaimShard&, MonotonicTime, EffectList&, double reservedTokens = -1);
    void pumpOutcomeValues(MonotonicTime, EffectList&);
    void pumpExpiredValues(MonotonicTime, EffectList&);
    void dropIdleValues(const ClaimContext&);

    ClaimSettings m_settings;
    std::unordered_map<HostId, Incarnation> m_live;
    RandomGenerator m_random;
    StoreCallIds m_callIds { StoreUser::Orders };
    std::vector<std::unique_ptr<ClaimShard>> m_shards;
    std::size_t m_nextShard = 0;
    std::uint64_t m_lastNonce = 0;
    // The waiting and running claims of this host.
    std::unordered_map<RequestId, Place> m_places;
    std::unordered_map<StoreCallId, std::uint32_t> m_shardCalls;
    std::unordered_map<StoreCallId, Place> m_outcomeWrites;
    std::vector<OutcomeRead> m_outcomeReads;
    // Keys of outcome values whose entry has expired. Best effort: those of a host that dies stay.
    std::vector<std::string> m_expiredValues;
    std::unordered_map<StoreCallId, std::string> m_expiredReads;
    std::vector<ClaimDecision> m_decisions;
    std::unordered_map<HostId, MonotonicTime> m_forwardAgainAt;
    double m_writeTokens = 0;
    // Reads in flight, each of which keeps a write token for the write that follows.
    std::size_t m_shardReads = 0;
    MonotonicTime m_tokensAt {};
    unsigned m_failures = 0;
    MonotonicTime m_failingSince {};
    MonotonicTime m_retryAt {};
    bool m_wasUnavailable = false;
    MonotonicTime m_tickedAt {};
    WallTime m_wallAtTick {};
    // Difference of the two clocks at the first tick.
    Duration m_clockOffset {};
    bool m_ticked = false;
    bool m_clockJumped = false;
    bool m_shuttingDown = false;
    std::size_t m_unwrittenBytes = 0;
    ClaimCounts m_totals;
};

} // namespace Catkinwell
