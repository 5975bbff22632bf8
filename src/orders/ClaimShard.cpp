#include "orders/ClaimShard.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumPeerClaims = 512;
    // Well above the forward timeout, so the sender has stopped waiting by then.
    constexpr Duration peerClaimLifetime = std::chrono::seconds(1);
    // The other host may write a forwarded claim late. The peer layer drops reordered messages, so
    // delays stay well below 10 s.
    constexpr Duration lateForwardTime = std::chrono::seconds(10);
    // If other hosts are alive, a value older than this is read again before a write. Without this, half of the
    // writes of 4 hosts conflicted (experiments/KeyedRequests), and writes are scarcer than reads.
    constexpr Duration maximumValueAgeBeforeWrite = std::chrono::milliseconds(5);
    constexpr Duration unreadableRetryTime = std::chrono::seconds(5);

    // std::erase_if does not allow the predicate to modify the claim.
    template <typename Predicate> void eraseIf(std::map<std::uint64_t, LocalClaim>& claims, Predicate predicate)
    {
        for (auto item = claims.begin(); item != claims.end();)
            item = predicate(*item) ? claims.erase(item) : std::next(item);
    }

    bool isOwnedBy(const std::optional<ClaimEntry>& entry, const LocalClaim& claim)
    {
        return entry && entry->owner == claim.entry.owner;
    }

    ClaimNotice decided(RequestId request, ClaimVerdict verdict)
    {
        return { .kind = ClaimNotice::Kind::Decided, .request = request, .verdict = std::move(verdict) };
    }

    ClaimNotice notRun(RequestId request, NotRunReason reason)
    {
        const bool isFull = reason == NotRunReason::ShardFull || reason == NotRunReason::ShardUnreadable;
        return decided(request, ClaimNotRun { reason, std::chrono::seconds(isFull ? 60 : 1) });
    }

    ClaimRepeat repeatOf(const StoredOutcome& outcome)
    {
        return { outcome.status, outcome.headers, outcome.body, outcome.bodyStorage != BodyStorage::Omitted,
            outcome.bodyDigest };
    }

    ClaimNotice peerClaimNotice(ClaimNotice::Kind kind, PeerClaim claim)
    {
        ClaimNotice notice;
        notice.kind = kind;
        notice.peerClaim = std::move(claim);
        return notice;
    }

    // Returns the entry without the headers and body that are stored in a separate value.
    ClaimEntry storedForm(const ClaimEntry& entry)
    {
        ClaimEntry stored = entry;
        if (entry.state == EntryState::Done && entry.outcome.bodyStorage == BodyStorage::SeparateValue) {
            stored.outcome.headers.clear();
            stored.outcome.body.clear();
        }
        return stored;
    }

} // namespace

std::string ClaimShard::storeKey() const { return "orders/" + std::to_string(m_number); }

std::string ClaimShard::outcomeKey(const ClaimEntry& entry) const
{
    const auto& owner = entry.owner;
    return "orders/outcomes/"
        + sha256Hex(
            entry.key + owner.host.value + '/' + std::to_string(owner.incarnation) + '/' + std::to_string(owner.nonce));
}

// Returns whether the key may be claimed: it has no entry, the entry has expired, or the entry is a
// claim of this incarnation whose request will never run.
bool ClaimShard::isVacant(const std::optional<ClaimEntry>& entry, const ClaimContext& context) const
{
    if (!entry || entry->claimedAt < context.expireBefore)
        return true;
    const auto& owner = entry->owner;
    if (entry->state != EntryState::Claimed || owner.host != context.settings.self
        || owner.incarnation != context.settings.incarnation)
        return false;
    const auto claim = m_claims.find(owner.nonce);
    return claim == m_claims.end() || claim->second.phase == ClaimPhase::Withdrawing;
}

std::optional<ClaimNotice> ClaimShard::lookUp(LocalClaim& claim, const ClaimContext& context) const
{
    const auto nonce = m_nonces.find(claim.entry.key);
    if (nonce == m_nonces.end())
        return m_value ? decideFromValue(claim, context) : std::nullopt;
    const LocalClaim& first = m_claims.at(nonce->second);
    // Another host's claim, possibly with a different body, may still win.
    if (first.phase == ClaimPhase::Waiting)
        return std::nullopt;
    if (first.entry.body != claim.entry.body)
        return decided(claim.request, ClaimBodyMismatch {});
    if (first.phase != ClaimPhase::Finished)
        return decided(claim.request, ClaimInProgress {});
    if (first.entry.state == EntryState::Unknown)
        return decided(claim.request, ClaimUnknownOutcome {});
    return decided(claim.request, repeatOf(first.entry.outcome));
}

