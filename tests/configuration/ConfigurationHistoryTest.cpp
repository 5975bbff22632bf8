#include "ConfigurationSimulation.h"

#include <catch2/catch.hpp>
#include <configuration/ConfigurationParts.h>

using namespace Catkinwell;

namespace {

constexpr double inForceWithinSeconds = 10;

std::string checkVersionsNeverFall(const ConfigurationRecord& record)
{
    std::map<std::size_t, ConfigurationVersion> last;
    for (const auto& entry : record.inForce) {
        if (entry.version < last[entry.host])
            return "host " + std::to_string(entry.host) + " went from version " + std::to_string(last[entry.host])
                + " to " + std::to_string(entry.version);
        last[entry.host] = entry.version;
    }
    return "";
}

std::string checkInForceInTime(const ConfigurationRecord& record)
{
    for (const auto& head : record.heads) {
        const auto version = valueOf(parseHead(head.text)).version;
        for (const auto& connection : record.connections) {
            const double due = std::max(head.seconds, connection.from) + inForceWithinSeconds;
            if (connection.from > head.seconds || connection.to < due)
                continue;
            ConfigurationVersion newest = 0;
            for (const auto& entry : record.inForce) {
                if (entry.host == connection.host && entry.seconds <= due)
                    newest = std::max(newest, entry.version);
            }
            if (newest < version)
                return "version " + std::to_string(version) + " of " + std::to_string(head.seconds)
                    + " s is not in force on host " + std::to_string(connection.host) + " 10 s later";
        }
    }
    return "";
}

// Checks that every head replaces the version that its proposal expected and keeps the changes before it, and that
// every reported result is correct.
std::string checkNoChangeIsLost(const ConfigurationRecord& record)
{
    std::map<std::string, ConfigurationVersion> accepted;
    ConfigurationVersion last = 0;
    for (const auto& entry : record.heads) {
        const auto head = valueOf(parseHead(entry.text));
        const auto& change = head.recentChanges.back();
        if (head.version != last + 1 || change.version != head.version)
            return "version " + std::to_string(head.version) + " follows " + std::to_string(last);
        if (!accepted.emplace(change.changeId, head.version).second)
            return change.changeId + " was accepted twice";
        for (const auto& earlier : accepted) {
            const bool listed
                = std::any_of(head.recentChanges.begin(), head.recentChanges.end(), [&](const AcceptedChange& known) {
                      return known.changeId == earlier.first && known.version == earlier.second;
                  });
            if (!listed)
                return earlier.first + " is lost in version " + std::to_string(head.version);
        }
        last = head.version;
    }
    for (const auto& [ticket, proposal] : record.proposals) {
        const auto found = accepted.find(proposal.changeId);
        const bool wasAccepted = found != accepted.end();
        if (wasAccepted && found->second != proposal.expectedVersion + 1)
            return proposal.changeId + " named version " + std::to_string(proposal.expectedVersion) + " and became "
                + std::to_string(found->second);
        if (proposal.outcome == "accepted" && (!wasAccepted || found->second != proposal.acceptedVersion))
            return proposal.changeId + " was reported as accepted and is not in the store";
        if (wasAccepted && (proposal.outcome == "conflict" || proposal.outcome == "unavailable"))
            return proposal.changeId + " is in the store and was reported as " + proposal.outcome;
    }
    return "";
}

// Returns a violation of the rule that a key revoked at the time stays invalid on the hosts from 10 s later on, or an
// empty text.
std::string checkRevoked(const ConfigurationRecord& record, double revokedAt, const std::vector<std::size_t>& hosts)
{
    for (const std::size_t host : hosts) {
        bool inForce = false;
        for (const auto& entry : record.keyChanges) {
            if (entry.host != host)
                continue;
            if (entry.seconds > revokedAt + inForceWithinSeconds && (inForce || entry.inForce))
                return "the key is in force on host " + std::to_string(host) + " more than 10 s after its revocation";
            inForce = entry.inForce;
        }
        if (inForce)
            return "the key stays in force on host " + std::to_string(host);
    }
    return "";
}

void acceptInitialConfiguration(ConfigurationSimulation& simulation)
{
    simulation.proposeOn(0);
    simulation.runFor(12);
}

// Operators propose changes concurrently, with lost answers, stale reads, outages and partitions; the run ends without
// faults.
ConfigurationRecord runConcurrentOperators(std::uint64_t seed, bool ignoresVersions = false, bool losesState = false)
{
    ConfigurationSimulation simulation(5, seed);
    acceptInitialConfiguration(simulation);
    simulation.store.faultRate = 0.15;
    simulation.lossRate = 0.1;
    simulation.store.ignoresVersions = ignoresVersions;
    const std::string document = fleetConfigurationToJson(simulation.managers[4]->accepted());
    for (int round = 0; round < 12; ++round) {
        for (std::uint64_t operators = 1 + simulation.random.below(3); operators > 0; --operators)
            simulation.proposeOn(simulation.random.below(5));
        const std::size_t cut = simulation.random.below(5);
        const std::uint64_t fault = simulation.random.below(4);
        simulation.store.down = fault == 0;
        if (fault == 1)
            simulation.storeLinked[cut] = false;
        if (fault == 2)
            simulation.linked = [=](std::size_t from, std::size_t to) { return (from == cut) == (to == cut); };
        simulation.runFor(1 + 14 * simulation.random.unit());
        if (losesState && round == 8) {
            simulation.managers[4] = std::make_unique<ConfigurationManager>(seed);
            simulation.managers[4]->loadInitial(takeValue(parseFleetConfiguration(document)));
        }
        simulation.store.down = false;
        simulation.storeLinked.assign(5, true);
        simulation.linked = [](std::size_t, std::size_t) { return true; };
    }
    simulation.store.faultRate = 0;
    simulation.runFor(25);
    return simulation.record;
}

// A data centre of three hosts is partitioned off, an operator revokes the key there, and then the partition ends.
std::string runRevocation(std::uint64_t seed, bool digestsCarryRevocations)
{
    ConfigurationSimulation simulation(6, seed);
    simulation.digestsCarryRevocations = digestsCarryRevocations;
    acceptInitialConfiguration(simulation);
    simulation.lossRate = 0.1;
    simulation.linked = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    for (std::size_t host = 3; host < 6; ++host)
        simulation.storeLinked[host] = false;
    simulation.runFor(3);
    const double revokedAt = simulation.seconds();
    simulation.perform(3,
        [&](EffectList& effects) { simulation.managers[3]->revokeKeyLocally(simulatedKey, simulation.now, effects); });
    // The other side of the partition changes the configuration without knowing of the revocation.
    simulation.proposeOn(0);
    simulation.runFor(15);
    if (simulation.managers[0]->effective().keys.count(simulatedKey) == 0)
        return "the revocation crossed the partition";
    simulation.linked = [](std::size_t, std::size_t) { return true; };
    const double healedAt = simulation.seconds();
    simulation.runFor(12);
    simulation.storeLinked.assign(6, true);
    simulation.runFor(40);
    auto fault = checkRevoked(simulation.record, revokedAt, { 3, 4, 5 });
    if (fault.empty())
        fault = checkRevoked(simulation.record, healedAt, { 0, 1, 2 });
    for (const auto& manager : simulation.managers) {
        if (fault.empty() && (manager->accepted().keys.count(simulatedKey) != 0 || !manager->revokedKeys().empty()))
            fault = "the revocation was not written to the store";
    }
    if (fault.empty())
        fault = checkNoChangeIsLost(simulation.record);
    return fault.empty() ? checkVersionsNeverFall(simulation.record) : fault;
}

} // namespace

