#include "MembershipSimulation.h"

#include <catch2/catch.hpp>

using namespace Catkinwell;

namespace {

// An observer's suspicion expires after 10 s and takes at most 1 s to arrive.
constexpr double suspicionSeconds = 11;
constexpr double deadWithinSeconds = 15;

bool isSuspectedOrDead(HostState state) { return state == HostState::Suspected || state == HostState::Dead; }

// Whether the observer considered the host suspected or dead at some time in the interval.
bool wasSuspectedWithin(
    const std::vector<Observation>& record, const HostId& observer, const HostId& host, double from, double to)
{
    bool suspected = false;
    for (const auto& entry : record) {
        if (entry.observer != observer || entry.host != host || entry.seconds > to)
            continue;
        // The state before the interval holds at its start.
        suspected
            = entry.seconds <= from ? isSuspectedOrDead(entry.state) : suspected || isSuspectedOrDead(entry.state);
    }
    return suspected;
}

// Returns a violation of the rule that a host is declared dead only if two observers suspect it, or an empty text.
std::string checkTwoObservers(const std::vector<Observation>& record)
{
    std::set<HostId> observers;
    for (const auto& entry : record)
        observers.insert(entry.observer);
    for (const auto& entry : record) {
        if (entry.state != HostState::Dead)
            continue;
        std::size_t missing = 0;
        for (const auto& observer : observers)
            missing += wasSuspectedWithin(record, observer, entry.host, entry.seconds - suspicionSeconds, entry.seconds)
                ? 1
                : 0;
        if (missing < 2)
            return entry.host.value + " was declared dead by " + entry.observer.value + " alone at "
                + std::to_string(entry.seconds) + " s";
    }
    return "";
}

// Returns a violation of the rule that every running host declares the crashed one dead in time, or an empty text.
std::string checkDeadInTime(
    const std::vector<Observation>& record, const HostId& crashed, double crashedAt, std::size_t observers)
{
    std::map<HostId, HostState> states;
    for (const auto& entry : record) {
        if (entry.host == crashed && entry.seconds <= crashedAt + deadWithinSeconds)
            states[entry.observer] = entry.state;
    }
    std::size_t dead = 0;
    for (const auto& [observer, state] : states)
        dead += observer != crashed && state == HostState::Dead ? 1 : 0;
    return dead == observers ? ""
                             : std::to_string(dead) + " of " + std::to_string(observers) + " hosts consider "
            + crashed.value + " dead after 15 s";
}

// Returns a violation of the rule that leaving is final for an incarnation, or an empty text.
std::string checkLeavingIsFinal(const std::vector<Observation>& record)
{
    std::set<std::tuple<HostId, HostId, Incarnation>> leaving;
    for (const auto& entry : record) {
        const auto key = std::tuple(entry.observer, entry.host, entry.incarnation);
        if (entry.state == HostState::Leaving)
            leaving.insert(key);
        else if (entry.state != HostState::Dead && leaving.count(key) != 0)
            return entry.host.value + " is " + std::string(nameOf(entry.state)) + " again for " + entry.observer.value;
    }
    return "";
}

std::string runCrash(std::size_t hosts, std::size_t dataCentres, std::uint64_t seed, SuspicionRule rule,
    std::vector<Observation>& record)
{
    MembershipSimulation simulation(hosts, dataCentres, seed, rule);
    simulation.lossRate = 0.1;
    simulation.duplicateRate = 0.05;
    simulation.runFor(20);
    simulation.nodes[1].up = false;
    const double crashedAt = simulation.seconds();
    simulation.runFor(16);
    record = simulation.record;
    return checkDeadInTime(record, simulation.nodes[1].listed.host, crashedAt, hosts - 1);
}

// One host receives no digests for a while, although all hosts are alive.
std::vector<Observation> runHostWithoutIncomingDigests(std::uint64_t seed, SuspicionRule rule)
{
    MembershipSimulation simulation(8, 2, seed, rule);
    simulation.runFor(10);
    simulation.linked = [](std::size_t, std::size_t to) { return to != 3; };
    simulation.runFor(30);
    simulation.linked = [](std::size_t, std::size_t) { return true; };
    simulation.runFor(10);
    return simulation.record;
}

// A host is marked as leaving; then other hosts read stale lists and are partitioned.
std::vector<Observation> runLeaving(std::uint64_t seed, bool losesState)
{
    MembershipSimulation simulation(8, 2, seed);
    simulation.lossRate = 0.1;
    simulation.duplicateRate = 0.1;
    simulation.runFor(5);
    const auto stale = simulation.list();
    simulation.nodes[2].listed.leaving = true;
    EffectList effects;
    simulation.nodes[5].manager->setPlatformList(simulation.list(), simulation.now, effects);
    simulation.runFor(10);
    for (std::size_t round = 0; round < 4; ++round) {
        const std::size_t victim = simulation.random.below(8);
        simulation.linked = [=](std::size_t from, std::size_t to) { return (from == victim) == (to == victim); };
        simulation.nodes[simulation.random.below(8)].manager->setPlatformList(stale, simulation.now, effects);
        simulation.runFor(15);
        simulation.linked = [](std::size_t, std::size_t) { return true; };
        // A host loses its state and then reads a stale list, without a new incarnation.
        if (losesState) {
            simulation.nodes[2].listed.leaving = false;
            simulation.start(5);
            simulation.nodes[2].listed.leaving = true;
        }
        simulation.runFor(5);
    }
    return simulation.record;
}

} // namespace

