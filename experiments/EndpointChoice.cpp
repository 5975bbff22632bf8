// Compares ways to choose an endpoint by old reports. Prints a table for several numbers of hosts and ages of reports.
#include "ChoiceSimulation.h"
#include <catkinwell/core/Digest.h>
#include <cstdio>
#include <cstring>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct Method {
    const char* name;
    ChoiceMethod choose;
    bool countsTokens = false;
};

std::size_t byRule(const ChoiceView& view, RandomGenerator& random, ChoiceRule rule, double horizon = 1)
{
    return *EndpointChooser().choose(view.candidates, { rule, view.startsPerSecond * horizon }, random).chosen;
}

double loadOf(const EndpointCandidate& candidate, bool hasOwn = true)
{
    return (candidate.reported + (hasOwn ? candidate.own : 0)) / candidate.slots - candidate.promptBonus;
}

std::size_t reportsOnly(const ChoiceView& view, RandomGenerator& random)
{
    ChoiceView changed = view;
    for (EndpointCandidate& candidate : changed.candidates)
        candidate.own = 0;
    return byRule(changed, random, ChoiceRule::LeastLoad);
}

std::size_t twoChoices(const ChoiceView& view, RandomGenerator& random)
{
    const std::size_t first = random.below(view.candidates.size());
    const std::size_t second = random.below(view.candidates.size());
    return loadOf(view.candidates[first]) <= loadOf(view.candidates[second]) ? first : second;
}

std::size_t freeRoom(const ChoiceView& view, RandomGenerator& random)
{
    std::vector<double> room;
    double sum = 0;
    for (const EndpointCandidate& candidate : view.candidates) {
        room.push_back(std::max(0.02, 1 - loadOf(candidate)) * candidate.slots);
        sum += room.back();
    }
    double drawn = random.unit() * sum;
    for (std::size_t i = 0; i < room.size(); ++i) {
        if ((drawn -= room[i]) < 0)
            return i;
    }
    return room.size() - 1;
}

// A third of the endpoints, at least three, by a hash of host and endpoint.
std::size_t subset(const ChoiceView& view, RandomGenerator& random)
{
    ChoiceView part;
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < view.candidates.size(); ++i)
        order.emplace_back(stableHash(std::to_string(view.host) + "|" + view.candidates[i].endpoint.value), i);
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), std::max<std::size_t>(3, order.size() / 3)));
    for (const auto& [hash, index] : order)
        part.candidates.push_back(view.candidates[index]);
    return order[byRule(part, random, ChoiceRule::LeastLoad)].second;
}

// Leaves out the endpoints that rejected a request within the age of the reports.
ChoiceMethod withRejections(const ChoiceMethod& method)
{
    return [method](const ChoiceView& view, RandomGenerator& random) {
        ChoiceView part = view;
        part.candidates.clear();
        std::vector<std::size_t> kept;
        for (std::size_t i = 0; i < view.candidates.size(); ++i) {
            const EndpointCandidate& candidate = view.candidates[i];
            if (candidate.rejectedAgo && *candidate.rejectedAgo < candidate.reportAge)
                continue;
            kept.push_back(i);
            part.candidates.push_back(candidate);
        }
        return kept.empty() ? method(view, random) : kept[method(part, random)];
    };
}

struct RuleParts {
    bool usesRejections = true;
    bool usesSpeed = true;
    // Factor on the estimate of the rate of requests.
    double rateError = 1;
    double promptBonus = 0;
};

// The product's rule, with or without some of its parts.
ChoiceMethod spread(RuleParts parts)
{
    return [=](const ChoiceView& view, RandomGenerator& random) {
        ChoiceView changed = view;
        for (EndpointCandidate& candidate : changed.candidates) {
            if (!parts.usesSpeed)
                candidate.speed = 1;
            if (!parts.usesRejections)
                candidate.rejectedAgo.reset();
            if (candidate.promptBonus > 0)
                candidate.promptBonus = parts.promptBonus;
        }
        return byRule(changed, random, ChoiceRule::Spread, parts.rateError);
    };
}

