#include "fleet/FaultSoak.h"

#include "fleet/KeptCallers.h"
#include "fleet/SlowCallers.h"
#include <array>
#include <csignal>
#include <numeric>

namespace Catkinwell::Testing {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t callers = 12;
    constexpr std::size_t keptCallers = 6;
    constexpr std::chrono::milliseconds keptPatience = 8s;
    constexpr std::size_t slowCallers = 3;
    constexpr std::size_t stayingCallers = 4;
    constexpr std::uint64_t plannedSeedFactor = 7919;
    constexpr std::uint64_t worldSeedFactor = 104729;
    constexpr std::uint64_t shortestPlannedPause = 400;
    constexpr std::uint64_t plannedPauseSpread = 1600;
    constexpr std::uint64_t shortestSeriesPause = 1000;
    constexpr std::uint64_t seriesPauseSpread = 4000;
    constexpr std::uint64_t shortestPause = 150;
    constexpr std::uint64_t pauseSpread = 1200;
    // The maximum time until a host is ready after the end of all faults.
    constexpr auto recoveryBound = 12s;
    constexpr auto configurationBound = 2s;
    // Of a host that does not come back.
    constexpr std::size_t logLinesShown = 40;
    constexpr std::size_t plainEndpoints = 3;
    constexpr unsigned brittleSlots = 2;
    constexpr auto brittleProcessingTime = 120ms;
    constexpr unsigned defaultSlots = 16;
    constexpr auto defaultProcessingTime = 10ms;
    constexpr auto pauseOfDeadlyCaller = 80ms;
    // How long after a restore of the store the operator's configuration is written again.
    constexpr auto rewriteTime = 300ms;

} // namespace

// A kind of fault and its relative frequency.
struct FaultSoak::Fault {
    unsigned weight;
    void (FaultSoak::*inject)();
};

FaultSoak::FaultSoak(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
    , m_plannedRandom(seed * plannedSeedFactor)
    , m_worldRandom(seed * worldSeedFactor)
    , m_fleet({ 4, plainEndpoints, 4, seed, seed % 2 == 0 })
    , m_startedAt(std::chrono::steady_clock::now())
{
}

void FaultSoak::note(const std::string& text)
{
    const auto at
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt);
    m_report.faults.push_back(std::to_string(at.count()) + " ms: " + text);
}

void FaultSoak::later(std::chrono::milliseconds delay, std::function<void()> undo)
{
    m_undo.emplace_back(std::chrono::steady_clock::now() + delay, std::move(undo));
}

void FaultSoak::undoDue(bool isAll)
{
    const auto now = std::chrono::steady_clock::now();
    auto entries = std::exchange(m_undo, {});
    for (auto& entry : entries) {
        if (isAll || now >= entry.first)
            entry.second();
        else
            m_undo.push_back(std::move(entry));
    }
}

std::function<void()> FaultSoak::disturb(std::optional<std::size_t> host, DisturbanceCause cause)
{
    const std::size_t disturbance = m_disturbances.begin(host, SystemClock().monotonicNow(), cause);
    return [this, disturbance] { m_disturbances.end(disturbance, SystemClock().monotonicNow()); };
}

void FaultSoak::killHost()
{
    const std::size_t host = m_random.below(m_fleet.hostCount());
    const auto pause = std::chrono::milliseconds(100 + m_random.below(2500));
    if (!m_disturbed.insert(host).second)
        return;
    note("kill host " + std::to_string(host));
    const auto calm = disturb(host);
    m_fleet.process(host).signal(SIGKILL);
    later(pause, [this, host, calm] {
        startAgain(host);
        calm();
        m_disturbed.erase(host);
    });
}

void FaultSoak::stopHost()
{
    const std::size_t host = m_random.below(m_fleet.hostCount());
    if (!m_disturbed.contains(host))
        stop(host);
}

