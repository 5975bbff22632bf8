#pragma once

#include "orders/ShardValue.h"

#include <catkinwell/orders/ClaimDecision.h>
#include <catkinwell/orders/ClaimManager.h>
#include <catkinwell/store/StoreTypes.h>

namespace Catkinwell {

// What a shard needs to know of its surroundings for one step.
struct ClaimContext {
    const ClaimSettings& settings;
    const std::unordered_map<HostId, Incarnation>& live;
    MonotonicTime now;
    // Entries that were claimed earlier count as absent.
    std::uint32_t expireBefore = 0;
};

enum class ClaimPhase {
    // The claim is not confirmed.
    Waiting,
    // Confirmed; the request may be running.
    Running,
    // The outcome is known and not yet in the store.
    Finished,
    // Not run; an entry may be, or may yet appear, in the store.
    Withdrawing,
};

struct OwnClaim {
    ClaimEntry entry;
    RequestId request;
    ClaimPhase phase = ClaimPhase::Waiting;
    MonotonicTime arrivedAt {};
    MonotonicTime deadline {};
    // While set, another host is expected to write the claim.
    std::optional<MonotonicTime> forwardedUntil;
    HostId forwardedTo;
    bool wasForwarded = false;
    // The largest base version of a write that contained the claim. Such a write may take
    // effect late, but not once the value has a larger version.
    std::optional<StoreVersion> lastBase;
    // For Finished and Withdrawing: when the shard is to be written or read for this claim.
    MonotonicTime checkAt {};
    // For Withdrawing: an entry that is absent from a value read later than this stays absent.
    MonotonicTime settledAfter {};
    // A value that was read earlier may lack the entry, because another host wrote it.
    MonotonicTime writtenElsewhereAt {};
    // For an outcome with a value of its own.
    bool ownValueWritten = false;
    bool ownValueInFlight = false;
};

// A claim that another host forwarded to this one.
struct ForeignClaim {
    ClaimEntry entry;
    HostId from;
    std::uint64_t ticket = 0;
    MonotonicTime arrivedAt {};
};

// A result of a step that the manager acts upon.
struct ClaimNotice {
    enum class Kind {
        Decided,
        // The recorded outcome is in a store value of its own.
        OutcomeToRead,
        // The outcome is in the store, or the claim is withdrawn.
        Settled,
        // The entry of a finished request belongs to another host.
        EntryLost,
        ForeignConfirmed,
        ForeignExists,
        ForeignRefused,
        ValueExpired,
        Unreadable,
    };
    Kind kind = Kind::Decided;
    RequestId request {};
    ClaimVerdict verdict {};
    std::string storeKey {};
    MonotonicTime deadline {};
    std::size_t bytes = 0;
    ForeignClaim foreign {};
};

// The state of one shard on one host: the last known value, the call in flight, and the claims
// that need it. At most one store call is in flight. Not thread safe.
//
// Which claims are confirmed is decided by the nonce in a value that was read, or written with the
// answer Ok. After any other answer to a write the value is read again: a write on base version V takes
// effect at most while the version is V, so of all writes on V at most one counts, however late.
class ClaimShard {
public:
    explicit ClaimShard(std::uint32_t number)
        : m_number(number)
    {
    }

    std::uint32_t number() const { return m_number; }
    std::string storeKey() const;

    // Decides from what this host knows of the key; nothing when the store has to be asked.
    std::optional<ClaimNotice> lookUp(OwnClaim&, const ClaimContext&) const;
    // Precondition: lookUp() returned nothing. A claim whose key this host already
    // claims waits until that claim is decided.
    void insert(OwnClaim);
    // Decides the claims that waited for another one. To be called after every other step.
    std::vector<ClaimNotice> reviewFollowers(const ClaimContext&);
    // Claims that are held, followers included.
    std::size_t claimCount() const { return m_claims.size() + m_followers.size(); }
    std::size_t followerCount() const { return m_followers.size(); }
    // The other host has written the claim and seen it confirmed.
    void confirm(OwnClaim&, MonotonicTime now) const;
    OwnClaim* find(std::uint64_t nonce);
    // Marks the request as not run.
    void withdraw(std::uint64_t nonce, MonotonicTime now);
    // Returns false when the queue of forwarded claims is full. A duplicate is accepted and ignored.
    bool addForeign(ForeignClaim);

