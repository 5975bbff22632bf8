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
    // Decided and certainly not sent: waiting for memory, its base model or a load slot.
    Planned,
    // From the confirmation of the plan until the outcome is known, the load may take effect at any time.
    Loading,
    Loaded,
    Unloading,
};

std::string_view nameOf(PlannedState);

struct PlannedReplica {
    EndpointId endpoint;
    ModelId model;
    PlannedState state = PlannedState::Planned;
    // The command that led to the state; 0 for a replica adopted from an engine's report.
    CommandId command;
    std::uint64_t memoryBytes = 0;

    bool occupiesMemory() const { return state != PlannedState::Planned; }
    friend bool operator==(const PlannedReplica&, const PlannedReplica&) = default;
};

// The stored plan of one data centre. Only the holder of the highest fencing token writes it.
struct PlacementPlan {
    using Replicas = std::map<EndpointId, std::map<ModelId, PlannedReplica>>;

    FencingToken fencingToken = 0;
    // Increases with every write, also across owners.
    std::uint64_t version = 0;
    HostId owner;
    Incarnation ownerIncarnation = 0;
    Replicas replicas;

    // Returns nullptr if the plan has no such replica. The pointer is valid until the plan changes.
    PlannedReplica* find(const EndpointId&, const ModelId&);
    const PlannedReplica* find(const EndpointId&, const ModelId&) const;
    void put(const PlannedReplica&);
    void erase(const EndpointId&, const ModelId&);
    std::size_t size() const;
};

// The difference between two versions of a plan. It is announced to the hosts of the data centre, and the
// plan's head value in the store holds the difference from the base value with the version baseVersion.
// A baseVersion of 0 denotes an empty plan.
struct PlanChange {
    FencingToken fencingToken = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    HostId owner;
    Incarnation ownerIncarnation = 0;
    std::vector<PlannedReplica> changed;
    std::vector<std::pair<EndpointId, ModelId>> removed;
};

// Returns the compact CBOR encoding that is stored. Thread safe.
std::string encodePlan(const PlacementPlan&);
// Errors: InvalidMessage if the bytes are not an encoded plan. Thread safe.
Result<PlacementPlan> decodePlan(std::string_view bytes);

// Returns the change that turns the older plan into the newer one. Thread safe.
PlanChange differenceOf(const PlacementPlan& older, const PlacementPlan& newer);
std::string encodePlanChange(const PlanChange&);
// Errors: InvalidMessage if the bytes are not an encoded change. Thread safe.
Result<PlanChange> decodePlanChange(std::string_view bytes);
// Returns the key of the base value with the given version. Two keys alternate, so that writing the
// next base never overwrites the one that the head refers to. Thread safe.
std::string planBaseKey(const std::string& headKey, std::uint64_t baseVersion);
// Precondition: plan.version == change.baseVersion.
void applyPlanChange(const PlanChange&, PlacementPlan&);

} // namespace Catkinwell
