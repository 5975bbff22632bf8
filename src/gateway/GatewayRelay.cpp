#include <catkinwell/gateway/GatewayRequests.h>

#include "http/HeaderText.h"
#include <algorithm>
#include <array>
#include <cstdlib>

// Requests for endpoints that this host cannot reach: what shows that its path is lost, and how other hosts serve them.
namespace Catkinwell {

namespace {

    // Time for the hosts to tell each other of paths that they lost.
    constexpr Duration lossDecisionTime = std::chrono::milliseconds(400);
    constexpr Duration relayConnectTimeout = std::chrono::milliseconds(400);
    constexpr Duration probeConnectTimeout = std::chrono::milliseconds(400);
    // An endpoint that is full answers a probe late.
    constexpr Duration probeSilenceTimeout = std::chrono::seconds(1);

} // namespace

void GatewayRequests::noteReached(const Request& request, bool isNewConnection, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.relayedTo)
        return;
    m_reach.noteAnswer(request.service, isNewConnection, now, effects);
    if (m_promptQuarantine.endpointAnswered(attempt.endpoint, attempt.startedAt, now))
        effects.push_back(LogEntry { LogEvent::GatewayCrashWithdrawn,
            { { "endpoint", attempt.endpoint.value }, { "reason", "the endpoint goes on answering" } } });
}

void GatewayRequests::noteNotReached(
    const Request& request, AttemptFailure failure, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.relayedTo || failure == AttemptFailure::Garbage || m_directory.isEvacuated(attempt.endpoint))
        return;
    if (failure != AttemptFailure::Silence)
        m_directory.cold().noteConnectionLost(attempt.endpoint, now);
    m_reach.noteFailure(
        request.service, attempt.endpoint, failure, m_directory.count(request.service, now), now, effects);
    if (m_reach.isDoubtful(request.service))
        m_promptQuarantine.holdReports(now + lossDecisionTime);
}

void GatewayRequests::noteStatusRead(
    const EndpointId& endpoint, std::optional<AttemptFailure> failure, MonotonicTime now, EffectList& effects)
{
    const EndpointRecord* record = m_directory.find(endpoint);
    if (!record)
        return;
    const std::string& service = record->service;
    if (!failure || *failure == AttemptFailure::Garbage)
        m_reach.noteAnswer(service, false, now, effects);
    else if (!m_directory.isEvacuated(endpoint))
        m_reach.noteFailure(service, endpoint, *failure, m_directory.count(service, now), now, effects);
    // A reset alone says nothing: an idle connection may have been dropped.
    if (failure == AttemptFailure::Connect)
        m_directory.cold().noteConnectionLost(endpoint, now);
}

void GatewayRequests::updateReach(MonotonicTime now, EffectList& effects)
{
    for (const auto& [service, since] : m_reach.takeNewlyLost()) {
        m_lossesInDoubt[service] = { since, now + lossDecisionTime };
        m_promptQuarantine.holdReports(now + lossDecisionTime);
        m_hasReachNews = true;
    }
    for (const std::string& service : m_reach.takeRegained()) {
        m_directory.forgetSuspicions(service);
        m_hasReachNews = true;
    }
    decideLosses(now, effects);
    for (const std::string& service : m_reach.takeDueProbes(now))
        startProbe(service, now, effects);
}

// If other hosts still reach the service, what failed here were this host's own links.
void GatewayRequests::decideLosses(MonotonicTime now, EffectList& effects)
{
    for (auto loss = m_lossesInDoubt.begin(); loss != m_lossesInDoubt.end();) {
        const auto& [service, times] = *loss;
        if (now < times.decidedAt) {
            ++loss;
            continue;
        }
        if (m_relayPeers.isReachedBySome(service, now)) {
            m_directory.forgetSuspicions(service);
            if (m_promptQuarantine.withdraw(times.since))
                effects.push_back(LogEntry { LogEvent::GatewayCrashWithdrawn,
                    { { "service", service }, { "reason", "this host lost its path to the endpoints" } } });
        }
        loss = m_lossesInDoubt.erase(loss);
    }
}

