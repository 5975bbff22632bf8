#include <catkinwell/reducer/Reducer.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/metrics/RequestMetrics.h>
#include <catkinwell/reducer/InvalidResponses.h>

namespace Catkinwell {

namespace {

    // A new cold start is reported to the placement at once, other changes in demand at this interval.
    constexpr Duration demandInterval = std::chrono::milliseconds(250);
    // How long a stopping host waits for its modules to release what they hold, before it revokes its lease anyway.
    constexpr Duration releaseTimeout = std::chrono::seconds(10);
    // In a fleet of up to this many hosts a data centre has only one or two, so hosts also lend tokens across data
    // centres; docs/decisions/shares.md gives the wrongful refusals with and without this. In a larger fleet, loans
    // stay within the data centre.
    constexpr std::size_t maximumHostsForFleetWideLoans = 16;
    // How often the contents are updated that membership digests carry for other modules.
    constexpr Duration digestUpdateInterval = std::chrono::seconds(1);
    constexpr Duration revokeTimeout = std::chrono::seconds(2);
    // To refuse what arrives last and to write the answers out, also if the grace time is over.
    constexpr Duration shortestFlush = std::chrono::seconds(5);

    // Derives the seed of a module's random generator from the host's seed, so that modules and hosts differ and a run
    // can be replayed.
    std::uint64_t derivedSeed(std::uint64_t seed, std::string_view module) { return seed ^ stableHash(module); }

    AdminApiSettings adminSettingsOf(const ReducerSettings& settings)
    {
        AdminApiSettings admin;
        admin.credentials = settings.credentials;
        return admin;
    }

    MembershipSettings membershipSettingsOf(const ReducerSettings& settings)
    {
        MembershipSettings membership;
        membership.self = settings.host.host;
        membership.incarnation = settings.host.incarnation;
        membership.dataCentre = settings.host.dataCentre;
        membership.seed = derivedSeed(settings.seed, "membership");
        return membership;
    }

    std::vector<AdminRole> rolesOf(const std::vector<std::string>& names)
    {
        std::vector<AdminRole> roles;
        for (const AdminRole role : { AdminRole::Read, AdminRole::Operate, AdminRole::GrantKeys }) {
            if (std::find(names.begin(), names.end(), nameOf(role)) != names.end())
                roles.push_back(role);
        }
        return roles;
    }

} // namespace

ReducerSettings reducerSettingsOf(const ProcessSettings& settings, Incarnation incarnation)
{
    ReducerSettings reducer;
    reducer.host = { settings.host, incarnation, settings.dataCentre, settings.peerAddress, settings.relayAddress };
    reducer.seed = stableHash(settings.host.value) ^ incarnation;
    for (const auto& credential : settings.credentials)
        reducer.credentials.push_back({ credential.name, credential.tokenSha256, rolesOf(credential.roles) });
    reducer.seedPeers = settings.seedPeers;
    reducer.shutdownGrace = settings.shutdownGrace;
    return reducer;
}

Reducer::Reducer(ReducerSettings settings, SecretSource& secrets, MonotonicTime now, WallTime wallNow)
    : m_settings(std::move(settings))
    , m_usage(m_settings.host.host, now, wallNow)
    , m_lease(m_settings.host, derivedSeed(m_settings.seed, "lease"))
    , m_configuration(derivedSeed(m_settings.seed, "configuration"))
    , m_membership(membershipSettingsOf(m_settings))
    , m_drains(derivedSeed(m_settings.seed, "drains"))
    , m_trials(m_settings.host.host)
    , m_endpoints(m_settings.host.dataCentre, derivedSeed(m_settings.seed, "endpoints"))
    , m_shares(m_settings.host.host, m_settings.host.incarnation, derivedSeed(m_settings.seed, "shares"), now)
    , m_claims(derivedSeed(m_settings.seed, "claims"))
    , m_placement(m_settings.host.host, m_settings.host.incarnation, m_settings.host.dataCentre,
          derivedSeed(m_settings.seed, "placement"))
    , m_relayPeers(m_settings.host.dataCentre, derivedSeed(m_settings.seed, "relays"))
    , m_requests({ m_configuration, m_endpoints, m_shares, m_claims, m_usage, m_quarantine, m_promptQuarantine,
          m_trials, m_relayPeers })
    , m_admin(adminSettingsOf(m_settings),
          { m_configuration, *this, *this, *this, *this, secrets, m_metrics, m_journal, m_usage })
    , m_wallNow(wallNow)
{
    m_liveHosts = { { m_settings.host.host, m_settings.host.incarnation } };
    configureClaims();
    m_placement.configure(m_configuration.effective());
    m_membership.setSeeds(m_settings.seedPeers, now);
}

Reducer::~Reducer() = default;

struct Reducer::Dispatch {
    Reducer& reducer;
    MonotonicTime now;
    EffectList& effects;

