#include <catkinwell/gateway/EndpointRoom.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration statementLifetime = std::chrono::seconds(30);
    // Reports arrive this much later than they were due.
    constexpr Duration reportDelay = std::chrono::milliseconds(50);
    // The windows of the hosts do not begin together, so each may start this part of its share in one.
    constexpr double shareOfWindow = 0.7;
    constexpr Duration shortestPause = std::chrono::milliseconds(250);
    constexpr Duration longestPause = std::chrono::seconds(5);

} // namespace

EndpointRoom::EndpointRoom(std::uint64_t seed)
    : m_random(seed)
{
}

void EndpointRoom::put(
    const std::string& name, double rejectionsPerSecond, bool isStatedHere, MonotonicTime now, EffectList& effects)
{
    const auto [found, isNew] = m_services.try_emplace(name);
    Service& service = found->second;
    if (isNew || service.rejectionsPerSecond != rejectionsPerSecond)
        effects.push_back(LogEntry { LogEvent::GatewayBrittleServiceChanged,
            { { "service", name }, { "rejections_per_second", std::to_string(rejectionsPerSecond) },
                { "origin", isStatedHere ? "endpoint" : "peer" } } });
    service = { rejectionsPerSecond, now, isStatedHere };
}

void EndpointRoom::noteAnswer(
    const std::string& name, std::optional<double> rejectionsPerSecond, MonotonicTime now, EffectList& effects)
{
    if (rejectionsPerSecond) {
        put(name, *rejectionsPerSecond, true, now, effects);
        return;
    }
    if (m_services.erase(name) > 0)
        effects.push_back(LogEntry { LogEvent::GatewayBrittleServiceChanged,
            { { "service", name }, { "rejections_per_second", "none" }, { "origin", "endpoint" } } });
}

void EndpointRoom::merge(const std::map<std::string, double>& brittleServices, MonotonicTime now, EffectList& effects)
{
    for (const auto& [service, rejections] : brittleServices) {
        if (!isBrittle(service, now))
            put(service, rejections, false, now, effects);
    }
}

std::map<std::string, double> EndpointRoom::report(MonotonicTime now) const
{
    std::map<std::string, double> services;
    for (const auto& [name, service] : m_services) {
        if (service.isStatedHere && isBrittle(name, now))
            services[name] = service.rejectionsPerSecond;
    }
    return services;
}

bool EndpointRoom::isBrittle(const std::string& service, MonotonicTime now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && now - found->second.statedAt < statementLifetime;
}

// The shares of all hosts add up to one. Alone, a host knows all that runs.
double EndpointRoom::shareOf(const Use& use) const
{
    if (m_hostCount == 1)
        return 1;
    return shareOfWindow * (use.ownOfService + 1.0) / (use.allOfService + static_cast<double>(m_hostCount));
}

bool EndpointRoom::hasRoom(const std::string& service, const EndpointId& id, const Use& use, MonotonicTime now)
{
    if (!isBrittle(service, now))
        return true;
    Endpoint& endpoint = m_endpoints[id];
    if (now < endpoint.closedUntil || use.running >= use.slots)
        return false;
    if (now >= endpoint.windowEnds) {
        const double share = (use.slots - use.running) * shareOf(use);
        endpoint.allowed = static_cast<unsigned>(share);
        // Where there are more hosts than places, some of them get one.
        endpoint.allowed += m_random.unit() < share - endpoint.allowed ? 1 : 0;
        endpoint.started = 0;
        endpoint.windowEnds = now + m_reportInterval + reportDelay;
    }
    return endpoint.started < endpoint.allowed;
}

void EndpointRoom::attemptStarted(const std::string& service, const EndpointId& id, MonotonicTime now)
{
    if (isBrittle(service, now))
        ++m_endpoints[id].started;
}

// All hosts together must not be rejected too often, also if each of them tries again.
Duration EndpointRoom::pauseAfterRejection(const Service& service) const
{
    const double seconds = static_cast<double>(m_hostCount) / std::max(1.0, service.rejectionsPerSecond);
    return std::clamp<Duration>(durationOfSeconds(seconds), shortestPause, longestPause);
}

void EndpointRoom::noteRejected(const std::string& name, const EndpointId& id, MonotonicTime now)
{
    if (isBrittle(name, now))
        m_endpoints[id].closedUntil = now + pauseAfterRejection(m_services.at(name));
}

} // namespace Catkinwell
