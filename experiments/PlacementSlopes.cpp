// Measures how the cost of a placement owner and of a follower depends on the size of one data centre, with a
// least-squares line for each figure, and the time from an owner's death until service is usable again, in simulated
// time.
// Usage: PlacementSlopes [seed]
//
// Four fifths of the models are loaded first. Then models that are not loaded become wanted at a rate of 22% of all
// models per hour, and the figures are taken over 60 s. The load time and the owner's processor use while loading are
// those of the first phase. Hosts, store and engines are the fakes of the history check, without faults.
#include "../tests/placement/PlacementSimulation.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t unit = 1ULL << 30;
constexpr std::uint32_t hostCount = 10;
const DataCentreId dataCentre("dc-0");

struct Size {
    int endpoints;
    int models;
    int adapters;
};

struct Figures {
    double ownerCore = 0;
    double followerCore = 0;
    double ownerMessages = 0;
    double ownerBytes = 0;
    double followerBytes = 0;
    double storeCalls = 0;
    double storeBytes = 0;
    double planBytes = 0;
    double ownerMemory = 0;
    double loadSeconds = 0;
    double peakCore = 0;
};

FleetConfiguration fleetOf(const Size& size, FencingSupport fencing)
{
    FleetConfiguration fleet;
    for (int index = 0; index < size.endpoints; ++index) {
        EndpointSettings endpoint;
        endpoint.dataCentre = dataCentre;
        endpoint.id = EndpointId("notewriter-engine-" + std::to_string(index));
        endpoint.address = "10.0.0.1:9000";
        endpoint.pool = "pool";
        endpoint.memoryBytes = 80 * unit;
        endpoint.fencing = fencing;
        fleet.endpoints[endpoint.id] = endpoint;
    }
    for (int index = 0; index < size.models + size.adapters; ++index) {
        ModelSettings model;
        const bool isAdapter = index >= size.models;
        model.id = ModelId((isAdapter ? "notewriter-adapter-" : "notewriter-model-") + std::to_string(index));
        if (isAdapter)
            model.baseModel = ModelId("notewriter-model-" + std::to_string(index % size.models));
        model.pool = "pool";
        model.memoryBytes = isAdapter ? unit / 4 : 30 * unit;
        model.expectedLoadTime = isAdapter ? 40ms : 1340ms;
        fleet.models[model.id] = model;
    }
    return fleet;
}

bool isEveryWantServed(const PlacementSimulation& simulation)
{
    return std::all_of(
        simulation.hosts.begin(), simulation.hosts.end(), [](const auto& host) { return host->requests.empty(); });
}

Figures measure(const Size& size, std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.hostsPerDataCentre = hostCount;
    options.fleet = fleetOf(size, FencingSupport::Enforced);
    options.requestsPerMille = 0;
    PlacementSimulation simulation(options);
    RandomGenerator random(seed);
    simulation.run(12s);
    std::vector<ModelId> cold;
    for (const auto& [model, settings] : options.fleet.models) {
        if (settings.baseModel && random.below(5) == 0)
            cold.push_back(model);
        else
            simulation.request(*simulation.hosts[random.below(hostCount)], model);
    }
    const MonotonicTime begin = simulation.now;
    while (!isEveryWantServed(simulation) && simulation.now - begin < 20min)
        simulation.run(1s);
    Figures figures;
    figures.loadSeconds = std::chrono::duration<double>(simulation.now - begin).count();
    for (const auto& host : simulation.hosts)
        figures.peakCore = std::max(figures.peakCore, host->processorSeconds / figures.loadSeconds * 100);
    simulation.run(10s);
    for (auto& host : simulation.hosts) {
        host->processorSeconds = 0;
        host->messages = host->messageBytes = host->storeCalls = host->storeBytes = 0;
    }
    constexpr int seconds = 60;
    const auto modelCount = static_cast<double>(options.fleet.models.size());
    double due = 0;
    for (int second = 0; second < seconds; ++second) {
        for (due += 0.22 * modelCount / 3600; due >= 1 && !cold.empty(); due -= 1) {
            simulation.request(*simulation.hosts[random.below(hostCount)], cold.back());
            cold.pop_back();
        }
        simulation.run(1s);
    }
    auto* owner = simulation.ownerOf(dataCentre);
    for (const auto& host : simulation.hosts) {
        if (host.get() == owner) {
            figures.ownerCore = host->processorSeconds / seconds * 100;
            figures.ownerMessages = static_cast<double>(host->messages) / seconds;
            figures.ownerBytes = static_cast<double>(host->messageBytes) / seconds;
            figures.storeCalls = static_cast<double>(host->storeCalls) / seconds;
            figures.storeBytes = static_cast<double>(host->storeBytes) / seconds;
        } else {
            figures.followerCore += host->processorSeconds / seconds * 100 / (hostCount - 1);
            figures.followerBytes += static_cast<double>(host->messageBytes) / seconds / (hostCount - 1);
        }
    }
    figures.planBytes = static_cast<double>(encodePlan(owner->manager->plan()).size());
    const auto before = mallinfo2().uordblks;
    simulation.kill(*owner, 1h);
    figures.ownerMemory = static_cast<double>(before - mallinfo2().uordblks) / 1024;
    return figures;
}

