#include "endpoint/EngineProtocol.h"
#include "http/HeaderText.h"
#include "requests/RequestIntake.h"
#include <algorithm>
#include <array>
#include <catkinwell/requests/RequestFlow.h>

// Requests for endpoints that this host cannot reach: what shows that its path is lost, and how other hosts serve them.
namespace Catkinwell {

namespace {

    constexpr std::size_t maximumRelayedRequests = 512;
    constexpr std::size_t maximumHostsTried = 3;
    constexpr Duration relayConnectTimeout = std::chrono::milliseconds(400);
    constexpr Duration probeConnectTimeout = std::chrono::milliseconds(400);
    // An endpoint that is full answers a probe late.
    constexpr Duration probeSilenceTimeout = std::chrono::seconds(1);
    // How long reports of crashes wait while one or two more failures would show that the path is lost.
    constexpr Duration doubtTime = std::chrono::milliseconds(400);
    // How long they wait for another host to be answered, after the path was lost.
    constexpr Duration lossDecisionTime = std::chrono::seconds(3);
    // Several probes fit into the time for which a request that may have ended an endpoint is held back.
    constexpr Duration deathProbeInterval = std::chrono::milliseconds(100);

} // namespace

void RequestFlow::noteReached(
    const ActiveRequest& request, bool isNewConnection, MonotonicTime now, EffectList& effects)
{
    if (request.relayedTo)
        return;
    m_reach.noteAnswer(request.pool, isNewConnection, now, effects);
    if (isNewConnection)
        m_deaths.noteConnected(request.pool, request.endpoint, request.attemptStartedAt);
    m_deaths.noteAnswered(request.endpoint, request.attemptStartedAt);
    if (m_modules.promptQuarantine.endpointAnswered(request.endpoint, request.attemptStartedAt, now))
        effects.push_back(LogEntry { LogEvent::GatewayCrashWithdrawn,
            { { "endpoint", request.endpoint.value }, { "reason", "the endpoint goes on answering" } } });
}

void RequestFlow::noteNotReached(
    const ActiveRequest& request, AttemptFailure failure, MonotonicTime now, EffectList& effects)
{
    if (failure == AttemptFailure::Garbage)
        return;
    m_reach.noteFailure(request.pool, request.endpoint, failure, m_modules.endpoints.count(request.pool), now, effects);
    if (m_reach.isDoubtful(request.pool))
        m_modules.promptQuarantine.holdReports(now + doubtTime);
}

void RequestFlow::noteReport(
    const EndpointId& endpoint, std::optional<AttemptFailure> failure, MonotonicTime now, EffectList& effects)
{
    const EndpointSettings* settings = m_modules.endpoints.find(endpoint);
    if (!settings)
        return;
    const std::string& pool = settings->pool;
    if (!failure || *failure == AttemptFailure::Garbage)
        m_reach.noteAnswer(pool, false, now, effects);
    else
        m_reach.noteFailure(pool, endpoint, *failure, m_modules.endpoints.count(pool), now, effects);
}

void RequestFlow::noteEndpointDied(const EndpointId& endpoint, MonotonicTime now)
{
    if (const EndpointSettings* settings = m_modules.endpoints.find(endpoint))
        m_deaths.noteDied(endpoint, settings->pool, m_modules.endpoints.count(settings->pool) < 2, now);
}

void RequestFlow::updatePaths(MonotonicTime now, EffectList& effects)
{
    for (const auto& [pool, since] : m_reach.takeNewlyLost()) {
        m_deaths.noteLost(pool, since, now);
        m_modules.promptQuarantine.holdReports(now + lossDecisionTime);
    }
    for (const std::string& pool : m_reach.takeRegained()) {
        m_modules.endpoints.recheckSuspected(pool, now);
        m_deaths.noteRegained(pool, now);
        m_modules.promptQuarantine.holdReports(now);
    }
    decideDeaths(now, effects);
    for (const std::string& pool : m_reach.lostServices())
        relayQueued(pool, now, effects);
    for (const std::string& pool : m_reach.takeDueProbes(now))
        startProbe(pool, ProbePurpose::Path, now, effects);
}

void RequestFlow::relayQueued(const std::string& pool, MonotonicTime now, EffectList& effects)
{
    std::vector<RequestId> waiting;
    for (const auto& [id, request] : m_requests) {
        if (request->stage == RequestStage::Queued && request->pool == pool && needsRelay(*request))
            waiting.push_back(id);
    }
    for (const RequestId id : waiting)
        startRelay(*m_requests.at(id), now, effects);
}

void RequestFlow::decideDeaths(MonotonicTime now, EffectList& effects)
{
    for (const EndpointId& endpoint : m_deaths.takeDied(now))
        m_modules.quarantine.endpointDied(endpoint, now);
    if (now < m_nextDeathProbesAt)
        return;
    for (const std::string& pool : m_deaths.undecidedPools()) {
        m_nextDeathProbesAt = now + deathProbeInterval;
        startProbe(pool, ProbePurpose::Death, now, effects);
    }
}

// The probe reads the endpoint's report on a connection of its own.
void RequestFlow::startProbe(const std::string& pool, ProbePurpose purpose, MonotonicTime now, EffectList& effects)
{
    const auto endpoint = m_modules.endpoints.chooseForProbe(
        pool, [&](const EndpointId& id) { return m_reach.hasFailed(pool, id) || m_deaths.isInDoubt(id); });
    if (!endpoint) {
        if (purpose == ProbePurpose::Path)
            m_reach.noteProbeEnded(pool);
        return;
    }
    StartAttempt probe;
    probe.id = AttemptId(++m_lastAttempt);
    probe.endpoint = endpoint->id;
    probe.address = endpoint->address;
    probe.method = "GET";
    probe.target = engineReportTarget;
    probe.connectTimeout = probeConnectTimeout;
    probe.silenceTimeout = probeSilenceTimeout;
    probe.needsFreshConnection = true;
    m_probes[probe.id] = { pool, endpoint->id, purpose, now };
    effects.push_back(std::move(probe));
}

bool RequestFlow::handleProbe(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    const auto probe = m_probes.find(head.id);
    if (probe == m_probes.end())
        return false;
    m_reach.noteAnswer(probe->second.pool, true, now, effects);
    m_deaths.noteConnected(probe->second.pool, probe->second.endpoint, probe->second.startedAt);
    m_modules.endpoints.endSuspicion(probe->second.endpoint);
    return true;
}

// A probe that fails after an endpoint has answered another host shows that only this host's links are broken.
bool RequestFlow::handleProbe(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    const auto found = m_probes.find(failed.id);
    if (found == m_probes.end())
        return false;
    const Probe probe = found->second;
    m_probes.erase(found);
    const std::size_t endpoints = m_modules.endpoints.count(probe.pool);
    // The endpoint of the other kind of probe may have ended as well, so it does not decide on the path.
    if (probe.purpose == ProbePurpose::Path)
        m_reach.noteProbeFailed(probe.pool, probe.endpoint, failed.failure, endpoints, now, effects);
    else
        m_reach.noteFailure(probe.pool, probe.endpoint, failed.failure, endpoints, now, effects);
    const auto brokenSince = m_deaths.noteProbeFailed(probe.pool, probe.startedAt);
    if (!brokenSince)
        return true;
    if (m_modules.promptQuarantine.withdraw(*brokenSince))
        effects.push_back(LogEntry { LogEvent::GatewayCrashWithdrawn,
            { { "service", probe.pool }, { "reason", "this host lost its path to the endpoints" } } });
    m_modules.promptQuarantine.holdReports(now);
    return true;
}

// A relayed request makes no second hop.
bool RequestFlow::needsRelay(const ActiveRequest& request) const
{
    return m_reach.isLost(request.pool) && !isRelayed(request.id) && request.excludedHosts.size() < maximumHostsTried;
}

bool RequestFlow::startRelay(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    const auto choice = m_modules.relayPeers.choose(request.pool, request.excludedHosts, now);
    if (!choice || m_heldUntil.contains(request.fingerprint))
        return false;
    m_queue.remove(request.id);
    if (refuseIfQuarantined(request, now, effects))
        return true;
    request.stage = RequestStage::Running;
    request.attempt = AttemptId(++m_lastAttempt);
    request.attemptStartedAt = now;
    request.endpoint = EndpointId();
    request.endpointAddress.clear();
    request.relayedTo = choice->host;
    request.relayAnswer = {};
    request.status = 0;
    request.collected.clear();
    ++request.attempts;
    ++m_relaysUnderWay;
    m_attempts[request.attempt] = request.id;
    request.mayHaveRunBefore = request.mayHaveRun;
    request.mayHaveRun = true;
    m_deaths.noteAskedElsewhere(request.pool, now);
    RelayTerms terms;
    terms.account = request.account;
    terms.timeLeft = std::max(Duration::zero(), request.deadline - now);
    terms.attempts = request.attempts - request.unsentAttempts;
    terms.priority = request.priority;
    effects.push_back(StartRelay { request.attempt, choice->host, choice->address, relayConnectTimeout,
        { std::move(terms), request.method, request.target, request.headers, request.body } });
    effects.push_back(LogEntry { LogEvent::GatewayRequestRelayed,
        { { "request", std::to_string(request.id.value) }, { "service", request.pool }, { "to", choice->host.value },
            { "reason", "no endpoint of the pool can be reached" } } });
    effects.push_back(RecordMetric { Metric::RelaysTotal, request.pool });
    return true;
}

void RequestFlow::handleBrokenRelay(
    ActiveRequest& request, const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    m_modules.relayPeers.noteFailure(*request.relayedTo, now);
    request.excludedHosts.insert(*request.relayedTo);
    endAttempt(request, false, now);
    if (failed.outcome == AttemptOutcome::Unknown) {
        retryOrFail(request, true, "the host that served the request failed: " + failed.reason, now, effects);
        return;
    }
    request.mayHaveRun = request.mayHaveRunBefore;
    enqueue(request, now, effects);
}

void RequestFlow::handleRelayRefusal(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    const RelayAnswer answer = request.relayAnswer;
    effects.push_back(LogEntry { LogEvent::AttemptFailedEvent,
        { { "request", std::to_string(request.id.value) }, { "relayed_to", request.relayedTo->value },
            { "outcome", answer.outcome == RelayOutcome::Failed ? "unknown" : "not_run" },
            { "reason", "the other host ended the request: " + answer.reason } } });
    endAttempt(request, true, now);
    request.excludedHosts.insert(*request.relayedTo);
    if (answer.outcome != RelayOutcome::Failed)
        request.mayHaveRun = request.mayHaveRunBefore;
    if (answer.outcome == RelayOutcome::NotServed)
        enqueue(request, now, effects);
    else
        passOnError(request, now, effects);
}

// The serving host has tried as often as it may, and its answer is already the error that the caller should see.
void RequestFlow::passOnError(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    effects.push_back(RecordMetric { Metric::RefusalsTotal, request.relayAnswer.reason });
    m_modules.usage.requestRefused(request.account, request.model, request.relayAnswer.reason);
    if (!request.answered && !request.callerGone) {
        request.answered = true;
        effects.push_back(SendWholeResponse { request.id, request.status, request.responseHeaders, request.collected });
    }
    settle(request, request.mayHaveRun ? tokensSoFar(request) : 0, now);
    settleClaim(request, now, effects);
    erase(request.id);
}

// What the other hosts sent while this one stood still is not read yet.
void RequestFlow::excludeOwnPause(MonotonicTime now)
{
    if (const Duration pause = m_ownPause.beforeTick(now); pause > Duration::zero())
        m_modules.relayPeers.excludePause(pause, now);
}

// A host that died or froze ends no connection.
void RequestFlow::failSilentRelays(MonotonicTime now, EffectList& effects)
{
    if (m_relaysUnderWay == 0)
        return;
    std::vector<AttemptId> silent;
    for (const auto& [attempt, id] : m_attempts) {
        const ActiveRequest* request = find(id);
        if (request && request->relayedTo && m_modules.relayPeers.isSilent(*request->relayedTo, now))
            silent.push_back(attempt);
    }
    for (const AttemptId attempt : silent) {
        effects.push_back(CancelAttempt { attempt });
        handle(AttemptFailed { attempt, AttemptOutcome::Unknown, "the other host is gone" }, now, effects);
    }
}

void RequestFlow::handle(const RelayedRequestArrived& relayed, MonotonicTime now, EffectList& effects)
{
    RequestArrived arrived = relayed.arrived;
    const std::size_t query = arrived.target.find('?');
    arrived.path = arrived.target.substr(0, query);
    arrived.query = query == std::string::npos ? "" : arrived.target.substr(query + 1);
    m_relayedFrom[arrived.id] = relayed.from;
    effects.push_back(LogEntry { LogEvent::GatewayRelayedRequestArrived,
        { { "request", std::to_string(arrived.id.value) }, { "from", relayed.from.value } } });
    if (m_shuttingDown || m_relayedFrom.size() > maximumRelayedRequests) {
        const ApiErrorCode code = m_shuttingDown ? ApiErrorCode::ShuttingDown : ApiErrorCode::QueueFull;
        refuse(arrived.id, relayed.terms.account,
            { code, "this host accepts no relayed request now", RunOutcome::NotRun, "", std::chrono::seconds(1) },
            effects);
        return;
    }
    Intake intake;
    intake.request = std::make_unique<ActiveRequest>();
    ActiveRequest& request = *intake.request;
    request.id = arrived.id;
    request.account = relayed.terms.account;
    request.arrivedAt = now;
    const RouteSettings* route = isCompletionPath(arrived.path) ? nullptr : findRoute(arrived.path);
    if (!route && !isCompletionPath(arrived.path)) {
        refuse(arrived.id, request.account, { ApiErrorCode::UnknownRoute, "no route serves the path" }, effects);
        return;
    }
    if (!(route ? prepareServiceRequest(arrived, intake, *route, effects)
                : prepareCompletion(arrived, intake, effects)))
        return;
    request.deadline = now + relayed.terms.timeLeft;
    request.attempts = relayed.terms.attempts;
    request.priority = relayed.terms.priority.value_or(defaultRequestPriority);
    // The relaying host holds the claim.
    request.idempotencyKey.clear();
    m_retries.requestStarted(now);
    if (!request.model.value.empty())
        ++m_arrivals[request.model];
    m_deadlines.emplace(request.deadline, request.id);
    m_requests.emplace(request.id, std::move(intake.request));
    if (!refuseIfQuarantined(request, now, effects))
        enqueue(request, now, effects);
}

// What this host alone lacks, another one may have.
RelayOutcome RequestFlow::relayOutcomeOf(const ApiError& error)
{
    constexpr std::array<ApiErrorCode, 6> ownReasons { ApiErrorCode::ShuttingDown, ApiErrorCode::QueueFull,
        ApiErrorCode::NoEndpoint, ApiErrorCode::UnknownRoute, ApiErrorCode::ModelNotFound,
        ApiErrorCode::StoreUnavailable };
    if (error.outcome != RunOutcome::NotRun)
        return RelayOutcome::Failed;
    const bool isOwn = std::find(ownReasons.begin(), ownReasons.end(), error.code) != ownReasons.end();
    return isOwn ? RelayOutcome::NotServed : RelayOutcome::Refused;
}

void RequestFlow::stateRelayAnswer(
    RequestId id, HeaderList& headers, RelayOutcome outcome, std::string_view reason) const
{
    if (isRelayed(id))
        addRelayAnswer(headers, { outcome, std::string(reason) });
}

} // namespace Catkinwell
