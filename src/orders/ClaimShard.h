#pragma once

#include "orders/ShardValue.h"

#include <catkinwell/orders/ClaimDecision.h>
#include <catkinwell/orders/ClaimManager.h>
#include <catkinwell/store/StoreTypes.h>

namespace Catkinwell {

// Inputs of one step of a shard.
struct ClaimContext {
    const ClaimSettings& settings;
    const std::unordered_map<HostId, Incarnation>& live;
    MonotonicTime now;
    // Entries claimed before this time count as absent.
    std::uint32_t expireBefore = 0;
};

enum class ClaimPhase {
    // Not yet confirmed.
    Waiting,
    // Confirmed; the request may be running.
    Running,
    // The outcome is recorded but not yet in the store.
    Finished,
    // Not run; the store may contain the entry, or a late write may still add it.
    Withdrawing,
};

struct LocalClaim {
    ClaimEntry entry;
    RequestId request;
    ClaimPhase phase = ClaimPhase::Waiting;
    MonotonicTime arrivedAt {};
    MonotonicTime deadline {};
    // While set, this host waits for the preferred host to write the claim.
    std::optional<MonotonicTime> forwardedUntil;
    HostId forwardedTo;
    bool wasForwarded = false;
    // The largest base version of any write that contained the claim. Such a write may take effect
    // late, but not after the value has reached a larger version.
    std::optional<StoreVersion> lastBase;
    // For Finished and Withdrawing: the earliest time to read or write the shard for this claim.
    MonotonicTime checkAt {};
    // For Withdrawing: an entry absent from a value read after this time stays absent.
    MonotonicTime settledAfter {};
    // Another host wrote the entry; a value read before this time may lack it.
    MonotonicTime writtenByPeerAt {};
    // For an outcome stored in a separate value.
    bool separateValueWritten = false;
    bool separateValueInFlight = false;
};

// A claim that another host has forwarded to this one.
struct PeerClaim {
    ClaimEntry entry;
    HostId from;
    std::uint64_t ticket = 0;
    MonotonicTime arrivedAt {};
};

// A result of a shard's step, for the manager to act on.
struct ClaimNotice {
    enum class Kind {
        Decided,
        // The recorded outcome is in a separate store value.
        OutcomeToRead,
        // The outcome is in the store, or the claim is withdrawn.
        Settled,
        // The key of a finished request has an entry of another claim.
        EntryLost,
        PeerClaimConfirmed,
        PeerClaimExists,
        PeerClaimRefused,
        ValueExpired,
        Unreadable,
    };
    Kind kind = Kind::Decided;
    RequestId request {};
    ClaimVerdict verdict {};
    std::string storeKey {};
    MonotonicTime deadline {};
    std::size_t bytes = 0;
    PeerClaim peerClaim {};
};

// One host's state of a shard: the last known value, the store call in flight, and the claims. At
// most one store call is in flight. Not thread-safe.
//
// A claim is confirmed when its nonce is in a value that was read, or written with the reply Ok.
// A write with base version V can take effect only while the stored version is V, so at most one of
// all writes with base V succeeds, however late. After a conflict or an unknown result the value is
// read again.
class ClaimShard {
public:
    explicit ClaimShard(std::uint32_t number)
        : m_number(number)
    {
    }

    std::uint32_t number() const { return m_number; }
    std::string storeKey() const;

    // Decides the claim from this host's state, or returns nothing if the store must be read.
    std::optional<ClaimNotice> lookUp(LocalClaim&, const ClaimContext&) const;
    // Adds a claim. If this host already has a claim for the key, the new one waits until that one is decided.
    // Precondition: lookUp() returned nothing.
    void insert(LocalClaim);
    // Decides the claims that wait for another claim of the same key. Call this after every other step.
    std::vector<ClaimNotice> reviewFollowers(const ClaimContext&);
    std::size_t claimCount() const { return m_claims.size() + m_followers.size(); }
    std::size_t followerCount() const { return m_followers.size(); }
    // Another host has written the claim and confirmed it.
    void confirm(LocalClaim&, MonotonicTime now) const;
    LocalClaim* find(std::uint64_t nonce);
    // Withdraws a claim whose request was not sent.
    void withdraw(std::uint64_t nonce, MonotonicTime now);
    // Returns false if the queue of forwarded claims is full. Duplicates are ignored.
    bool addPeerClaim(PeerClaim);