void ClaimShard::insert(LocalClaim claim)
{
    const auto nonce = claim.entry.owner.nonce;
    if (m_nonces.contains(claim.entry.key)) {
        m_followers.push_back(std::move(claim));
        return;
    }
    m_nonces[claim.entry.key] = nonce;
    m_claims.emplace(nonce, std::move(claim));
}

std::vector<ClaimNotice> ClaimShard::reviewFollowers(const ClaimContext& context)
{
    std::vector<ClaimNotice> notices;
    for (auto& claim : std::exchange(m_followers, {})) {
        if (context.now >= claim.deadline)
            notices.push_back(notRun(claim.request, NotRunReason::Deadline));
        else if (auto known = lookUp(claim, context))
            notices.push_back(std::move(*known));
        else
            insert(std::move(claim));
    }
    return notices;
}

void ClaimShard::confirm(LocalClaim& claim, MonotonicTime now) const
{
    claim.phase = ClaimPhase::Running;
    claim.writtenByPeerAt = now;
}

LocalClaim* ClaimShard::find(std::uint64_t nonce)
{
    const auto found = m_claims.find(nonce);
    return found == m_claims.end() ? nullptr : &found->second;
}

bool ClaimShard::beginWithdrawal(LocalClaim& claim, MonotonicTime now)
{
    m_nonces.erase(claim.entry.key);
    if (claim.phase == ClaimPhase::Waiting && !claim.lastBase && !claim.wasForwarded)
        return true;
    claim.phase = ClaimPhase::Withdrawing;
    claim.forwardedUntil.reset();
    claim.checkAt = now;
    claim.settledAfter = claim.wasForwarded ? now + lateForwardTime : MonotonicTime {};
    return false;
}

void ClaimShard::withdraw(std::uint64_t nonce, MonotonicTime now)
{
    if (beginWithdrawal(m_claims.at(nonce), now))
        m_claims.erase(nonce);
}

bool ClaimShard::addPeerClaim(PeerClaim claim)
{
    const auto isSame = [&](const PeerClaim& other) { return other.entry.owner == claim.entry.owner; };
    if (std::any_of(m_peerClaims.begin(), m_peerClaims.end(), isSame))
        return true;
    if (m_peerClaims.size() >= maximumPeerClaims)
        return false;
    m_peerClaims.push_back(std::move(claim));
    return true;
}

std::vector<ClaimNotice> ClaimShard::expire(const ClaimContext& context, std::vector<HostId>& unresponsivePeers)
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        LocalClaim& claim = item.second;
        if (claim.phase != ClaimPhase::Waiting)
            return false;
        if (claim.forwardedUntil && context.now >= *claim.forwardedUntil) {
            claim.forwardedUntil.reset();
            unresponsivePeers.push_back(claim.forwardedTo);
        }
        if (context.now < claim.deadline)
            return false;
        notices.push_back(notRun(claim.request, NotRunReason::Deadline));
        return beginWithdrawal(claim, context.now);
    });
    std::erase_if(
        m_peerClaims, [&](const PeerClaim& claim) { return context.now - claim.arrivedAt >= peerClaimLifetime; });
    return notices;
}

std::vector<ClaimNotice> ClaimShard::refuseUnwritten()
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        LocalClaim& claim = item.second;
        if (claim.phase != ClaimPhase::Waiting || claim.lastBase || claim.wasForwarded)
            return false;
        m_nonces.erase(claim.entry.key);
        notices.push_back(notRun(claim.request, NotRunReason::StoreUnavailable));
        return true;
    });
    std::erase_if(m_followers, [&](const LocalClaim& claim) {
        const bool lacksFirstClaim = !m_nonces.contains(claim.entry.key);
        if (lacksFirstClaim)
            notices.push_back(notRun(claim.request, NotRunReason::StoreUnavailable));
        return lacksFirstClaim;
    });
    return notices;
}

// Returns whether the claim waits for a store call of this host.
bool ClaimShard::isQueued(const LocalClaim& claim) const
{
    return claim.phase == ClaimPhase::Waiting && !claim.forwardedUntil;
}

