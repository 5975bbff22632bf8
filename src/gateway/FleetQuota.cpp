#include <catkinwell/gateway/FleetQuota.h>

#include <algorithm>
#include <utility>

namespace Catkinwell {

namespace {

    // Initial level of a new bucket, in seconds of its rate. It is low because earlier usage at other hosts is unknown.
    constexpr double initialSeconds = 0.5;
    // A peer that was silent for this many report intervals is assumed to use its share of the rate.
    constexpr int silentIntervals = 3;
    // Up to this report interval, the units that several hosts spend twice stay within the tolerance of a limit.
    constexpr Duration toleratedReportInterval = std::chrono::milliseconds(250);
    // A host that neither the store nor a report names any more may serve across a partition for this long. Until then
    // its part of each rate is kept for it.
    constexpr Duration longestPartition = std::chrono::minutes(90);
    constexpr Duration sharesInterval = std::chrono::milliseconds(250);
    // Averaging time of the demand.
    constexpr double demandAverageSeconds = 1.5;
    // Fraction of the rate added to each host's demand, so that a host without demand can admit requests immediately.
    constexpr double baseDemand = 0.05;
    constexpr double smallestMissing = 1e-6;
    constexpr Duration shortestRetry = std::chrono::milliseconds(50);
    constexpr Duration longestRetry = std::chrono::seconds(10);

} // namespace

FleetQuota::FleetQuota(HostId self, QuotaSharing sharing)
    : m_self(std::move(self))
    , m_sharing(sharing)
{
}

void FleetQuota::configure(const std::map<AccountId, GatewayAccount>& accounts, MonotonicTime now)
{
    const auto isUnknown = [&accounts](const auto& entry) { return !accounts.contains(entry.first); };
    std::erase_if(m_buckets, isUnknown);
    std::erase_if(m_ownUsage, isUnknown);
    std::erase_if(m_usageAtUpdate, isUnknown);
    std::erase_if(m_ownDemand, isUnknown);
    for (auto& [host, peer] : m_peers) {
        std::erase_if(peer.reported, isUnknown);
        std::erase_if(peer.assumed, isUnknown);
        std::erase_if(peer.demand, isUnknown);
    }
    for (const auto& [account, settings] : accounts) {
        auto [entry, isNew] = m_buckets.try_emplace(account);
        Bucket& bucket = entry->second;
        if (!isNew)
            refill(bucket, now);
        bucket.settings = settings;
        if (isNew) {
            bucket.level = std::min(settings.burst, settings.unitsPerSecond * initialSeconds);
            bucket.refilledAt = now;
        }
        bucket.level = std::min(bucket.level, capacityOf(settings));
    }
}

void FleetQuota::setPeers(const std::set<HostId>& peers, MonotonicTime now)
{
    for (auto& [host, peer] : m_peers) {
        if (!peers.contains(host) && !peer.missingSince)
            peer.missingSince = now;
    }
    for (const HostId& host : peers) {
        auto [entry, isNew] = m_peers.try_emplace(host);
        entry->second.missingSince.reset();
        m_ended.erase(host);
        if (!isNew || host == m_self)
            continue;
        entry->second.heardAt = now;
        entry->second.assumedUntil = now;
    }
}

void FleetQuota::removePeer(const HostId& host, MonotonicTime now)
{
    m_peers.erase(host);
    m_ended[host] = now;
}

void FleetQuota::noteMissing(const std::vector<MissingHost>& missing, MonotonicTime now)
{
    for (const MissingHost& entry : missing) {
        const bool isKnown = entry.host == m_self || m_peers.contains(entry.host) || m_ended.contains(entry.host);
        if (isKnown || entry.missingFor >= longestPartition || m_peers.size() >= maximumMissingHosts)
            continue;
        Peer& peer = m_peers[entry.host];
        peer.missingSince = now - entry.missingFor;
        peer.assumedUntil = now;
    }
}

std::vector<MissingHost> FleetQuota::missingHosts(MonotonicTime now) const
{
    std::vector<MissingHost> missing;
    for (const auto& [host, peer] : m_peers) {
        if (peer.missingSince && missing.size() < maximumMissingHosts)
            missing.push_back({ host, now - *peer.missingSince });
    }
    return missing;
}

// A peer may still list a host whose time is over here, so that is remembered for as long again.
void FleetQuota::dropOutdated(MonotonicTime now)
{
    std::erase_if(m_ended, [now](const auto& entry) { return now - entry.second >= longestPartition; });
    std::erase_if(m_peers, [this, now](const auto& entry) {
        const std::optional<MonotonicTime>& since = entry.second.missingSince;
        const bool isOver = since && now - *since >= longestPartition;
        if (isOver)
            m_ended[entry.first] = now;
        return isOver;
    });
}

void FleetQuota::merge(const HostId& host, Incarnation incarnation, const AccountUsage& usage, MonotonicTime now)
{
    auto [entry, isNew] = m_peers.try_emplace(host);
    Peer& peer = entry->second;
    peer.missingSince.reset();
    m_ended.erase(host);
    const MonotonicTime heardBefore = std::exchange(peer.heardAt, now);
    peer.assumedUntil = now;
    if (peer.incarnation != incarnation) {
        // The first report of an unknown peer is only a baseline, since it is unknown when those units were admitted.
        // After a restart of a known peer the baseline is zero.
        const bool isRestart = !isNew && peer.incarnation != 0;
        peer.incarnation = incarnation;
        peer.reported = isRestart ? AccountUsage() : usage;
    }
    const double seconds = std::max(secondsOf(now - heardBefore), 0.02);
    const double weight = std::min(1.0, seconds / demandAverageSeconds);
    for (const auto& [account, total] : usage) {
        const auto bucket = m_buckets.find(account);
        UsageCount& reported = peer.reported[account];
        double& assumed = peer.assumed[account];
        // Negative if the peer returned units.
        const double admitted = total.admitted - reported.admitted;
        double& demand = peer.demand[account];
        demand += weight * ((total.offered - reported.offered) / seconds - demand);
        reported = total;
        if (bucket != m_buckets.end()) {
            refill(bucket->second, now);
            bucket->second.level += assumed - admitted;
            bucket->second.level = std::min(bucket->second.level, capacityOf(bucket->second.settings));
        }
        assumed = 0;
    }
}

void FleetQuota::tick(MonotonicTime now)
{
    updateShares(now);
    dropOutdated(now);
    const double hosts = static_cast<double>(m_peers.size()) + 1;
    for (auto& [host, peer] : m_peers) {
        if (now - peer.heardAt < silenceTimeout() || peer.assumedUntil >= now)
            continue;
        const double seconds = secondsOf(now - peer.assumedUntil);
        peer.assumedUntil = now;
        for (auto& [account, bucket] : m_buckets) {
            const double part = bucket.settings.unitsPerSecond / hosts * seconds;
            bucket.level -= part;
            peer.assumed[account] += part;
        }
    }
}

std::size_t FleetQuota::missingPeers() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.missingSince.has_value(); }));
}

