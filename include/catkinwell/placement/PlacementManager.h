#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/IdlePolicy.h>
#include <catkinwell/placement/LoadSlots.h>
#include <catkinwell/placement/PlacementPlan.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/LeaseStatus.h>
#include <catkinwell/store/StoreCallIds.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

class DemandForwarder;
class DemandTable;
class EngineTracker;
class OwnerElection;
class PlacementDecider;
class PlanFollower;
class PlanRecorder;

// The placement state of one host, for the administration API and the metrics.
struct PlacementStatus {
    bool isOwner = false;
    // Empty if the host knows of no owner of its data centre.
    HostId owner;
    FencingToken fencingToken = 0;
    std::uint64_t planVersion = 0;
    std::vector<PlannedReplica> replicas;
    // The demand of the whole data centre on the owner, and of this host otherwise.
    std::vector<ModelWanted> wanted;
    // Only set on the owner.
    std::size_t planBytes = 0;
    std::size_t commandsInForce = 0;
    std::size_t weightSlotsHeld = 0;
    std::size_t adapterSlotsHeld = 0;
};

// Placement on one host. Competes for the ownership of its data centre. The owner decides which models are
// loaded on which endpoints; other hosts forward their demand to the owner and follow its plan.
//
// Performs no I/O and is not thread safe. Times passed to one instance must not decrease.
// Precondition of every method except the constructor: configure() has been called.
// Memory is bounded by the number of configured models, endpoints and hosts of the data centre.
class PlacementManager {
public:
    // The seed only affects the jitter of retries and reads.
    PlacementManager(HostId self, Incarnation, DataCentreId, std::uint64_t seed);
    ~PlacementManager();
    PlacementManager(const PlacementManager&) = delete;
    PlacementManager& operator=(const PlacementManager&) = delete;

    // Sets the effective configuration (exceptions applied). Must be called at startup and after every change.
    void configure(const FleetConfiguration& effective);
    // Must be called whenever the host's lease changes.
    void setLease(const LeaseStatus&);
    // Sets the live hosts of this data centre. This host may be included or not.
    void setLiveHosts(const std::set<HostId>&);

    // Reports the demand of this host's own requests. waiting and running replace the previous values;
    // arrivals are added. Must be called when waiting becomes positive and whenever a value changes to or
    // from zero; a few calls per second and model are enough. Unknown models are ignored.
    void noteDemand(
        const ModelId&, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals, MonotonicTime now);

    // Event handlers. A reply to a store call of another module is ignored, and false is returned.
    bool handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&, MonotonicTime now);
    void handle(const PlacementCommandFinished&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ModelWanted&, MonotonicTime now);
    void handle(const HostId& from, const PlanAnnounced&, MonotonicTime now, EffectList&);

    // Loads no further models on the endpoint. Replicas on it no longer count towards a model's desired replicas.
    void markEndpointLeaving(const EndpointId&);
    // Removes every planned replica of an endpoint that the platform reports as terminated.
    // Precondition: its process has ended. Must not be called for an endpoint that is only suspected.
    void markEndpointDead(const EndpointId&, EffectList&);
    // Reverts markEndpointLeaving() and markEndpointDead() for an endpoint that is listed as live again.
    void markEndpointAlive(const EndpointId&, MonotonicTime now);

    // Handles all timeouts and periodic work. Must be called every 20 ms.
    void tick(MonotonicTime now, EffectList&);

    // Stops deciding, and releases the ownership once every command that was sent has been answered.
    void beginShutdown(MonotonicTime now);
    // True once the ownership is released, or 30 s after beginShutdown(). The host's lease may then be revoked.
    bool isReleased(MonotonicTime now) const;

    bool isOwner() const { return m_isOwner; }
    // The owner of this data centre; empty if unknown.
    HostId owner() const;
    // The latest plan known to this host; on the owner, the plan confirmed by the store.
    const PlacementPlan& plan() const;
    // Returns whether the plan lists the model as loaded on any endpoint of this data centre.
    bool isLoadedAnywhere(const ModelId&) const;
    PlacementStatus status(MonotonicTime now) const;

private:
    void detectPause(MonotonicTime now);
    void updateOwnership(MonotonicTime now, EffectList&);
    void becomeOwner(MonotonicTime now, EffectList&);
    void stepDown(EffectList&);
    void forwardDemand(MonotonicTime now, EffectList&);
    void announce(MonotonicTime now, EffectList&);
    void applyCommandResults(MonotonicTime now);
    void logPlanSize(EffectList&);

    HostId m_self;
    DataCentreId m_dataCentre;
    RandomGenerator m_random;
    StoreCallIds m_callIds;
    FleetConfiguration m_configuration;
    LeaseStatus m_lease;
    std::set<HostId> m_liveHosts;
    IdlePolicy m_policy;
    LoadSlots m_weightSlots;
    LoadSlots m_adapterSlots;
    std::unique_ptr<OwnerElection> m_election;
    std::unique_ptr<PlanRecorder> m_recorder;
    std::unique_ptr<PlanFollower> m_follower;
    std::unique_ptr<DemandTable> m_demand;
    std::unique_ptr<DemandForwarder> m_forwarder;
    std::unique_ptr<EngineTracker> m_engineTracker;
    std::unique_ptr<PlacementDecider> m_decider;

    bool m_isOwner = false;
    bool m_fencedOff = false;
    FencingToken m_highestReportedToken = 0;
    std::optional<MonotonicTime> m_shutdownAt;
    MonotonicTime m_lastSeen {};
    MonotonicTime m_decideAt {};
    bool m_decideNow = false;
    HostId m_lastOwner;
    PlacementPlan m_announced;
    MonotonicTime m_announcedAt {};
    bool m_planTooLargeLogged = false;
};

} // namespace Catkinwell
