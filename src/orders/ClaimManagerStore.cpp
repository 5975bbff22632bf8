// Store calls of ClaimManager: rate limit, backoff, outcome values and expiry.

#include "orders/ClaimShard.h"

#include <algorithm>
#include <catkinwell/orders/ClaimManager.h>

namespace Catkinwell {

namespace {

    // Store failures count as an outage only after this time; single lost replies do not.
    constexpr Duration unavailableAfter = std::chrono::milliseconds(500);
    constexpr Duration firstBackoff = std::chrono::milliseconds(25);
    constexpr unsigned maximumBackoffDoublings = 7;
    // A host whose wall clock jumps further than this expires no entries until it restarts. The wall clocks of
    // different hosts differ by less.
    constexpr Duration clockJumpLimit = std::chrono::minutes(5);

} // namespace

StoreCallId ClaimManager::send(StoreOperation operation, EffectList& effects)
{
    const bool isWrite
        = std::holds_alternative<StoreCompareAndSwap>(operation) || std::holds_alternative<StoreDelete>(operation);
    ++(isWrite ? m_totals.storeWrites : m_totals.storeReads);
    if (isWrite)
        m_writeTokens -= 1;
    const auto id = m_callIds.next();
    effects.emplace_back(StoreCall { id, std::move(operation), m_settings.storeTimeout });
    return id;
}

double ClaimManager::writeBurst() const { return std::max(4.0, m_settings.storeWritesPerSecond / 10); }

void ClaimManager::refillWriteTokens(MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(now - m_tokensAt).count();
    m_writeTokens = std::min(writeBurst(), m_writeTokens + seconds * m_settings.storeWritesPerSecond);
    m_tokensAt = now;
}

bool ClaimManager::isUnavailable(MonotonicTime now) const
{
    return m_failures > 0 && now - m_failingSince >= unavailableAfter;
}

void ClaimManager::recordStoreReply(StoreStatus status, MonotonicTime now, EffectList& effects)
{
    const bool failed
        = status == StoreStatus::Unknown || status == StoreStatus::Unavailable || status == StoreStatus::RateLimited;
    if (!failed) {
        m_failures = 0;
        m_retryAt = {};
    } else {
        if (m_failures++ == 0)
            m_failingSince = now;
        const auto backoff = firstBackoff * (1U << std::min(m_failures - 1, maximumBackoffDoublings));
        // The jitter prevents hosts from calling a recovering store at the same moment.
        m_retryAt = now + backoff / 2
            + std::chrono::duration_cast<Duration>(m_random.unit() * std::chrono::duration<double>(backoff) / 2);
    }
    if (isUnavailable(now)) {
        for (auto& shard : m_shards)
            applyNotices(shard->refuseUnwritten(), now, effects);
    }
    if (isUnavailable(now) == m_wasUnavailable)
        return;
    m_wasUnavailable = !m_wasUnavailable;
    effects.emplace_back(LogEntry { m_wasUnavailable ? LogEvent::ClaimsSuspended : LogEvent::ClaimsResumed, {} });
}

void ClaimManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (StoreCallIds::userOf(reply.id) != StoreUser::Orders)
        return;
    recordStoreReply(reply.status, now, effects);
    if (const auto call = m_shardCalls.find(reply.id); call != m_shardCalls.end()) {
        ClaimShard& shard = *m_shards[call->second];
        m_shardCalls.erase(call);
        const bool wasRead = shard.isReadInFlight();
        m_shardReads -= wasRead;
        applyNotices(shard.handle(reply, contextAt(now)), now, effects);
        applyNotices(shard.reviewFollowers(contextAt(now)), now, effects);
        // Write at once after a read, while the value is fresh.
        startShardCall(shard, now, effects, wasRead ? 0 : -1);
        if (!m_outcomeReads.empty())
            startOutcomeCalls(now, effects);
    } else if (const auto write = m_outcomeWrites.find(reply.id); write != m_outcomeWrites.end()) {
        const ClaimLocation location = write->second;
        m_outcomeWrites.erase(write);
        handleOutcomeWrite(location, reply.status);
        startShardCall(*m_shards[location.shard], now, effects);
    } else if (const auto expired = m_expiredReads.find(reply.id); expired != m_expiredReads.end()) {
        if (reply.status == StoreStatus::Ok)
            send(StoreDelete { expired->second, reply.version }, effects);
        m_expiredReads.erase(expired);
    } else {
        const auto read = std::find_if(m_outcomeReads.begin(), m_outcomeReads.end(),
            [&](const OutcomeRead& candidate) { return candidate.call == reply.id; });
        if (read == m_outcomeReads.end())
            return;
        read->call = {};
        const bool isAnswered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
        if (!isAnswered)
            return;
        const OutcomeRead finished = std::move(*read);
        m_outcomeReads.erase(read);
        handleOutcomeRead(finished, reply, effects);
    }
}

void ClaimManager::handleOutcomeRead(const OutcomeRead& read, const StoreReply& reply, EffectList& effects)
{
    const auto outcome = reply.status == StoreStatus::Ok ? decodeOutcome(reply.value) : std::nullopt;
    if (!outcome)
        return decide(read.request, ClaimUnknownOutcome {}, effects);
    decide(read.request, ClaimRepeat { outcome->status, outcome->headers, outcome->body, true, {} }, effects);
}