    // Ends the waiting claims whose deadline has come, forwards that were not answered, and stale foreign claims.
    std::vector<ClaimNotice> expire(const ClaimContext&, std::vector<HostId>& silentPeers);
    // Refuses the waiting claims that cannot be in the store.
    std::vector<ClaimNotice> refuseUnwritten();

    bool isCallInFlight() const { return m_inFlight.has_value(); }
    bool isReadInFlight() const { return m_inFlight && !m_inFlight->isWrite; }
    // Whether a store call is needed now.
    bool needsCall(const ClaimContext&) const;
    // Returns the next call, or nothing when there is nothing to do. The notices tell of claims refused for lack of
    // room.
    struct Step {
        std::optional<StoreOperation> operation;
        std::vector<ClaimNotice> notices;
    };
    Step nextCall(const ClaimContext&, bool mayWrite);
    void callSent(StoreCallId id) { m_inFlight->id = id; }
    // Precondition: a call is in flight with this identifier.
    std::vector<ClaimNotice> handle(const StoreReply&, const ClaimContext&);

    std::size_t cachedBytes() const { return m_value ? m_value->text().size() : 0; }
    void dropValue() { m_value.reset(); }
    std::map<std::uint64_t, OwnClaim>& claims() { return m_claims; }
    const std::map<std::uint64_t, OwnClaim>& claims() const { return m_claims; }
    MonotonicTime lastCallAt() const { return m_lastCallAt; }
    // Size of the last known value, also after it was dropped.
    std::size_t lastSize() const { return m_lastSize; }
    std::string outcomeKey(const ClaimEntry&) const;

private:
    struct InFlight {
        StoreCallId id {};
        bool isWrite = false;
        StoreVersion base = 0;
        std::optional<ShardValue> proposed {};
        std::vector<ClaimEntry> expired {};
        // Claims that no earlier write contained.
        std::vector<std::uint64_t> firstTime {};
        MonotonicTime sentAt {};
    };

    bool isVacant(const std::optional<ClaimEntry>&, const ClaimContext&) const;
    bool needsRead(const ClaimContext&) const;
    std::optional<ClaimNotice> judge(OwnClaim&, const ClaimContext&) const;
    // Compares every claim with the known value.
    std::vector<ClaimNotice> reconcile(const ClaimContext&);
    // Forgets the finished and withdrawn claims that the known value settles.
    void forgetSettled(std::vector<ClaimNotice>&);
    bool isSettled(OwnClaim&, std::vector<ClaimNotice>&) const;
    bool settleWaiting(OwnClaim&, const ClaimContext&, std::vector<ClaimNotice>&);
    // Returns whether the claim may be forgotten because no write that contains it can exist.
    bool turnBack(OwnClaim&, MonotonicTime now);
    void reconcileForeign(const ClaimContext&, std::vector<ClaimNotice>&);
    bool collectSettlements(const ClaimContext&, ShardValue::Changes&) const;
    void collectClaims(const ClaimContext&, ShardValue::Changes&, std::vector<std::uint64_t>& firstTime);
    bool isInLine(const OwnClaim&) const;
    std::vector<ClaimNotice> refuseInLine(const ClaimContext&, NotRunReason);
    std::vector<ClaimNotice> handleRead(const StoreReply&, const InFlight&, const ClaimContext&);
    std::vector<ClaimNotice> handleWrite(const StoreReply&, InFlight, const ClaimContext&);

    std::uint32_t m_number;
    std::map<std::uint64_t, OwnClaim> m_claims;
    // Nonce of the claim of a key that is not withdrawn.
    std::unordered_map<ShortDigest, std::uint64_t> m_nonces;
    std::vector<OwnClaim> m_followers;
    std::vector<ForeignClaim> m_foreign;
    std::optional<ShardValue> m_value;
    // Nothing when the store did not tell the version.
    std::optional<StoreVersion> m_version;
    // No version below this one can be the current one any more.
    StoreVersion m_minimumVersion = 0;
    std::size_t m_lastSize = 0;
    // When the call was made that produced the value.
    MonotonicTime m_valueAt {};
    std::optional<InFlight> m_inFlight;
    // When the answer with the value came.
    MonotonicTime m_valueArrivedAt {};
    MonotonicTime m_lastCallAt {};
    MonotonicTime m_lastWriteAt {};
};

} // namespace Catkinwell
