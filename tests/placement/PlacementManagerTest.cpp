#include "placement/PlacementSimulation.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t unit = 1ULL << 30;
const DataCentreId dataCentre("dc-0");
const EndpointId engineId("dc-0-engine");
const ModelId modelId("notes");

// One engine with 80 units of memory per data centre, models of 50 and 40 units, and an adapter of the first model.
FleetConfiguration fleetOf(int dataCentres, FencingSupport fencing = FencingSupport::Ignored)
{
    FleetConfiguration fleet;
    for (int index = 0; index < dataCentres; ++index) {
        EndpointSettings endpoint;
        endpoint.dataCentre = DataCentreId("dc-" + std::to_string(index));
        endpoint.id = EndpointId(endpoint.dataCentre.value + "-engine");
        endpoint.pool = "pool";
        endpoint.memoryBytes = 80 * unit;
        endpoint.fencing = fencing;
        fleet.endpoints[endpoint.id] = endpoint;
    }
    const auto add = [&](const ModelId& id, std::uint64_t memory, std::optional<ModelId> base) {
        ModelSettings model;
        model.id = id;
        model.pool = "pool";
        model.baseModel = std::move(base);
        model.memoryBytes = memory * unit;
        model.expectedLoadTime = model.baseModel ? 40ms : 1340ms;
        fleet.models[id] = model;
    };
    add(modelId, 50, std::nullopt);
    add(ModelId("pads"), 40, std::nullopt);
    add(ModelId("tone"), 2, modelId);
    return fleet;
}

SimulationOptions optionsOf(const FleetConfiguration& fleet)
{
    SimulationOptions options;
    options.fleet = fleet;
    options.requestsPerMille = 0;
    return options;
}

std::size_t count(
    const PlacementHistory& history, HistoryEventKind kind, const ModelId& model, MonotonicTime since = {})
{
    return static_cast<std::size_t>(std::count_if(history.begin(), history.end(),
        [&](const HistoryEvent& entry) { return entry.kind == kind && entry.model == model && entry.at >= since; }));
}

} // namespace

// Guards against memory of a manually loaded model that the plan does not account for.
TEST_CASE("a manually loaded replica is adopted and unloaded")
{
    PlacementSimulation simulation(optionsOf(fleetOf(1)));
    simulation.run(12s);
    PlacementCommand command;
    command.model = ModelId("pads");
    command.memoryBytes = 40 * unit;
    simulation.engines.at(engineId).startLoad(
        command, 100ms, simulation.now, [](CommandOutcome) {}, true);
    // Reports are fetched every two seconds and are up to one second old.
    simulation.run(4s);
    simulation.request(*simulation.hosts[0], modelId);
    simulation.run(30s);
    CHECK(checkMemory(simulation.history, { { engineId, 80 * unit } }).empty());
    CHECK(count(simulation.history, HistoryEventKind::ModelRemoved, ModelId("pads")) == 1);
    CHECK(count(simulation.history, HistoryEventKind::ModelServed, modelId) == 1);
}

// Guards against an adapter that is loaded before its base model, and a base model that is unloaded before its adapter.
TEST_CASE("an adapter's base model is loaded first and unloaded last")
{
    PlacementSimulation simulation(optionsOf(fleetOf(1)));
    simulation.run(12s);
    simulation.request(*simulation.hosts[0], ModelId("tone"));
    simulation.run(15s);
    simulation.request(*simulation.hosts[0], ModelId("pads"));
    simulation.run(30s);
    std::vector<std::string> events;
    for (const HistoryEvent& entry : simulation.history) {
        if (entry.kind == HistoryEventKind::LoadStarted || entry.kind == HistoryEventKind::ModelRemoved)
            events.push_back((entry.kind == HistoryEventKind::ModelRemoved ? "-" : "+") + entry.model.value);
    }
    CHECK(events == std::vector<std::string> { "+notes", "+tone", "-tone", "-notes", "+pads" });
}

// Guards against commands of an owner that cannot know whether another host has taken over.
TEST_CASE("an owner disconnected from the store sends no commands after its lease ends, and later resumes")
{
    PlacementSimulation simulation(optionsOf(fleetOf(1)));
    simulation.run(12s);
    simulation.disconnectFromStore(dataCentre, 60s);
    simulation.run(10s);
    const MonotonicTime leaseEnd = simulation.now;
    simulation.request(*simulation.hosts[0], modelId);
    simulation.run(49s);
    CHECK(count(simulation.history, HistoryEventKind::CommandArrived, modelId, leaseEnd) == 0);
    simulation.run(40s);
    CHECK(count(simulation.history, HistoryEventKind::ModelServed, modelId) == 1);
}