// The key is derived from the claim's nonce, so a conflict means that an earlier write of the same outcome succeeded.
void ClaimManager::handleOutcomeWrite(const ClaimLocation& location, StoreStatus status)
{
    LocalClaim* claim = m_shards[location.shard]->find(location.nonce);
    if (!claim)
        return;
    claim->separateValueInFlight = false;
    claim->separateValueWritten = status == StoreStatus::Ok || status == StoreStatus::Conflict;
}

void ClaimManager::recordClocks(MonotonicTime now, WallTime wallNow)
{
    const auto offset = std::chrono::duration_cast<Duration>(wallNow.time_since_epoch()) - now.time_since_epoch();
    if (!m_ticked)
        m_clockOffset = offset;
    m_clockJumped = m_clockJumped || std::chrono::abs(offset - m_clockOffset) > clockJumpLimit;
    m_ticked = true;
    m_tickedAt = now;
    m_wallAtTick = wallNow;
}

void ClaimManager::tick(MonotonicTime now, WallTime wallNow, EffectList& effects)
{
    const bool hadJumped = m_clockJumped;
    recordClocks(now, wallNow);
    if (m_clockJumped && !hadJumped)
        effects.emplace_back(LogEntry { LogEvent::ClaimExpirySuspended, {} });
    const auto context = contextAt(now);
    std::vector<HostId> unresponsivePeers;
    for (auto& shard : m_shards) {
        applyNotices(shard->expire(context, unresponsivePeers), now, effects);
        applyNotices(shard->reviewFollowers(context), now, effects);
    }
    for (const auto& peer : unresponsivePeers)
        m_forwardRetryAt[peer] = now + std::chrono::seconds(2);
    std::erase_if(m_forwardRetryAt, [&](const auto& item) { return item.second <= now; });
    std::erase_if(m_outcomeReads, [&](const OutcomeRead& read) {
        if (now < read.deadline)
            return false;
        decide(read.request, ClaimUnknownOutcome {}, effects);
        return true;
    });
    // Round-robin, so that no shard starves at the write limit.
    const auto count = m_shards.size();
    const auto first = m_nextShard;
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = (first + i) % count;
        const auto calls = m_shardCalls.size();
        startShardCall(*m_shards[index], now, effects, 0);
        if (m_shardCalls.size() != calls)
            m_nextShard = (index + 1) % count;
    }
    startOutcomeCalls(now, effects);
    startExpiryCalls(now, effects);
    dropIdleValues(context);
}

// Starts the shard's next store call. By default, half of the write tokens are reserved for
// shards that have waited longer; tick() and calls that follow a read reserve none.
void ClaimManager::startShardCall(ClaimShard& shard, MonotonicTime now, EffectList& effects, double reservedTokens)
{
    const auto context = contextAt(now);
    if (now < m_retryAt || !shard.needsCall(context))
        return;
    refillWriteTokens(now);
    const double reserve = reservedTokens < 0 ? writeBurst() / 2 : reservedTokens;
    auto step = shard.nextCall(context, m_writeTokens - static_cast<double>(m_shardReads) >= 1 + reserve);
    if (step.operation) {
        m_shardReads += shard.isReadInFlight();
        const auto id = send(std::move(*step.operation), effects);
        shard.callSent(id);
        m_shardCalls[id] = shard.number();
    }
    applyNotices(std::move(step.notices), now, effects);
}

void ClaimManager::startOutcomeCalls(MonotonicTime now, EffectList& effects)
{
    if (now < m_retryAt)
        return;
    for (auto& read : m_outcomeReads) {
        if (read.call == StoreCallId())
            read.call = send(StoreGet { read.storeKey }, effects);
    }
    refillWriteTokens(now);
    for (auto& shard : m_shards) {
        for (auto& [nonce, claim] : shard->claims()) {
            const bool isWanted = claim.phase == ClaimPhase::Finished && claim.entry.state == EntryState::Done
                && claim.entry.outcome.bodyStorage == BodyStorage::SeparateValue && !claim.separateValueWritten
                && !claim.separateValueInFlight;
            if (!isWanted || m_writeTokens < 1)
                continue;
            claim.separateValueInFlight = true;
            const auto id = send(
                StoreCompareAndSwap { shard->outcomeKey(claim.entry), encodeOutcome(claim.entry.outcome), 0 }, effects);
            m_outcomeWrites[id] = { shard->number(), nonce };
        }
    }
}

void ClaimManager::startExpiryCalls(MonotonicTime now, EffectList& effects)
{
    // Deletions have low priority: they use only tokens above half of the burst.
    while (!m_expiredValues.empty() && now >= m_retryAt && m_writeTokens - m_expiredReads.size() > writeBurst() / 2) {
        m_expiredReads[send(StoreGet { m_expiredValues.back() }, effects)] = m_expiredValues.back();
        m_expiredValues.pop_back();
    }
}

void ClaimManager::dropIdleValues(const ClaimContext& context)
{
    std::size_t bytes = 0;
    for (const auto& shard : m_shards)
        bytes += shard->cachedBytes();
    while (bytes > m_settings.maximumCachedBytes) {
        ClaimShard* oldest = nullptr;
        for (auto& shard : m_shards) {
            const bool isIdle = shard->cachedBytes() > 0 && !shard->isCallInFlight() && !shard->needsCall(context);
            if (isIdle && (!oldest || shard->lastCallAt() < oldest->lastCallAt()))
                oldest = shard.get();
        }
        if (!oldest)
            return;
        bytes -= oldest->cachedBytes();
        oldest->dropValue();
    }
}

} // namespace Catkinwell