Duration FleetQuota::silenceTimeout() const { return m_reportInterval * silentIntervals; }

void FleetQuota::updateShares(MonotonicTime now)
{
    if (now - m_sharesUpdatedAt < sharesInterval)
        return;
    const double seconds = std::min(secondsOf(now - m_sharesUpdatedAt), 10.0);
    const double weight = std::min(1.0, seconds / demandAverageSeconds);
    m_sharesUpdatedAt = now;
    for (auto& [account, bucket] : m_buckets) {
        refill(bucket, now);
        double& own = m_ownDemand[account];
        const double offered = m_ownUsage[account].offered;
        own += weight * ((offered - m_usageAtUpdate[account].offered) / seconds - own);
        m_usageAtUpdate[account].offered = offered;
        const double base = bucket.settings.unitsPerSecond * baseDemand;
        double total = own + base;
        for (const auto& [host, peer] : m_peers) {
            if (peer.missingSince)
                continue;
            const auto demand = peer.demand.find(account);
            total += base + (demand == peer.demand.end() ? 0 : demand->second);
        }
        bucket.share = total > 0 ? (own + base) / total : 1;
    }
}

double FleetQuota::capacityOf(const GatewayAccount& settings) const
{
    // With rare reports every host would spend the extra units.
    if (m_peers.empty() || m_reportInterval > toleratedReportInterval)
        return settings.burst;
    return settings.burst + settings.unitsPerSecond * secondsOf(m_reportInterval);
}

