#pragma once

#include <catkinwell/admin/AdminApi.h>
#include <catkinwell/admin/DecisionJournal.h>
#include <catkinwell/admin/UsageAccounting.h>
#include <catkinwell/configuration/ConfigurationManager.h>
#include <catkinwell/gateway/EvacuatedDataCentres.h>
#include <catkinwell/membership/EndpointDrains.h>
#include <catkinwell/membership/MembershipManager.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <catkinwell/orders/ClaimManager.h>
#include <catkinwell/placement/PlacementManager.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/reducer/Event.h>
#include <catkinwell/requests/RequestFlow.h>
#include <catkinwell/routing/EndpointTable.h>
#include <catkinwell/settings/ProcessSettings.h>
#include <catkinwell/shares/ShareManager.h>
#include <catkinwell/store/HostLease.h>

namespace Catkinwell {

struct ReducerSettings {
    HostRegistration host;
    std::uint64_t seed = 0;
    std::vector<AdminCredential> credentials;
    std::map<HostId, std::string> seedPeers;
    // Longest time from a request to shut down to the end of the process.
    Duration shutdownGrace = std::chrono::seconds(120);
};

ReducerSettings reducerSettingsOf(const ProcessSettings&, Incarnation);

// Holds the state of a host, which only apply() changes. apply() is deterministic except for SecretSource: the same
// state, events and times give the same effects. Not thread safe.
class Reducer final : private StatusSource, private ReadinessSource, private DrainControl, private QuarantineControl {
public:
    Reducer(ReducerSettings, SecretSource&, MonotonicTime now, WallTime wallNow);
    ~Reducer() override;

    // Handles one event and returns the effects that the runtime has to carry out, in order.
    // Precondition: times do not decrease.
    EffectList apply(const Event&, MonotonicTime now);

private:
    enum class Phase {
        Serving,
        // New requests are refused; accepted requests and administrative changes are completed.
        Draining,
        // The modules release the token shares, claims and placement ownership that they hold.
        Releasing,
        // The host's lease is being revoked.
        Revoking,
        Finished,
    };

    struct Dispatch;

    void handleTick(const Tick&, MonotonicTime now, EffectList&);
    void handleShutdown(MonotonicTime now, EffectList&);
    void handleStoreReply(const StoreReply&, MonotonicTime now, EffectList&);
    void handlePeerMessage(const PeerMessageReceived&, MonotonicTime now, EffectList&);
    // Propagates changes in one module to the others.
    void propagate(MonotonicTime now, EffectList&);
    void propagateConfiguration(MonotonicTime now, EffectList&);
    void applyEvacuations(MonotonicTime now, EffectList&);
    void configureClaims();
    void propagateMembership(MonotonicTime now, EffectList&);
    void updateRelayPeers(MonotonicTime now);
    void setLeavingEndpoints(const std::set<EndpointId>&, MonotonicTime now, EffectList&);
    void updateDigestContents(MonotonicTime now, EffectList&);
    void updatePromptQuarantine(MonotonicTime now, EffectList&);
    void handlePromptChanges(MonotonicTime now, EffectList&);
    void sendPromptNews(MonotonicTime now, EffectList&);
    void handle(const HostId& from, const PromptQuarantineNews&, MonotonicTime now, EffectList&);
    void propagatePlan(MonotonicTime now);
    void reportDemand(MonotonicTime now);
    void countReplicas(const EndpointReport&, MonotonicTime now);
    void advanceShutdown(MonotonicTime now, EffectList&);
    void recordMetricsAndLogs(MonotonicTime now, EffectList&);

    std::string statusJson(std::string_view section, MonotonicTime now) const override;
    std::string hostsStatus(MonotonicTime now) const;
    std::string sharesStatus(MonotonicTime now) const;
    std::string replicasStatus(MonotonicTime now) const;
    std::string slotsStatus(MonotonicTime now) const;
    std::string ordersStatus(MonotonicTime now) const;
    std::string endpointsStatus(MonotonicTime now) const;
    std::string membershipStatus(MonotonicTime now) const;
    std::string configurationStatus(MonotonicTime now) const;
    std::string storeStatus(MonotonicTime now) const;
    std::string reasonNotReady(MonotonicTime now) const override;
    std::vector<EndpointId> draining() const override;
    Status setDraining(
        const EndpointId&, bool draining, const std::string& reason, MonotonicTime now, EffectList& effects) override;
    std::vector<QuarantinedRequest> quarantined() const override;
    Status release(std::uint64_t fingerprint, MonotonicTime now, EffectList& effects) override;

    ReducerSettings m_settings;
    MetricsRegistry m_metrics;
    RequestCounts m_callerCounts;
    DecisionJournal m_journal;
    UsageAccounting m_usage;
    HostLease m_lease;
    ConfigurationManager m_configuration;
    MembershipManager m_membership;
    EndpointDrains m_drains;
    CrashQuarantine m_quarantine;
    PromptQuarantine m_promptQuarantine;
    SuspectTrials m_trials;
    EndpointTable m_endpoints;
    ShareManager m_shares;
    ClaimManager m_claims;
    PlacementManager m_placement;
    RelayPeers m_relayPeers;
    RequestFlow m_requests;
    AdminApi m_admin;
    WallTime m_wallNow;
    Phase m_phase = Phase::Serving;
    MonotonicTime m_phaseDeadline {};
    MonotonicTime m_shutdownAt {};
    MonotonicTime m_nextDemandAt {};
    std::uint64_t m_seenPlanVersion = 0;
    bool m_wasOwner = false;
    bool m_hasPropagatedMembership = false;
    // All live hosts, this one included.
    std::vector<LiveHost> m_liveHosts;
    MonotonicTime m_nextDigestUpdateAt {};
    // When the next news of the prompt quarantine go to all hosts, and the next repetition to one of them.
    MonotonicTime m_nextPromptNewsAt {};
    MonotonicTime m_nextPromptRepetitionAt {};
    std::size_t m_nextPromptPeer = 0;
    // Endpoints that are drained or in data centres under evacuation.
    std::set<EndpointId> m_leavingEndpoints;
    EvacuatedDataCentres m_evacuated;
    std::set<EndpointId> m_evacuatedEndpoints;
    // The replicas whose usage this host accounts for.
    std::map<EndpointId, std::set<ModelId>> m_countedReplicas;
};

} // namespace Catkinwell
