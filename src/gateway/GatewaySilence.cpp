#include <catkinwell/gateway/GatewayRequests.h>

#include <algorithm>

// Requests whose endpoint or host has sent nothing for a while: whether they move to another one.
namespace Catkinwell {

namespace {

    // A repeatable request other than a stream moves to another endpoint after this many times its latency goal without
    // data.
    constexpr int silenceGoalFactor = 3;
    constexpr Duration shortestSilenceTimeout = std::chrono::milliseconds(300);
    // After a pause of this length, the endpoint of a stream is asked whether it still runs it.
    constexpr Duration streamPauseBeforeQuestion = std::chrono::milliseconds(500);
    // A stream moves to another endpoint after a pause of this length, if its endpoint cannot be asked or has sent
    // events that did not arrive.
    constexpr Duration streamPauseTimeout = std::chrono::milliseconds(1200);
    // A stream counts as silent as well if bytes arrive, but no whole event and no good part of a large one.
    constexpr Duration streamProgressTimeout = std::chrono::seconds(5);
    constexpr std::size_t smallestProgressBytes = 256;
    // Time between two searches for another endpoint.
    constexpr Duration moveCheckInterval = std::chrono::milliseconds(100);

} // namespace

// Comments and single bytes show that the endpoint lives, not that the answer goes on.
void GatewayRequests::noteProgress(Attempt& attempt, MonotonicTime now)
{
    const std::size_t events = attempt.position.events();
    if (events == attempt.eventsAtProgress && attempt.receivedBytes < attempt.bytesAtProgress + smallestProgressBytes)
        return;
    attempt.eventsAtProgress = events;
    attempt.bytesAtProgress = attempt.receivedBytes;
    attempt.lastProgressAt = now;
}

void GatewayRequests::excludeOwnPauses(MonotonicTime now)
{
    const Duration pause = m_ownPause.beforeTick(now);
    if (pause > Duration::zero())
        m_relayPeers.excludePause(pause, now);
    for (const auto& [id, requestId] : m_attempts) {
        Request& request = m_requests.at(requestId);
        Attempt& attempt = *request.attempt;
        const Duration unread = request.isCallerSlow ? now - attempt.lastDataAt : pause;
        attempt.lastDataAt = std::min(now, attempt.lastDataAt + unread);
        attempt.lastProgressAt = std::min(now, attempt.lastProgressAt + unread);
    }
}

bool GatewayRequests::isSilent(const Request& request, MonotonicTime now) const
{
    const Attempt& attempt = *request.attempt;
    if (attempt.relayedTo)
        return isRelaySilent(request, now);
    const Duration silence = now - attempt.lastDataAt;
    if (attempt.isHeadSeen && request.route.isStream)
        return silence > (canAskForRun(request) ? streamPauseBeforeQuestion : streamPauseTimeout);
    return silence > std::max<Duration>(
               shortestSilenceTimeout, request.route.latencyGoal * (request.route.isStream ? 1 : silenceGoalFactor));
}

bool GatewayRequests::isWithoutProgress(const Attempt& attempt, MonotonicTime now) const
{
    return attempt.isForwarded && now - attempt.lastProgressAt > streamProgressTimeout;
}

// Before its first event a stream has not begun to run, and plain services do not list what they run.
bool GatewayRequests::canAskForRun(const Request& request)
{
    return request.attempt->isHeadSeen && request.route.isStream && !request.attempt->relayedTo
        && request.checkedService && request.checkedService->engine;
}

RunState GatewayRequests::askForRun(Request& request, MonotonicTime now, EffectList& effects)
{
    Attempt& attempt = *request.attempt;
    SilentStream stream { attempt.endpoint, request.terms.callerRequestId, attempt.lastProgressAt, std::nullopt };
    if (!attempt.isRest)
        stream.events = attempt.position.events();
    if (!m_directory.isPaused(attempt.endpoint, now))
        m_runChecks.ask(attempt.endpoint, attempt.address, now, effects);
    const RunState state = m_runChecks.stateOf(stream, now);
    if (state != attempt.loggedRunState)
        effects.push_back(LogEntry { LogEvent::GatewaySilentStreamChecked,
            { { "request", request.terms.callerRequestId }, { "endpoint", attempt.endpoint.value },
                { "state", std::string(nameOf(state)) }, { "events", std::to_string(attempt.position.events()) },
                { "silent_ms", std::to_string(millisecondsOf(now - attempt.lastDataAt)) } } });
    attempt.loggedRunState = state;
    return state;
}

std::string_view GatewayRequests::reasonToGiveUp(Request& request, MonotonicTime now, EffectList& effects)
{
    Attempt& attempt = *request.attempt;
    const bool isWithoutData = isSilent(request, now);
    if (!isWithoutData && !isWithoutProgress(attempt, now)) {
        attempt.loggedRunState = RunState::Unknown;
        return {};
    }
    if (!canAskForRun(request)) {
        if (isWithoutData && attempt.silenceNotedAt < attempt.lastDataAt) {
            attempt.silenceNotedAt = now;
            noteNotReached(request, AttemptFailure::Silence, now, effects);
        }
        return "the endpoint sent no data in time";
    }
    switch (askForRun(request, now, effects)) {
    case RunState::Ended:
        return "the endpoint fell silent and no longer runs the request";
    case RunState::Unreachable:
        return "the endpoint fell silent and does not say what it runs";
    case RunState::Undelivered:
        // What was sent may still be under way.
        if (now - attempt.lastProgressAt > streamPauseTimeout)
            return "events that the endpoint made do not arrive";
        break;
    case RunState::Unknown:
    case RunState::Running:
    case RunState::Queued:
        break;
    }
    return {};
}

// A silent endpoint may go on: what it runs is given up only for another attempt that begins at once.
void GatewayRequests::checkSilence(Request& request, MonotonicTime now, EffectList& effects)
{
    Attempt& attempt = *request.attempt;
    // The answer is whole; its endpoint is being asked whether it still runs.
    if (attempt.endsWithConnection || !mayRepeat(request, now))
        return;
    const std::string_view reason = reasonToGiveUp(request, now, effects);
    if (reason.empty() || now < attempt.nextMoveCheckAt)
        return;
    attempt.nextMoveCheckAt = now + moveCheckInterval;
    if (!canMove(request, now))
        return;
    request.mayHaveRun = true;
    effects.push_back(CancelAttempt { attempt.id });
    handleFailedAttempt(request, std::string(reason), AttemptVerdict::Silent, now, effects);
}

void GatewayRequests::handle(const RunReport& report, MonotonicTime now, EffectList& effects)
{
    noteStatusRead(report.endpoint, std::nullopt, now, effects);
    m_runChecks.handle(report);
}

void GatewayRequests::handle(const RunReportFailed& failed, MonotonicTime now, EffectList& effects)
{
    noteStatusRead(failed.endpoint, failed.failure, now, effects);
    m_runChecks.handle(failed);
}

bool GatewayRequests::canMove(const Request& request, MonotonicTime now)
{
    if (!hasTimeForAttempt(request, now) || !budgetOf(request.service).hasRetry(now))
        return false;
    EndpointNeed need = endpointNeedOf(request);
    std::set<HostId> excludedHosts = request.excludedHosts;
    if (request.attempt->relayedTo)
        excludedHosts.insert(*request.attempt->relayedTo);
    else
        need.excluded.insert(request.attempt->endpoint);
    const bool canRelay = mayRelay(request) && m_relayPeers.hasChoice(request.service, excludedHosts, now);
    if (m_reach.isLost(request.service))
        return canRelay;
    return m_directory.canChoose(need, now) || (canRelay && m_directory.isOnlyUnreachable(need, now));
}

} // namespace Catkinwell
