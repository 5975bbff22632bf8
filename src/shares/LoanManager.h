#pragma once

#include "RateLimiter.h"

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/peer/PeerMessage.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// Borrows tokens from peers in rounds: at most one round per account at a time, for its first
// waiting request, asking one peer after the other. The borrowed tokens may be used until the loan
// window, which starts with the round, has ended. Not thread-safe.
class LoanManager {
public:
    LoanManager(const HostId&, Incarnation, Duration window, MonotonicTime now);

    void setPeers(std::vector<HostId> peers, std::size_t liveHosts);
    // Number of peers that one round can ask.
    std::size_t peersPerRound() const;

    // Starts a round for the request and returns the message to the first peer, or nothing if there are
    // no peers or the message limit is reached. Precondition: the account has no round.
    std::optional<SendToPeer> startRound(
        const AccountId&, RequestId, TokenCount missing, MonotonicTime now, RandomGenerator&);
    // Returns the message to the next peer of the round, or nothing if there is no further peer, a reply is
    // outstanding, the window has ended or the message limit is reached.
    std::optional<SendToPeer> requestFromNextPeer(const AccountId&, TokenCount missing, MonotonicTime now);
    // Adds the lent tokens to the round. Returns false for a late, duplicate or unexpected reply, and for one with more
    // tokens than requested.
    bool collect(const HostId& from, const LendTokens&, MonotonicTime now);

    bool hasRound(const AccountId& account) const { return m_rounds.contains(account); }
    // Borrowed tokens that this request may use now; 0 if the round is for another request or its window has ended.
    TokenCount collected(const AccountId&, RequestId, MonotonicTime now) const;
    // Returns whether the round is for another request, every peer has replied, or the window has ended.
    bool isOver(const AccountId&, RequestId, MonotonicTime now) const;
    void end(const AccountId& account) { m_rounds.erase(account); }

    // Returns whether the message limit allows another reply, and counts it.
    bool mayReply(MonotonicTime now);

private:
    struct Round {
        RequestId request;
        MonotonicTime until;
        TokenCount collected = 0;
        std::vector<HostId> candidates;
        std::optional<HostId> pendingPeer;
        TokenCount requestedTokens = 0;
        std::uint64_t loanId = 0;
    };

    Duration m_window;
    std::uint64_t m_lastLoan;
    std::vector<HostId> m_peers;
    std::map<AccountId, Round> m_rounds;
    RateLimiter m_requestLimiter;
    RateLimiter m_replyLimiter;
};

} // namespace Catkinwell
