// Compares rate shares with simpler limiters on the same seeded demand: wrongful refusals (the request is refused
// although a single fleet-wide bucket with the account's rate and burst would admit it at its arrival), tokens
// admitted, and the largest excess over rate × time + burst. There are four hosts in three data centres.
#include "FleetSimulation.h"

#include <catkinwell/core/EnumNames.h>
#include <cstdio>
#include <cstdlib>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr TokenCount rate = 1000;
constexpr TokenCount burst = 10000;
constexpr std::size_t hostCount = 4;
constexpr Duration reservationTimeout = 1s;
constexpr Duration traceLength = 900s;
constexpr Duration outageStart = 360s;
constexpr Duration outageEnd = 540s;
const AccountId account("account");

enum class Demand {
    Skewed,
    Moving,
    Overload,
    Spikes,
};

constexpr EnumNames<Demand, 4> demandNames { {
    { Demand::Skewed, "skewed" },
    { Demand::Moving, "moving" },
    { Demand::Overload, "overload" },
    { Demand::Spikes, "spikes" },
} };

struct TraceEntry {
    Duration at;
    std::size_t host = 0;
    TokenCount reserved = 0;
    TokenCount used = 0;
};

// The demand in tokens per second as a fraction of the rate. Usage is 60% of the reservation on average.
double intensity(Demand demand, Duration at)
{
    if (demand == Demand::Overload)
        return 4;
    if (demand == Demand::Spikes)
        return at % Duration(60s) < 10s ? 4 : 0.4;
    return 0.9;
}

std::vector<TraceEntry> makeTrace(Demand demand, std::uint64_t seed)
{
    static constexpr double parts[] { 0.7, 0.85, 0.95, 1.0 };
    RandomGenerator random(seed);
    std::vector<TraceEntry> trace;
    // All clients start after the hosts, as they would behind a load balancer with readiness checks.
    Duration at = 15s;
    while (at < traceLength) {
        const auto size = static_cast<TokenCount>(50 + random.below(301));
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            2 * random.unit() * static_cast<double>(size) / (intensity(demand, at) * rate)));
        const double point = random.unit();
        std::size_t host = 0;
        while (point >= parts[host])
            ++host;
        if (demand != Demand::Skewed)
            host = (host + static_cast<std::size_t>(at / 60s)) % hostCount;
        const auto used = static_cast<TokenCount>(static_cast<double>(size) * (0.2 + 0.8 * random.unit()));
        trace.push_back({ at, host, size, used });
    }
    return trace;
}

bool isInOutage(bool withOutage, Duration at) { return withOutage && at >= outageStart && at < outageEnd; }

struct Outcome {
    std::vector<bool> admitted;
    double excess = 0;
};

// Serves the trace with a single bucket for the whole fleet. With the outage, the bucket models a central counter that
// needs the store for each request.
Outcome runSingleBucket(const std::vector<TraceEntry>& trace, bool withOutage)
{
    const MonotonicTime start { 1h };
    TokenBucket bucket(start, 65536);
    bucket.setLimits(rate * 1'000'000, burst * 1'000'000, start);
    struct Open {
        MonotonicTime end;
        TokenBucket::Reservation reservation;
        const TraceEntry* entry;
    };
    std::deque<Open> open;
    std::vector<Admission> record;
    Outcome outcome;
    for (const TraceEntry& entry : trace) {
        const MonotonicTime now = start + entry.at;
        for (; !open.empty() && open.front().end <= now; open.pop_front())
            bucket.settle(
                open.front().reservation, open.front().entry->reserved, open.front().entry->used, open.front().end);
        const bool isOut = isInOutage(withOutage, entry.at);
        const auto reservation = isOut ? std::nullopt : bucket.reserve(entry.reserved, now);
        outcome.admitted.push_back(reservation.has_value());
        if (reservation) {
            open.push_back({ now + 2s, *reservation, &entry });
            record.push_back({ now, entry.used });
        }
    }
    outcome.excess = largestExcess(record, { { start, rate } }, burst);
    return outcome;
}

