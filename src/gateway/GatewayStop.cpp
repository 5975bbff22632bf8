#include <catkinwell/gateway/GatewayRequests.h>

#include <algorithm>

// What a host that stops still passes on, and how it ends the rest.
namespace Catkinwell {

namespace {

    // A sound endpoint may fall silent for about this time and go on.
    constexpr Duration longestSoundSilence = std::chrono::milliseconds(1200);

} // namespace

void GatewayRequests::setStop(const StopTimes& times) { m_stop = times; }

GatewayRequests::Refusal GatewayRequests::stoppingRefusal()
{
    return { 503, "stopping", "this host is shutting down; retry at another host", soonRetryAfter };
}

// A request that may be repeated costs its caller little if it is cut, so it goes by the usual time. For any other one
// nobody can try again, so it goes by the longest time and the silence that an endpoint may add to it.
MonotonicTime GatewayRequests::latestStart(const Request& request) const
{
    const bool isRepeatable = request.route.isIdempotent || request.route.isResumable;
    // Its own time limit ends the request before the host does.
    if (!m_stop || request.deadline <= m_stop->endsAt)
        return MonotonicTime::max();
    const auto time
        = isRepeatable ? m_answerTimes.usual(request.route.name) : m_answerTimes.longest(request.route.name);
    if (!time)
        return MonotonicTime::min();
    return m_stop->endsAt - *time - (isRepeatable ? Duration::zero() : longestSoundSilence);
}

bool GatewayRequests::hasTimeForAttempt(const Request& request, MonotonicTime now) const
{
    // The caller can have the rest of a stream from another host, whenever this one ends.
    return !m_stop || request.isHeadSent || now <= latestStart(request);
}

MonotonicTime GatewayRequests::stopWaitLimit(const Request& request) const
{
    const MonotonicTime latest = latestStart(request);
    return m_stop && !request.mayHaveRun ? std::min(latest, m_stop->acceptingUntil) : latest;
}

bool GatewayRequests::endIfStopTooNear(
    Request& request, MonotonicTime startsAt, MonotonicTime limit, MonotonicTime now, EffectList& effects)
{
    // The caller can have the rest of a stream from another host, whenever this one ends.
    if (!m_stop || request.isHeadSent || startsAt <= limit)
        return false;
    if (request.mayHaveRun)
        fail(request, 502, "stopping", now, effects);
    else
        refuse(request, stoppingRefusal(), now, effects);
    return true;
}

void GatewayRequests::noteAnswerTime(const Request& request, MonotonicTime now)
{
    // The rest of a stream says nothing about a whole one.
    if (request.attempt && !request.attempt->isRest)
        m_answerTimes.note(request.route.name, now - request.attempt->startedAt);
}

void GatewayRequests::stopAccepting(MonotonicTime now, EffectList& effects)
{
    m_isStopping = true;
    for (const RequestId id : std::set<RequestId>(m_waiting)) {
        Request& request = m_requests.at(id);
        if (!request.mayHaveRun)
            refuse(request, stoppingRefusal(), now, effects);
    }
}

void GatewayRequests::endAll(MonotonicTime now, EffectList& effects)
{
    stopAccepting(now, effects);
    while (!m_requests.empty()) {
        Request& request = m_requests.begin()->second;
        if (request.attempt || request.mayHaveRun || request.isHeadSent)
            fail(request, 504, "stopped", now, effects);
        else
            refuse(request, stoppingRefusal(), now, effects);
    }
}

} // namespace Catkinwell