// Guards against versions that go back, slow changes, and changes that are lost or wrongly reported.
TEST_CASE("Configuration invariants hold under faults")
{
    const std::uint64_t seed = GENERATE(range(1, 401));
    INFO("seed " << seed);
    const auto record = runConcurrentOperators(seed);
    CHECK_THAT(checkVersionsNeverFall(record), Catch::Equals(""));
    CHECK_THAT(checkInForceInTime(record), Catch::Equals(""));
    CHECK_THAT(checkNoChangeIsLost(record), Catch::Equals(""));
    // The checks are meaningful only if some changes were accepted.
    CHECK(record.heads.size() > 3);
}

// Guards against a backoff that grows in an outage and leaves no time for a lost answer after it. With these seeds, a
// configuration was late before the longest backoff was limited.
TEST_CASE("An accepted configuration is in force in time in the histories of three late seeds")
{
    const std::uint64_t seed = GENERATE(43, 135, 225);
    INFO("seed " << seed);
    CHECK_THAT(checkInForceInTime(runConcurrentOperators(seed)), Catch::Equals(""));
}

// Guards against a revoked key that stays valid in a partition, becomes valid again, or is never removed from the
// store.
TEST_CASE("A key revoked in a partitioned data centre goes out of force wherever messages reach")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    INFO("seed " << seed);
    CHECK_THAT(runRevocation(seed, true), Catch::Equals(""));
}

// Guards against a host that keeps an old version because it alone cannot reach the store.
TEST_CASE("A host without the store takes a new version from its peers within 10 s")
{
    const std::uint64_t seed = GENERATE(range(1, 6));
    INFO("seed " << seed);
    ConfigurationSimulation simulation(4, seed);
    acceptInitialConfiguration(simulation);
    simulation.storeLinked[3] = false;
    simulation.runFor(10);
    simulation.proposeOn(0);
    simulation.runFor(10);
    CHECK(simulation.managers[0]->accepted().version == 2);
    CHECK(simulation.managers[3]->accepted().version == 2);
}

// Guards against checkers that accept any record.
TEST_CASE("Each configuration checker finds the fault that it looks for")
{
    CHECK_FALSE(checkVersionsNeverFall(runConcurrentOperators(1, false, true)).empty());
    CHECK_FALSE(checkNoChangeIsLost(runConcurrentOperators(1, true)).empty());
    CHECK_FALSE(runRevocation(1, false).empty());
    ConfigurationSimulation simulation(3, 1);
    acceptInitialConfiguration(simulation);
    simulation.frozen = { 2 };
    simulation.proposeOn(0);
    simulation.runFor(12);
    CHECK_FALSE(checkInForceInTime(simulation.record).empty());
}