void FleetQuota::refill(Bucket& bucket, MonotonicTime now) const
{
    if (now <= bucket.refilledAt)
        return;
    const double added = bucket.settings.unitsPerSecond * secondsOf(now - bucket.refilledAt);
    bucket.level = std::min(capacityOf(bucket.settings), bucket.level + added);
    bucket.allowance = std::min(bucket.settings.burst * bucket.share, bucket.allowance + added * bucket.share);
    bucket.refilledAt = now;
}

double FleetQuota::unitsOf(const AccountId& account, double tokens) const
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return 0;
    const GatewayAccount& settings = found->second.settings;
    return settings.countsTokens && tokens > 0 ? tokens : settings.plainUnits;
}

double FleetQuota::missingUnits(const Bucket& bucket, double units) const
{
    // A request larger than the burst is admitted when the bucket is full.
    const double needed = std::min(units, bucket.settings.burst);
    // Units that the other hosts may have spent since their last reports.
    const Duration unreportedTime = std::max(Duration::zero(), m_reportInterval - toleratedReportInterval);
    const double reserve = m_peers.empty()
        ? 0
        : std::min(bucket.settings.burst, bucket.settings.unitsPerSecond * secondsOf(unreportedTime));
    const bool isLow = m_sharing == QuotaSharing::WhenLow && reserve > 0 && bucket.level - needed < reserve;
    // A request may overdraw a positive allowance; the next one waits until it is positive again.
    if (bucket.level >= needed && (!isLow || bucket.allowance > 0))
        return 0;
    return std::max({ needed - bucket.level, -bucket.allowance, smallestMissing });
}

bool FleetQuota::isAvailable(const AccountId& account, double units, MonotonicTime now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.settings.unitsPerSecond <= 0)
        return true;
    refill(found->second, now);
    return missingUnits(found->second, units) <= 0;
}

QuotaDecision FleetQuota::admit(const AccountId& account, double units, MonotonicTime now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return {};
    Bucket& bucket = found->second;
    UsageCount& usage = m_ownUsage[account];
    usage.offered += units;
    const double rate = bucket.settings.unitsPerSecond;
    if (rate <= 0) {
        usage.admitted += units;
        return {};
    }
    refill(bucket, now);
    if (const double missing = missingUnits(bucket, units); missing > 0) {
        const Duration wait = durationOfSeconds(std::min(missing / rate, secondsOf(longestRetry)));
        return { false, std::clamp(wait, shortestRetry, longestRetry) };
    }
    bucket.level -= units;
    bucket.allowance -= units;
    usage.admitted += units;
    return {};
}

void FleetQuota::refund(const AccountId& account, double units, MonotonicTime now)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    refill(found->second, now);
    Bucket& bucket = found->second;
    bucket.level = std::min(capacityOf(bucket.settings), bucket.level + units);
    bucket.allowance = std::min(bucket.settings.burst, bucket.allowance + units);
    m_ownUsage[account].admitted -= units;
}

double FleetQuota::level(const AccountId& account) const
{
    const auto found = m_buckets.find(account);
    return found == m_buckets.end() ? 0 : found->second.level;
}

} // namespace Catkinwell