Outcome runShares(const std::vector<TraceEntry>& trace, bool withOutage, const ShareOptions& shares, std::uint64_t seed,
    bool acrossDataCentres = false)
{
    SimulationOptions options;
    options.seed = seed;
    options.shares = shares;
    options.lendsAcrossDataCentres = acrossDataCentres;
    FleetSimulation fleet(options);
    const MonotonicTime start = fleet.now();
    Outcome outcome;
    outcome.admitted.resize(trace.size());
    // The simulation numbers its requests from 1 in the order of the trace.
    fleet.onDecision = [&](RequestId request, bool granted, ShareRefusal) {
        outcome.admitted[request.value - 1] = granted;
        if (granted)
            fleet.at(
                fleet.now() + 2s, [&fleet, &trace, request] { fleet.settle(request, trace[request.value - 1].used); });
    };
    fleet.configure({ account, rate, burst, 1 }, 0s);
    for (std::size_t i = 0; i < hostCount; ++i)
        fleet.addHost(static_cast<int>(i % 3), "host" + std::to_string(i));
    for (const TraceEntry& entry : trace) {
        fleet.at(start + entry.at,
            [&fleet, &entry] { fleet.reserve(entry.host, account, entry.reserved, reservationTimeout); });
    }
    if (withOutage) {
        fleet.at(start + outageStart, [&fleet] { fleet.isOut = true; });
        fleet.at(start + outageEnd, [&fleet] { fleet.isOut = false; });
    }
    fleet.runUntil(start + traceLength + 10s);
    outcome.excess = largestExcess(fleet.record(account), { { start, rate } }, burst);
    return outcome;
}

void print(const char* name, const std::vector<TraceEntry>& trace, const Outcome& outcome, const Outcome& ideal)
{
    std::size_t wrongful = 0;
    std::size_t refused = 0;
    double tokens = 0;
    double idealTokens = 0;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        wrongful += ideal.admitted[i] && !outcome.admitted[i] ? 1 : 0;
        refused += outcome.admitted[i] ? 0 : 1;
        tokens += outcome.admitted[i] ? static_cast<double>(trace[i].used) : 0;
        idealTokens += ideal.admitted[i] ? static_cast<double>(trace[i].used) : 0;
    }
    std::printf("  %-34s %7zu %7zu %8.2f%% %9.1f%% %10.0f\n", name, refused, wrongful,
        100.0 * static_cast<double>(wrongful) / static_cast<double>(trace.size()), 100 * tokens / idealTokens,
        outcome.excess);
}

ShareOptions sharesWith(std::uint32_t standingPpm, bool lending)
{
    ShareOptions options;
    options.standingPpm = standingPpm;
    options.lending = lending;
    return options;
}

} // namespace

// Usage: RateShares [seed]
int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    std::printf(
        "seed %llu, rate %lld, burst %lld, 4 hosts, 3 data centres, 900 s, outage of the store 360 s to 540 s\n",
        static_cast<unsigned long long>(seed), static_cast<long long>(rate), static_cast<long long>(burst));
    std::printf("  %-34s %7s %7s %9s %10s %10s\n", "", "refused", "wrongly", "of all", "tokens", "excess");
    for (const auto& [demand, name] : demandNames.entries) {
        for (const bool withOutage : { false, true }) {
            const auto trace = makeTrace(demand, seed);
            const Outcome ideal = runSingleBucket(trace, false);
            std::printf(
                "%s%s, %zu requests\n", std::string(name).c_str(), withOutage ? " with outage" : "", trace.size());
            print("single bucket (reference)", trace, ideal, ideal);
            print("central counter", trace, runSingleBucket(trace, withOutage), ideal);
            print("static division", trace, runShares(trace, withOutage, sharesWith(1'000'000, false), seed), ideal);
            print("leased, no standing part", trace, runShares(trace, withOutage, sharesWith(0, false), seed), ideal);
            print("leased, standing, no lending", trace, runShares(trace, withOutage, sharesWith(200'000, false), seed),
                ideal);
            print("full mechanism", trace, runShares(trace, withOutage, sharesWith(200'000, true), seed), ideal);
            print("full, all hosts of the region lend", trace,
                runShares(trace, withOutage, sharesWith(200'000, true), seed, true), ideal);
        }
    }
    return 0;
}
