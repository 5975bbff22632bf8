#include "LoanManager.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    // With replies within 2 ms, this many peers fit into the loan window several times.
    constexpr std::size_t maxPeersPerRound = 6;
    // Two requests and two replies a second of about 150 bytes take 0.6 KB/s; hosts of fleets below 80 hosts may send
    // more.
    constexpr double messageBudget = 160;
    constexpr double fewestMessages = 2;
    constexpr double mostMessages = 40;
    constexpr double messageBurst = 40;

    double messagesPerSecond(std::size_t liveHosts)
    {
        return std::clamp(
            messageBudget / static_cast<double>(std::max<std::size_t>(1, liveHosts)), fewestMessages, mostMessages);
    }

} // namespace

LoanManager::LoanManager(const HostId& host, Incarnation incarnation, Duration window, MonotonicTime now)
    : m_window(window)
    // Loan identifiers start at a different value in each run, so that replies to an earlier run match no request.
    , m_lastLoan(stableHash(host.value + "/" + std::to_string(incarnation)))
    , m_requestLimiter(mostMessages, messageBurst, now)
    , m_replyLimiter(mostMessages, messageBurst, now)
{
}

void LoanManager::setPeers(std::vector<HostId> peers, std::size_t liveHosts)
{
    m_peers = std::move(peers);
    m_requestLimiter.setLimits(messagesPerSecond(liveHosts), messageBurst);
    m_replyLimiter.setLimits(messagesPerSecond(liveHosts), messageBurst);
}

std::size_t LoanManager::peersPerRound() const { return std::min(maxPeersPerRound, m_peers.size()); }

std::optional<SendToPeer> LoanManager::startRound(
    const AccountId& account, RequestId request, TokenCount missing, MonotonicTime now, RandomGenerator& random)
{
    if (m_peers.empty() || !m_requestLimiter.hasCredit(now))
        return std::nullopt;
    Round round;
    round.request = request;
    round.until = now + m_window;
    const std::size_t first = random.below(m_peers.size());
    for (std::size_t i = 0; i < peersPerRound(); ++i)
        round.candidates.push_back(m_peers[(first + i) % m_peers.size()]);
    m_rounds.insert_or_assign(account, std::move(round));
    return requestFromNextPeer(account, missing, now);
}

std::optional<SendToPeer> LoanManager::requestFromNextPeer(
    const AccountId& account, TokenCount missing, MonotonicTime now)
{
    const auto found = m_rounds.find(account);
    if (found == m_rounds.end())
        return std::nullopt;
    Round& round = found->second;
    if (round.pendingPeer || round.candidates.empty() || now >= round.until || !m_requestLimiter.hasCredit(now))
        return std::nullopt;
    m_requestLimiter.spend(1);
    round.pendingPeer = round.candidates.back();
    round.candidates.pop_back();
    round.loanId = ++m_lastLoan;
    round.requestedTokens = missing;
    return SendToPeer { *round.pendingPeer, BorrowTokens { account, round.loanId, missing } };
}

bool LoanManager::collect(const HostId& from, const LendTokens& loan, MonotonicTime now)
{
    const auto found = m_rounds.find(loan.account);
    if (found == m_rounds.end())
        return false;
    Round& round = found->second;
    if (!round.pendingPeer || *round.pendingPeer != from || round.loanId != loan.loanId || now >= round.until
        || loan.tokens < 0 || loan.tokens > round.requestedTokens)
        return false;
    round.pendingPeer.reset();
    round.collected += loan.tokens;
    return true;
}

TokenCount LoanManager::collected(const AccountId& account, RequestId request, MonotonicTime now) const
{
    const auto found = m_rounds.find(account);
    if (found == m_rounds.end() || found->second.request != request || now >= found->second.until)
        return 0;
    return found->second.collected;
}

bool LoanManager::isOver(const AccountId& account, RequestId request, MonotonicTime now) const
{
    const auto found = m_rounds.find(account);
    return found != m_rounds.end()
        && (found->second.request != request || now >= found->second.until
            || (!found->second.pendingPeer && found->second.candidates.empty()));
}

bool LoanManager::mayReply(MonotonicTime now)
{
    if (!m_replyLimiter.hasCredit(now))
        return false;
    m_replyLimiter.spend(1);
    return true;
}

} // namespace Catkinwell