bool ClaimShard::needsCall(const ClaimContext& context) const
{
    if (m_inFlight)
        return false;
    if (!m_peerClaims.empty())
        return true;
    return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto& item) {
        const LocalClaim& claim = item.second;
        if (claim.phase == ClaimPhase::Waiting)
            return isQueued(claim);
        if (claim.phase == ClaimPhase::Running || context.now < claim.checkAt)
            return false;
        const bool mustWait = claim.phase == ClaimPhase::Finished && claim.entry.state == EntryState::Done
            && claim.entry.outcome.bodyStorage == BodyStorage::SeparateValue && !claim.separateValueWritten;
        return !mustWait;
    });
}

bool ClaimShard::needsRead(const ClaimContext& context) const
{
    if (!m_value || !m_version)
        return true;
    return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto& item) {
        const LocalClaim& claim = item.second;
        if (claim.phase == ClaimPhase::Withdrawing)
            return claim.wasForwarded && context.now >= claim.checkAt && m_valueAt < claim.checkAt;
        if (claim.phase == ClaimPhase::Finished)
            return context.now >= claim.checkAt && m_valueAt < claim.writtenByPeerAt;
        return isQueued(claim) && claim.arrivedAt > m_valueAt && !isVacant(m_value->find(claim.entry.key), context);
    });
}

bool ClaimShard::collectSettlements(const ClaimContext& context, ShardValue::Changes& changes) const
{
    bool mustWrite = false;
    for (const auto& [nonce, claim] : m_claims) {
        if (changes.size() >= context.settings.maximumUpdatesPerWrite)
            break;
        const auto entry = m_value->find(claim.entry.key);
        const bool isOurs = isOwnedBy(entry, claim);
        if (claim.phase == ClaimPhase::Withdrawing) {
            if (isOurs)
                changes[claim.entry.key] = std::nullopt;
            // An earlier write with this base version may still take effect; another write prevents that.
            mustWrite = mustWrite || (!isOurs && claim.lastBase && *claim.lastBase >= *m_version);
        } else if (claim.phase == ClaimPhase::Finished && (isOurs || !entry)) {
            const bool needsSeparateValue = claim.entry.state == EntryState::Done
                && claim.entry.outcome.bodyStorage == BodyStorage::SeparateValue;
            if (!needsSeparateValue || claim.separateValueWritten)
                changes[claim.entry.key] = storedForm(claim.entry);
        }
    }
    return mustWrite;
}

void ClaimShard::collectClaims(
    const ClaimContext& context, ShardValue::Changes& changes, std::vector<std::uint64_t>& newlyWritten)
{
    const auto isFree = [&](const ShortDigest& key) {
        const auto change = changes.find(key);
        return change == changes.end() ? isVacant(m_value->find(key), context) : !change->second;
    };
    const auto isFull = [&] { return changes.size() >= context.settings.maximumUpdatesPerWrite; };
    for (auto& [nonce, claim] : m_claims) {
        if (isFull())
            return;
        if (!isQueued(claim) || !isFree(claim.entry.key))
            continue;
        changes[claim.entry.key] = claim.entry;
        if (!claim.lastBase)
            newlyWritten.push_back(nonce);
        claim.lastBase = std::max(claim.lastBase.value_or(0), *m_version);
    }
    for (auto& peerClaim : m_peerClaims) {
        if (!isFull() && isFree(peerClaim.entry.key))
            changes[peerClaim.entry.key] = peerClaim.entry;
    }
}

