#include "../../experiments/FleetSimulation.h"
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const AccountId account("ramp");

struct Scenario {
    const char* name;
    std::uint64_t seed;
    bool pauses = false;
    bool replacements = false;
    bool storeFaults = false;
    bool outages = false;
    // Single hosts lose the store for up to 150 s, while others may reclaim their allocations.
    bool partitions = false;
    bool messageFaults = false;
    bool rateChanges = false;
    // The validity of standing units is shortened, so that they expire and are reclaimed within the run.
    bool shortStanding = false;
    // All hosts can lend to each other, and each spike goes to one host.
    bool muchLending = false;
};

struct Outcome {
    double excess = 0;
    std::size_t admitted = 0;
    // Tokens admitted divided by rate × time.
    double utilisation = 0;
};

// Runs four hosts in two data centres for 300 s with spikes far above the rate, settles about half of
// the granted requests with random usage, and computes the largest excess over the window bound.
class History {
public:
    History(const Scenario& scenario, const SimulationOptions& options)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_fleet(prepare(scenario, options))
    {
    }

    Outcome run()
    {
        m_fleet.onDecision = [this](RequestId request, bool granted, ShareRefusal) {
            if (granted && oneIn(2))
                m_fleet.at(m_fleet.now() + milliseconds(3000), [this, request] {
                    m_fleet.settle(request, static_cast<TokenCount>(m_random.below(m_sizes[request.value] + 1)));
                });
        };
        const MonotonicTime start = m_fleet.now();
        m_rates.push_back({ start, 1000 });
        m_fleet.configure({ account, 1000, 5000, 1 }, 0s);
        for (int i = 0; i < 4; ++i)
            m_fleet.addHost(m_scenario.muchLending ? 0 : i % 2, "host" + std::to_string(i));
        while (m_fleet.now() < start + 300s) {
            m_fleet.runUntil(m_fleet.now() + milliseconds(200));
            // After each pause of 10 s every bucket is full, so a spike shows whether their sum is too large.
            m_phase = (m_fleet.now() - start) % Duration(20s);
            if (m_phase < 10s)
                m_focus = m_random.below((m_scenario.muchLending ? 1 : 2) * m_fleet.hostCount());
            for (int i = 0; m_phase >= 10s && i < (m_phase < 11s ? 24 : 3); ++i)
                demand();
            injectFaults();
        }
        Outcome outcome;
        const auto& record = m_fleet.record(account);
        outcome.excess = largestExcess(record, m_rates, m_largestBurst);
        outcome.admitted = record.size();
        for (const Admission& admission : record)
            outcome.utilisation += static_cast<double>(admission.tokens) / (1000 * 300.0);
        return outcome;
    }

private:
    static SimulationOptions prepare(const Scenario& scenario, SimulationOptions options)
    {
        options.seed = scenario.seed;
        if (scenario.storeFaults)
            options.lostReply = options.lateWrite = 0.1;
        if (scenario.messageFaults)
            options.lostMessage = options.duplicateMessage = options.lateMessage = 0.2;
        if (scenario.shortStanding) {
            options.shares.standingPpm = 500'000;
            options.shares.standingValidity = 60s;
            options.shares.standingReclaimAfter = 66s;
        }
        return options;
    }

    Duration milliseconds(std::uint64_t below) { return std::chrono::milliseconds(m_random.below(below) + 1); }
    bool oneIn(std::uint64_t count) { return m_random.below(count) == 0; }

    void demand()
    {
        // In half of the spikes (with muchLending, in all), every request goes to one host, which then borrows.
        const std::size_t host = m_focus < m_fleet.hostCount() ? m_focus : m_random.below(m_fleet.hostCount());
        const auto tokens = static_cast<TokenCount>(oneIn(20) ? m_random.below(4000) : m_random.below(400)) + 1;
        if (!m_fleet.isAlive(host) || m_paused[host] > m_fleet.now())
            return;
        // The simulation assigns identifiers in order, so the size can be recorded before an immediate decision.
        m_sizes[++m_requests] = static_cast<std::uint64_t>(tokens);
        m_fleet.reserve(host, account, tokens, milliseconds(4000));
    }

