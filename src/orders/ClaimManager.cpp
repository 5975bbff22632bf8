#include <catkinwell/orders/ClaimManager.h>

#include "orders/ClaimShard.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr std::size_t inlineOutcomeLimit = 4096;
    // A shard above this size stores only outcomes up to largeShardInlineLimit inline, to make room for more entries.
    constexpr std::size_t largeShardBytes = 256 << 10;
    constexpr std::size_t largeShardInlineLimit = 256;
    constexpr std::size_t storedOutcomeLimit = 512 << 10;
    // How long an outcome waits to share a write with claims.
    constexpr Duration outcomeDelay = std::chrono::milliseconds(50);
    // Limit of outcome values queued for deletion.
    constexpr std::size_t maximumExpiredValues = 1024;

    std::size_t sizeOf(const StoredOutcome& outcome)
    {
        std::size_t size = outcome.body.size();
        for (const auto& [name, value] : outcome.headers)
            size += name.size() + value.size() + 4;
        return size;
    }

} // namespace

ClaimManager::ClaimManager(std::uint64_t seed)
    : m_random(seed)
{
}

ClaimManager::~ClaimManager() = default;

void ClaimManager::configure(ClaimSettings settings, const std::vector<LiveHost>& liveHosts)
{
    m_settings = std::move(settings);
    if (m_shards.empty()) {
        for (std::uint32_t i = 0; i < std::max(1U, m_settings.shardCount); ++i)
            m_shards.push_back(std::make_unique<ClaimShard>(i));
        m_writeTokens = writeBurst();
    }
    setLiveHosts(liveHosts);
}

void ClaimManager::setLiveHosts(const std::vector<LiveHost>& liveHosts)
{
    m_live.clear();
    for (const auto& host : liveHosts)
        m_live[host.host] = host.incarnation;
    // This host is alive even if the platform's list omits it.
    m_live[m_settings.self] = m_settings.incarnation;
}

std::uint32_t ClaimManager::wallSecondsAt(MonotonicTime now) const
{
    const auto wall = m_wallAtTick + std::chrono::duration_cast<WallTime::duration>(now - m_tickedAt);
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(wall.time_since_epoch()).count());
}

ClaimContext ClaimManager::contextAt(MonotonicTime now) const
{
    const auto retention = std::chrono::duration_cast<std::chrono::seconds>(m_settings.retention).count();
    const std::int64_t limit = std::int64_t(wallSecondsAt(now)) - retention;
    const bool mayExpire = m_ticked && !m_clockJumped && limit > 0;
    return { m_settings, m_live, now, mayExpire ? static_cast<std::uint32_t>(limit) : 0 };
}

ClaimShard& ClaimManager::shardOf(const std::string& key) { return *m_shards[stableHash(key) % m_shards.size()]; }

std::size_t ClaimManager::claimCount() const
{
    std::size_t count = m_outcomeReads.size();
    for (const auto& shard : m_shards)
        count += shard->claimCount();
    return count;
}

void ClaimManager::decide(RequestId request, ClaimVerdict verdict, EffectList& effects)
{
    LogEntry entry { LogEvent::ClaimDecided,
        { { "request", std::to_string(request.value) }, { "decision", std::string(nameOf(verdict)) } } };
    if (const auto* refusal = std::get_if<ClaimNotRun>(&verdict))
        entry.fields.emplace_back("reason", nameOf(refusal->reason));
    effects.emplace_back(std::move(entry));
    effects.emplace_back(RecordMetric { Metric::ClaimsTotal, std::string(nameOf(verdict)) });
    if (!std::holds_alternative<ClaimRun>(verdict))
        m_claimLocations.erase(request);
    m_decisions.push_back({ request, std::move(verdict) });
}

void ClaimManager::claim(RequestId request, const AccountId& account, const std::string& idempotencyKey,
    const std::string& bodyDigest, MonotonicTime deadline, MonotonicTime now, EffectList& effects)
{
    LocalClaim claim;
    // The length prefix makes the concatenation of account and key unambiguous.
    claim.entry.key = shortDigestOf(std::to_string(account.value.size()) + ':' + account.value + idempotencyKey);
    claim.entry.body = shortDigestOf(bodyDigest);
    claim.entry.owner = { m_settings.self, m_settings.incarnation, ++m_lastNonce };
    claim.entry.claimedAt = wallSecondsAt(now);
    claim.request = request;
    claim.arrivedAt = now;
    claim.deadline = deadline;
    ClaimShard& shard = shardOf(claim.entry.key);
    if (auto known = shard.lookUp(claim, contextAt(now))) {
        std::vector<ClaimNotice> notices;
        notices.push_back(std::move(*known));
        applyNotices(std::move(notices), now, effects);
        startOutcomeCalls(now, effects);
        return;
    }
    if (m_shuttingDown)
        return decide(request, ClaimNotRun { NotRunReason::ShuttingDown, std::chrono::seconds(1) }, effects);
    if (!m_ticked || (isUnavailable(now) && now < m_retryAt))
        return decide(request, ClaimNotRun { NotRunReason::StoreUnavailable, std::chrono::seconds(2) }, effects);
    if (claimCount() >= m_settings.maximumClaims)
        return decide(request, ClaimNotRun { NotRunReason::TooManyClaims, std::chrono::seconds(1) }, effects);
    const auto nonce = claim.entry.owner.nonce;
    m_claimLocations[request] = { shard.number(), nonce };
    shard.insert(std::move(claim));
    if (shard.find(nonce))
        forward(shard, nonce, now, effects);
    startShardCall(shard, now, effects);
}

