#include <catkinwell/shares/ShareManager.h>

#include "AccountShare.h"
#include "LeaseObserver.h"
#include "LoanManager.h"
#include "RateLimiter.h"

#include <algorithm>
#include <utility>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    // Minimum time between adjustments of an account with waiting reservations.
    constexpr Duration urgentInterval = 1s;
    constexpr Duration conflictBackoff = 50ms;
    constexpr Duration longestConflictBackoff = 5s;
    constexpr Duration failureBackoff = 500ms;
    constexpr Duration longestFailureBackoff = 30s;
    constexpr unsigned maxDoublings = 10;
    constexpr Duration invalidValueInterval = 30s;
    // With 400 hosts, each lease is read by some host every 8 s on average.
    constexpr double fleetLeaseReadsPerSecond = 50;
    constexpr Duration leaseReadInterval = 1s;
    constexpr int leaseReadTries = 8;
    // Adjustments that one host may start at once after a pause, for example at its start.
    constexpr double adjustBurst = 10;
    constexpr double byteBurst = 65536;
    // Size of the headers of a call and its reply.
    constexpr double callOverheadBytes = 200;
    constexpr Duration loanRoundInterval = 250ms;
    constexpr Duration oversizedRoundInterval = 3s;
    // Leaves time for one round with the default loan window.
    constexpr Duration loanLeadTime = 150ms;
    constexpr Duration metricsInterval = 1s;
    // Partial loans are at least a quarter of the lender's capacity: smaller ones rarely complete a large request, and
    // unused loans are lost.
    constexpr TokenCount minimumLoanDivisor = 4;

    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    Duration doubled(Duration first, unsigned times, Duration longest)
    {
        return std::min<Duration>(longest, first * (1U << std::min(times, maxDoublings)));
    }

} // namespace

ShareManager::ShareManager(
    const HostId& host, Incarnation incarnation, std::uint64_t seed, MonotonicTime now, const ShareOptions& options)
    : m_options(options)
    , m_random(seed)
    , m_callIds(StoreUser::Shares)
    , m_loans(std::make_unique<LoanManager>(host, incarnation, options.loanWindow, now))
    , m_observer(std::make_unique<LeaseObserver>(options.standingReclaimAfter))
    , m_writeLimiter(std::make_unique<RateLimiter>(options.fleetWritesPerSecond, adjustBurst, now))
    , m_byteLimiter(std::make_unique<RateLimiter>(options.storeBytesPerSecond, byteBurst, now))
{
}

ShareManager::~ShareManager() = default;

AccountShare* ShareManager::find(const AccountId& account)
{
    const auto found = m_shares.find(account);
    return found == m_shares.end() ? nullptr : found->second.get();
}

void ShareManager::configure(const std::map<AccountId, ClientAccount>& accounts, MonotonicTime now, EffectList& effects)
{
    for (const auto& [id, account] : accounts) {
        if (AccountShare* share = find(id)) {
            share->configure(account, now);
            share->isRemoved = false;
            continue;
        }
        auto share = std::make_unique<AccountShare>(account, m_options, now);
        share->setLease(m_lease, now);
        share->setLending(m_hasPeers && m_options.lending, now);
        share->nextAdjustAt = firstAdjustAt(now);
        m_shares.emplace(id, std::move(share));
    }
    for (auto& [id, share] : m_shares) {
        if (accounts.contains(id))
            continue;
        share->isRemoved = true;
        while (!share->waiting().empty())
            decideRefused(*share, 0, ShareRefusal::UnknownAccount, now, effects);
    }
}

void ShareManager::setLease(const LeaseStatus& status, MonotonicTime now)
{
    m_lease = status;
    for (auto& [id, share] : m_shares)
        share->setLease(status, now);
}