    void operator()(const Tick& tick) const { reducer.handleTick(tick, now, effects); }
    void operator()(const ShutdownSignal&) const { reducer.handleShutdown(now, effects); }
    void operator()(const RequestArrived& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const RequestsCounted& event) const
    {
        for (const RecordMetric& metric : metricsOf(reducer.m_callerCounts, event.counts))
            reducer.m_metrics.record(metric);
        reducer.m_callerCounts = event.counts;
    }
    void operator()(const InvalidResponseReceived& event) const { reportInvalidResponse(event, effects); }
    void operator()(const AdminRequestArrived& event) const
    {
        reducer.m_admin.handle(event, now, reducer.m_wallNow, effects);
    }
    void operator()(const CallerLeft& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const CallerBackpressure& event) const { reducer.m_requests.handle(event, effects); }
    void operator()(const RelayedRequestArrived& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptHead& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptData& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptFinished& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptFailed& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const StoreReply& event) const { reducer.handleStoreReply(event, now, effects); }
    void operator()(const PeerMessageReceived& event) const { reducer.handlePeerMessage(event, now, effects); }
    void operator()(const EndpointReport& event) const
    {
        reducer.m_requests.noteReport(event.endpoint, std::nullopt, now, effects);
        reducer.m_endpoints.handle(event, now, effects);
        reducer.m_placement.handle(event, now, effects);
        reducer.countReplicas(event, now);
        reducer.m_requests.capacityChanged();
    }
    void operator()(const EndpointReportFailed& event) const
    {
        reducer.m_requests.noteReport(event.endpoint, event.failure, now, effects);
        reducer.m_endpoints.handle(event, now, effects);
        reducer.m_placement.handle(event, now);
        if (reducer.m_endpoints.detectDeath(event, now))
            reducer.m_requests.noteEndpointDied(event.endpoint, now);
    }
    void operator()(const PlacementCommandFinished& event) const { reducer.m_placement.handle(event, now, effects); }
};

EffectList Reducer::apply(const Event& event, MonotonicTime now)
{
    EffectList effects;
    std::visit(Dispatch { *this, now, effects }, event);
    propagate(now, effects);
    recordMetricsAndLogs(now, effects);
    return effects;
}

void Reducer::recordMetricsAndLogs(MonotonicTime now, EffectList& effects)
{
    for (const Effect& effect : effects) {
        if (const auto* metric = std::get_if<RecordMetric>(&effect))
            m_metrics.record(*metric);
        else if (const auto* entry = std::get_if<LogEntry>(&effect))
            m_journal.add(*entry, now);
    }
    std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<RecordMetric>(effect); });
}

void Reducer::handleTick(const Tick& tick, MonotonicTime now, EffectList& effects)
{
    m_wallNow = tick.wallNow;
    m_lease.tick(now, effects);
    m_configuration.tick(now, tick.wallNow, effects);
    m_membership.tick(now, effects);
    m_drains.tick(now, effects);
    m_endpoints.tick(now, effects);
    m_shares.tick(now, effects);
    m_claims.tick(now, tick.wallNow, effects);
    m_placement.tick(now, effects);
    m_requests.tick(now, effects);
    m_admin.poll(now, effects);
    const FleetConfiguration& configuration = m_configuration.effective();
    const double fraction = m_placement.isOwner() ? engineFraction(configuration, m_settings.host.dataCentre) : 0;
    // Done only on ticks, because comparing the lists after each part of each stream would be wasted work.
    propagateMembership(now, effects);
    updateDigestContents(now, effects);
    updatePromptQuarantine(now, effects);
    m_usage.tick(now, tick.wallNow, { configuration.defaults.monthlyAcceleratorHours, fraction }, effects);
    advanceShutdown(now, effects);
}

