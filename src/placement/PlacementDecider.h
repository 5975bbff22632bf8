#pragma once

#include "placement/DemandTable.h"
#include "placement/EngineLedger.h"
#include <catkinwell/placement/IdlePolicy.h>
#include <catkinwell/placement/LoadSlots.h>
#include <map>
#include <set>
#include <unordered_map>

namespace Catkinwell {

// Decides the loads and unloads of one data centre against the working plan.
// Used by the owner alone; not thread safe.
class PlacementDecider {
public:
    // Everything passed must outlive this object.
    PlacementDecider(
        PlanRecorder&, EngineLedger&, const DemandTable&, const IdlePolicy&, LoadSlots& weights, LoadSlots& adapters);

    // The configuration must outlive its use here.
    void configure(const FleetConfiguration& effective) { m_configuration = &effective; }
    // Precondition: the takeover was confirmed by now.
    void start(MonotonicTime now);
    void noteSettlement(const Settlement&, MonotonicTime now);
    // Has the model decided on by the next decideChanged().
    void markChanged(const ModelId& model) { m_changed.insert(model); }
    // Decides on every model, asks for slots and turns runnable decisions into recorded commands.
    void decideAll(MonotonicTime now, EffectList&);
    // Does the same for the models that were marked alone.
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
    // Chooses idle replicas whose loss costs least until the needed bytes are free; false if there are too few.
    bool chooseVictims(
        const EndpointId&, const ModelSettings& incoming, std::uint64_t needed, MonotonicTime now, Candidate&) const;
    std::uint64_t promisedBytes(const EndpointId&) const;
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
    EngineLedger& m_ledger;
    const DemandTable& m_demand;
    const IdlePolicy& m_policy;
    LoadSlots& m_weightSlots;
    LoadSlots& m_adapterSlots;
    const FleetConfiguration* m_configuration = nullptr;
    MonotonicTime m_startedAt {};
    std::uint64_t m_lastCommand = 0;
    std::set<ModelId> m_changed;
    // Replicas that are to be unloaded as soon as nothing hinders it.
    std::set<ReplicaKey> m_evicting;
    std::map<ReplicaKey, Backoff> m_replicaBackoff;
    std::unordered_map<ModelId, Backoff> m_modelBackoff;
    // When the model last needed as many replicas as it has.
    std::unordered_map<ModelId, MonotonicTime> m_lastNeeded;
};

} // namespace Catkinwell