// The probe is a health check on a connection of its own.
void GatewayRequests::startProbe(const std::string& service, MonotonicTime now, EffectList& effects)
{
    const auto settings = m_configuration.services.find(service);
    const auto endpoint = m_directory.chooseForProbe(
        service, [&](const EndpointId& id) { return m_reach.hasFailed(service, id); }, now);
    if (settings == m_configuration.services.end() || !endpoint) {
        m_reach.noteProbeEnded(service);
        return;
    }
    StartAttempt probe;
    probe.id = AttemptId(++m_lastAttempt);
    probe.endpoint = endpoint->endpoint;
    probe.address = endpoint->address;
    probe.method = "GET";
    probe.target = settings->second.healthPath;
    probe.connectTimeout = probeConnectTimeout;
    probe.silenceTimeout = probeSilenceTimeout;
    probe.needsFreshConnection = true;
    // It asks for the path of a plain server, whatever the service is.
    m_directory.cold().attemptStarted(endpoint->endpoint, now);
    m_probes[probe.id] = { service, endpoint->endpoint };
    effects.push_back(std::move(probe));
}

bool GatewayRequests::handleProbe(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    const auto probe = m_probes.find(head.id);
    if (probe == m_probes.end())
        return false;
    m_reach.noteAnswer(probe->second.first, true, now, effects);
    m_directory.noteNotice(probe->second.second, m_protocol.termsOf(head.status, head.headers).notice, now, effects);
    return true;
}

bool GatewayRequests::handleProbe(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    const auto probe = m_probes.find(failed.id);
    if (probe == m_probes.end())
        return false;
    const auto [service, endpoint] = probe->second;
    m_probes.erase(probe);
    m_reach.noteProbeEnded(service);
    // The evacuation may have begun meanwhile; what is shut down then fails.
    if (m_directory.isEvacuated(endpoint))
        return true;
    m_reach.noteProbeFailed(service, endpoint, failed.failure, m_directory.count(service, now), now, effects);
    return true;
}

// A relayed request makes no second hop.
bool GatewayRequests::mayRelay(const Request& request) const
{
    return !request.relayedFrom && !request.arrived.method.empty();
}

RelayTerms GatewayRequests::relayTermsOf(const Request& request, MonotonicTime now) const
{
    RelayTerms terms;
    terms.account = request.account;
    terms.timeLeft = request.deadline - now;
    terms.firstByteTimeLeft = std::max(Duration::zero(), request.firstByteDeadline - now);
    terms.attempts = request.attempts;
    terms.excluded = request.excluded;
    terms.lastEventId
        = request.eventBuffer.lastEventId().empty() ? request.terms.lastEventId : request.eventBuffer.lastEventId();
    terms.firstRequestId
        = request.terms.resumedRequestId.empty() ? request.terms.callerRequestId : request.terms.resumedRequestId;
    terms.softwareVersion = request.softwareVersion;
    return terms;
}

bool GatewayRequests::startRelay(Request& request, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    if (!mayRelay(request))
        return false;
    const auto choice = m_relayPeers.choose(request.service, request.excludedHosts, now);
    if (!choice)
        return false;
    stopWaiting(request, now);
    Attempt attempt;
    attempt.id = AttemptId(++m_lastAttempt);
    attempt.relayedTo = choice->host;
    attempt.startedAt = now;
    attempt.lastDataAt = now;
    RelayTerms terms = relayTermsOf(request, now);
    attempt.isRest = !terms.lastEventId.empty();
    StartRelay start { attempt.id, choice->host, choice->address, relayConnectTimeout,
        { std::move(terms), request.arrived.method, request.arrived.target, request.arrived.headers,
            request.arrived.body } };
    m_attempts[attempt.id] = request.arrived.id;
    request.attempt = std::move(attempt);
    effects.push_back(LogEntry { LogEvent::GatewayRequestRelayed,
        { { "request", request.terms.callerRequestId }, { "service", request.service }, { "to", choice->host.value },
            { "reason", std::string(reason) } } });
    effects.push_back(RecordMetric { Metric::RelaysTotal, request.service });
    effects.push_back(std::move(start));
    pauseIfCallerSlow(request, effects);
    return true;
}