void FaultSoak::freezeHost()
{
    const std::size_t host = m_random.below(m_fleet.hostCount());
    const auto duration = std::chrono::milliseconds(200 + m_random.below(4500));
    if (!m_disturbed.insert(host).second)
        return;
    note("freeze host " + std::to_string(host) + " for " + std::to_string(duration.count()) + " ms");
    const auto calm = disturb(host);
    m_fleet.process(host).signal(SIGSTOP);
    later(duration, [this, host, calm] {
        m_fleet.process(host).signal(SIGCONT);
        calm();
        m_disturbed.erase(host);
    });
}

void FaultSoak::changeSettings() { reload(m_random.below(m_fleet.hostCount()), m_random); }

void FaultSoak::changeConfiguration()
{
    note("configuration " + std::to_string(m_version + 1));
    m_fleet.configure(++m_version);
}

void FaultSoak::disturbStore()
{
    const std::size_t host = m_random.below(m_fleet.hostCount());
    const bool isForAll = m_random.unit() < 0.4;
    const std::uint64_t kind = m_random.below(4);
    const auto duration = std::chrono::milliseconds(300 + m_random.below(3500));
    constexpr std::array<const char*, 4> names { "is down", "is slow", "loses answers", "forgets its history" };
    note(std::string("the store ") + names[kind] + (isForAll ? " for all" : " for host " + std::to_string(host))
        + " for " + std::to_string(duration.count()) + " ms");
    const auto change = [this, host, isForAll](const StoreFaults& faults) {
        m_fleet.onLoop([this, host, isForAll, faults] {
            for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
                if (isForAll || i == host)
                    m_fleet.store().faults(i) = faults;
            }
        });
    };
    StoreFaults faults;
    faults.isDown = kind == 0;
    faults.delay = kind == 1 ? 250ms : 0ms;
    faults.lostAnswers = kind == 2 ? 6 : 0;
    faults.lostHistories = kind == 3 ? 3 : 0;
    const auto calm = disturb(isForAll ? std::nullopt : std::optional(host));
    change(faults);
    later(duration, [change, calm] {
        change({});
        calm();
    });
}

// The store comes back from a copy that is some seconds old. The operator's configuration is written again.
void FaultSoak::restoreStore()
{
    const auto age = std::chrono::milliseconds(200 + m_random.below(4000));
    note("the store goes back to this moment in " + std::to_string(age.count()) + " ms");
    m_fleet.onLoop([this] { m_fleet.store().saveCopy(); });
    later(age, [this] {
        const auto calm = disturb(std::nullopt);
        m_fleet.onLoop([this] { m_fleet.store().restore(); });
        note("the store was restored");
        later(rewriteTime, [this, calm] {
            m_fleet.configure(m_version);
            calm();
        });
    });
}

void FaultSoak::disturbLink()
{
    const std::size_t kind = m_random.below(4);
    const std::size_t index = m_random.below(kind == 2 ? m_fleet.endpointCount() : m_fleet.hostCount());
    const std::size_t state = m_random.below(4);
    const auto duration = std::chrono::milliseconds(200 + m_random.below(3500));
    constexpr std::array<const char*, 4> names { "store link", "peer link", "endpoint link", "relay link" };
    constexpr std::array<const char*, 4> states { "reset", "delayed", "silent", "silent towards the caller" };
    note(std::string(names[kind]) + " " + std::to_string(index) + " " + states[state] + " for "
        + std::to_string(duration.count()) + " ms");
    const auto change = [this, kind, index](LinkState wanted, bool isReset) {
        m_fleet.onLoop([this, kind, index, wanted, isReset] {
            FaultProxy& link = kind == 0 ? m_fleet.storeLink(index)
                : kind == 1              ? m_fleet.peerLink(index)
                : kind == 2              ? m_fleet.endpointLink(index)
                                         : m_fleet.relayLink(index);
            link.setState(wanted);
            if (isReset)
                link.resetConnections();
        });
    };
    constexpr std::array<LinkState, 4> wanted { LinkState::Open, LinkState::Delayed, LinkState::Silent,
        LinkState::SilentToCaller };
    const MonotonicTime from = SystemClock().monotonicNow();
    const auto calm = kind == 2 ? std::function<void()>([this, from] {
        m_lostNotices.push_back({ {}, from, SystemClock().monotonicNow() });
    })
                                : disturb(index);
    change(wanted[state], state == 0);
    later(duration, [change, calm] {
        change(LinkState::Open, false);
        calm();
    });
}