void Reducer::handleStoreReply(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    effects.push_back(RecordMetric { Metric::StoreCallsTotal, std::string(nameOf(reply.status)) });
    const StoreUser user = StoreCallIds::userOf(reply.id);
    effects.push_back(RecordMetric { Metric::StoreCallsByPurpose, std::string(nameOf(user)) });
    switch (user) {
    case StoreUser::HostLease:
        m_lease.handle(reply, now, effects);
        break;
    case StoreUser::Shares:
        m_shares.handle(reply, now, effects);
        break;
    case StoreUser::Orders:
        m_claims.handle(reply, now, effects);
        break;
    case StoreUser::Placement:
        m_placement.handle(reply, now, effects);
        break;
    case StoreUser::Configuration:
        m_configuration.handle(reply, now, effects);
        m_admin.poll(now, effects);
        break;
    case StoreUser::Membership:
        m_membership.handle(reply, now, effects);
        break;
    case StoreUser::Administration:
        m_drains.handle(reply, now, effects);
        break;
    // Only gateways make these calls.
    case StoreUser::Quarantine:
    case StoreUser::Versions:
    case StoreUser::Streams:
    case StoreUser::StreamReads:
    case StoreUser::EndpointCheck:
        break;
    }
}

void Reducer::handlePeerMessage(const PeerMessageReceived& received, MonotonicTime now, EffectList& effects)
{
    struct PeerDispatch {
        Reducer& reducer;
        const PeerMessageReceived& envelope;
        MonotonicTime now;
        EffectList& effects;

        void operator()(const BorrowTokens& message) const
        {
            reducer.m_shares.handle(envelope.from, message, now, effects);
        }
        void operator()(const LendTokens& message) const
        {
            reducer.m_shares.handle(envelope.from, message, now, effects);
        }
        void operator()(const ModelWanted& message) const { reducer.m_placement.handle(envelope.from, message, now); }
        void operator()(const PlanAnnounced& message) const
        {
            reducer.m_placement.handle(envelope.from, message, now, effects);
        }
        void operator()(const ForwardedClaim& message) const
        {
            reducer.m_claims.handle(envelope.from, message, now, effects);
        }
        void operator()(const ForwardedClaimResult& message) const
        {
            reducer.m_claims.handle(envelope.from, message, now, effects);
        }
        void operator()(const MembershipDigest& message) const
        {
            reducer.m_membership.handle(envelope.from, message, now, effects);
            reducer.m_quarantine.merge(envelope.from, message.suspectFingerprints, now);
            reducer.m_configuration.noteDigest(
                envelope.from, message.configurationVersion, message.revokedKeys, now, effects);
        }
        void operator()(const PromptQuarantineNews& message) const
        {
            reducer.handle(envelope.from, message, now, effects);
        }
        // Only gateways exchange these messages.
        void operator()(const GatewayEnvelope&) const { }
        void operator()(const ConfigurationRequest& message) const
        {
            reducer.m_configuration.handle(envelope.from, message, now, effects);
        }
        void operator()(const ConfigurationOffer& message) const
        {
            reducer.m_configuration.handle(envelope.from, message, now, effects);
        }
    };
    std::visit(PeerDispatch { *this, received, now, effects }, received.message);
}

void Reducer::propagate(MonotonicTime now, EffectList& effects)
{
    if (m_lease.changedSinceLastTake()) {
        m_shares.setLease(m_lease.status(), now);
        m_placement.setLease(m_lease.status());
    }
    propagateConfiguration(now, effects);
    propagatePlan(now);
    m_requests.advance(now, effects);
    reportDemand(now);
}

void Reducer::configureClaims()
{
    ClaimSettings claims;
    claims.self = m_settings.host.host;
    claims.incarnation = m_settings.host.incarnation;
    claims.retention = m_configuration.effective().defaults.keyedRequestRetention;
    m_claims.configure(claims, m_liveHosts);
}

void Reducer::propagateConfiguration(MonotonicTime now, EffectList& effects)
{
    if (!m_configuration.changedSinceLastTake())
        return;
    const FleetConfiguration& configuration = m_configuration.effective();
    m_endpoints.configure(configuration);
    applyEvacuations(now, effects);
    m_shares.configure(configuration.accounts, now, effects);
    m_placement.configure(configuration);
    configureClaims();
    m_requests.configurationChanged(now, effects);
}