// Draws several candidates by the product's rule and takes the one with the lowest load.
ChoiceMethod expectedRoom(unsigned draws)
{
    return [=](const ChoiceView& view, RandomGenerator& random) {
        std::size_t best = byRule(view, random, ChoiceRule::Spread);
        for (unsigned i = 1; i < draws; ++i) {
            const std::size_t other = byRule(view, random, ChoiceRule::Spread);
            if (loadOf(view.candidates[other]) < loadOf(view.candidates[best]))
                best = other;
        }
        return best;
    };
}

// All hosts prefer the same endpoint for a part of the prompt, by a hash, instead of the one that this host used last.
ChoiceMethod rendezvous(const ChoiceMethod& method)
{
    return [method](const ChoiceView& view, RandomGenerator& random) {
        ChoiceView changed = view;
        std::uint64_t highest = 0;
        std::size_t preferred = 0;
        for (std::size_t i = 0; i < changed.candidates.size(); ++i) {
            EndpointCandidate& candidate = changed.candidates[i];
            candidate.promptBonus = 0;
            const std::uint64_t hash = stableHash(std::to_string(view.part) + "|" + candidate.endpoint.value);
            if (hash >= highest) {
                highest = hash;
                preferred = i;
            }
        }
        changed.candidates[preferred].promptBonus = 0.1;
        return method(changed, random);
    };
}

void compare(const ChoiceLoad& load)
{
    const ChoiceMethod least
        = [](const ChoiceView& view, RandomGenerator& random) { return byRule(view, random, ChoiceRule::LeastLoad); };
    const std::vector<Method> methods {
        { "reports only", reportsOnly },
        { "least load (with own)", least },
        { "least + rejections", withRejections(least) },
        { "subset, least", subset },
        { "two choices", twoChoices },
        { "two + rejections", withRejections(twoChoices) },
        { "free room", freeRoom },
        { "free room + rejections", withRejections(freeRoom) },
        { "two draws by room", expectedRoom(2) },
        { "spread", spread({ false, false }) },
        { "spread + rejections", spread({ true, false }) },
        { "spread + rej. + speed", spread({}) },
        { "  rate estimated / 3", spread({ true, true, 1.0 / 3 }) },
        { "  rate estimated x 3", spread({ true, true, 3 }) },
        { "  prompt bonus / 3", spread({ true, true, 1, 0.1 / 3 }) },
        { "  prompt bonus", spread({ true, true, 1, 0.1 }) },
        { "  bonus by rendezvous / 3", rendezvous(spread({ true, true, 1, 0.1 / 3 })) },
        { "  bonus by rendezvous", rendezvous(spread({ true, true, 1, 0.1 })) },
        { "  counting tokens", spread({}), true },
        { "least, tokens", least, true },
    };
    std::printf("%zu hosts, reports every %.2f s, %zu endpoints of %u + %u, load %.2f, %s\n", load.hosts,
        load.reportSeconds, load.endpoints, load.slots, load.queue, load.load, load.isUneven ? "uneven" : "even");
    std::printf("  %-24s %8s %8s %8s %8s %8s %8s %8s\n", "", "busiest", "in 1 s", "reject%", "refuse%", "idle%",
        "reread%", "p99 s");
    for (const Method& method : methods) {
        ChoiceLoad varied = load;
        varied.countsTokens = method.countsTokens;
        const ChoiceResult result = ChoiceSimulation(varied, method.choose).run();
        std::printf("  %-24s %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f\n", method.name, result.busiest,
            result.busiestSecond, result.rejectedArrivals, result.refused, result.waitedBesideIdle, result.reread,
            result.waitP99);
    }
}

} // namespace

int main()
{
    for (const bool isUneven : { false, true }) {
        for (const std::size_t hosts : { 4, 25, 65, 300 }) {
            for (const double age : { 0.1, 0.2, 0.8, 2.0 }) {
                ChoiceLoad load;
                load.hosts = hosts;
                load.reportSeconds = age;
                load.isUneven = isUneven;
                compare(load);
            }
        }
    }
    // Other sizes of endpoints, and more requests than the endpoints can run.
    for (const double intensity : { 0.5, 1.1 }) {
        ChoiceLoad load;
        load.load = intensity;
        compare(load);
    }
    for (const auto& [endpoints, slots] : { std::pair<std::size_t, unsigned> { 3, 4 }, { 4, 64 }, { 40, 4 } }) {
        ChoiceLoad load;
        load.endpoints = endpoints;
        load.slots = slots;
        load.queue = slots / 2;
        compare(load);
    }
    return 0;
}
