#include <catkinwell/gateway/EndpointReturn.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // Requests per second of all hosts at one endpoint in the first step; an endpoint that has just started handles
    // only a few.
    constexpr double firstRate = 2;
    // The rate doubles with each step.
    constexpr Duration stepTime = std::chrono::seconds(2);
    constexpr int steps = 5;

    // Returns how many requests all hosts together may have sent to an endpoint since the end of its evacuation.
    double allowedUntil(Duration since)
    {
        double allowed = 0;
        double rate = firstRate;
        for (int step = 0; step < steps && since > Duration::zero(); ++step) {
            allowed += rate * secondsOf(std::min(since, stepTime));
            since -= stepTime;
            rate *= 2;
        }
        return allowed;
    }

} // namespace

EndpointReturn::EndpointReturn(std::uint64_t seed)
    : m_random(seed)
{
}

Duration EndpointReturn::limitedTime() { return stepTime * steps; }

EndpointReturn::Turn& EndpointReturn::turnOf(const EndpointId& endpoint, MonotonicTime endedAt)
{
    Turn& turn = m_turns[endpoint];
    // The first requests of the hosts are spread as well.
    if (turn.endedAt != endedAt)
        turn = { endedAt, endedAt, m_random.unit() };
    return turn;
}

bool EndpointReturn::isAvailable(const EndpointId& endpoint, MonotonicTime endedAt, MonotonicTime now)
{
    const Duration since = now - endedAt;
    if (since >= limitedTime())
        return true;
    const Turn& turn = turnOf(endpoint, endedAt);
    const double allowed = allowedUntil(since) - allowedUntil(turn.lastAt - endedAt);
    return allowed >= turn.share * static_cast<double>(m_hosts);
}

void EndpointReturn::attemptStarted(const EndpointId& endpoint, MonotonicTime endedAt, MonotonicTime now)
{
    if (now - endedAt >= limitedTime())
        return;
    Turn& turn = turnOf(endpoint, endedAt);
    turn.lastAt = now;
    turn.share = 0.5 + m_random.unit();
}

void EndpointReturn::tick(MonotonicTime now)
{
    std::erase_if(m_turns, [now](const auto& item) { return now - item.second.endedAt >= limitedTime(); });
}

} // namespace Catkinwell