void Reducer::propagatePlan(MonotonicTime now)
{
    if (m_wasOwner && !m_placement.isOwner()) {
        m_usage.stopCountingReplicas(now);
        m_countedReplicas.clear();
    }
    m_wasOwner = m_placement.isOwner();
    const PlacementPlan& plan = m_placement.plan();
    if (plan.version == m_seenPlanVersion)
        return;
    m_seenPlanVersion = plan.version;
    for (const auto& [endpoint, models] : plan.replicas) {
        for (const auto& [model, replica] : models)
            m_endpoints.noteReplica(endpoint, model, replica.state == PlannedState::Loaded);
    }
    m_requests.capacityChanged();
}

void Reducer::reportDemand(MonotonicTime now)
{
    if (now < m_nextDemandAt && !m_requests.takeNewColdStart())
        return;
    m_nextDemandAt = now + demandInterval;
    for (const auto& [model, demand] : m_requests.takeDemand())
        m_placement.noteDemand(model, demand.waiting, demand.running, demand.arrivals, now);
}

void Reducer::countReplicas(const EndpointReport& report, MonotonicTime now)
{
    // Only the placement owner of a data centre counts its replicas, so that each is counted once in the fleet.
    if (!m_placement.isOwner())
        return;
    const bool busy = report.running > 0;
    std::set<ModelId> loaded;
    for (const ReportedReplica& replica : report.replicas) {
        if (replica.state != ReplicaState::Loaded)
            continue;
        loaded.insert(replica.model);
        const PlannedReplica* planned = m_placement.plan().find(report.endpoint, replica.model);
        const bool loadedHere = planned && planned->command == replica.command && replica.command.value != 0;
        m_usage.replicaLoaded(report.endpoint, replica.model,
            loadedHere ? ReplicaOrigin::LoadedNow : ReplicaOrigin::FoundLoaded, now,
            report.memoryBytes ? static_cast<double>(replica.memoryBytes) / static_cast<double>(report.memoryBytes)
                               : 1);
        m_usage.setReplicaBusy(report.endpoint, replica.model, busy, now);
    }
    std::set<ModelId>& counted = m_countedReplicas[report.endpoint];
    for (const ModelId& model : counted) {
        if (!loaded.contains(model))
            m_usage.replicaUnloaded(report.endpoint, model, now);
    }
    counted = std::move(loaded);
}

void Reducer::handleShutdown(MonotonicTime now, EffectList& effects)
{
    if (m_phase != Phase::Serving) {
        std::string cut;
        for (const RequestId id : m_requests.unfinishedRequests())
            cut += (cut.empty() ? "" : " ") + std::to_string(id.value);
        effects.push_back(LogEntry { LogEvent::ShutdownForced, { { "cut_requests", cut } } });
        effects.push_back(ExitProcess { 1 });
        m_phase = Phase::Finished;
        return;
    }
    m_phase = Phase::Draining;
    m_shutdownAt = now;
    m_requests.beginShutdown();
    m_lease.announceLeaving(now);
    m_membership.announceLeaving();
    effects.push_back(
        LogEntry { LogEvent::ShutdownRequested, { { "running", std::to_string(m_requests.activeRequests()) } } });
    effects.push_back(AnnounceClosing {});
}

void Reducer::advanceShutdown(MonotonicTime now, EffectList& effects)
{
    if (m_phase == Phase::Draining && m_requests.isIdle() && m_admin.pendingChanges() == 0) {
        m_phase = Phase::Releasing;
        m_phaseDeadline = now + releaseTimeout;
        m_shares.beginShutdown(now);
        m_claims.beginShutdown();
        m_placement.beginShutdown(now);
    } else if (m_phase == Phase::Releasing) {
        const bool released = m_shares.isReleased() && m_claims.isSettled() && m_placement.isReleased(now);
        if (!released && now < m_phaseDeadline)
            return;
        m_phase = Phase::Revoking;
        m_phaseDeadline = now + revokeTimeout;
        m_lease.revoke(effects);
    } else if (m_phase == Phase::Revoking && (m_lease.isRevoked() || now >= m_phaseDeadline)) {
        m_phase = Phase::Finished;
        effects.push_back(LogEntry { LogEvent::ShutdownFinished, {} });
        const Duration timeLeft = m_settings.shutdownGrace - (now - m_shutdownAt);
        effects.push_back(ExitProcess { 0, std::max<Duration>(shortestFlush, timeLeft) });
    }
}

