#include "placement/PlacementSimulation.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t unit = 1ULL << 30;

// Three engines a data centre, two of which ignore fencing; the models do not all fit at once.
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
        model.id = ModelId("model-" + std::to_string(index));
        model.pool = "notes";
        const bool isAdapter = index >= 12;
        if (isAdapter)
            model.baseModel = ModelId("model-" + std::to_string(index % 4));
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

struct Verdict {
    Violations loaded;
    Violations memory;
    Violations slots;
    Violations owners;
    Violations served;
};

Verdict check(const Record& record, const FleetConfiguration& fleet)
{
    return { checkLoadedWithinDecided(record), checkMemory(record, memoryOf(fleet)), checkLoadSlots(record),
        checkOneOwnerInForce(record), checkServed(record) };
}

// Faults for 150 s, then a quiet time in which every wanted model must be served.
Verdict runHistory(SimulationOptions options)
{
    const FleetConfiguration fleet = options.fleet;
    PlacementSimulation simulation(std::move(options));
    simulation.run(150s);
    simulation.healFaults();
    simulation.run(90s);
    simulation.stopWanting();
    simulation.run(60s);
    return check(simulation.record, fleet);
}

std::string firstOf(const Violations& violations)
{
    return violations.empty() ? "" : std::to_string(violations.size()) + " violations, first: " + violations.front();
}

} // namespace

// Guards against every violation of the placement invariants under kills, pauses, outages,
// lost answers, doubled and late commands, and failed and slow loads.
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
    const Verdict verdict = runHistory(options);
    CHECK(firstOf(verdict.loaded) == "");
    CHECK(firstOf(verdict.memory) == "");
    CHECK(firstOf(verdict.slots) == "");
    CHECK(firstOf(verdict.owners) == "");
    CHECK(firstOf(verdict.served) == "");
}
