#include "fleet/FaultSoak.h"

#include <csignal>

// Faults of the soak that the platform takes for no trouble: planned stops, changes, and endpoints that pause.
namespace Catkinwell::Testing {

using namespace std::chrono_literals;

namespace {

    // When a host must have ended after SIGTERM.
    constexpr auto stopTime = 9s;
    constexpr unsigned changesInSuccession = 8;
    constexpr auto changeInterval = 130ms;
    constexpr unsigned changesPerReload = 2;
    constexpr std::uint64_t shortestSilence = 800;
    constexpr std::uint64_t silenceSpread = 1000;
    constexpr auto endInterval = 50ms;
    constexpr std::uint64_t longestSeriesStep = 600;
    constexpr std::uint64_t shortestStopInterval = 300;
    constexpr std::uint64_t stopIntervalSpread = 3000;

} // namespace

std::function<void()> FaultSoak::beginStop(std::size_t host)
{
    m_disturbed.insert(host);
    note("stop host " + std::to_string(host));
    m_stops.push_back({ host, SystemClock().monotonicNow() });
    auto calm = disturb(host, DisturbanceCause::PlannedWork);
    m_fleet.process(host).signal(SIGTERM);
    return calm;
}

void FaultSoak::endStop(std::size_t host, const std::function<void()>& calm)
{
    if (m_fleet.process(host).waitForExit(0ms) != 0)
        m_report.broken.push_back("host " + std::to_string(host) + " did not end in time after SIGTERM");
    if (const auto accounts = m_fleet.accountsAtEnd(host))
        m_accounts.push_back(*accounts);
    startAgain(host);
    calm();
    m_disturbed.erase(host);
}

void FaultSoak::stop(std::size_t host)
{
    later(stopTime, [this, host, calm = beginStop(host)] { endStop(host, calm); });
}

void FaultSoak::awaitEnd(std::size_t host, MonotonicTime latest, std::function<void()> whenEnded)
{
    later(endInterval, [this, host, latest, whenEnded = std::move(whenEnded)] {
        if (m_fleet.process(host).isRunning() && SystemClock().monotonicNow() < latest)
            awaitEnd(host, latest, whenEnded);
        else
            whenEnded();
    });
}

void FaultSoak::stopBriefly(std::size_t host, std::function<void()> whenStarted)
{
    awaitEnd(host, SystemClock().monotonicNow() + stopTime,
        [this, host, calm = beginStop(host), whenStarted = std::move(whenStarted)] {
            endStop(host, calm);
            whenStarted();
        });
}

// Stops one host after the other, as an upgrade does, while an endpoint falls silent and the configuration changes.
// Hosts that are disturbed are left out.
void FaultSoak::stopNext(std::size_t host, std::size_t left)
{
    const auto pause = std::chrono::milliseconds(m_worldRandom.below(longestSeriesStep));
    const bool isChanged = m_worldRandom.unit() < 0.5;
    m_isInSeries = left > 0 && !m_isEnding;
    if (!m_isInSeries)
        return;
    const auto next = [this, host, left] { stopNext((host + 1) % m_fleet.hostCount(), left - 1); };
    if (m_disturbed.contains(host)) {
        next();
        return;
    }
    silenceEndpoint(m_worldRandom);
    if (isChanged)
        changeInSuccession(m_worldRandom);
    stopBriefly(host, [this, pause, next] { later(pause, next); });
}

void FaultSoak::startAgain(std::size_t host)
{
    m_fleet.start(host);
    m_fleet.process(host).waitUntilBegun();
}

void FaultSoak::reload(std::size_t host, RandomGenerator& random)
{
    note("reload the settings of host " + std::to_string(host));
    m_fleet.writeSettings(host, { { "placement", { { "busy_share", 0.1 + random.unit() } } } });
    m_fleet.process(host).signal(SIGHUP);
}

// Changes the configuration several times, and reloads the settings of one host after the other, also of one that
// stops.
void FaultSoak::changeInSuccession(RandomGenerator& random)
{
    const std::size_t first = random.below(m_fleet.hostCount());
    for (unsigned change = 0; change < changesInSuccession; ++change) {
        later(change * changeInterval, [this, change, first, &random] {
            changeConfiguration();
            if (change % changesPerReload == 0)
                reload((first + change / changesPerReload) % m_fleet.hostCount(), random);
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
        changeInSuccession(m_plannedRandom);
    stop(first);
    later(interval, [this, second] {
        if (!m_disturbed.contains(second))
            stop(second);
    });
}

void FaultSoak::silenceEndpoint(RandomGenerator& random)
{
    const std::size_t index = random.below(m_fleet.endpointCount());
    const auto duration = std::chrono::milliseconds(shortestSilence + random.below(silenceSpread));
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
        changeInSuccession(m_plannedRandom);
    else
        silenceEndpoint(m_plannedRandom);
}

} // namespace Catkinwell::Testing