void Reducer::propagateMembership(MonotonicTime now, EffectList& effects)
{
    const bool membershipChanged = m_membership.changedSinceLastTake();
    std::set<EndpointId> leaving = m_drains.withLocalChanges(m_membership.leavingEndpoints());
    leaving.insert(m_evacuatedEndpoints.begin(), m_evacuatedEndpoints.end());
    if (leaving != m_leavingEndpoints)
        setLeavingEndpoints(leaving, now, effects);
    if (!membershipChanged && m_hasPropagatedMembership)
        return;
    m_hasPropagatedMembership = true;
    std::vector<LiveHost> live { { m_settings.host.host, m_settings.host.incarnation } };
    for (const HostView& view : m_membership.liveHosts(now))
        live.push_back({ view.host, view.incarnation });
    std::set<HostId> sameDataCentre;
    for (const HostView& view : m_membership.liveHosts(m_settings.host.dataCentre, now))
        sameDataCentre.insert(view.host);
    std::vector<HostId> lenders(sameDataCentre.begin(), sameDataCentre.end());
    if (live.size() <= maximumHostsForFleetWideLoans) {
        lenders.clear();
        for (const HostView& view : m_membership.liveHosts(now))
            lenders.push_back(view.host);
    }
    m_shares.setPeers(std::move(lenders), live.size(), now);
    m_placement.setLiveHosts(sameDataCentre);
    m_liveHosts = std::move(live);
    m_claims.setLiveHosts(m_liveHosts);
    std::set<HostId> peers;
    for (const LiveHost& host : m_liveHosts) {
        if (host.host != m_settings.host.host)
            peers.insert(host.host);
    }
    m_trials.setPeers(peers);
    updateRelayPeers(now);
    effects.push_back(SetPeerAddresses { m_membership.peerAddresses() });
}

// A host that is leaving completes the requests that it has accepted. Any host tells whether it can serve a request
// when that is relayed to it.
void Reducer::updateRelayPeers(MonotonicTime now)
{
    std::set<HostId> peers;
    for (const HostView& view : m_membership.hosts(now)) {
        if (view.state == HostState::Dead)
            continue;
        peers.insert(view.host);
        m_relayPeers.setAddress(view.host, view.dataCentre, view.relayAddress);
        m_relayPeers.noteHeard(view.host, {}, now);
    }
    m_relayPeers.setLive(peers);
}

void Reducer::setLeavingEndpoints(const std::set<EndpointId>& leaving, MonotonicTime now, EffectList& effects)
{
    for (const EndpointId& endpoint : leaving) {
        if (!m_leavingEndpoints.contains(endpoint))
            m_placement.markEndpointLeaving(endpoint);
    }
    for (const EndpointId& endpoint : m_leavingEndpoints) {
        if (!leaving.contains(endpoint))
            m_placement.markEndpointAlive(endpoint, now);
    }
    m_leavingEndpoints = leaving;
    m_endpoints.setLeaving(leaving, now, effects);
}

void Reducer::updateDigestContents(MonotonicTime now, EffectList& effects)
{
    for (const RequestFingerprint fingerprint : m_quarantine.takeNewlyRefused())
        effects.push_back(
            LogEntry { LogEvent::FingerprintQuarantined, { { "fingerprint", std::to_string(fingerprint) } } });
    if (now < m_nextDigestUpdateAt)
        return;
    m_nextDigestUpdateAt = now + digestUpdateInterval;
    updateRelayPeers(now);
    m_membership.setSuspectFingerprints(m_quarantine.nextDigest(now));
    m_membership.setConfigurationState(m_configuration.accepted().version, m_configuration.revokedKeys());
}

std::string Reducer::reasonNotReady(MonotonicTime) const
{
    if (m_phase != Phase::Serving)
        return "the host is shutting down";
    if (m_configuration.accepted().version == 0)
        return "the host has no fleet configuration yet";
    return {};
}

std::vector<EndpointId> Reducer::draining() const
{
    const std::set<EndpointId> drained = m_drains.withLocalChanges(m_membership.leavingEndpoints());
    return { drained.begin(), drained.end() };
}

Status Reducer::setDraining(
    const EndpointId& endpoint, bool draining, const std::string& reason, MonotonicTime now, EffectList&)
{
    if (!m_endpoints.find(endpoint))
        return Error { ErrorKind::NotFound,
            "the endpoint \"" + endpoint.value
                + "\" does not exist; list the endpoints with `catkinwell admin endpoints list`" };
    m_drains.set(endpoint, draining, reason, now);
    return std::monostate {};
}

} // namespace Catkinwell