std::vector<ClaimDecision> ClaimManager::takeDecisions() { return std::exchange(m_decisions, {}); }

// Forwards the claim to the shard's preferred host by rendezvous hashing, unless that is this host.
void ClaimManager::forward(ClaimShard& shard, std::uint64_t nonce, MonotonicTime now, EffectList& effects)
{
    if (!m_settings.forwarding || isUnavailable(now))
        return;
    const HostId* preferred = nullptr;
    std::uint64_t best = 0;
    for (const auto& [host, incarnation] : m_live) {
        const auto score = stableHash(std::to_string(shard.number()) + '/' + host.value);
        if (!preferred || score > best) {
            preferred = &host;
            best = score;
        }
    }
    if (!preferred || *preferred == m_settings.self)
        return;
    const auto retryAt = m_forwardRetryAt.find(*preferred);
    if (retryAt != m_forwardRetryAt.end() && now < retryAt->second)
        return;
    LocalClaim& claim = *shard.find(nonce);
    claim.wasForwarded = true;
    claim.forwardedTo = *preferred;
    claim.forwardedUntil = now + m_settings.forwardTimeout;
    ++m_totals.forwarded;
    effects.emplace_back(SendToPeer { *preferred, ForwardedClaim { shard.number(), nonce, entryToJson(claim.entry) } });
}

void ClaimManager::handle(const HostId& from, const ForwardedClaim& message, MonotonicTime now, EffectList& effects)
{
    auto entry = entryFromJson(message.entryJson);
    if (!entry || entry->owner.host != from || from == m_settings.self || message.shard >= m_shards.size())
        return;
    ClaimShard& shard = shardOf(entry->key);
    const auto sender = m_live.find(from);
    const bool isKnown = sender != m_live.end() && sender->second == entry->owner.incarnation;
    PeerClaim claim { std::move(*entry), from, message.ticket, now };
    if (shard.number() != message.shard || !isKnown || m_shuttingDown || isUnavailable(now)
        || !shard.addPeerClaim(claim))
        return answerPeerClaim(claim, "refused", effects);
    startShardCall(shard, now, effects);
}

void ClaimManager::answerPeerClaim(const PeerClaim& claim, std::string_view status, EffectList& effects)
{
    effects.emplace_back(SendToPeer {
        claim.from, ForwardedClaimResult { claim.ticket, std::string(status), entryToJson(claim.entry) } });
}

void ClaimManager::handle(
    const HostId& from, const ForwardedClaimResult& message, MonotonicTime now, EffectList& effects)
{
    // Tickets restart with every incarnation; comparing the owner detects a late answer to an earlier incarnation.
    const auto entry = entryFromJson(message.entryJson);
    if (!entry)
        return;
    for (auto& shard : m_shards) {
        LocalClaim* claim = shard->find(message.ticket);
        if (!claim)
            continue;
        if (claim->entry.owner != entry->owner || claim->entry.key != entry->key)
            return;
        if (claim->phase != ClaimPhase::Waiting || claim->forwardedTo != from || now >= claim->deadline)
            return;
        claim->forwardedUntil.reset();
        // Only this host withdraws its claims, so the entry that the peer confirmed is still in the store.
        if (message.status == "confirmed") {
            shard->confirm(*claim, now);
            decide(claim->request, ClaimRun {}, effects);
            applyNotices(shard->reviewFollowers(contextAt(now)), now, effects);
        } else if (message.status == "exists" && !shard->isCallInFlight()) {
            shard->dropValue();
        }
        startShardCall(*shard, now, effects);
        return;
    }
}