void ShareManager::setPeers(std::vector<HostId> sameDataCentre, std::size_t liveHosts, MonotonicTime now)
{
    m_hasPeers = !sameDataCentre.empty();
    const bool hasGrown = liveHosts > 2 * m_liveHosts;
    m_liveHosts = static_cast<std::uint32_t>(std::clamp<std::size_t>(liveHosts, 1, totalUnits));
    m_loans->setPeers(std::move(sameDataCentre), liveHosts);
    const double perHost = m_options.fleetWritesPerSecond / m_liveHosts;
    m_writeLimiter->setLimits(perHost, std::clamp(perHost, 1.0, adjustBurst));
    if (hasGrown)
        m_writeLimiter->spend(2 * m_random.unit());
    for (auto& [id, share] : m_shares) {
        share->setLending(m_hasPeers && m_options.lending, now);
        if (hasGrown && share->lastAdjustAt == MonotonicTime {})
            share->nextAdjustAt = firstAdjustAt(now);
    }
}

// Spreads the first writes of hosts that start together, to stay within the fleet's write limit.
MonotonicTime ShareManager::firstAdjustAt(MonotonicTime now)
{
    return now + seconds(m_random.unit() * m_liveHosts / m_options.fleetWritesPerSecond);
}

ShareResult ShareManager::refuse(RequestId request, const AccountId& account, TokenCount tokens, ShareRefusal reason,
    Duration retryAfter, EffectList& effects)
{
    effects.push_back(LogEntry { LogEvent::ShareRefused,
        { { "request", std::to_string(request.value) }, { "account", account.value },
            { "tokens", std::to_string(tokens) }, { "reason", std::string(nameOf(reason)) },
            { "retry_after_ms", std::to_string(retryAfter / 1ms) } } });
    return ShareRefused { reason, retryAfter };
}

// The largest number of units that one host can use: all floating units, its standing units, and the standing units of
// the peers that it can borrow from.
std::uint32_t ShareManager::reachableUnits(const AccountShare& share) const
{
    const std::uint32_t standing = m_options.standingPpm / ppmPerUnit;
    const auto lenders = static_cast<std::uint32_t>(share.lends() ? m_loans->peersPerRound() : 0);
    return totalUnits - standing + std::min(standing, standing / m_liveHosts * (1 + lenders));
}

std::optional<ShareRefusal> ShareManager::immediateRefusal(
    AccountShare& share, TokenCount tokens, MonotonicTime deadline, MonotonicTime now)
{
    if (m_leaving)
        return ShareRefusal::ShuttingDown;
    if (tokens > share.account().burst)
        return ShareRefusal::ExceedsBurst;
    if (tokens > share.capacityOf(reachableUnits(share)))
        return ShareRefusal::ExceedsHostLimit;
    if (m_reserved.size() >= m_options.maxReservations)
        return ShareRefusal::TooManyReservations;
    if (share.waiting().empty() && share.bucket().available(now) >= tokens)
        return std::nullopt;
    if (share.waiting().size() >= m_options.maxWaitingPerAccount)
        return ShareRefusal::QueueFull;
    TokenCount missing = tokens - share.bucket().available(now);
    for (const WaitingReservation& earlier : share.waiting())
        missing += earlier.tokens;
    const double time = std::chrono::duration<double>(deadline - now).count();
    // Loans can add at most the account's whole capacity. Refuse only if the account's rate cannot refill the rest.
    const TokenCount borrowable = share.lends() ? share.capacityOf(totalUnits) : 0;
    if (static_cast<double>(missing - borrowable) > static_cast<double>(share.account().rate) * time)
        return ShareRefusal::RateExceeded;
    return std::nullopt;
}

ShareResult ShareManager::reserve(RequestId request, const AccountId& account, TokenCount tokens,
    MonotonicTime deadline, MonotonicTime now, EffectList& effects)
{
    AccountShare* share = find(account);
    if (share == nullptr || share->isRemoved)
        return refuse(request, account, tokens, ShareRefusal::UnknownAccount, {}, effects);
    if (m_reserved.contains(request) || m_waitingIn.contains(request))
        return refuse(request, account, tokens, ShareRefusal::DuplicateRequest, {}, effects);
    share->refresh(now);
    if (const auto reason = immediateRefusal(*share, tokens, deadline, now)) {
        const bool canNeverSucceed = *reason == ShareRefusal::ExceedsBurst || *reason == ShareRefusal::ExceedsHostLimit;
        if (!canNeverSucceed)
            share->demand().record(tokens, now);
        const Duration retry = canNeverSucceed ? Duration {} : share->retryAfter(tokens, now);
        return refuse(request, account, tokens, *reason, retry, effects);
    }
    share->demand().record(tokens, now);
    if (share->waiting().empty() && grant(*share, request, tokens, 0, now))
        return ShareGranted {};
    share->waiting().push_back({ request, tokens, deadline });
    m_waitingIn.emplace(request, share);
    requestMoreTokens(*share, now, effects);
    return SharePending {};
}