void GatewayRequests::handleRelayRefusal(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt attempt = *request.attempt;
    const RelayAnswer& answer = attempt.relayAnswer;
    effects.push_back(failedAttemptEntry(request, "the other host ended the request: " + answer.reason,
        answer.outcome == RelayOutcome::Failed ? "unknown" : "not_run", now));
    endAttempt(request, AttemptVerdict::Neutral, now, effects);
    request.excludedHosts.insert(*attempt.relayedTo);
    request.failure = answer.reason + " at " + attempt.relayedTo->value;
    request.mayHaveRun = request.mayHaveRun || answer.outcome == RelayOutcome::Failed;
    ++request.rejections;
    // The caller of a stream that has begun cannot be refused any more.
    const bool isUnserved
        = answer.outcome == RelayOutcome::NotServed || (answer.outcome == RelayOutcome::Refused && request.isHeadSent);
    const bool mayTryAgain
        = isUnserved && request.rejections < maximumRejections && request.deadline - now > shortestAttempt;
    if (mayTryAgain) {
        dispatch(request, now, effects);
    } else if (isUnserved && mayWaitForRoom(request)) {
        request.excludedHosts.clear();
        request.needsRetry = true;
        waitForRoom(request, now, effects);
    } else if (request.mayHaveRun || request.isHeadSent) {
        fail(request, attempt.status == 504 ? 504 : 502, "endpoint_failed", now, effects);
    } else {
        refuse(request, refusalOf(attempt), now, effects);
    }
}

// Passes on why the other host refused the request, and when its caller should come back.
GatewayRequests::Refusal GatewayRequests::refusalOf(const Attempt& attempt)
{
    if (attempt.relayAnswer.outcome == RelayOutcome::NotServed)
        return { 503, "no_path", "no host could have the request served", shortRetryAfter };
    Refusal refusal { attempt.status, "refused_by_other_host",
        "the host that served it refused the request: ", std::nullopt };
    refusal.message += attempt.relayAnswer.reason;
    if (const std::string* retryAfter = findHeader(attempt.headers, "retry-after"))
        refusal.retryAfter = durationOfSeconds(std::strtod(retryAfter->c_str(), nullptr));
    return refusal;
}

// What this host alone lacks, another one may have.
RelayOutcome GatewayRequests::relayOutcomeOf(const Request& request, const Refusal& refusal)
{
    constexpr std::array<std::string_view, 7> ownReasons { "stopping", "no_configuration", "no_route",
        "configuration_outdated", "no_path", "relay_full", "memory_full" };
    if (request.mayHaveRun)
        return RelayOutcome::Failed;
    const bool isOwn = std::find(ownReasons.begin(), ownReasons.end(), refusal.reason) != ownReasons.end();
    return isOwn ? RelayOutcome::NotServed : RelayOutcome::Refused;
}

bool GatewayRequests::isRelaySilent(const Request& request, MonotonicTime now) const
{
    return m_relayPeers.isSilent(*request.attempt->relayedTo, now);
}

void GatewayRequests::stateRelayAnswer(
    const Request& request, HeaderList& headers, RelayOutcome outcome, std::string_view reason) const
{
    if (request.relayedFrom)
        addRelayAnswer(headers,
            { outcome, std::string(reason), request.attempts + (request.attempt ? 1 : 0), request.softwareVersion,
                request.attempt ? request.attempt->endpoint : EndpointId() });
}

} // namespace Catkinwell
