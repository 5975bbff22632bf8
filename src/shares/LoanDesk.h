#pragma once

#include "Pace.h"

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/peer/PeerMessage.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// Keeps this host's rounds of asking peers for tokens: one round per account at a
// time, for the first waiting request, one peer after the other. Tokens are collected
// until the window after the first question ends. Not thread safe.
class LoanDesk {
public:
    LoanDesk(const HostId&, Incarnation, Duration window, MonotonicTime now);

    void setPeers(std::vector<HostId> peers, std::size_t liveHosts);
    // How many peers one round can ask.
    std::size_t askablePeers() const;

    // Starts a round for the request and returns the first question, or nothing if there is no
    // peer to ask or the message budget is spent. Precondition: the account has no round.
    std::optional<SendToPeer> start(
        const AccountId&, RequestId, TokenCount missing, MonotonicTime now, RandomGenerator&);
    // Asks the next peer of a round; nothing if there is none or a question is open.
    std::optional<SendToPeer> askNext(const AccountId&, TokenCount missing, MonotonicTime now);
    // Adds the answer's tokens to the round. Returns false for an answer that is late, repeated or not asked for.
    bool collect(const HostId& from, const LendTokens&, MonotonicTime now);

    bool hasRound(const AccountId& account) const { return m_rounds.contains(account); }
    // Tokens that may be used for this request now; 0 if the round is for another one or its window has ended.
    TokenCount collected(const AccountId&, RequestId, MonotonicTime now) const;
    // Whether the round is over: it was for another request, every peer answered, or the window has ended.
    bool isOver(const AccountId&, RequestId, MonotonicTime now) const;
    void end(const AccountId& account) { m_rounds.erase(account); }

    // Whether the message budget allows one more answer; counts it.
    bool mayAnswer(MonotonicTime now);

private:
    struct Round {
        RequestId request;
        MonotonicTime until;
        TokenCount collected = 0;
        std::vector<HostId> candidates;
        std::optional<HostId> asked;
        TokenCount askedTokens = 0;
        std::uint64_t loanId = 0;
    };

    Duration m_window;
    std::uint64_t m_lastLoan;
    std::vector<HostId> m_peers;
    std::map<AccountId, Round> m_rounds;
    Pace m_questions;
    Pace m_answers;
};

} // namespace Catkinwell