void FaultSoak::disturbEndpoint()
{
    const std::size_t index = m_random.below(m_fleet.endpointCount());
    const auto duration = std::chrono::milliseconds(500 + m_random.below(4000));
    const bool isUnlisted = m_random.unit() < 0.4;
    const EndpointFaults faults { m_random.unit() * 0.5, m_random.unit() * 0.5, m_random.unit() * 0.5,
        m_random.unit() * 0.2 };
    note("endpoint " + std::to_string(index) + (isUnlisted ? " leaves for " : " fails requests for ")
        + std::to_string(duration.count()) + " ms");
    m_fleet.onLoop([this, index, isUnlisted, &faults] {
        if (isUnlisted)
            m_fleet.setListed(index, false);
        else
            m_fleet.endpoint(index).faults = faults;
    });
    later(duration, [this, index] {
        m_fleet.onLoop([this, index] {
            m_fleet.setListed(index, true);
            m_fleet.endpoint(index).faults = {};
        });
    });
}

void FaultSoak::losePath()
{
    constexpr std::array<std::pair<LinkState, const char*>, 4> kinds { {
        { LinkState::Silent, "silent" },
        { LinkState::Refused, "reset" },
        { LinkState::SilentWhenNew, "silent when new" },
        { LinkState::RefusedWhenNew, "reset when new" },
    } };
    const auto& [state, name] = kinds[m_random.below(kinds.size())];
    PathLoss loss { { m_random.below(m_fleet.hostCount()), m_random.below(m_fleet.hostCount()) },
        SystemClock().monotonicNow(), {} };
    const auto duration = std::chrono::milliseconds(1000 + m_random.below(7000));
    for (const std::size_t host : loss.hosts) {
        note("host " + std::to_string(host) + " has no path to endpoints (" + name + ") for "
            + std::to_string(duration.count()) + " ms");
        m_fleet.setPath(host, state);
    }
    later(duration, [this, loss]() mutable {
        loss.until = SystemClock().monotonicNow();
        for (const std::size_t host : loss.hosts)
            m_fleet.setPath(host, std::nullopt);
        m_pathLosses.push_back(loss);
        m_lostNotices.push_back(loss);
    });
}

void FaultSoak::sendDeadlyRequest()
{
    const std::string number = std::to_string(m_deadlyCallers.size());
    const std::string path = (m_random.unit() < 0.6 ? "/note/deadly-" : "/read/deadly-") + number;
    const auto duration = std::chrono::milliseconds(2000 + m_random.below(5000));
    note("a caller repeats " + path + ", which ends endpoints, for " + std::to_string(duration.count()) + " ms");
    auto caller = std::make_unique<RepeatingCaller>(m_fleet, path, pauseOfDeadlyCaller, m_random.next());
    later(duration, [caller = caller.get()] { caller->stop(); });
    m_deadlyCallers.push_back(std::move(caller));
}

void FaultSoak::makeBrittle()
{
    const auto rejections = static_cast<unsigned>(1 + m_random.below(5));
    const auto duration = std::chrono::milliseconds(3500 + m_random.below(4000));
    if (std::exchange(m_areBrittle, true))
        return;
    note("the plain endpoints bear " + std::to_string(rejections) + " rejections a second for "
        + std::to_string(duration.count()) + " ms");
    const auto change = [this](unsigned slots, Duration processingTime, std::optional<unsigned> stated) {
        m_fleet.onLoop([this, slots, processingTime, stated] {
            for (std::size_t i = 0; i < plainEndpoints; ++i) {
                m_fleet.endpoint(i).setCapacity(slots, processingTime);
                m_fleet.endpoint(i).setBrittle(stated);
            }
        });
    };
    const MonotonicTime from = SystemClock().monotonicNow();
    change(brittleSlots, brittleProcessingTime, rejections);
    later(duration, [this, change, from] {
        change(defaultSlots, defaultProcessingTime, std::nullopt);
        m_brittleTimes.push_back({ from, SystemClock().monotonicNow(), plainEndpoints });
        m_areBrittle = false;
    });
}