bool ShareManager::grant(
    AccountShare& share, RequestId request, TokenCount tokens, TokenCount borrowed, MonotonicTime now)
{
    const TokenCount own = std::max<TokenCount>(0, tokens - borrowed);
    const auto reservation = share.bucket().reserve(own, now);
    if (!reservation)
        return false;
    m_reserved.emplace(request, Reserved { &share, *reservation, own, tokens });
    return true;
}

std::vector<ShareDecision> ShareManager::takeDecisions() { return std::exchange(m_decisions, {}); }

void ShareManager::cancel(RequestId request, MonotonicTime now)
{
    const auto waiting = m_waitingIn.find(request);
    if (waiting == m_waitingIn.end()) {
        settle(request, 0, now);
        return;
    }
    std::erase_if(waiting->second->waiting(),
        [&](const WaitingReservation& reservation) { return reservation.request == request; });
    m_waitingIn.erase(waiting);
}

void ShareManager::settle(RequestId request, TokenCount usedTokens, MonotonicTime now)
{
    const auto found = m_reserved.find(request);
    if (found == m_reserved.end())
        return;
    const Reserved reserved = found->second;
    m_reserved.erase(found);
    reserved.share->refresh(now);
    // Borrowed tokens cannot be returned, so they count as used first.
    const TokenCount borrowed = reserved.tokens - reserved.own;
    reserved.share->bucket().settle(
        reserved.reservation, reserved.own, std::max<TokenCount>(0, usedTokens - borrowed), now);
}

void ShareManager::serveQueue(AccountShare& share, MonotonicTime now, EffectList& effects)
{
    auto& waiting = share.waiting();
    const AccountId& account = share.account().id;
    while (!waiting.empty()) {
        const WaitingReservation head = waiting.front();
        const TokenCount borrowed = m_loans->collected(account, head.request, now);
        if (share.bucket().available(now) + borrowed < head.tokens
            || !grant(share, head.request, head.tokens, borrowed, now))
            break;
        if (borrowed > 0) {
            effects.push_back(RecordMetric { Metric::ShareLoansTotal, "used" });
            m_loans->end(account);
            // Peers have tokens, so the next round may start at once; the message limit still applies.
            share.nextLoanAt = now;
        }
        waiting.pop_front();
        m_waitingIn.erase(head.request);
        m_decisions.push_back({ head.request, account, ShareGranted {} });
    }
    for (std::size_t i = waiting.size(); i-- > 0;) {
        if (waiting[i].deadline > now)
            continue;
        const bool holdsNothing = share.bucket().ratePerSecond() == 0;
        decideRefused(share, i, holdsNothing ? ShareRefusal::NoShare : ShareRefusal::RateExceeded, now, effects);
    }
}

void ShareManager::decideRefused(
    AccountShare& share, std::size_t index, ShareRefusal reason, MonotonicTime now, EffectList& effects)
{
    auto& waiting = share.waiting();
    const WaitingReservation reservation = waiting[index];
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
    m_waitingIn.erase(reservation.request);
    const AccountId& account = share.account().id;
    const Duration retry = share.retryAfter(reservation.tokens, now);
    m_decisions.push_back({ reservation.request, account,
        refuse(reservation.request, account, reservation.tokens, reason, retry, effects) });
}

