#include <catkinwell/gateway/GatewayReducer.h>

#include <algorithm>

// The planned stop of a gateway.
namespace Catkinwell {

namespace {

    // For the destructors and the system, after the loop has ended.
    constexpr Duration processEndTime = std::chrono::milliseconds(200);
    // Largest part of the grace time for the process's own end, however late the host is.
    constexpr int longestExitDivisor = 6;
    // With a tick every 20 ms, a long interval counts for half after 7 s.
    constexpr double intervalDecay = 0.998;

} // namespace

void GatewayReducer::noteTickInterval(MonotonicTime now)
{
    const Duration interval = m_lastTickAt == MonotonicTime() ? Duration::zero() : now - m_lastTickAt;
    const std::chrono::duration<double, std::nano> decayed = m_tickInterval * intervalDecay;
    m_tickInterval = std::max(interval, std::chrono::duration_cast<Duration>(decayed));
    m_lastTickAt = now;
}

void GatewayReducer::handleShutdown(MonotonicTime now, EffectList& effects)
{
    if (m_phase != Phase::Serving)
        return;
    m_phase = Phase::Draining;
    m_shutdownAt = now;
    m_requests.setStop(stopTimes());
    m_requests.noteStopRequested(now);
    effects.push_back(
        LogEntry { LogEvent::ShutdownRequested, { { "running", std::to_string(m_requests.activeRequests()) } } });
    effects.push_back(AnnounceClosing {});
    m_ownership.stopCompeting();
    m_nextDigestAt = now;
    sendDigests(now, effects);
    reportReadiness(effects);
}

GatewayRequests::StopTimes GatewayReducer::stopTimes() const
{
    const Duration accepting = std::min(m_settings.shutdownAccepting, m_settings.shutdownGrace / 2);
    // A late host acts on the signal, on the end and in its last steps by up to an interval later.
    const Duration exit = std::min<Duration>(
        longestGatewayExit + processEndTime + 2 * m_tickInterval, m_settings.shutdownGrace / longestExitDivisor);
    return { m_shutdownAt + accepting, m_shutdownAt + m_settings.shutdownGrace - exit };
}

void GatewayReducer::advanceShutdown(MonotonicTime now, EffectList& effects)
{
    if (m_phase != Phase::Draining)
        return;
    const GatewayRequests::StopTimes times = stopTimes();
    m_requests.setStop(times);
    const bool isAcceptingOver = now >= times.acceptingUntil;
    if (!m_isAcceptingStopped && isAcceptingOver) {
        m_isAcceptingStopped = true;
        m_requests.stopAccepting(now, effects);
    }
    const bool isDrained = m_requests.activeRequests() == 0 && isAcceptingOver;
    const bool isOver = now >= times.endsAt;
    if (!isDrained && !isOver)
        return;
    m_phase = Phase::Finished;
    const std::size_t cut = m_requests.activeRequests();
    m_requests.endAll(now, effects);
    sendStreamBeginnings(now, effects);
    m_streamRecords.flush(m_wallNow, now, effects);
    m_ownership.release(effects);
    m_placement.setPermission(std::nullopt, now);
    m_lease.revoke(effects);
    logStopEnd(isDrained ? LogEvent::ShutdownFinished : LogEvent::ShutdownForced, cut, effects);
    const Duration timeLeft = std::max(Duration::zero(), times.endsAt - now);
    effects.push_back(ExitProcess { 0, timeLeft + longestGatewayExit });
}

} // namespace Catkinwell