ClaimShard::Step ClaimShard::nextCall(const ClaimContext& context, bool mayWrite)
{
    Step step;
    const bool mayWriteNow = mayWrite && context.now - m_lastWriteAt >= context.settings.groupingWindow;
    const bool isOld = context.live.size() > 1 && context.now - m_valueArrivedAt > maximumValueAgeBeforeWrite;
    if (needsRead(context) || (mayWriteNow && isOld)) {
        m_inFlight = InFlight { .sentAt = context.now };
        m_lastCallAt = context.now;
        step.operation = StoreGet { storeKey() };
        return step;
    }
    removeSettled(step.notices);
    reconcilePeerClaims(context, step.notices);
    if (!mayWriteNow)
        return step;
    ShardValue::Changes changes;
    const bool mustWrite = collectSettlements(context, changes);
    const ShardValue::Changes settlements = changes;
    std::vector<std::uint64_t> newlyWritten;
    collectClaims(context, changes, newlyWritten);
    if (changes.empty() && !mustWrite)
        return step;
    ShardValue proposed = m_value->edited(changes, context.expireBefore);
    if (proposed.text().size() > context.settings.maximumShardBytes && changes.size() > settlements.size()) {
        for (const auto nonce : newlyWritten)
            m_claims.at(nonce).lastBase.reset();
        newlyWritten.clear();
        for (auto& notice : refuseQueued(context, NotRunReason::ShardFull))
            step.notices.push_back(std::move(notice));
        if (settlements.empty() && !mustWrite)
            return step;
        proposed = m_value->edited(settlements, context.expireBefore);
    }
    step.operation = StoreCompareAndSwap { storeKey(), proposed.text(), *m_version };
    m_inFlight = InFlight { .isWrite = true,
        .base = *m_version,
        .expired = m_value->expiredWithSeparateValue(context.expireBefore),
        .newlyWritten = std::move(newlyWritten),
        .sentAt = context.now };
    m_inFlight->proposed = std::move(proposed);
    m_lastCallAt = context.now;
    m_lastWriteAt = context.now;
    return step;
}

std::vector<ClaimNotice> ClaimShard::refuseQueued(const ClaimContext& context, NotRunReason reason)
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        if (!isQueued(item.second))
            return false;
        notices.push_back(notRun(item.second.request, reason));
        return beginWithdrawal(item.second, context.now);
    });
    for (auto& peerClaim : m_peerClaims)
        notices.push_back(peerClaimNotice(ClaimNotice::Kind::PeerClaimRefused, std::move(peerClaim)));
    m_peerClaims.clear();
    return notices;
}

std::vector<ClaimNotice> ClaimShard::handle(const StoreReply& reply, const ClaimContext& context)
{
    InFlight call = std::move(*m_inFlight);
    m_inFlight.reset();
    return call.isWrite ? handleWrite(reply, std::move(call), context) : handleRead(reply, call, context);
}

std::vector<ClaimNotice> ClaimShard::handleRead(
    const StoreReply& reply, const InFlight& call, const ClaimContext& context)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return {};
    const bool exists = reply.status == StoreStatus::Ok;
    m_value = ShardValue::decode(exists ? reply.value : std::string());
    if (!m_value) {
        for (auto& [nonce, claim] : m_claims)
            claim.checkAt = std::max(claim.checkAt, context.now + unreadableRetryTime);
        auto notices = refuseQueued(context, NotRunReason::ShardUnreadable);
        notices.push_back({ .kind = ClaimNotice::Kind::Unreadable, .storeKey = storeKey() });
        return notices;
    }
    m_version = exists ? reply.version : 0;
    m_minimumVersion = *m_version;
    m_valueAt = call.sentAt;
    m_valueArrivedAt = context.now;
    m_lastSize = m_value->text().size();
    return reconcile(context);
}

std::vector<ClaimNotice> ClaimShard::handleWrite(const StoreReply& reply, InFlight call, const ClaimContext& context)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        break;
    case StoreStatus::Unavailable:
    case StoreStatus::RateLimited:
    case StoreStatus::HistoryLost:
        // The write had no effect, so the known value may still be current.
        for (const auto nonce : call.newlyWritten) {
            if (LocalClaim* claim = find(nonce))
                claim->lastBase.reset();
        }
        return {};
    default:
        m_value.reset();
        return {};
    }
    m_value = std::move(call.proposed);
    m_version = reply.version ? std::optional(reply.version) : std::nullopt;
    m_minimumVersion = call.base + 1;
    m_valueAt = call.sentAt;
    m_valueArrivedAt = context.now;
    m_lastSize = m_value->text().size();
    auto notices = reconcile(context);
    for (const auto& entry : call.expired)
        notices.push_back({ .kind = ClaimNotice::Kind::ValueExpired, .storeKey = outcomeKey(entry) });
    return notices;
}

