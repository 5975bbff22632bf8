#include "fleet/FaultSoak.h"

#include <csignal>

// Faults of the soak that the platform takes for no trouble: planned stops, changes, and endpoints that pause.
namespace Catkinwell::Testing {

using namespace std::chrono_literals;

namespace {

    // When a host must have ended after SIGTERM.
    constexpr auto stopTime = 9s;
    // A process that has just been started does not handle signals yet.
    constexpr auto signalTime = 1s;
    constexpr unsigned changesInSuccession = 8;
    constexpr auto changeInterval = 130ms;
    constexpr unsigned changesPerReload = 2;
    constexpr std::uint64_t shortestSilence = 800;
    constexpr std::uint64_t silenceSpread = 1000;
    constexpr std::uint64_t shortestStopInterval = 300;
    constexpr std::uint64_t stopIntervalSpread = 3000;

} // namespace

void FaultSoak::stop(std::size_t host)
{
    m_disturbed.insert(host);
    note("stop host " + std::to_string(host));
    m_stops.push_back({ host, SystemClock().monotonicNow() });
    const auto calm = disturb(host, DisturbanceCause::PlannedWork);
    m_fleet.process(host).signal(SIGTERM);
    later(stopTime, [this, host, calm] {
        if (m_fleet.process(host).waitForExit(0ms) != 0)
            m_report.broken.push_back("host " + std::to_string(host) + " did not end in time after SIGTERM");
        if (const auto accounts = m_fleet.accountsAtEnd(host))
            m_accounts.push_back(*accounts);
        startAgain(host);
        calm();
        m_disturbed.erase(host);
    });
}

void FaultSoak::startAgain(std::size_t host)
{
    m_fleet.start(host);
    m_startTimes[host] = SystemClock().monotonicNow();
}

void FaultSoak::reload(std::size_t host)
{
    const auto started = m_startTimes.find(host);
    if (started != m_startTimes.end() && SystemClock().monotonicNow() - started->second < signalTime)
        return;
    note("reload the settings of host " + std::to_string(host));
    m_fleet.writeSettings(host, { { "placement", { { "busy_share", 0.1 + m_plannedRandom.unit() } } } });
    m_fleet.process(host).signal(SIGHUP);
}

// Changes the configuration several times, and reloads the settings of one host after the other, also of one that
// stops.
void FaultSoak::changeInSuccession()
{
    const std::size_t first = m_plannedRandom.below(m_fleet.hostCount());
    for (unsigned change = 0; change < changesInSuccession; ++change) {
        later(change * changeInterval, [this, change, first] {
            changeConfiguration();
            if (change % changesPerReload == 0)
                reload((first + change / changesPerReload) % m_fleet.hostCount());
        });
    }
}

void FaultSoak::stopTwoHosts()
{
    const std::size_t first = m_plannedRandom.below(m_fleet.hostCount());
    const std::size_t second = (first + 1 + m_plannedRandom.below(m_fleet.hostCount() - 1)) % m_fleet.hostCount();
    const auto interval = std::chrono::milliseconds(shortestStopInterval + m_plannedRandom.below(stopIntervalSpread));
    const bool isChanged = m_plannedRandom.unit() < 0.7;
    if (m_disturbed.contains(first) || m_disturbed.contains(second))
        return;
    if (isChanged)
        changeInSuccession();
    stop(first);
    later(interval, [this, second] {
        if (!m_disturbed.contains(second))
            stop(second);
    });
}

void FaultSoak::silenceEndpoint()
{
    const std::size_t index = m_plannedRandom.below(m_fleet.endpointCount());
    const auto duration = std::chrono::milliseconds(shortestSilence + m_plannedRandom.below(silenceSpread));
    note("endpoint " + std::to_string(index) + " is silent for " + std::to_string(duration.count()) + " ms");
    m_fleet.onLoop([this, index] { m_fleet.endpoint(index).setSilent(true); });
    later(duration, [this, index] { m_fleet.onLoop([this, index] { m_fleet.endpoint(index).setSilent(false); }); });
}

void FaultSoak::plannedWork()
{
    const double drawn = m_plannedRandom.unit();
    if (drawn < 0.15)
        stopTwoHosts();
    else if (drawn < 0.3)
        changeInSuccession();
    else
        silenceEndpoint();
}

} // namespace Catkinwell::Testing
