#include "placement/PlacementHistory.h"

#include <algorithm>
#include <deque>
#include <set>

namespace Catkinwell {

namespace {

    std::string describe(const HistoryEvent& entry, const std::string& what)
    {
        return std::to_string(std::chrono::duration<double>(entry.at.time_since_epoch()).count())
            + " s: " + entry.endpoint.value + " " + entry.model.value + ": " + what;
    }

} // namespace

Violations checkLoadsInPlan(const PlacementHistory& history)
{
    Violations violations;
    std::map<DataCentreId, PlacementPlan> plans;
    std::map<std::pair<EndpointId, ModelId>, DataCentreId> held;
    const auto isPlanned = [&](const DataCentreId& dataCentre, const EndpointId& endpoint, const ModelId& model) {
        const PlannedReplica* replica = plans[dataCentre].find(endpoint, model);
        return replica != nullptr && replica->occupiesMemory();
    };
    for (const HistoryEvent& entry : history) {
        const std::pair<EndpointId, ModelId> key(entry.endpoint, entry.model);
        if (entry.kind == HistoryEventKind::LoadStarted && !entry.isManual) {
            held[key] = entry.dataCentre;
            if (!isPlanned(entry.dataCentre, entry.endpoint, entry.model))
                violations.push_back(describe(entry, "load started that is not in the stored plan"));
        } else if (entry.kind == HistoryEventKind::ModelRemoved) {
            held.erase(key);
        } else if (entry.kind == HistoryEventKind::PlanStored) {
            plans[entry.dataCentre] = entry.plan;
            for (const auto& [replica, dataCentre] : held) {
                if (dataCentre == entry.dataCentre && !isPlanned(dataCentre, replica.first, replica.second))
                    violations.push_back(describe(entry,
                        "the stored plan no longer contains " + replica.first.value + " " + replica.second.value));
            }
        }
    }
    return violations;
}

Violations checkMemory(const PlacementHistory& history, const std::map<EndpointId, std::uint64_t>& memoryBytes)
{
    Violations violations;
    std::map<EndpointId, std::map<ModelId, std::uint64_t>> held;
    for (const HistoryEvent& entry : history) {
        auto& row = held[entry.endpoint];
        if (entry.kind == HistoryEventKind::ModelRemoved)
            row.erase(entry.model);
        if (entry.kind != HistoryEventKind::LoadStarted)
            continue;
        row[entry.model] = entry.bytes;
        std::uint64_t sum = 0;
        for (const auto& [model, bytes] : row)
            sum += bytes;
        if (sum > memoryBytes.at(entry.endpoint))
            violations.push_back(describe(entry, "used memory exceeds the engine's memory: " + std::to_string(sum)));
    }
    return violations;
}

Violations checkLoadSlots(const PlacementHistory& history)
{
    Violations violations;
    std::set<std::pair<EndpointId, ModelId>> running[2];
    const std::size_t limits[2] = { 4, 32 };
    std::vector<MonotonicTime> starts;
    for (const HistoryEvent& entry : history) {
        const std::pair<EndpointId, ModelId> key(entry.endpoint, entry.model);
        auto& loads = running[entry.isAdapter ? 1 : 0];
        if (entry.kind == HistoryEventKind::LoadEnded || entry.kind == HistoryEventKind::ModelRemoved)
            loads.erase(key);
        if (entry.kind != HistoryEventKind::LoadStarted || entry.isManual)
            continue;
        loads.insert(key);
        if (loads.size() > limits[entry.isAdapter ? 1 : 0])
            violations.push_back(describe(entry, std::to_string(loads.size()) + " concurrent loads"));
        if (entry.isAdapter)
            continue;
        starts.push_back(entry.at);
        for (std::size_t first = 0; first < starts.size(); ++first) {
            const double window = std::chrono::duration<double>(starts.back() - starts[first]).count();
            const auto count = static_cast<double>(starts.size() - first);
            if (count > 4 + 3 * window) {
                violations.push_back(describe(
                    entry, std::to_string(starts.size() - first) + " load starts in " + std::to_string(window) + " s"));
                break;
            }
        }
    }
    return violations;
}

Violations checkNoOverlappingOwners(const PlacementHistory& history)
{
    Violations violations;
    std::map<EndpointId, FencingToken> highest;
    for (const HistoryEvent& entry : history) {
        if (entry.kind != HistoryEventKind::CommandArrived || !entry.ignoresFencing)
            continue;
        FencingToken& token = highest[entry.endpoint];
        if (entry.token < token)
            violations.push_back(describe(entry,
                "command with token " + std::to_string(entry.token) + " arrived after token " + std::to_string(token)));
        token = std::max(token, entry.token);
    }
    return violations;
}

Violations checkServed(const PlacementHistory& history)
{
    std::map<std::pair<HostId, ModelId>, HistoryEvent> open;
    for (const HistoryEvent& entry : history) {
        if (entry.kind == HistoryEventKind::ModelRequested)
            open.emplace(std::pair(entry.host, entry.model), entry);
        if (entry.kind == HistoryEventKind::ModelServed)
            open.erase({ entry.host, entry.model });
        if (entry.kind == HistoryEventKind::HostStopped)
            std::erase_if(open, [&](const auto& wanted) { return wanted.first.first == entry.host; });
    }
    Violations violations;
    for (const auto& [key, entry] : open)
        violations.push_back(describe(entry, "requested by " + key.first.value + " and never served"));
    return violations;
}

} // namespace Catkinwell