// Guards against a host that stays in use long after it has crashed.
TEST_CASE("A crashed host is declared dead within 15 s")
{
    const auto [hosts, dataCentres]
        = GENERATE(table<std::size_t, std::size_t>({ { 4, 1 }, { 4, 3 }, { 16, 3 }, { 64, 1 }, { 64, 7 } }));
    const std::uint64_t seed = GENERATE(1, 2, 3);
    INFO(hosts << " hosts in " << dataCentres << " data centres, seed " << seed);
    std::vector<Observation> record;
    CHECK_THAT(runCrash(hosts, dataCentres, seed, {}, record), Catch::Equals(""));
    CHECK_THAT(checkTwoObservers(record), Catch::Equals(""));
}

// Guards against a host with a bad connection that declares others dead on its own.
TEST_CASE("A host that receives no digests declares no host dead")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4);
    INFO("seed " << seed);
    const auto record = runHostWithoutIncomingDigests(seed, {});
    CHECK_THAT(checkTwoObservers(record), Catch::Equals(""));
    // The check is meaningful only if the host did suspect others.
    CHECK(wasSuspectedWithin(record, HostId("host-103"), HostId("host-100"), 10, 45));
}

// Guards against hosts that are declared dead only because messages are lost.
TEST_CASE("No host is declared dead when a tenth of the digests is lost")
{
    const std::uint64_t seed = GENERATE(1, 2);
    const std::size_t hosts = GENERATE(4, 16, 64);
    MembershipSimulation simulation(hosts, hosts == 4 ? 1 : 7, seed);
    simulation.lossRate = 0.1;
    simulation.runFor(60);
    std::string dead;
    for (const auto& entry : simulation.record) {
        if (entry.state == HostState::Dead)
            dead = entry.host.value + " at " + std::to_string(entry.seconds);
    }
    INFO(hosts << " hosts, seed " << seed);
    CHECK_THAT(dead, Catch::Equals(""));
}

// Guards against new work for a host that is about to stop.
TEST_CASE("Leaving is never undone within an incarnation")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4);
    INFO("seed " << seed);
    const auto record = runLeaving(seed, false);
    CHECK_THAT(checkLeavingIsFinal(record), Catch::Equals(""));
    std::set<HostId> informed;
    for (const auto& entry : record) {
        if (entry.host == HostId("host-102") && entry.state == HostState::Leaving)
            informed.insert(entry.observer);
    }
    CHECK(informed.size() == 7);
}

// Guards against checkers that accept any record.
TEST_CASE("Each membership checker finds the fault that it looks for")
{
    std::vector<Observation> record;
    CHECK_FALSE(runCrash(16, 3, 1, { .spreadFactor = 60 }, record).empty());
    CHECK_FALSE(checkTwoObservers(runHostWithoutIncomingDigests(1, { .observers = 1 })).empty());
    CHECK_FALSE(checkLeavingIsFinal(runLeaving(1, true)).empty());
}
