#include "orders/ClaimShard.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumForeignClaims = 512;
    // Well above the forward timeout, so the sender has stopped waiting by then.
    constexpr Duration foreignClaimLifetime = std::chrono::seconds(1);
    // The other host may write a forwarded claim late. The peer layer drops reordered messages, so
    // delays stay well below 10 s.
    constexpr Duration lateForwardTime = std::chrono::seconds(10);
    // If other hosts are alive, a value older than this is read again before a write. Without this, half of the
    // writes of 4 hosts conflicted (experiments/KeyedRequests), and writes are scarcer than reads.
    constexpr Duration writableValueAge = std::chrono::milliseconds(5);
    constexpr Duration unreadableRetryTime = std::chrono::seconds(5);

    // std::erase_if does not allow the predicate to modify the claim.
    template <typename Predicate> void eraseIf(std::map<std::uint64_t, OwnClaim>& claims, Predicate predicate)
    {
        for (auto item = claims.begin(); item != claims.end();)
            item = predicate(*item) ? claims.erase(item) : std::next(item);
    }

    bool isOwnedBy(const std::optional<ClaimEntry>& entry, const OwnClaim& claim)
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
        return { outcome.status, outcome.headers, outcome.body, outcome.place != BodyPlace::Omitted,
            outcome.bodyDigest };
    }

    ClaimNotice foreignNotice(ClaimNotice::Kind kind, ForeignClaim claim)
    {
        ClaimNotice notice;
        notice.kind = kind;
        notice.foreign = std::move(claim);
        return notice;
    }

    // Returns the entry without the headers and body that are stored in a separate value.
    ClaimEntry storedForm(const ClaimEntry& entry)
    {
        ClaimEntry stored = entry;
        if (entry.state == EntryState::Done && entry.outcome.place == BodyPlace::OwnValue) {
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

std::optional<ClaimNotice> ClaimShard::lookUp(OwnClaim& claim, const ClaimContext& context) const
{
    const auto nonce = m_nonces.find(claim.entry.key);
    if (nonce == m_nonces.end())
        return m_value ? judge(claim, context) : std::nullopt;
    const OwnClaim& first = m_claims.at(nonce->second);
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

void ClaimShard::insert(OwnClaim claim)
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

void ClaimShard::confirm(OwnClaim& claim, MonotonicTime now) const
{
    claim.phase = ClaimPhase::Running;
    claim.writtenElsewhereAt = now;
}

OwnClaim* ClaimShard::find(std::uint64_t nonce)
{
    const auto found = m_claims.find(nonce);
    return found == m_claims.end() ? nullptr : &found->second;
}

bool ClaimShard::turnBack(OwnClaim& claim, MonotonicTime now)
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
    if (turnBack(m_claims.at(nonce), now))
        m_claims.erase(nonce);
}

bool ClaimShard::addForeign(ForeignClaim claim)
{
    const auto isSame = [&](const ForeignClaim& other) { return other.entry.owner == claim.entry.owner; };
    if (std::any_of(m_foreign.begin(), m_foreign.end(), isSame))
        return true;
    if (m_foreign.size() >= maximumForeignClaims)
        return false;
    m_foreign.push_back(std::move(claim));
    return true;
}

std::vector<ClaimNotice> ClaimShard::expire(const ClaimContext& context, std::vector<HostId>& silentPeers)
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        OwnClaim& claim = item.second;
        if (claim.phase != ClaimPhase::Waiting)
            return false;
        if (claim.forwardedUntil && context.now >= *claim.forwardedUntil) {
            claim.forwardedUntil.reset();
            silentPeers.push_back(claim.forwardedTo);
        }
        if (context.now < claim.deadline)
            return false;
        notices.push_back(notRun(claim.request, NotRunReason::Deadline));
        return turnBack(claim, context.now);
    });
    std::erase_if(
        m_foreign, [&](const ForeignClaim& claim) { return context.now - claim.arrivedAt >= foreignClaimLifetime; });
    return notices;
}

std::vector<ClaimNotice> ClaimShard::refuseUnwritten()
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        OwnClaim& claim = item.second;
        if (claim.phase != ClaimPhase::Waiting || claim.lastBase || claim.wasForwarded)
            return false;
        m_nonces.erase(claim.entry.key);
        notices.push_back(notRun(claim.request, NotRunReason::StoreUnavailable));
        return true;
    });
    std::erase_if(m_followers, [&](const OwnClaim& claim) {
        const bool isAlone = !m_nonces.contains(claim.entry.key);
        if (isAlone)
            notices.push_back(notRun(claim.request, NotRunReason::StoreUnavailable));
        return isAlone;
    });
    return notices;
}

