// Compares the idle policy with fixed timeouts and with keeping every model loaded, on seeded arrival traces at the
// sizes of both users' fleets. Usage: IdlePolicyCost [seed] [days]
//
// Every request runs for 5 s. Models load through four slots in the order of their requests; an adapter loads in 30 ms
// after its base model. Memory is unlimited, so nothing is evicted. Idle hours are the hours in which a model is loaded
// and runs nothing, multiplied by its fraction of an engine's memory.
#include <algorithm>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/IdlePolicy.h>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <queue>
#include <string>
#include <vector>

using namespace Catkinwell;

namespace {

constexpr double runSeconds = 5;
constexpr double day = 86400;
// A request after a longer gap starts a new period of use.
constexpr double sessionGapSeconds = 60;
constexpr std::uint64_t engineMemory = 80ULL << 30;

struct User {
    const char* name;
    int models;
    int adapters;
};

struct Arrival {
    double at;
    std::size_t model;
};

struct Trace {
    FleetConfiguration fleet;
    std::vector<ModelSettings> models;
    // The index of the base model; for a base model, its own index.
    std::vector<std::size_t> bases;
    std::vector<Arrival> arrivals;
    double end = 0;
};

double exponential(RandomGenerator& random, double mean) { return -mean * std::log(1 - random.unit()); }

double logUniform(RandomGenerator& random, double low, double high)
{
    return low * std::pow(high / low, random.unit());
}

// 35% of the models have rare random requests, 25% bursty, 20% periodic and 20% diurnal ones.
void addArrivals(Trace& trace, std::size_t model, RandomGenerator& random)
{
    const double kind = random.unit();
    const auto add = [&](double at) {
        if (at < trace.end)
            trace.arrivals.push_back({ at, model });
    };
    if (kind < 0.35) {
        const double mean = logUniform(random, 2 * 3600, day);
        for (double at = exponential(random, mean); at < trace.end; at += exponential(random, mean))
            add(at);
    } else if (kind < 0.6) {
        const double mean = logUniform(random, 3600, 6 * 3600);
        for (double at = exponential(random, mean); at < trace.end; at += exponential(random, mean)) {
            double inBurst = at;
            do {
                add(inBurst);
                inBurst += exponential(random, 20);
            } while (random.unit() < 0.9);
        }
    } else if (kind < 0.8) {
        const double period = logUniform(random, 1800, 6 * 3600);
        for (double at = period * random.unit(); at < trace.end; at += period)
            add(std::max(0.0, at + period * 0.02 * (random.unit() - 0.5)));
    } else {
        const double mean = logUniform(random, 180, 1200);
        const double opens = 6 * 3600 + 4 * 3600 * random.unit();
        for (double at = 0; at < trace.end; at += exponential(random, mean)) {
            const double hour = std::fmod(at, day);
            if (hour >= opens && hour < opens + 12 * 3600)
                add(at);
        }
    }
}

Trace makeTrace(const User& user, std::uint64_t seed, double days)
{
    RandomGenerator random(seed);
    Trace trace;
    trace.end = days * day;
    EndpointSettings endpoint;
    endpoint.memoryBytes = engineMemory;
    trace.fleet.endpoints[endpoint.id] = endpoint;
    for (int index = 0; index < user.models + user.adapters; ++index) {
        ModelSettings model;
        model.id = ModelId("model-" + std::to_string(index));
        const bool isAdapter = index >= user.models;
        const std::size_t base = isAdapter ? random.below(static_cast<std::uint64_t>(user.models)) : index;
        const double part = isAdapter ? 0.005 : 0.1 + 0.2 * random.unit();
        model.memoryBytes = static_cast<std::uint64_t>(part * static_cast<double>(engineMemory));
        model.expectedLoadTime = std::chrono::milliseconds(isAdapter ? 30 : static_cast<int>(100000 * part));
        if (isAdapter)
            model.baseModel = trace.models[base].id;
        trace.fleet.models[model.id] = model;
        trace.models.push_back(model);
        trace.bases.push_back(base);
        addArrivals(trace, static_cast<std::size_t>(index), random);
    }
    std::sort(trace.arrivals.begin(), trace.arrivals.end(),
        [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    return trace;
}

MonotonicTime timeOf(double seconds)
{
    return MonotonicTime(std::chrono::hours(1))
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// How long a model stays loaded after its last use. Negative values mean forever.
struct Strategy {
    std::string name;
    // The idle policy ignores this value.
    double fixedSeconds = 0;
    bool usesPolicy = false;
    double coldStartCost = 1;
};

struct ModelState {
    bool wasUsed = false;
    double loadedUntil = 0;
    double prefetchFrom = 0;
    double prefetchUntil = 0;
    double busyUntil = 0;
};

struct Outcome {
    std::size_t requests = 0;
    std::size_t coldStarts = 0;
    double idleHours = 0;
    // The sum of the expected load times of all cold starts. 20 s count as one cold start in the cost.
    double coldLoadSeconds = 0;
    std::vector<double> firstDelays;

    double cost(double coldStartCost) const { return idleHours + coldStartCost * coldLoadSeconds / 20; }
};

class Replay {
public:
    Replay(const Trace& trace, const Strategy& strategy)
        : m_trace(trace)
        , m_strategy(strategy)
        , m_states(trace.models.size())
    {
        FleetConfiguration fleet = trace.fleet;
        fleet.defaults.coldStartCost = strategy.coldStartCost;
        m_policy.configure(fleet);
        for (int slot = 0; slot < 4; ++slot)
            m_slots.push(0);
    }

    Outcome run()
    {
        for (const Arrival& arrival : m_trace.arrivals)
            serve(arrival);
        for (std::size_t model = 0; model < m_states.size(); ++model)
            addIdle(model, m_trace.end);
        return std::move(m_outcome);
    }

private:
    void serve(const Arrival& arrival)
    {
        const std::size_t base = m_trace.bases[arrival.model];
        const bool isFirst = !m_states[arrival.model].wasUsed
            || arrival.at - m_states[arrival.model].busyUntil + runSeconds >= sessionGapSeconds;
        double ready = use(base, arrival.at);
        if (base != arrival.model)
            ready = use(arrival.model, ready);
        ++m_outcome.requests;
        if (ready > arrival.at)
            ++m_outcome.coldStarts;
        if (isFirst)
            m_outcome.firstDelays.push_back(ready - arrival.at);
        plan(base, arrival.at, ready + runSeconds);
        if (base != arrival.model)
            plan(arrival.model, arrival.at, ready + runSeconds);
    }

    // Returns the time at which the model is loaded for a request at the given time.
    double use(std::size_t model, double at)
    {
        ModelState& state = m_states[model];
        const bool isForever = !m_strategy.usesPolicy && m_strategy.fixedSeconds < 0;
        const double loadSeconds = secondsOf(m_trace.models[model].expectedLoadTime);
        addIdle(model, at);
        if (isForever || (state.wasUsed && at < state.loadedUntil))
            return std::max(at, std::min(state.busyUntil - runSeconds, at + loadSeconds));
        if (state.wasUsed && state.prefetchFrom <= at && at < state.prefetchUntil)
            return std::max(at, state.prefetchFrom + loadSeconds);
        m_outcome.coldLoadSeconds += loadSeconds;
        if (m_trace.models[model].baseModel)
            return at + loadSeconds;
        const double begin = std::max(at, m_slots.top());
        m_slots.pop();
        m_slots.push(begin + std::max(loadSeconds, 4.0 / 3));
        return begin + loadSeconds;
    }

    // Adds the idle time between the end of the last use and the given time.
    void addIdle(std::size_t model, double until)
    {
        ModelState& state = m_states[model];
        const double part = static_cast<double>(m_trace.models[model].memoryBytes) / static_cast<double>(engineMemory);
        const bool isForever = !m_strategy.usesPolicy && m_strategy.fixedSeconds < 0;
        if (!state.wasUsed && !isForever)
            return;
        const double keptUntil = isForever ? until : std::min(until, state.loadedUntil);
        double idle = std::max(0.0, keptUntil - state.busyUntil);
        const double from = std::max({ state.prefetchFrom, state.loadedUntil, state.busyUntil });
        if (!isForever)
            idle += std::max(0.0, std::min(until, state.prefetchUntil) - from);
        m_outcome.idleHours += idle * part / 3600;
    }

    void plan(std::size_t model, double arrivedAt, double busyUntil)
    {
        ModelState& state = m_states[model];
        state.wasUsed = true;
        state.busyUntil = std::max(state.busyUntil, busyUntil);
        state.prefetchFrom = state.prefetchUntil = 0;
        if (!m_strategy.usesPolicy) {
            state.loadedUntil = state.busyUntil + m_strategy.fixedSeconds;
            return;
        }
        const ModelId& id = m_trace.models[model].id;
        m_policy.noteArrivals(id, 1, timeOf(arrivedAt));
        state.loadedUntil = state.busyUntil + secondsOf(m_policy.keepAlive(id));
        if (const auto window = m_policy.prefetchWindow(id)) {
            state.prefetchFrom = secondsOf(window->from - timeOf(0));
            state.prefetchUntil = secondsOf(window->until - timeOf(0));
        }
    }

    const Trace& m_trace;
    Strategy m_strategy;
    IdlePolicy m_policy;
    std::vector<ModelState> m_states;
    // The times at which the load slots become free.
    std::priority_queue<double, std::vector<double>, std::greater<>> m_slots;
    Outcome m_outcome;
};

void report(const User& user, const Strategy& strategy, Outcome outcome)
{
    auto& delays = outcome.firstDelays;
    std::sort(delays.begin(), delays.end());
    const auto quantile = [&](double part) {
        return delays.empty() ? 0.0 : delays[static_cast<std::size_t>(part * static_cast<double>(delays.size() - 1))];
    };
    std::printf("%-22s %-24s requests %7zu  cold %6zu  first p50 %6.2f s  p95 %6.2f s  p99 %6.2f s  idle %8.1f h\n",
        user.name, strategy.name.c_str(), outcome.requests, outcome.coldStarts, quantile(0.5), quantile(0.95),
        quantile(0.99), outcome.idleHours);
}

// For each cost weight, prints the policy's cost and the lowest cost of the other strategies.
void compareCosts(const User& user, const std::vector<std::pair<Strategy, Outcome>>& results)
{
    for (const auto& [policy, outcome] : results) {
        if (!policy.usesPolicy)
            continue;
        const std::pair<Strategy, Outcome>* best = nullptr;
        for (const auto& other : results) {
            const bool isBetter
                = best == nullptr || other.second.cost(policy.coldStartCost) < best->second.cost(policy.coldStartCost);
            if (!other.first.usesPolicy && isBetter)
                best = &other;
        }
        if (best == nullptr)
            continue;
        std::printf("%-22s cold/idle %-6g cost of the policy %8.1f, best other %8.1f (%s)\n", user.name,
            policy.coldStartCost, outcome.cost(policy.coldStartCost), best->second.cost(policy.coldStartCost),
            best->first.name.c_str());
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const double days = argc > 2 ? std::strtod(argv[2], nullptr) : 14;
    const User users[] = { { "volta-ramp-keepers", 65, 75 }, { "zvolenske-musle", 70, 65 } };
    std::vector<Strategy> strategies { { "always loaded", -1, false, 1 } };
    for (const int minutes : { 1, 5, 15, 60, 240 })
        strategies.push_back({ "fixed " + std::to_string(minutes) + " min", minutes * 60.0, false, 1 });
    for (const double cost : { 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0 }) {
        char name[32];
        std::snprintf(name, sizeof name, "policy cold/idle %g", cost);
        strategies.push_back({ name, 0, true, cost });
    }
    std::printf("seed %llu, %.0f days, 12 + 3 engine servers\n", static_cast<unsigned long long>(seed), days);
    for (const User& user : users) {
        const Trace trace = makeTrace(user, seed, days);
        std::vector<std::pair<Strategy, Outcome>> results;
        for (const Strategy& strategy : strategies) {
            results.emplace_back(strategy, Replay(trace, strategy).run());
            report(user, strategy, results.back().second);
        }
        compareCosts(user, results);
    }
    return 0;
}