void printFit(const char* name, const std::vector<double>& sizes, const std::vector<double>& values)
{
    const auto count = static_cast<double>(sizes.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        sumX += sizes[index];
        sumY += values[index];
        sumXX += sizes[index] * sizes[index];
        sumXY += sizes[index] * values[index];
    }
    const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    std::printf("fit: %-28s = %12.5g + %12.5g * (models + adapters)\n", name, (sumY - slope * sumX) / count, slope);
}

// Measures the time from an owner's death until a model that becomes wanted at that moment is served.
void measureTakeover(FencingSupport fencing, std::uint64_t seed)
{
    std::vector<double> seconds;
    for (std::uint64_t run = 0; run < 20; ++run) {
        SimulationOptions options;
        options.seed = seed + run;
        options.fleet = fleetOf({ 12, 8, 60 }, fencing);
        options.requestsPerMille = 0;
        PlacementSimulation simulation(options);
        simulation.run(12s + std::chrono::milliseconds(150 * run));
        auto* owner = simulation.ownerOf(dataCentre);
        if (owner == nullptr)
            continue;
        auto& host = *simulation.hosts[simulation.hosts[0].get() == owner ? 1 : 0];
        const MonotonicTime died = simulation.now;
        simulation.kill(*owner, 1h);
        simulation.request(host, options.fleet.models.rbegin()->first);
        while (!host.requests.begin()->second.isServed && simulation.now - died < 5min)
            simulation.run(20ms);
        seconds.push_back(std::chrono::duration<double>(simulation.now - died).count());
    }
    std::sort(seconds.begin(), seconds.end());
    if (seconds.empty())
        return;
    std::printf("owner's death, engines with fencing %s: usable after median %.1f s, largest %.1f s of %zu runs\n",
        std::string(nameOf(fencing)).c_str(), seconds[seconds.size() / 2], seconds.back(), seconds.size());
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const Size sizes[] = { { 12, 6, 290 }, { 25, 13, 575 }, { 50, 26, 1150 }, { 75, 40, 1725 }, { 100, 53, 2300 } };
    struct Column {
        const char* name;
        double Figures::*field;
    };
    const Column columns[] = { { "owner % of a core", &Figures::ownerCore },
        { "follower % of a core", &Figures::followerCore }, { "owner messages/s", &Figures::ownerMessages },
        { "owner peer bytes/s", &Figures::ownerBytes }, { "follower peer bytes/s", &Figures::followerBytes },
        { "owner store calls/s", &Figures::storeCalls }, { "owner store bytes/s", &Figures::storeBytes },
        { "plan bytes", &Figures::planBytes }, { "owner memory KB", &Figures::ownerMemory },
        { "time to load four fifths s", &Figures::loadSeconds }, { "owner % of a core, loading", &Figures::peakCore } };
    std::vector<double> totals;
    std::vector<Figures> results;
    for (const Size& size : sizes) {
        results.push_back(measure(size, seed));
        totals.push_back(size.models + size.adapters);
        std::printf(
            "%d endpoints, %d models, %d adapters, %u hosts\n", size.endpoints, size.models, size.adapters, hostCount);
        for (const Column& column : columns)
            std::printf("    %-28s %12.2f\n", column.name, results.back().*column.field);
    }
    for (const Column& column : columns) {
        std::vector<double> values;
        values.reserve(results.size());
        for (const Figures& figures : results)
            values.push_back(figures.*column.field);
        printFit(column.name, totals, values);
    }
    measureTakeover(FencingSupport::Enforced, seed);
    measureTakeover(FencingSupport::Ignored, seed);
    return 0;
}
