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
class EngineLedger;
class OwnerElection;
class PlacementDecider;
class PlanFollower;
class PlanRecorder;

// What the administration API and the metrics show of placement on one host.
struct PlacementStatus {
    bool isOwner = false;
    // Empty if this data centre has no owner that the host knows of.
    HostId owner;
    FencingToken fencingToken = 0;
    std::uint64_t planVersion = 0;
    std::vector<PlannedReplica> replicas;
    // On the owner the demand of the whole data centre, otherwise of this host.
    std::vector<ModelWanted> wanted;
    // Only set on the owner.
    std::size_t planBytes = 0;
    std::size_t commandsInForce = 0;
    std::size_t weightSlotsHeld = 0;
    std::size_t adapterSlotsHeld = 0;
};

// Placement on one host: competes for the ownership of its data centre; as the owner decides which
// models are loaded where, otherwise passes demand on to the owner and follows its plan.
//
// Pure and not thread safe. Times passed to one instance never decrease.
// Preconditions of every method but the constructor: configure() was called.
// Memory is bounded by the configuration: models, endpoints and hosts of the data centre.
class PlacementManager {
public:
    // The seed decides the jitter of retries alone.
    PlacementManager(HostId self, Incarnation, DataCentreId, std::uint64_t seed);
    ~PlacementManager();
    PlacementManager(const PlacementManager&) = delete;
    PlacementManager& operator=(const PlacementManager&) = delete;

    // Takes the effective configuration (exceptions applied). Call it at the start and after every change.
    void configure(const FleetConfiguration& effective);
    // Takes the host's lease whenever it changes.
    void setLease(const LeaseStatus&);
    // Takes the live hosts of this data centre, with or without this host itself.
    void setLiveHosts(const std::set<HostId>&);

    // Reports this host's own requests: waiting and running replace the earlier figures, arrivals are added.
    // Call it when waiting turns positive, and otherwise at least once for every change of the figures to or
    // from zero; a few calls a second per model are enough. Unknown models are ignored.
    void noteDemand(
        const ModelId&, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals, MonotonicTime now);

    // Events. Replies to calls of other modules are ignored and give false.
    bool handle(const StoreReply&, MonotonicTime now, EffectList&);
    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&, MonotonicTime now);
    void handle(const PlacementCommandFinished&, MonotonicTime now, EffectList&);
    void handle(const HostId& from, const ModelWanted&, MonotonicTime now);
    void handle(const HostId& from, const PlanAnnounced&, MonotonicTime now, EffectList&);

    // The endpoint takes no new models; what is loaded there no longer counts as wanted capacity.
    void markEndpointLeaving(const EndpointId&);
    // The platform says that the endpoint is gone: everything planned there is settled as absent.
    // Precondition: its process has ended. A suspicion alone must not be passed here.
    void markEndpointDead(const EndpointId&, EffectList&);
    // Revokes either mark, for an endpoint that is listed as live again.
    void markEndpointAlive(const EndpointId&, MonotonicTime now);

    // Drives all deadlines; call it every 20 ms.
    void tick(MonotonicTime now, EffectList&);

    // Decides nothing further and gives the ownership up once every command that was sent is answered.
    void beginShutdown(MonotonicTime now);
    // True once the ownership is given up, or 30 s after beginShutdown; the host's lease may be revoked then.
    bool isReleased(MonotonicTime now) const;

    bool isOwner() const { return m_isOwner; }
    // The owner of this data centre; empty if unknown.
    HostId owner() const;
    // The newest plan that this host knows; on the owner the confirmed one.
    const PlacementPlan& plan() const;
    // Tells whether the plan lists the model as loaded on any endpoint of this data centre.
    bool isLoadedAnywhere(const ModelId&) const;
    PlacementStatus status(MonotonicTime now) const;

private:
    void noteTime(MonotonicTime now);
    void updateOwnership(MonotonicTime now, EffectList&);
    void becomeOwner(MonotonicTime now, EffectList&);
    void stepDown(EffectList&);
    void passDemandOn(MonotonicTime now, EffectList&);
    void announce(MonotonicTime now, EffectList&);
    void applySettlements(MonotonicTime now);
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
    std::unique_ptr<EngineLedger> m_ledger;
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
