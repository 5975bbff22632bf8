#include <catkinwell/gateway/GatewayRequests.h>

#include <algorithm>

// Requests whose endpoint or host has sent nothing for a while: whether they move to another one.
namespace Catkinwell {

namespace {

    // A repeatable request other than a stream moves to another endpoint after this many times its latency goal without
    // data.
    constexpr int silenceGoalFactor = 3;
    constexpr Duration shortestSilenceTimeout = std::chrono::milliseconds(300);
    // A stream that may be repeated or resumed moves to another endpoint after a pause of this length.
    constexpr Duration streamPauseTimeout = std::chrono::milliseconds(1200);
    // The same if bytes arrive, but no whole event and no good part of a large one.
    constexpr Duration streamProgressTimeout = std::chrono::seconds(5);
    constexpr std::size_t smallestProgressBytes = 256;
    // Time between two searches for another endpoint.
    constexpr Duration moveCheckInterval = std::chrono::milliseconds(100);
    // If two ticks are further apart, this host was behind or stood still, and bytes that arrived meanwhile may be
    // unread.
    constexpr Duration longestTickGap = std::chrono::milliseconds(100);

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
    const MonotonicTime lastTick = std::exchange(m_lastTickAt, now);
    const Duration gap = lastTick == MonotonicTime() ? Duration::zero() : now - lastTick;
    const Duration pause = std::max<Duration>(Duration::zero(), gap - longestTickGap);
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
        return silence > streamPauseTimeout;
    return silence > std::max<Duration>(
               shortestSilenceTimeout, request.route.latencyGoal * (request.route.isStream ? 1 : silenceGoalFactor));
}

// A silent endpoint may go on: what it runs is given up only for another attempt that begins at once.
void GatewayRequests::checkSilence(Request& request, MonotonicTime now, EffectList& effects)
{
    Attempt& attempt = *request.attempt;
    // The answer is whole; its endpoint is being asked whether it still runs.
    if (attempt.endsWithConnection)
        return;
    const bool isWithoutProgress = attempt.isForwarded && now - attempt.lastProgressAt > streamProgressTimeout;
    const bool isWithoutData = isSilent(request, now);
    if (!(isWithoutProgress || isWithoutData) || !mayRepeat(request, now))
        return;
    if (isWithoutData && attempt.silenceNotedAt < attempt.lastDataAt) {
        attempt.silenceNotedAt = now;
        noteNotReached(request, AttemptFailure::Silence, now, effects);
    }
    if (now < attempt.nextMoveCheckAt)
        return;
    attempt.nextMoveCheckAt = now + moveCheckInterval;
    if (!canMove(request, now))
        return;
    request.mayHaveRun = true;
    effects.push_back(CancelAttempt { attempt.id });
    handleFailedAttempt(request, "the endpoint sent no data in time", AttemptVerdict::Silent, now, effects);
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
