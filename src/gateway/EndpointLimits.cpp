#include <catkinwell/gateway/EndpointLimits.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    // An endpoint that states less gets an occasional request, which may bring a new statement.
    constexpr double lowestRate = 0.1;
    // Largest burst in seconds of the rate, in addition to one request.
    constexpr double burstSeconds = 0.25;
    // A limit that nothing confirms, and a lifted one, are forgotten after these times.
    constexpr Duration limitLifetime = std::chrono::seconds(60);
    constexpr Duration liftedLifetime = std::chrono::seconds(10);

    // How long a request that was held back counts as waiting.
    constexpr Duration awaitedTime = std::chrono::seconds(1);
    // Requests that all waiting hosts together send in one report interval, before they learn of each other's.
    constexpr double sendsPerReport = 1;

    AccountId quotaKeyOf(const EndpointId& endpoint) { return AccountId(endpoint.value); }

} // namespace

EndpointLimits::EndpointLimits(HostId self, std::uint64_t seed)
    : m_quota(std::move(self), QuotaSharing::Never)
    , m_random(seed)
{
}

void EndpointLimits::noteAnswer(
    const EndpointId& endpoint, std::optional<double> requestsPerSecond, MonotonicTime now, EffectList& effects)
{
    if (!requestsPerSecond && !m_limits.contains(endpoint))
        return;
    setLimit(endpoint, requestsPerSecond ? std::max(lowestRate, *requestsPerSecond) : 0, now, "endpoint", effects);
    if (m_isChanged)
        configureQuota(now);
}

void EndpointLimits::setLimit(const EndpointId& endpoint, double requestsPerSecond, MonotonicTime at,
    std::string_view origin, EffectList& effects)
{
    Limit& limit = m_limits[endpoint];
    if (at < limit.statedAt)
        return;
    limit.statedAt = at;
    if (limit.requestsPerSecond == requestsPerSecond)
        return;
    limit.requestsPerSecond = requestsPerSecond;
    m_isChanged = true;
    m_hasNews = true;
    effects.push_back(LogEntry { LogEvent::GatewayEndpointLimitChanged,
        { { "endpoint", endpoint.value }, { "requests_per_second", std::to_string(requestsPerSecond) },
            { "origin", std::string(origin) } } });
}

void EndpointLimits::configureQuota(MonotonicTime now)
{
    m_isChanged = false;
    std::map<AccountId, GatewayAccount> rates;
    for (const auto& [endpoint, limit] : m_limits) {
        GatewayAccount rate;
        rate.id = quotaKeyOf(endpoint);
        rate.unitsPerSecond = limit.requestsPerSecond;
        rate.burst = 1 + burstSeconds * limit.requestsPerSecond;
        rates.emplace(rate.id, std::move(rate));
    }
    m_quota.configure(rates, now);
}

void EndpointLimits::remove(const EndpointId& endpoint) { m_isChanged = m_limits.erase(endpoint) > 0 || m_isChanged; }

bool EndpointLimits::isLimited(const EndpointId& endpoint) const
{
    const auto limit = m_limits.find(endpoint);
    return limit != m_limits.end() && limit->second.requestsPerSecond > 0;
}

void EndpointLimits::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
    m_quota.setReportInterval(interval);
}

bool EndpointLimits::isAvailable(const EndpointId& endpoint, MonotonicTime now)
{
    if (!isLimited(endpoint))
        return true;
    Limit& limit = m_limits.at(endpoint);
    const bool isFilled = m_quota.isAvailable(quotaKeyOf(endpoint), 1, now);
    if (isFilled && limit.wasEmpty)
        limit.sendFrom = now + randomDelay(limit, now);
    limit.wasEmpty = !isFilled;
    if (isFilled && now >= limit.sendFrom)
        return true;
    limit.awaitedUntil = now + awaitedTime;
    return false;
}

// Returns an exponentially distributed delay. A host without competition sends at once.
Duration EndpointLimits::randomDelay(const Limit& limit, MonotonicTime now)
{
    const auto competitors = std::count_if(limit.awaitedByPeers.begin(), limit.awaitedByPeers.end(),
        [now](const auto& peer) { return now < peer.second; });
    if (competitors == 0)
        return Duration::zero();
    const double reportSeconds = secondsOf(m_reportInterval);
    const double sendsPerSecond = std::max(sendsPerReport / reportSeconds, limit.requestsPerSecond);
    const double mean = static_cast<double>(competitors + 1) / sendsPerSecond;
    return durationOfSeconds(-std::log(1 - m_random.unit()) * mean);
}

void EndpointLimits::attemptStarted(const EndpointId& endpoint, MonotonicTime now)
{
    if (!isLimited(endpoint))
        return;
    Limit& limit = m_limits.at(endpoint);
    m_quota.admit(quotaKeyOf(endpoint), 1, now);
    limit.sendFrom = now + randomDelay(limit, now);
}

void EndpointLimits::attemptNotSent(const EndpointId& endpoint, MonotonicTime now)
{
    if (isLimited(endpoint))
        m_quota.refund(quotaKeyOf(endpoint), 1, now);
}

void EndpointLimits::setPeers(const std::set<HostId>& peers, MonotonicTime now)
{
    m_quota.setPeers(peers, now);
    for (auto& [endpoint, limit] : m_limits)
        std::erase_if(limit.awaitedByPeers, [&peers](const auto& peer) { return !peers.contains(peer.first); });
}

EndpointLimitDigest EndpointLimits::digest(MonotonicTime now) const
{
    EndpointLimitDigest digest;
    for (const auto& [endpoint, limit] : m_limits)
        digest.statements.push_back(
            { endpoint, limit.requestsPerSecond, now - limit.statedAt, now < limit.awaitedUntil });
    if (!m_limits.empty())
        digest.attempts = m_quota.ownUsage();
    return digest;
}

void EndpointLimits::merge(const HostId& from, Incarnation incarnation, const EndpointLimitDigest& digest,
    MonotonicTime now, EffectList& effects)
{
    for (const EndpointLimitStatement& statement : digest.statements) {
        const Duration lifetime = statement.requestsPerSecond > 0 ? limitLifetime : liftedLifetime;
        if (statement.age >= lifetime || (statement.requestsPerSecond <= 0 && !m_limits.contains(statement.endpoint)))
            continue;
        setLimit(statement.endpoint, statement.requestsPerSecond, now - statement.age, "peer", effects);
        if (statement.isAwaited)
            m_limits.at(statement.endpoint).awaitedByPeers[from] = now + awaitedTime;
    }
    if (m_isChanged)
        configureQuota(now);
    m_quota.merge(from, incarnation, digest.attempts, now);
}

void EndpointLimits::tick(MonotonicTime now)
{
    const auto erased = std::erase_if(m_limits, [now](const auto& item) {
        const Limit& limit = item.second;
        return now - limit.statedAt >= (limit.requestsPerSecond > 0 ? limitLifetime : liftedLifetime);
    });
    if (erased > 0 || m_isChanged)
        configureQuota(now);
    m_quota.tick(now);
}

} // namespace Catkinwell
