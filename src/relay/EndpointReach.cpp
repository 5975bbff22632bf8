#include <catkinwell/relay/EndpointReach.h>

#include <algorithm>

namespace Catkinwell {

void EndpointReach::Failures::clear()
{
    endpoints.clear();
    count = 0;
}

void EndpointReach::Failures::add(const EndpointId& endpoint, MonotonicTime now)
{
    if (count == 0)
        firstAt = now;
    ++count;
    endpoints[endpoint] = now;
}

void EndpointReach::Failures::expire(MonotonicTime earliest)
{
    std::erase_if(endpoints, [earliest](const auto& endpoint) { return endpoint.second < earliest; });
    if (endpoints.empty())
        count = 0;
}

EndpointReach::EndpointReach(EndpointReachSettings settings)
    : m_settings(settings)
{
}

bool EndpointReach::showsLoss(const Failures& failures, std::size_t endpointCount) const
{
    return failures.endpoints.size()
        >= std::min(m_settings.endpointsThatShowLoss, std::max<std::size_t>(1, endpointCount))
        && failures.count >= m_settings.failuresThatShowLoss;
}

bool EndpointReach::isDoubtful(const Service& service) const
{
    const std::size_t needed = std::min<std::size_t>(2, std::max<std::size_t>(1, service.endpointCount));
    return service.withoutAnswer.endpoints.size() >= needed || service.withoutConnection.endpoints.size() >= needed;
}

void EndpointReach::noteAnswer(const std::string& name, bool isNewConnection, MonotonicTime now, EffectList& effects)
{
    const auto found = m_services.find(name);
    if (found == m_services.end())
        return;
    Service& service = found->second;
    service.withoutAnswer.clear();
    if (!isNewConnection)
        return;
    if (service.isLost) {
        m_regained.insert(name);
        effects.push_back(LogEntry { LogEvent::GatewayPathRegained,
            { { "service", name },
                { "lost_for_ms", std::to_string(millisecondsOf(now - service.withoutConnection.firstAt)) } } });
    }
    m_services.erase(found);
}

void EndpointReach::noteFailure(const std::string& name, const EndpointId& endpoint, AttemptFailure failure,
    std::size_t endpointCount, MonotonicTime now, EffectList& effects)
{
    Service& service = m_services[name];
    service.endpointCount = endpointCount;
    if (service.isLost)
        return;
    for (Failures* failures : { &service.withoutAnswer, &service.withoutConnection })
        failures->expire(now - m_settings.failureLifetime);
    // A probe that failed before the failures that are judged says nothing about them.
    if (now - service.probeFailedAt >= m_settings.failureLifetime)
        service.hasProbeFailed = false;
    service.withoutAnswer.add(endpoint, now);
    if (failure == AttemptFailure::Connect)
        service.withoutConnection.add(endpoint, now);
    const bool answersNone = showsLoss(service.withoutAnswer, endpointCount);
    const bool connectsNone = showsLoss(service.withoutConnection, endpointCount);
    if (!service.hasProbeFailed || (!answersNone && !connectsNone))
        return;
    const Failures& evidence = answersNone ? service.withoutAnswer : service.withoutConnection;
    m_newlyLost[name] = evidence.firstAt;
    effects.push_back(LogEntry { LogEvent::GatewayPathLost,
        { { "service", name }, { "endpoints_failed", std::to_string(evidence.endpoints.size()) },
            { "endpoints", std::to_string(endpointCount) }, { "failures", std::to_string(evidence.count) },
            { "since_ms", std::to_string(millisecondsOf(now - evidence.firstAt)) },
            { "evidence", answersNone ? "no endpoint answers" : "no connection can be opened" } } });
    service.isLost = true;
    service.withoutConnection.firstAt = evidence.firstAt;
    service.nextProbeAt = now + m_settings.probeInterval;
}

void EndpointReach::noteProbeFailed(const std::string& name, const EndpointId& endpoint, AttemptFailure failure,
    std::size_t endpointCount, MonotonicTime now, EffectList& effects)
{
    Service& service = m_services[name];
    service.isProbed = false;
    service.hasProbeFailed = true;
    service.probeFailedAt = now;
    noteFailure(name, endpoint, failure, endpointCount, now, effects);
}

bool EndpointReach::isDoubtful(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && isDoubtful(found->second);
}

bool EndpointReach::isLost(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isLost;
}

std::set<std::string> EndpointReach::lostServices() const
{
    std::set<std::string> lost;
    for (const auto& [name, service] : m_services) {
        if (service.isLost)
            lost.insert(name);
    }
    return lost;
}

std::vector<std::string> EndpointReach::takeDueProbes(MonotonicTime now)
{
    std::vector<std::string> due;
    for (auto& [name, service] : m_services) {
        if (service.isProbed || now < service.nextProbeAt || !(service.isLost || isDoubtful(service)))
            continue;
        service.isProbed = true;
        service.nextProbeAt = now + (service.isLost ? m_settings.probeInterval : m_settings.doubtInterval);
        due.push_back(name);
    }
    return due;
}

void EndpointReach::noteProbeEnded(const std::string& service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.isProbed = false;
}

bool EndpointReach::hasFailed(const std::string& name, const EndpointId& endpoint) const
{
    const auto found = m_services.find(name);
    return found != m_services.end()
        && (found->second.withoutAnswer.endpoints.contains(endpoint)
            || found->second.withoutConnection.endpoints.contains(endpoint));
}

} // namespace Catkinwell