void FaultSoak::askForPause()
{
    const std::size_t index = m_random.below(m_fleet.endpointCount());
    const auto pause = std::chrono::milliseconds(700 + m_random.below(3000));
    const auto duration = std::chrono::milliseconds(200 + m_random.below(4000));
    note("endpoint " + std::to_string(index) + " asks for pauses of " + std::to_string(pause.count()) + " ms for "
        + std::to_string(duration.count()) + " ms");
    m_fleet.onLoop([this, index, pause] { m_fleet.endpoint(index).setPause(pause); });
    later(
        duration, [this, index] { m_fleet.onLoop([this, index] { m_fleet.endpoint(index).setPause(std::nullopt); }); });
}

void FaultSoak::announceLeaving()
{
    const std::size_t index = m_random.below(m_fleet.endpointCount());
    const auto duration = std::chrono::milliseconds(2500 + m_random.below(4000));
    note("endpoint " + std::to_string(index) + " says that it leaves and ends in " + std::to_string(duration.count())
        + " ms");
    m_fleet.onLoop([this, index] { m_fleet.endpoint(index).announceLeaving(); });
    later(duration, [this, index] { m_fleet.onLoop([this, index] { m_fleet.endpoint(index).restart(); }); });
}

void FaultSoak::injectOne()
{
    static constexpr std::array<Fault, 14> faults { {
        { 4, &FaultSoak::killHost },
        { 2, &FaultSoak::stopHost },
        { 4, &FaultSoak::freezeHost },
        { 1, &FaultSoak::changeSettings },
        { 2, &FaultSoak::changeConfiguration },
        { 4, &FaultSoak::disturbStore },
        { 3, &FaultSoak::restoreStore },
        { 5, &FaultSoak::disturbLink },
        { 4, &FaultSoak::disturbEndpoint },
        { 4, &FaultSoak::losePath },
        { 2, &FaultSoak::sendDeadlyRequest },
        { 2, &FaultSoak::makeBrittle },
        { 3, &FaultSoak::askForPause },
        { 2, &FaultSoak::announceLeaving },
    } };
    constexpr unsigned total = std::accumulate(
        faults.begin(), faults.end(), 0U, [](unsigned sum, const Fault& fault) { return sum + fault.weight; });
    std::uint64_t drawn = m_random.below(total);
    for (const Fault& fault : faults) {
        if (drawn < fault.weight) {
            (this->*fault.inject)();
            return;
        }
        drawn -= fault.weight;
    }
}

// Waits until no request is open, since a request may be on its way when its caller gives up.
void FaultSoak::countRequests()
{
    for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
        RequestAccounts accounts;
        eventually(
            [&] {
                accounts = m_fleet.accounts(i, "end of the load");
                return accounts.read == accounts.ended;
            },
            recoveryBound);
        m_accounts.push_back(accounts);
    }
}

void FaultSoak::check(const std::vector<CallerRequest>& usual, const std::vector<CallerRequest>& stubborn)
{
    auto requests = usual;
    requests.insert(requests.end(), stubborn.begin(), stubborn.end());
    const EndpointHistory records = m_fleet.records();
    std::vector<CallerRequest> deadly;
    for (const auto& caller : m_deadlyCallers) {
        const auto own = caller->stop();
        deadly.insert(deadly.end(), own.begin(), own.end());
    }
    for (const auto& broken :
        { findViolations(requests, records, m_fleet), findUnservedCallers(usual, m_pathLosses, m_disturbances),
            findRepeatedCrashes(deadly, records, m_disturbances),
            findFalls(requests, records, m_brittleTimes, m_disturbances),
            findUnwantedRequests(requests, records, m_lostNotices, m_disturbances),
            findLostRequests(requests, records, m_stops, m_lostNotices, m_disturbances.withoutPlannedWork()),
            findOpenRequests(m_accounts), findUnansweredRequests(requests, CallerLoad::usualPatience, m_disturbances) })
        m_report.broken.insert(m_report.broken.end(), broken.begin(), broken.end());
}