void ShareManager::requestMoreTokens(AccountShare& share, MonotonicTime now, EffectList& effects)
{
    const AccountId& account = share.account().id;
    if (m_loans->hasRound(account)
        && (share.waiting().empty() || m_loans->isOver(account, share.waiting().front().request, now)))
        m_loans->end(account);
    if (share.waiting().empty())
        return;
    if (share.updater().seenAt() != MonotonicTime::min() && share.failures == 0)
        share.nextAdjustAt = std::min(share.nextAdjustAt, share.lastAdjustAt + urgentInterval);
    if (!share.lends())
        return;
    const WaitingReservation& head = share.waiting().front();
    const TokenCount missing
        = head.tokens - share.bucket().available(now) - m_loans->collected(account, head.request, now);
    std::optional<SendToPeer> loanRequest;
    if (m_loans->hasRound(account)) {
        loanRequest = m_loans->requestFromNextPeer(account, missing, now);
    } else if (now >= share.nextLoanAt && isWorthBorrowing(share, now)) {
        const bool isOversized = head.tokens > share.bucket().capacity() / 1'000'000;
        share.nextLoanAt = now + jittered(isOversized ? oversizedRoundInterval : loanRoundInterval);
        loanRequest = m_loans->startRound(account, head.request, missing, now, m_random);
    }
    if (loanRequest)
        effects.push_back(std::move(*loanRequest));
}

// A reservation larger than this host's bucket borrows only when the bucket is full or the deadline is
// near: loans that do not complete it are lost, and the lenders' buckets need time to refill.
bool ShareManager::isWorthBorrowing(AccountShare& share, MonotonicTime now)
{
    const WaitingReservation& head = share.waiting().front();
    const TokenCount capacity = share.bucket().capacity() / 1'000'000;
    return head.tokens <= capacity || share.bucket().available(now) >= capacity || head.deadline - now < loanLeadTime;
}

void ShareManager::handle(const HostId& from, const BorrowTokens& message, MonotonicTime now, EffectList& effects)
{
    AccountShare* share = find(message.account);
    if (share == nullptr || m_leaving || message.tokens <= 0 || !m_loans->mayReply(now))
        return;
    share->refresh(now);
    const TokenCount spare = share->lends() ? share->spare(now) : 0;
    const TokenCount capacity = share->bucket().capacity() / 1'000'000;
    // Partial loans are granted only to requests larger than half of this host's bucket.
    const bool mayBePart = message.tokens > capacity / 2 && spare >= capacity / minimumLoanDivisor;
    TokenCount lent = spare >= message.tokens || mayBePart ? std::min(message.tokens, spare) : 0;
    if (!share->bucket().take(lent, now))
        lent = 0;
    if (lent > 0)
        effects.push_back(RecordMetric { Metric::ShareLoansTotal, "lent" });
    effects.push_back(SendToPeer { from, LendTokens { message.account, message.loanId, lent } });
}

void ShareManager::handle(const HostId& from, const LendTokens& message, MonotonicTime now, EffectList& effects)
{
    AccountShare* share = find(message.account);
    if (share == nullptr || !m_loans->collect(from, message, now)) {
        effects.push_back(RecordMetric { Metric::ShareLoansTotal, "discarded" });
        return;
    }
    share->refresh(now);
    serveQueue(*share, now, effects);
    requestMoreTokens(*share, now, effects);
}

void ShareManager::tick(MonotonicTime now, EffectList& effects)
{
    for (auto& [id, share] : m_shares) {
        share->refresh(now);
        logChanges(*share, "validity", effects);
        if (share->waiting().empty() && !m_loans->hasRound(id))
            continue;
        serveQueue(*share, now, effects);
        requestMoreTokens(*share, now, effects);
    }
    startAdjustments(now, effects);
    readOneLease(now, effects);
    if (now < m_nextMetricsAt)
        return;
    m_nextMetricsAt = now + metricsInterval;
    recordMetrics(now, effects);
    removeReleasedAccounts();
}

bool ShareManager::isLeaving(const AccountShare& share) const
{
    return (m_leaving || share.isRemoved) && share.waiting().empty();
}

void ShareManager::startAdjustments(MonotonicTime now, EffectList& effects)
{
    std::vector<AccountShare*> due;
    for (auto& [id, share] : m_shares) {
        const bool hasReason
            = isLeaving(*share) ? share->updater().held().mayBeStored() : m_lease.isValidAt(now) && !share->isRemoved;
        if (hasReason && share->updater().isIdle() && now >= share->nextAdjustAt)
            due.push_back(share.get());
    }
    std::sort(due.begin(), due.end(), [](const AccountShare* left, const AccountShare* right) {
        return std::pair(left->waiting().empty(), left->nextAdjustAt)
            < std::pair(right->waiting().empty(), right->nextAdjustAt);
    });
    for (AccountShare* share : due) {
        if (!isLeaving(*share) && (!m_writeLimiter->hasCredit(now) || !m_byteLimiter->hasCredit(now)))
            continue;
        // A random cost with a mean of 1 prevents hosts that started together from writing at the same moments.
        m_writeLimiter->spend(0.5 + m_random.unit());
        share->lastAdjustAt = now;
        effects.push_back(share->updater().startRead(m_callIds));
    }
}

void ShareManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (m_leaseRead && m_leaseRead->first == reply.id) {
        handleLeaseRead(reply, now, effects);
        return;
    }
    const auto found = std::find_if(m_shares.begin(), m_shares.end(),
        [&](const auto& entry) { return entry.second->updater().callInFlight() == reply.id; });
    if (found == m_shares.end())
        return;
    AccountShare& share = *found->second;
    share.refresh(now);
    PlanInput input;
    input.lease = m_lease.isValidAt(now) ? m_lease.id : LeaseId();
    input.demandUnits = share.demandUnits(now);
    input.waiting = !share.waiting().empty();
    input.leaving = isLeaving(share);
    input.liveHosts = m_liveHosts;
    input.standingTotal = m_options.standingPpm / ppmPerUnit;
    input.mayReclaimFloating = [this](const LeaseId& lease) { return m_observer->isAbsent(lease); };
    input.mayReclaimStanding = [this](const LeaseId& lease) { return m_observer->mayReclaimStanding(lease); };
    std::optional<StoreCall> next;
    const UpdateStep step = share.updater().handle(reply, input, m_callIds, now, next);
    m_byteLimiter->spend(static_cast<double>(reply.value.size()) + callOverheadBytes);
    share.refresh(now);
    if (next) {
        m_byteLimiter->spend(static_cast<double>(share.updater().valueBytes()));
        effects.push_back(std::move(*next));
    } else {
        scheduleAfter(share, step, now);
    }
    logChanges(share, "adjusted", effects);
    if (step == UpdateStep::Settled && share.updater().reclaimed() > 0) {
        effects.push_back(LogEntry { LogEvent::ShareReclaimed,
            { { "account", found->first.value },
                { "ppm", std::to_string(share.updater().reclaimed() * ppmPerUnit) } } });
    }
    if (step == UpdateStep::InvalidValue)
        effects.push_back(LogEntry { LogEvent::ShareValueInvalid, { { "account", found->first.value } } });
    serveQueue(share, now, effects);
    if (m_leaving && isReleased())
        effects.push_back(LogEntry { LogEvent::SharesReleased, {} });
}

void ShareManager::scheduleAfter(AccountShare& share, UpdateStep step, MonotonicTime now)
{
    switch (step) {
    case UpdateStep::Settled:
        share.failures = 0;
        share.nextAdjustAt = now + jittered(regularInterval(share));
        return;
    case UpdateStep::Conflict:
        share.nextAdjustAt = now
            + seconds(m_random.unit()
                * std::chrono::duration<double>(doubled(conflictBackoff, ++share.failures, longestConflictBackoff))
                      .count());
        return;
    case UpdateStep::InvalidValue:
        share.nextAdjustAt = now + jittered(invalidValueInterval);
        return;
    default:
        share.nextAdjustAt = now + jittered(doubled(failureBackoff, ++share.failures, longestFailureBackoff));
    }
}

Duration ShareManager::regularInterval(const AccountShare& share) const
{
    const auto accounts = static_cast<double>(m_shares.size());
    const double forWrites = accounts * m_liveHosts / m_options.fleetWritesPerSecond;
    const double bytes = 2 * static_cast<double>(share.updater().valueBytes()) + callOverheadBytes;
    return std::max(
        m_options.adjustInterval, seconds(std::max(forWrites, accounts * bytes / m_options.storeBytesPerSecond)));
}

// Varies a period by up to 20% in both directions, so that hosts do not act at the same time.
Duration ShareManager::jittered(Duration period)
{
    return seconds(std::chrono::duration<double>(period).count() * (0.8 + 0.4 * m_random.unit()));
}