// Returns whether the claim waits for a store call of this host.
bool ClaimShard::isInLine(const OwnClaim& claim) const
{
    return claim.phase == ClaimPhase::Waiting && !claim.forwardedUntil;
}

bool ClaimShard::needsCall(const ClaimContext& context) const
{
    if (m_inFlight)
        return false;
    if (!m_foreign.empty())
        return true;
    return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto& item) {
        const OwnClaim& claim = item.second;
        if (claim.phase == ClaimPhase::Waiting)
            return isInLine(claim);
        if (claim.phase == ClaimPhase::Running || context.now < claim.checkAt)
            return false;
        const bool mustWait = claim.phase == ClaimPhase::Finished && claim.entry.state == EntryState::Done
            && claim.entry.outcome.place == BodyPlace::OwnValue && !claim.ownValueWritten;
        return !mustWait;
    });
}

bool ClaimShard::needsRead(const ClaimContext& context) const
{
    if (!m_value || !m_version)
        return true;
    return std::any_of(m_claims.begin(), m_claims.end(), [&](const auto& item) {
        const OwnClaim& claim = item.second;
        if (claim.phase == ClaimPhase::Withdrawing)
            return claim.wasForwarded && context.now >= claim.checkAt && m_valueAt < claim.checkAt;
        if (claim.phase == ClaimPhase::Finished)
            return context.now >= claim.checkAt && m_valueAt < claim.writtenElsewhereAt;
        return isInLine(claim) && claim.arrivedAt > m_valueAt && !isVacant(m_value->find(claim.entry.key), context);
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
            const bool needsOwnValue
                = claim.entry.state == EntryState::Done && claim.entry.outcome.place == BodyPlace::OwnValue;
            if (!needsOwnValue || claim.ownValueWritten)
                changes[claim.entry.key] = storedForm(claim.entry);
        }
    }
    return mustWrite;
}

void ClaimShard::collectClaims(
    const ClaimContext& context, ShardValue::Changes& changes, std::vector<std::uint64_t>& firstTime)
{
    const auto isFree = [&](const ShortDigest& key) {
        const auto change = changes.find(key);
        return change == changes.end() ? isVacant(m_value->find(key), context) : !change->second;
    };
    const auto isFull = [&] { return changes.size() >= context.settings.maximumUpdatesPerWrite; };
    for (auto& [nonce, claim] : m_claims) {
        if (isFull())
            return;
        if (!isInLine(claim) || !isFree(claim.entry.key))
            continue;
        changes[claim.entry.key] = claim.entry;
        if (!claim.lastBase)
            firstTime.push_back(nonce);
        claim.lastBase = std::max(claim.lastBase.value_or(0), *m_version);
    }
    for (auto& foreign : m_foreign) {
        if (!isFull() && isFree(foreign.entry.key))
            changes[foreign.entry.key] = foreign.entry;
    }
}

ClaimShard::Step ClaimShard::nextCall(const ClaimContext& context, bool mayWrite)
{
    Step step;
    const bool mayWriteNow = mayWrite && context.now - m_lastWriteAt >= context.settings.groupingWindow;
    const bool isOld = context.live.size() > 1 && context.now - m_valueArrivedAt > writableValueAge;
    if (needsRead(context) || (mayWriteNow && isOld)) {
        m_inFlight = InFlight { .sentAt = context.now };
        m_lastCallAt = context.now;
        step.operation = StoreGet { storeKey() };
        return step;
    }
    forgetSettled(step.notices);
    reconcileForeign(context, step.notices);
    if (!mayWriteNow)
        return step;
    ShardValue::Changes changes;
    const bool mustWrite = collectSettlements(context, changes);
    const ShardValue::Changes settlements = changes;
    std::vector<std::uint64_t> firstTime;
    collectClaims(context, changes, firstTime);
    if (changes.empty() && !mustWrite)
        return step;
    ShardValue proposed = m_value->edited(changes, context.expireBefore);
    if (proposed.text().size() > context.settings.maximumShardBytes && changes.size() > settlements.size()) {
        for (const auto nonce : firstTime)
            m_claims.at(nonce).lastBase.reset();
        firstTime.clear();
        for (auto& notice : refuseInLine(context, NotRunReason::ShardFull))
            step.notices.push_back(std::move(notice));
        if (settlements.empty() && !mustWrite)
            return step;
        proposed = m_value->edited(settlements, context.expireBefore);
    }
    step.operation = StoreCompareAndSwap { storeKey(), proposed.text(), *m_version };
    m_inFlight = InFlight { .isWrite = true,
        .base = *m_version,
        .expired = m_value->expiredWithOwnValue(context.expireBefore),
        .firstTime = std::move(firstTime),
        .sentAt = context.now };
    m_inFlight->proposed = std::move(proposed);
    m_lastCallAt = context.now;
    m_lastWriteAt = context.now;
    return step;
}

