#include "placement/PlacementSimulation.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t unit = 1ULL << 30;

// Long names make the plan's head exceed its limit, so that histories include replacements of the plan's base.
ModelId modelName(int index) { return ModelId("model-" + std::to_string(index) + std::string(300, '-')); }

// Three engines per data centre, two of which ignore fencing tokens. The models do not all fit into memory.
FleetConfiguration smallFleet(int dataCentres)
{
    FleetConfiguration fleet;
    for (int centre = 0; centre < dataCentres; ++centre) {
        for (int index = 0; index < 3; ++index) {
            EndpointSettings endpoint;
            endpoint.dataCentre = DataCentreId("dc-" + std::to_string(centre));
            endpoint.id = EndpointId(endpoint.dataCentre.value + "-engine-" + std::to_string(index));
            endpoint.pool = "notes";
            endpoint.memoryBytes = 80 * unit;
            endpoint.fencing = index == 0 ? FencingSupport::Enforced : FencingSupport::Ignored;
            fleet.endpoints[endpoint.id] = endpoint;
        }
    }
    for (int index = 0; index < 24; ++index) {
        ModelSettings model;
        model.id = modelName(index);
        model.pool = "notes";
        const bool isAdapter = index >= 12;
        if (isAdapter)
            model.baseModel = modelName(index % 4);
        model.memoryBytes = (isAdapter ? 2 : 20 + index) * unit;
        model.expectedLoadTime = isAdapter ? 40ms : 1340ms;
        fleet.models[model.id] = model;
    }
    return fleet;
}

std::map<EndpointId, std::uint64_t> memoryOf(const FleetConfiguration& fleet)
{
    std::map<EndpointId, std::uint64_t> memory;
    for (const auto& [id, endpoint] : fleet.endpoints)
        memory[id] = endpoint.memoryBytes;
    return memory;
}

struct CheckResults {
    Violations loaded;
    Violations memory;
    Violations slots;
    Violations owners;
    Violations served;
};

CheckResults check(const PlacementHistory& history, const FleetConfiguration& fleet)
{
    return { checkLoadsInPlan(history), checkMemory(history, memoryOf(fleet)), checkLoadSlots(history),
        checkNoOverlappingOwners(history), checkServed(history) };
}

// Runs with faults for 150 s, and then without, until every requested model must have been served.
CheckResults runHistory(SimulationOptions options)
{
    const FleetConfiguration fleet = options.fleet;
    PlacementSimulation simulation(std::move(options));
    simulation.run(150s);
    simulation.stopFaults();
    simulation.run(90s);
    simulation.stopRequests();
    simulation.run(60s);
    return check(simulation.history, fleet);
}

std::string firstOf(const Violations& violations)
{
    return violations.empty() ? "" : std::to_string(violations.size()) + " violations, first: " + violations.front();
}

} // namespace

// Guards against violations of the placement invariants under process kills and pauses, store outages,
// lost replies, duplicated and late commands, and failed and slow loads.
TEST_CASE("placement keeps its invariants under faults")
{
    const int dataCentres = GENERATE(1, 2);
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 21));
    SimulationOptions options;
    options.seed = seed;
    options.fleet = smallFleet(dataCentres);
    options.faults = true;
    options.failPerMille = 150;
    CAPTURE(dataCentres, seed);
    const CheckResults results = runHistory(options);
    CHECK(firstOf(results.loaded) == "");
    CHECK(firstOf(results.memory) == "");
    CHECK(firstOf(results.slots) == "");
    CHECK(firstOf(results.owners) == "");
    CHECK(firstOf(results.served) == "");
}

// Guards against more concurrent loads or more load starts per second than the weight store allows when every
// model of two data centres is requested at the same time, and against a model that is never loaded.
TEST_CASE("a burst of cold models stays within the load slots and is served")
{
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 6));
    SimulationOptions options;
    options.seed = seed;
    options.fleet = smallFleet(2);
    options.requestsPerMille = 0;
    for (int index = 24; index < 120; ++index) {
        ModelSettings model = options.fleet.models.at(modelName(20));
        model.id = modelName(index);
        model.memoryBytes = unit / 4;
        options.fleet.models[model.id] = model;
    }
    const FleetConfiguration fleet = options.fleet;
    PlacementSimulation simulation(options);
    simulation.run(15s);
    for (auto& host : simulation.hosts) {
        for (const auto& [model, settings] : fleet.models)
            simulation.request(*host, model);
    }
    simulation.run(150s);
    CAPTURE(seed);
    const CheckResults results = check(simulation.history, fleet);
    CHECK(firstOf(results.loaded) == "");
    CHECK(firstOf(results.memory) == "");
    CHECK(firstOf(results.slots) == "");
    CHECK(firstOf(results.served) == "");
}

namespace {

struct BrokenVariant {
    const char* name;
    Violations CheckResults::*checker;
    // Breaks the rule in the options. hostConfiguration is what the hosts use.
    void (*breakRule)(SimulationOptions&);
};

// If neither connections are closed nor validity is checked, and a new owner does not wait, the commands of a
// paused owner arrive late.
void allowLateCommands(SimulationOptions& options)
{
    options.adapterChecksValidity = false;
    options.enginesCloseConnections = false;
    options.hostConfiguration = options.fleet;
    for (auto& [id, endpoint] : options.hostConfiguration->endpoints)
        endpoint.receiveTimeout = Duration {};
}

const BrokenVariant brokenVariants[] = {
    { "late commands, loads outside the plan", &CheckResults::loaded, allowLateCommands },
    { "late commands, overlapping owners", &CheckResults::owners, allowLateCommands },
    { "memory configured twice as large", &CheckResults::memory,
        [](SimulationOptions& options) {
            options.hostConfiguration = options.fleet;
            for (auto& [id, endpoint] : options.hostConfiguration->endpoints)
                endpoint.memoryBytes *= 2;
        } },
    { "too many slots", &CheckResults::slots,
        [](SimulationOptions& options) {
            options.hostConfiguration = options.fleet;
            options.hostConfiguration->defaults.weightLoadSlots = 16;
            options.requestsPerMille = 50;
        } },
    { "load starts too frequent", &CheckResults::slots,
        [](SimulationOptions& options) {
            options.hostConfiguration = options.fleet;
            options.hostConfiguration->defaults.weightLoadsPerSecond = 1000;
            options.requestsPerMille = 50;
            for (auto& [id, model] : options.fleet.models)
                model.expectedLoadTime = 40ms;
        } },
    { "a model that no engine may hold", &CheckResults::served,
        [](SimulationOptions& options) {
            options.hostConfiguration = options.fleet;
            options.hostConfiguration->models.at(modelName(11)).pool = "none";
        } },
};

} // namespace

// Guards against checkers that never fail: each broken rule must be reported by its checker.
TEST_CASE("each checker reports the rule that is broken")
{
    const auto& variant = GENERATE(from_range(std::begin(brokenVariants), std::end(brokenVariants)));
    bool isReported = false;
    std::uint64_t seed = 0;
    while (!isReported && seed < 80) {
        SimulationOptions options;
        options.seed = ++seed;
        options.fleet = smallFleet(1);
        options.faults = true;
        variant.breakRule(options);
        isReported = !(runHistory(options).*variant.checker).empty();
    }
    INFO(variant.name << ", reported at seed " << seed);
    CHECK(isReported);
}