    void injectFaults()
    {
        const std::size_t host = m_random.below(m_fleet.hostCount());
        const bool isUp = m_fleet.isAlive(host) && m_paused[host] <= m_fleet.now();
        if (m_scenario.pauses && isUp && oneIn(150)) {
            // Ends shortly after the start of a spike, when units held by two hosts have the largest effect.
            const Duration time
                = 20s * m_random.below(m_scenario.shortStanding ? 6 : 3) + 30s - m_phase + milliseconds(300);
            m_paused[host] = m_fleet.now() + time;
            m_fleet.pause(host, time);
        }
        if (m_scenario.replacements && isUp && oneIn(200)) {
            if (oneIn(2))
                m_fleet.crash(host);
            else if (!m_fleet.isStopping(host))
                m_fleet.shutDown(host);
            m_fleet.addHost(static_cast<int>(host % 2), "host" + std::to_string(m_fleet.hostCount()));
        }
        if (m_scenario.partitions && isUp && !m_fleet.isCutOff(host) && oneIn(150)) {
            m_fleet.cutOff(host, true);
            m_fleet.at(m_fleet.now() + milliseconds(150'000), [this, host] { m_fleet.cutOff(host, false); });
        }
        if (m_scenario.outages && oneIn(m_fleet.isOut ? 100 : 300))
            m_fleet.isOut = !m_fleet.isOut;
        if (m_scenario.rateChanges && oneIn(200) && m_fleet.now() > m_changeEnds) {
            const double old = m_rates.back().rate;
            const auto rate = static_cast<TokenCount>(200 + m_random.below(2000));
            m_largestBurst = std::max(m_largestBurst, 5.0 * static_cast<double>(rate));
            m_rates.push_back({ m_fleet.now(), std::max(old, static_cast<double>(rate)) });
            // A paused host would apply the change only when it resumes; these scenarios have no pauses.
            m_changeEnds = m_fleet.now() + 5s;
            m_rates.push_back({ m_changeEnds, static_cast<double>(rate) });
            m_fleet.configure({ account, rate, 5 * rate, 1 }, 5s);
        }
    }

    Scenario m_scenario;
    RandomGenerator m_random;
    FleetSimulation m_fleet;
    std::vector<RateFrom> m_rates;
    double m_largestBurst = 5000;
    MonotonicTime m_changeEnds {};
    Duration m_phase {};
    std::size_t m_focus = 0;
    std::uint64_t m_requests = 0;
    std::map<std::uint64_t, std::uint64_t> m_sizes;
    std::map<std::size_t, MonotonicTime> m_paused;
};

const Scenario scenarios[] {
    { .name = "no faults", .seed = 1 },
    { .name = "pauses", .seed = 2, .pauses = true },
    { .name = "replaced hosts", .seed = 3, .replacements = true },
    { .name = "lost replies and late writes", .seed = 4, .storeFaults = true },
    { .name = "outages", .seed = 5, .outages = true },
    { .name = "partitions", .seed = 11, .partitions = true },
    { .name = "partitions and reclaimed standing units", .seed = 12, .partitions = true, .shortStanding = true },
    { .name = "lost, duplicated and late loans", .seed = 6, .messageFaults = true },
    { .name = "much lending", .seed = 10, .messageFaults = true, .muchLending = true },
    { .name = "changed rates", .seed = 7, .messageFaults = true, .rateChanges = true },
    { .name = "reclaimed standing units", .seed = 8, .pauses = true, .replacements = true, .shortStanding = true },
    { .name = "all faults but changed rates",
        .seed = 9,
        .pauses = true,
        .replacements = true,
        .storeFaults = true,
        .outages = true,
        .partitions = true,
        .messageFaults = true,
        .shortStanding = true },
};

} // namespace

// No combination of faults may let all hosts together admit more than rate × time + burst.
TEST_CASE("The window bound holds over all hosts")
{
    // For a longer search, CATKINWELL_HISTORIES sets the number of runs of each scenario, and their excess is printed.
    const char* repeats = std::getenv("CATKINWELL_HISTORIES");
    const int histories = repeats == nullptr ? 12 : std::atoi(repeats);
    for (Scenario scenario : scenarios) {
        for (int repeat = 0; repeat < histories; ++repeat, scenario.seed += 100) {
            const Outcome outcome = History(scenario, {}).run();
            INFO(scenario.name << ", seed " << scenario.seed << ": " << outcome.admitted << " admitted, utilisation "
                               << outcome.utilisation);
            CHECK(outcome.excess <= 0);
            CHECK(outcome.admitted > 50);
            if (repeats != nullptr)
                WARN(scenario.name << " seed " << scenario.seed << " excess " << outcome.excess << " utilisation "
                                   << outcome.utilisation);
        }
    }
}

// Verifies that the checker detects each kind of violation.
TEST_CASE("The window checker detects defective hosts")
{
    SimulationOptions startsFull;
    startsFull.startsFull = true;
    SimulationOptions ignoresLease;
    ignoresLease.ignoresLeaseEnd = true;
    // If standing units are reclaimed before their validity ends, two hosts hold them at once.
    SimulationOptions reclaimsEarly;
    reclaimsEarly.shares.standingPpm = 500'000;
    reclaimsEarly.shares.standingReclaimAfter = 0s;
    SimulationOptions duplicates;
    duplicates.creditsDuplicateLoans = true;
    duplicates.duplicateMessage = 1;
    const struct {
        const char* fault;
        Scenario scenario;
        SimulationOptions options;
    } broken[] {
        { "a bucket that starts full", { .name = "", .seed = 3, .replacements = true }, startsFull },
        { "a holder that ignores the end of its lease", { .name = "", .seed = 2, .pauses = true }, ignoresLease },
        { "standing units reclaimed too early", { .name = "", .seed = 12, .partitions = true }, reclaimsEarly },
        { "a duplicated loan credited twice", { .name = "", .seed = 6, .muchLending = true }, duplicates },
    };
    for (const auto& [fault, scenario, options] : broken) {
        double worst = -1e9;
        for (std::uint64_t i = 0; i < 25 && worst <= 0; ++i) {
            Scenario repeated = scenario;
            repeated.seed += 100 * i;
            worst = std::max(worst, History(repeated, options).run().excess);
        }
        INFO(fault);
        CHECK(worst > 0);
    }
}