std::vector<ClaimNotice> ClaimShard::refuseInLine(const ClaimContext& context, NotRunReason reason)
{
    std::vector<ClaimNotice> notices;
    eraseIf(m_claims, [&](auto& item) {
        if (!isInLine(item.second))
            return false;
        notices.push_back(notRun(item.second.request, reason));
        return turnBack(item.second, context.now);
    });
    for (auto& foreign : m_foreign)
        notices.push_back(foreignNotice(ClaimNotice::Kind::ForeignRefused, std::move(foreign)));
    m_foreign.clear();
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
        auto notices = refuseInLine(context, NotRunReason::ShardUnreadable);
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
        for (const auto nonce : call.firstTime) {
            if (OwnClaim* claim = find(nonce))
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
std::optional<ClaimNotice> ClaimShard::judge(OwnClaim& claim, const ClaimContext& context) const
{
    const auto entry = m_value->find(claim.entry.key);
    if (isVacant(entry, context))
        return std::nullopt;
    // An entry's body digest never changes, so an old value suffices.
    if (!entry->body.empty() && entry->body != claim.entry.body)
        return decided(claim.request, ClaimBodyMismatch {});
    if (entry->state == EntryState::Done) {
        if (entry->outcome.place != BodyPlace::OwnValue)
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
bool ClaimShard::settleWaiting(OwnClaim& claim, const ClaimContext& context, std::vector<ClaimNotice>& notices)
{
    if (isOwnedBy(m_value->find(claim.entry.key), claim)) {
        if (context.now < claim.deadline) {
            claim.phase = ClaimPhase::Running;
            notices.push_back(decided(claim.request, ClaimRun {}));
            return false;
        }
        notices.push_back(notRun(claim.request, NotRunReason::Deadline));
        return turnBack(claim, context.now);
    }
    auto notice = judge(claim, context);
    if (!notice)
        return false;
    notices.push_back(std::move(*notice));
    // The value is newer than every write of this claim by this host, but a peer may still write a
    // forwarded claim.
    return turnBack(claim, context.now);
}

bool ClaimShard::isSettled(OwnClaim& claim, std::vector<ClaimNotice>& notices) const
{
    const auto entry = m_value->find(claim.entry.key);
    const bool isOurs = isOwnedBy(entry, claim);
    if (claim.phase == ClaimPhase::Finished) {
        if (m_valueAt < claim.writtenElsewhereAt)
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
        return item.second.phase == ClaimPhase::Waiting && settleWaiting(item.second, context, notices);
    });
    forgetSettled(notices);
    reconcileForeign(context, notices);
    return notices;
}

void ClaimShard::forgetSettled(std::vector<ClaimNotice>& notices)
{
    eraseIf(m_claims, [&](auto& item) {
        OwnClaim& claim = item.second;
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

void ClaimShard::reconcileForeign(const ClaimContext& context, std::vector<ClaimNotice>& notices)
{
    std::erase_if(m_foreign, [&](ForeignClaim& claim) {
        const auto entry = m_value->find(claim.entry.key);
        const bool isConfirmed = entry && entry->owner == claim.entry.owner && entry->state == EntryState::Claimed;
        if (!isConfirmed && isVacant(entry, context))
            return false;
        const auto kind = isConfirmed ? ClaimNotice::Kind::ForeignConfirmed : ClaimNotice::Kind::ForeignExists;
        notices.push_back(foreignNotice(kind, std::move(claim)));
        return true;
    });
}

} // namespace Catkinwell