    // Refuses waiting claims at their deadline, stops waiting for peers that did not answer a forwarded claim, and
    // drops stale claims of peers.
    std::vector<ClaimNotice> expire(const ClaimContext&, std::vector<HostId>& unresponsivePeers);
    // Refuses waiting claims that no write can have contained.
    std::vector<ClaimNotice> refuseUnwritten();

    bool isCallInFlight() const { return m_inFlight.has_value(); }
    bool isReadInFlight() const { return m_inFlight && !m_inFlight->isWrite; }
    bool needsCall(const ClaimContext&) const;
    // The next store call, if any, and what the known value settled. Claims that do not fit are refused.
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
    std::map<std::uint64_t, LocalClaim>& claims() { return m_claims; }
    const std::map<std::uint64_t, LocalClaim>& claims() const { return m_claims; }
    MonotonicTime lastCallAt() const { return m_lastCallAt; }
    // Size of the last known value, even if it has been dropped.
    std::size_t lastSize() const { return m_lastSize; }
    std::string outcomeKey(const ClaimEntry&) const;

private:
    struct InFlight {
        StoreCallId id {};
        bool isWrite = false;
        StoreVersion base = 0;
        std::optional<ShardValue> proposed {};
        std::vector<ClaimEntry> expired {};
        // Nonces of claims that no earlier write contained.
        std::vector<std::uint64_t> newlyWritten {};
        MonotonicTime sentAt {};
    };

    bool isVacant(const std::optional<ClaimEntry>&, const ClaimContext&) const;
    bool needsRead(const ClaimContext&) const;
    std::optional<ClaimNotice> decideFromValue(LocalClaim&, const ClaimContext&) const;
    // Updates every claim from the known value.
    std::vector<ClaimNotice> reconcile(const ClaimContext&);
    // Removes finished and withdrawn claims that the known value settles.
    void removeSettled(std::vector<ClaimNotice>&);
    bool isSettled(LocalClaim&, std::vector<ClaimNotice>&) const;
    bool decideWaiting(LocalClaim&, const ClaimContext&, std::vector<ClaimNotice>&);
    // Begins to withdraw the claim. Returns true if no write can contain it, so that it may be removed at once.
    bool beginWithdrawal(LocalClaim&, MonotonicTime now);
    void reconcilePeerClaims(const ClaimContext&, std::vector<ClaimNotice>&);
    bool collectSettlements(const ClaimContext&, ShardValue::Changes&) const;
    void collectClaims(const ClaimContext&, ShardValue::Changes&, std::vector<std::uint64_t>& newlyWritten);
    bool isQueued(const LocalClaim&) const;
    std::vector<ClaimNotice> refuseQueued(const ClaimContext&, NotRunReason);
    std::vector<ClaimNotice> handleRead(const StoreReply&, const InFlight&, const ClaimContext&);
    std::vector<ClaimNotice> handleWrite(const StoreReply&, InFlight, const ClaimContext&);

    std::uint32_t m_number;
    std::map<std::uint64_t, LocalClaim> m_claims;
    // For each key, the nonce of its claim that is not being withdrawn.
    std::unordered_map<ShortDigest, std::uint64_t> m_nonces;
    std::vector<LocalClaim> m_followers;
    std::vector<PeerClaim> m_peerClaims;
    std::optional<ShardValue> m_value;
    // Empty if the store did not return the version.
    std::optional<StoreVersion> m_version;
    // The stored version is at least this.
    StoreVersion m_minimumVersion = 0;
    std::size_t m_lastSize = 0;
    // When the call that returned the value was sent.
    MonotonicTime m_valueAt {};
    std::optional<InFlight> m_inFlight;
    // When the reply with the value arrived.
    MonotonicTime m_valueArrivedAt {};
    MonotonicTime m_lastCallAt {};
    MonotonicTime m_lastWriteAt {};
};

} // namespace Catkinwell