SoakReport FaultSoak::run(std::chrono::milliseconds duration)
{
    CallerLoad load(m_fleet, callers, m_seed);
    KeptCallers kept(m_fleet, keptCallers, m_seed, keptPatience);
    const bool hasSlowCallers = m_worldRandom.unit() < 0.5;
    const bool hasStayingCallers = m_worldRandom.unit() < 0.5;
    const bool hasSeries = m_worldRandom.unit() < 0.5;
    SlowCallers slow(m_fleet, hasSlowCallers ? slowCallers : 0, m_seed, keptPatience);
    KeptCallers staying(
        m_fleet, hasStayingCallers ? stayingCallers : 0, m_seed, keptPatience, KeptHabit::StaysUntilGone);
    const auto end = std::chrono::steady_clock::now() + duration;
    auto nextFault = std::chrono::steady_clock::now();
    auto nextPlanned = nextFault;
    const auto seriesPause
        = [this] { return std::chrono::milliseconds(shortestSeriesPause + m_worldRandom.below(seriesPauseSpread)); };
    auto nextSeries = nextFault + seriesPause();
    while (std::chrono::steady_clock::now() < end) {
        undoDue(false);
        if (std::chrono::steady_clock::now() >= nextFault) {
            injectOne();
            nextFault += std::chrono::milliseconds(shortestPause + m_random.below(pauseSpread));
        }
        if (std::chrono::steady_clock::now() >= nextPlanned) {
            plannedWork();
            nextPlanned += std::chrono::milliseconds(shortestPlannedPause + m_plannedRandom.below(plannedPauseSpread));
        }
        if (hasSeries && !m_isInSeries && std::chrono::steady_clock::now() >= nextSeries) {
            m_isInSeries = true;
            stopNext(m_worldRandom.below(m_fleet.hostCount()), m_fleet.hostCount());
            nextSeries += seriesPause();
        }
        std::this_thread::sleep_for(10ms);
    }
    m_isEnding = true;
    while (!m_undo.empty()) {
        undoDue(false);
        std::this_thread::sleep_for(10ms);
    }
    for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
        if (eventually([this, i] { return m_fleet.isReady(i); }, recoveryBound))
            continue;
        const std::string host = "host " + std::to_string(i);
        ChildProcess& process = m_fleet.process(i);
        m_report.broken.push_back(host + " did not come back");
        m_report.faults.push_back(host + ": the process " + process.state() + "\n" + process.lastLines(logLinesShown));
    }
    changeConfiguration();
    for (std::size_t i = 0; i < m_fleet.hostCount(); ++i) {
        const auto isInForce
            = [this, i] { return m_fleet.status(i).value("configuration", std::uint64_t { 0 }) == m_version; };
        if (!eventually(isInForce, configurationBound))
            m_report.broken.push_back("host " + std::to_string(i) + " does not have configuration "
                + std::to_string(m_version) + " after all faults");
    }
    auto requests = load.stop();
    const auto ofKept = kept.stop();
    requests.insert(requests.end(), ofKept.begin(), ofKept.end());
    auto stubborn = slow.stop();
    const auto ofStaying = staying.stop();
    stubborn.insert(stubborn.end(), ofStaying.begin(), ofStaying.end());
    countRequests();
    check(requests, stubborn);
    requests.insert(requests.end(), stubborn.begin(), stubborn.end());
    m_report.requests = requests.size();
    for (const CallerRequest& request : requests)
        m_report.served += request.answer.status == 200 && request.answer.complete ? 1 : 0;
    return m_report;
}

} // namespace Catkinwell::Testing