void ClaimManager::recordOutcome(
    RequestId request, int status, HeaderList headers, std::string body, MonotonicTime now, EffectList& effects)
{
    StoredOutcome outcome { status, std::move(headers), std::move(body), BodyStorage::Inline, {} };
    const auto size = sizeOf(outcome);
    if (size > storedOutcomeLimit || m_unwrittenBytes + outcome.body.size() > m_settings.maximumUnwrittenBytes) {
        outcome.bodyDigest = sha256Hex(outcome.body);
        outcome.headers.clear();
        outcome.body.clear();
        outcome.bodyStorage = BodyStorage::Omitted;
    } else {
        const auto location = m_claimLocations.find(request);
        const bool isLargeShard
            = location != m_claimLocations.end() && m_shards[location->second.shard]->lastSize() > largeShardBytes;
        if (size > (isLargeShard ? largeShardInlineLimit : inlineOutcomeLimit))
            outcome.bodyStorage = BodyStorage::SeparateValue;
    }
    finish(request, EntryState::Done, std::move(outcome), now, effects);
}

void ClaimManager::recordUnknown(RequestId request, MonotonicTime now, EffectList& effects)
{
    finish(request, EntryState::Unknown, {}, now, effects);
}

void ClaimManager::finish(
    RequestId request, EntryState state, StoredOutcome outcome, MonotonicTime now, EffectList& effects)
{
    const auto location = m_claimLocations.find(request);
    if (location == m_claimLocations.end())
        return;
    ClaimShard& shard = *m_shards[location->second.shard];
    LocalClaim& claim = *shard.find(location->second.nonce);
    m_claimLocations.erase(location);
    m_unwrittenBytes += outcome.body.size();
    claim.phase = ClaimPhase::Finished;
    claim.entry.state = state;
    claim.entry.outcome = std::move(outcome);
    claim.checkAt = now + outcomeDelay;
    startOutcomeCalls(now, effects);
    startShardCall(shard, now, effects);
}

void ClaimManager::recordNotSent(RequestId request, MonotonicTime now, EffectList& effects)
{
    const auto location = m_claimLocations.find(request);
    if (location == m_claimLocations.end())
        return;
    const ClaimLocation claim = location->second;
    m_claimLocations.erase(location);
    effects.emplace_back(LogEntry { LogEvent::ClaimWithdrawn, { { "request", std::to_string(request.value) } } });
    m_shards[claim.shard]->withdraw(claim.nonce, now);
    startShardCall(*m_shards[claim.shard], now, effects);
}

void ClaimManager::applyNotices(std::vector<ClaimNotice> notices, MonotonicTime now, EffectList& effects)
{
    using Kind = ClaimNotice::Kind;
    for (auto& notice : notices) {
        switch (notice.kind) {
        case Kind::Decided:
            decide(notice.request, std::move(notice.verdict), effects);
            break;
        case Kind::OutcomeToRead:
            m_claimLocations.erase(notice.request);
            m_outcomeReads.push_back({ notice.request, std::move(notice.storeKey), notice.deadline, StoreCallId() });
            break;
        case Kind::Settled:
            m_unwrittenBytes -= notice.bytes;
            break;
        case Kind::EntryLost:
            effects.emplace_back(
                LogEntry { LogEvent::OutcomeEntryLost, { { "request", std::to_string(notice.request.value) } } });
            break;
        case Kind::PeerClaimConfirmed:
            answerPeerClaim(notice.peerClaim, "confirmed", effects);
            break;
        case Kind::PeerClaimExists:
            answerPeerClaim(notice.peerClaim, "exists", effects);
            break;
        case Kind::PeerClaimRefused:
            answerPeerClaim(notice.peerClaim, "refused", effects);
            break;
        case Kind::ValueExpired:
            if (m_expiredValues.size() < maximumExpiredValues)
                m_expiredValues.push_back(std::move(notice.storeKey));
            break;
        case Kind::Unreadable:
            effects.emplace_back(LogEntry { LogEvent::ClaimShardUnreadable, { { "key", notice.storeKey } } });
            // Other shards may be readable, so calls pause only briefly.
            m_retryAt = std::max(m_retryAt, now + std::chrono::milliseconds(100));
            break;
        }
    }
}

void ClaimManager::beginShutdown() { m_shuttingDown = true; }

bool ClaimManager::isSettled() const { return claimCount() == 0 && m_outcomeWrites.empty(); }

ClaimCounts ClaimManager::counts() const
{
    ClaimCounts counts = m_totals;
    counts.retention = m_settings.retention;
    for (const auto& shard : m_shards) {
        counts.cachedBytes += shard->cachedBytes();
        counts.waiting += shard->followerCount();
        for (const auto& [nonce, claim] : shard->claims()) {
            switch (claim.phase) {
            case ClaimPhase::Waiting:
                ++counts.waiting;
                break;
            case ClaimPhase::Running:
                ++counts.running;
                break;
            case ClaimPhase::Finished:
                ++counts.unwritten;
                break;
            case ClaimPhase::Withdrawing:
                ++counts.withdrawing;
                break;
            }
        }
    }
    counts.waiting += m_outcomeReads.size();
    counts.unwrittenBytes = m_unwrittenBytes;
    counts.storeUnavailable = m_wasUnavailable;
    return counts;
}

} // namespace Catkinwell
