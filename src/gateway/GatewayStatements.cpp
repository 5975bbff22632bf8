#include <catkinwell/gateway/GatewayRequests.h>

// What the answers of endpoints state of them beside the answer itself.
namespace Catkinwell {

// What an endpoint says of a pause concerns the host that it answered.
void GatewayRequests::noteNotice(const Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.terms.isMisdirected)
        return;
    if (!attempt.relayedTo)
        m_directory.noteNotice(attempt.endpoint, attempt.terms.notice, now, effects);
    else if (attempt.relayAnswer.outcome == RelayOutcome::Answered)
        m_directory.noteNotice(
            attempt.relayAnswer.endpoint, { attempt.terms.notice.isLeaving, std::nullopt }, now, effects);
}

void GatewayRequests::noteLimits(const Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    m_directory.limits().noteAnswer(attempt.endpoint, attempt.terms.requestsPerSecond, now, effects);
    m_directory.room().noteAnswer(request.service, attempt.terms.rejectionsPerSecond, now, effects);
    if (attempt.terms.isNotExecuted && !attempt.terms.isMisdirected)
        m_directory.room().noteRejected(request.service, attempt.endpoint, now);
}

void GatewayRequests::noteArrival(const Attempt& attempt, MonotonicTime now)
{
    if (attempt.relayedTo)
        return;
    if (attempt.terms.isMisdirected)
        m_directory.cold().attemptNotCounted(attempt.endpoint, attempt.startedAt);
    else
        m_directory.cold().attemptAnswered(attempt.endpoint, attempt.startedAt, now);
}

// An engine's report takes no place among its requests; the health check of other servers does.
void GatewayRequests::noteHealthCheck(const GatewayService& service, const EndpointId& endpoint, MonotonicTime now)
{
    if (!service.engine)
        m_directory.cold().attemptStarted(endpoint, now);
}

bool GatewayRequests::refuseIfPaused(Request& request, const EndpointNeed& need, MonotonicTime now, EffectList& effects)
{
    const auto end = m_directory.soonestPauseEnd(need, now);
    if (!end || request.mayHaveRun || request.isHeadSent)
        return false;
    if (!request.terms.variant.model.value.empty())
        keepInDemand(request, now);
    refuse(
        request, { 503, "endpoints_paused", "all endpoints want no requests for a while", *end - now }, now, effects);
    return true;
}

} // namespace Catkinwell