// Decides a claim whose key has another claim's entry. Returns nothing if the key is free or a
// newer value is needed.
std::optional<ClaimNotice> ClaimShard::decideFromValue(LocalClaim& claim, const ClaimContext& context) const
{
    const auto entry = m_value->find(claim.entry.key);
    if (isVacant(entry, context))
        return std::nullopt;
    // An entry's body digest never changes, so an old value suffices.
    if (!entry->body.empty() && entry->body != claim.entry.body)
        return decided(claim.request, ClaimBodyMismatch {});
    if (entry->state == EntryState::Done) {
        if (entry->outcome.bodyStorage != BodyStorage::SeparateValue)
            return decided(claim.request, repeatOf(entry->outcome));
        return ClaimNotice { .kind = ClaimNotice::Kind::OutcomeToRead,
            .request = claim.request,
            .storeKey = outcomeKey(*entry),
            .deadline = claim.deadline };
    }
    if (claim.arrivedAt > m_valueAt)
        return std::nullopt;
    const auto host = context.live.find(entry->owner.host);
    const bool isAlive = host != context.live.end() && host->second == entry->owner.incarnation;
    if (entry->state == EntryState::Claimed && isAlive)
        return decided(claim.request, ClaimInProgress {});
    return decided(claim.request, ClaimUnknownOutcome {});
}

// Decides a waiting claim from the known value; returns whether it may be removed. Its nonce in the
// value confirms it, whichever host wrote it.
bool ClaimShard::decideWaiting(LocalClaim& claim, const ClaimContext& context, std::vector<ClaimNotice>& notices)
{
    if (isOwnedBy(m_value->find(claim.entry.key), claim)) {
        if (context.now < claim.deadline) {
            claim.phase = ClaimPhase::Running;
            notices.push_back(decided(claim.request, ClaimRun {}));
            return false;
        }
        notices.push_back(notRun(claim.request, NotRunReason::Deadline));
        return beginWithdrawal(claim, context.now);
    }
    auto notice = decideFromValue(claim, context);
    if (!notice)
        return false;
    notices.push_back(std::move(*notice));
    // The value is newer than every write of this claim by this host, but a peer may still write a
    // forwarded claim.
    return beginWithdrawal(claim, context.now);
}

bool ClaimShard::isSettled(LocalClaim& claim, std::vector<ClaimNotice>& notices) const
{
    const auto entry = m_value->find(claim.entry.key);
    const bool isOurs = isOwnedBy(entry, claim);
    if (claim.phase == ClaimPhase::Finished) {
        if (m_valueAt < claim.writtenByPeerAt)
            return false;
        if (entry && !isOurs)
            notices.push_back({ .kind = ClaimNotice::Kind::EntryLost, .request = claim.request });
        return entry && (!isOurs || entry->state != EntryState::Claimed);
    }
    if (isOurs || (claim.lastBase && *claim.lastBase >= m_minimumVersion))
        return false;
    if (claim.settledAfter == MonotonicTime {} || m_valueAt >= claim.settledAfter)
        return true;
    if (m_valueAt >= claim.checkAt)
        claim.checkAt = claim.settledAfter;
    return false;
}

std::vector<ClaimNotice> ClaimShard::reconcile(const ClaimContext& context)
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        return item.second.phase == ClaimPhase::Waiting && decideWaiting(item.second, context, notices);
    });
    removeSettled(notices);
    reconcilePeerClaims(context, notices);
    return notices;
}

void ClaimShard::removeSettled(std::vector<ClaimNotice>& notices)
{
    eraseIf(m_claims, [&](auto& item) {
        LocalClaim& claim = item.second;
        if (claim.phase == ClaimPhase::Running || claim.phase == ClaimPhase::Waiting || !isSettled(claim, notices))
            return false;
        const bool isFinished = claim.phase == ClaimPhase::Finished;
        if (isFinished)
            m_nonces.erase(claim.entry.key);
        ClaimNotice notice { .kind = ClaimNotice::Kind::Settled, .request = claim.request };
        notice.bytes = isFinished ? claim.entry.outcome.body.size() : 0;
        notices.push_back(std::move(notice));
        return true;
    });
}

void ClaimShard::reconcilePeerClaims(const ClaimContext& context, std::vector<ClaimNotice>& notices)
{
    std::erase_if(m_peerClaims, [&](PeerClaim& claim) {
        const auto entry = m_value->find(claim.entry.key);
        const bool isConfirmed = entry && entry->owner == claim.entry.owner && entry->state == EntryState::Claimed;
        if (!isConfirmed && isVacant(entry, context))
            return false;
        const auto kind = isConfirmed ? ClaimNotice::Kind::PeerClaimConfirmed : ClaimNotice::Kind::PeerClaimExists;
        notices.push_back(peerClaimNotice(kind, std::move(claim)));
        return true;
    });
}

} // namespace Catkinwell