// Guards against slots that are released by a partition or the death of an owner while its loads still run.
TEST_CASE("slots of a partitioned data centre stay occupied and are released afterwards")
{
    FleetConfiguration fleet = fleetOf(2);
    fleet.defaults.weightLoadSlots = 1;
    fleet.models.at(modelId).expectedLoadTime = 40s;
    PlacementSimulation simulation(optionsOf(fleet));
    simulation.run(12s);
    simulation.request(*simulation.hosts[0], modelId);
    simulation.run(5s);
    REQUIRE(count(simulation.history, HistoryEventKind::LoadStarted, modelId) == 1);
    simulation.disconnectFromStore(dataCentre, 100s);
    simulation.kill(*simulation.ownerOf(dataCentre), 200s);
    auto& other = *simulation.hosts[3];
    REQUIRE(other.dataCentre == DataCentreId("dc-1"));
    simulation.request(other, ModelId("pads"));
    simulation.run(90s);
    CHECK(count(simulation.history, HistoryEventKind::LoadStarted, ModelId("pads")) == 0);
    simulation.run(60s);
    CHECK(count(simulation.history, HistoryEventKind::ModelServed, ModelId("pads")) == 1);
}

// Guards against a planned shutdown that leaves the data centre without an owner until a lease expires.
TEST_CASE("an owner that shuts down hands over immediately")
{
    PlacementSimulation simulation(optionsOf(fleetOf(1)));
    simulation.run(12s);
    auto* owner = simulation.ownerOf(dataCentre);
    REQUIRE(owner != nullptr);
    owner->manager->beginShutdown(simulation.now);
    simulation.run(1s);
    CHECK(owner->manager->isReleased(simulation.now));
    REQUIRE(simulation.ownerOf(dataCentre) != nullptr);
    CHECK(simulation.ownerOf(dataCentre) != owner);
    CHECK(owner->manager->owner() == simulation.ownerOf(dataCentre)->id);
}

// Guards against followers with a wrong copy of the plan, and against a plan that changes when encoded and decoded.
TEST_CASE("every host follows the owner's plan")
{
    PlacementSimulation simulation(optionsOf(fleetOf(1)));
    simulation.run(12s);
    simulation.request(*simulation.hosts[0], ModelId("tone"));
    simulation.run(10s);
    for (const auto& host : simulation.hosts) {
        CHECK(host->manager->isLoadedAnywhere(ModelId("tone")));
        CHECK(host->manager->status(simulation.now).replicas.size() == 2);
    }
    const PlacementPlan& plan = simulation.hosts[0]->manager->plan();
    const auto decoded = decodePlan(encodePlan(plan));
    REQUIRE(!isError(decoded));
    CHECK(differenceOf(plan, valueOf(decoded)).changed.empty());
    CHECK(valueOf(decoded).version == plan.version);
    CHECK(isError(decodePlan("no plan")));
}

// Guards against hosts that flood the owner with demand messages: at most a few per second and model.
TEST_CASE("demand for a cold model is forwarded immediately and then at a limited rate")
{
    PlacementManager manager(HostId("host"), 1, dataCentre, 1);
    manager.configure(fleetOf(1));
    MonotonicTime now { 1h };
    EffectList effects;
    PlacementPlan ownersPlan { 1, 1, HostId("owner"), 1, {} };
    manager.handle(HostId("owner"),
        PlanAnnounced { dataCentre, 1, encodePlanChange(differenceOf(PlacementPlan {}, ownersPlan)) }, now, effects);
    std::size_t messages = 0;
    for (int tick = 0; tick < 500; ++tick, now += 20ms) {
        manager.noteDemand(modelId, tick % 2, 0, 1, now);
        effects.clear();
        manager.tick(now, effects);
        const auto sent = std::count_if(effects.begin(), effects.end(),
            [](const Effect& effect) { return std::holds_alternative<SendToPeer>(effect); });
        if (tick <= 1)
            CHECK(sent == (tick == 0 ? 1 : 0));
        messages += static_cast<std::size_t>(sent);
    }
    CHECK(messages >= 5);
    CHECK(messages <= 30);
}
