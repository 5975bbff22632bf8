#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

enum class PlannedState : std::uint8_t {
    // Decided but surely not sent: it waits for memory, its base model or a load slot.
    Planned,
    // A load may be in force from the moment the plan is confirmed until it is settled.
    Loading,
    Loaded,
    Unloading,
};

std::string_view nameOf(PlannedState);

struct PlannedReplica {
    EndpointId endpoint;
    ModelId model;
    PlannedState state = PlannedState::Planned;
    // The command that led to the state; 0 for a replica that was adopted from a report.
    CommandId command;
    std::uint64_t memoryBytes = 0;

    bool occupiesMemory() const { return state != PlannedState::Planned; }
    friend bool operator==(const PlannedReplica&, const PlannedReplica&) = default;
};

// The stored plan of one data centre. Only the holder of the highest fencing token writes it.
struct PlacementPlan {
    using Replicas = std::map<EndpointId, std::map<ModelId, PlannedReplica>>;

    FencingToken fencingToken = 0;
    // Rises with every write, across owners.
    std::uint64_t version = 0;
    HostId owner;
    Incarnation ownerIncarnation = 0;
    Replicas replicas;

    // Returns nullptr if the plan has no such replica. The pointer is valid until the next change.
    PlannedReplica* find(const EndpointId&, const ModelId&);
    const PlannedReplica* find(const EndpointId&, const ModelId&) const;
    void put(const PlannedReplica&);
    void erase(const EndpointId&, const ModelId&);
    std::size_t size() const;
};

// The differences between two versions of a plan: what is announced to the data centre's hosts, and what
// the plan's head value in the store holds relative to the base value with the version baseVersion.
// A baseVersion of 0 stands for an empty plan.
struct PlanChange {
    FencingToken fencingToken = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    HostId owner;
    Incarnation ownerIncarnation = 0;
    std::vector<PlannedReplica> changed;
    std::vector<std::pair<EndpointId, ModelId>> removed;
};

// Writes the compact CBOR form that is stored. Thread safe.
std::string encodePlan(const PlacementPlan&);
// Errors: InvalidMessage if the bytes are not an encoded plan. Thread safe.
Result<PlacementPlan> decodePlan(std::string_view bytes);

// Returns what leads from the older plan to the newer one. Thread safe.
PlanChange differenceOf(const PlacementPlan& older, const PlacementPlan& newer);
std::string encodePlanChange(const PlanChange&);
// Errors: InvalidMessage if the bytes are not an encoded change. Thread safe.
Result<PlanChange> decodePlanChange(std::string_view bytes);
// Returns the key of the base value with the given version: two values are used in turn, so that
// writing the next base never touches the one that the head refers to. Thread safe.
std::string planBaseKey(const std::string& headKey, std::uint64_t baseVersion);
// Precondition: plan.version == change.baseVersion.
void applyPlanChange(const PlanChange&, PlacementPlan&);

} // namespace Catkinwell
