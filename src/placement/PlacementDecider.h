#pragma once

#include "placement/DemandTable.h"
#include "placement/EngineTracker.h"
#include <catkinwell/placement/IdlePolicy.h>
#include <catkinwell/placement/LoadSlots.h>
#include <map>
#include <set>
#include <unordered_map>

namespace Catkinwell {

// Decides on the loads and unloads of one data centre and records them in the working plan.
// Used only by the owner; not thread safe.
class PlacementDecider {
public:
    // All arguments must outlive this object.
    PlacementDecider(
        PlanRecorder&, EngineTracker&, const DemandTable&, const IdlePolicy&, LoadSlots& weights, LoadSlots& adapters);

    // The configuration must stay valid until the next call or the end of this object.
    void configure(const FleetConfiguration& effective) { m_configuration = &effective; }
    // Precondition: the store has confirmed the takeover.
    void start(MonotonicTime now);
    void noteCommandResult(const CommandResult&, MonotonicTime now);
    // Includes the model in the next decideChanged().
    void markChanged(const ModelId& model) { m_changed.insert(model); }
    // Decides on every model, requests load slots and records commands for the decisions that can be carried out.
    void decideAll(MonotonicTime now, EffectList&);
    // Does the same, but decides only on the marked models.
    void decideChanged(MonotonicTime now, EffectList&);

private:
    using ReplicaKey = std::pair<EndpointId, ModelId>;
    struct Backoff {
        MonotonicTime until {};
        std::uint32_t failures = 0;
    };
    struct Candidate {
        EndpointId endpoint;
        double score = 0;
        std::vector<ReplicaKey> victims;
    };
    using Index = std::unordered_map<ModelId, std::vector<ReplicaKey>>;

    Index indexByModel() const;
    void decideModel(const ModelSettings&, const std::vector<ReplicaKey>& replicas, MonotonicTime now, EffectList&);
    std::uint32_t desiredReplicas(
        const ModelSettings&, const ModelDemand&, const std::vector<ReplicaKey>& present, MonotonicTime now);
    bool countsAsPresent(const ReplicaKey&, bool isWaiting, MonotonicTime now) const;
    void planLoad(const ModelSettings&, bool mayEvict, MonotonicTime now, EffectList&);
    std::optional<Candidate> evaluate(
        const EndpointSettings&, const ModelSettings&, bool mayEvict, MonotonicTime now) const;
    // Selects idle replicas with the lowest eviction cost until needed bytes are freed. Returns false if they do not
    // suffice.
    bool chooseVictims(
        const EndpointId&, const ModelSettings& incoming, std::uint64_t needed, MonotonicTime now, Candidate&) const;
    std::uint64_t projectedBytes(const EndpointId&) const;
    void dropSurplus(
        const ModelSettings&, std::vector<ReplicaKey> present, std::size_t surplus, MonotonicTime now, EffectList&);
    void advancePlanned(MonotonicTime now);
    void advancePlannedReplica(PlannedReplica&, MonotonicTime now);
    void advanceEvictions(MonotonicTime now);
    bool hasAdapters(const ReplicaKey&) const;
    bool isBackedOff(const ReplicaKey&, MonotonicTime now) const;
    LoadSlots& slotsOf(const ModelId&);
    CommandId nextCommand();
    void abandonPlanned(const ReplicaKey&, MonotonicTime now);
    const ModelSettings* settingsOf(const ModelId&) const;

    PlanRecorder& m_recorder;
    EngineTracker& m_engineTracker;
    const DemandTable& m_demand;
    const IdlePolicy& m_policy;
    LoadSlots& m_weightSlots;
    LoadSlots& m_adapterSlots;
    const FleetConfiguration* m_configuration = nullptr;
    MonotonicTime m_startedAt {};
    std::uint64_t m_lastCommand = 0;
    std::set<ModelId> m_changed;
    // Replicas that are unloaded as soon as possible.
    std::set<ReplicaKey> m_evicting;
    std::map<ReplicaKey, Backoff> m_replicaBackoff;
    std::unordered_map<ModelId, Backoff> m_modelBackoff;
    // When the model last needed at least as many replicas as it had.
    std::unordered_map<ModelId, MonotonicTime> m_lastNeeded;
};

} // namespace Catkinwell