void ShareManager::readOneLease(MonotonicTime now, EffectList& effects)
{
    if (m_leaseRead || now < m_nextLeaseReadAt || m_shares.empty() || !m_lease.isValidAt(now))
        return;
    m_nextLeaseReadAt = now + jittered(std::max(leaseReadInterval, seconds(m_liveHosts / fleetLeaseReadsPerSecond)));
    for (int i = 0; i < leaseReadTries; ++i) {
        const auto share = std::next(m_shares.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_shares.size())));
        const auto& allocations = share->second->updater().table().allocations;
        if (allocations.empty())
            continue;
        const LeaseId& lease = allocations[m_random.below(allocations.size())].lease;
        if (lease == m_lease.id || !m_observer->isWorthReading(lease, now))
            continue;
        m_leaseRead.emplace(m_callIds.next(), lease);
        effects.push_back(StoreCall { m_leaseRead->first, LeaseRead { lease } });
        m_byteLimiter->spend(callOverheadBytes);
        return;
    }
}

void ShareManager::handleLeaseRead(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    const LeaseId lease = m_leaseRead->second;
    m_leaseRead.reset();
    if (reply.status == StoreStatus::Ok)
        m_observer->recordPresent(lease);
    if (reply.status != StoreStatus::NotFound)
        return;
    const bool isNew = m_observer->recordAbsent(lease, now);
    if (isNew)
        effects.push_back(LogEntry { LogEvent::HolderLeaseAbsent, { { "lease", lease } } });
    if (!isNew && !m_observer->mayReclaimStanding(lease))
        return;
    for (auto& [id, share] : m_shares) {
        if (share->updater().table().find(lease) != nullptr && share->failures == 0)
            share->nextAdjustAt = std::min(share->nextAdjustAt, now + jittered(urgentInterval));
    }
}

void ShareManager::beginShutdown(MonotonicTime now)
{
    m_leaving = true;
    for (auto& [id, share] : m_shares)
        share->nextAdjustAt = std::min(share->nextAdjustAt, now);
}

bool ShareManager::isReleased() const
{
    return m_leaving && std::all_of(m_shares.begin(), m_shares.end(), [](const auto& entry) {
        const AccountShare& share = *entry.second;
        return share.waiting().empty() && share.updater().isIdle() && !share.updater().held().mayBeStored();
    });
}

void ShareManager::removeReleasedAccounts()
{
    std::erase_if(m_shares, [&](const auto& entry) {
        const AccountShare* share = entry.second.get();
        return share->isRemoved && share->updater().isIdle() && !share->updater().held().mayBeStored()
            && std::none_of(m_reserved.begin(), m_reserved.end(),
                [&](const auto& reserved) { return reserved.second.share == share; });
    });
}

void ShareManager::logChanges(AccountShare& share, std::string_view reason, EffectList& effects)
{
    const std::uint32_t floating = share.floatingUnits();
    const std::uint32_t standing = share.standingUnits();
    if (floating == share.loggedFloating && standing == share.loggedStanding)
        return;
    const auto ppm = [](std::uint32_t units) { return std::to_string(units * ppmPerUnit); };
    effects.push_back(LogEntry { LogEvent::ShareChanged,
        { { "account", share.account().id.value }, { "reason", std::string(reason) },
            { "floating_before", ppm(share.loggedFloating) }, { "floating", ppm(floating) },
            { "standing_before", ppm(share.loggedStanding) }, { "standing", ppm(standing) } } });
    share.loggedFloating = floating;
    share.loggedStanding = standing;
}

void ShareManager::recordMetrics(MonotonicTime now, EffectList& effects)
{
    Duration oldest {};
    for (auto& [id, share] : m_shares) {
        effects.push_back(
            RecordMetric { Metric::ShareLevel, id.value, static_cast<double>(share->bucket().available(now)) });
        if (share->updater().seenAt() != MonotonicTime::min())
            oldest = std::max(oldest, now - share->updater().seenAt());
    }
    effects.push_back(
        RecordMetric { Metric::StateAgeSeconds, "shares", std::chrono::duration<double>(oldest).count() });
}

std::vector<ShareStatus> ShareManager::status(MonotonicTime now) const
{
    std::vector<ShareStatus> result;
    result.reserve(m_shares.size());
    for (const auto& [id, share] : m_shares)
        result.push_back(share->status(now));
    return result;
}

} // namespace Catkinwell
