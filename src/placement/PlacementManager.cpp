#include <catkinwell/placement/PlacementManager.h>

#include "placement/DemandTable.h"
#include "placement/EngineTracker.h"
#include "placement/OwnerElection.h"
#include "placement/PlacementDecider.h"
#include "placement/PlanFollower.h"
#include "placement/PlanRecorder.h"
#include <algorithm>

namespace Catkinwell {

namespace {

    // Interval of the passes over all models, and the maximum delay of an idle unload or a prefetch. At 250 ms,
    // a pass over 2,353 models takes 3% of a core. Models that change in between are handled immediately.
    constexpr Duration decisionInterval = std::chrono::seconds(1);
    constexpr Duration announcementInterval = std::chrono::milliseconds(100);
    // Announcements without changes let hosts detect that they missed one.
    constexpr Duration idleAnnouncementInterval = std::chrono::seconds(10);
    constexpr Duration shutdownTimeout = std::chrono::seconds(30);
    // A longer pause of the process may have delayed commands that were passed to the adapter but not yet sent.
    constexpr Duration pauseThreshold = std::chrono::milliseconds(200);

    std::string keyOf(const DataCentreId& dataCentre, std::string_view name)
    {
        return "placement/" + dataCentre.value + "/" + std::string(name);
    }

} // namespace

PlacementManager::PlacementManager(HostId self, Incarnation incarnation, DataCentreId dataCentre, std::uint64_t seed)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_callIds(StoreUser::Placement)
    , m_weightSlots("slots/weights", m_dataCentre, m_callIds)
    , m_adapterSlots("slots/adapters", m_dataCentre, m_callIds)
    , m_election(
          std::make_unique<OwnerElection>(keyOf(m_dataCentre, "owner"), m_self, incarnation, m_callIds, m_random))
    , m_recorder(std::make_unique<PlanRecorder>(keyOf(m_dataCentre, "plan"), m_self, incarnation, m_callIds, m_random))
    , m_follower(std::make_unique<PlanFollower>(keyOf(m_dataCentre, "plan"), m_callIds, m_random))
    , m_demand(std::make_unique<DemandTable>(m_policy))
    , m_forwarder(std::make_unique<DemandForwarder>())
    , m_engineTracker(std::make_unique<EngineTracker>(*m_recorder))
    , m_decider(std::make_unique<PlacementDecider>(
          *m_recorder, *m_engineTracker, *m_demand, m_policy, m_weightSlots, m_adapterSlots))
{
}

PlacementManager::~PlacementManager() = default;

void PlacementManager::configure(const FleetConfiguration& effective)
{
    m_configuration = effective;
    const FleetDefaults& defaults = effective.defaults;
    // Each slot is used at most once in this time, which limits the rate of load starts across all hosts without a
    // shared clock.
    const double holdSeconds
        = defaults.weightLoadsPerSecond > 0 ? defaults.weightLoadSlots / defaults.weightLoadsPerSecond : 0;
    m_weightSlots.configure(defaults.weightLoadSlots,
        std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(holdSeconds)));
    m_adapterSlots.configure(defaults.adapterLoadSlots, Duration {});
    m_policy.configure(m_configuration);
    m_demand->configure(m_configuration);
    m_forwarder->retain([this](const ModelId& model) { return m_configuration.models.contains(model); });
    m_engineTracker->configure(m_configuration, m_dataCentre);
    m_decider->configure(m_configuration);
    m_decideAt = {};
}

void PlacementManager::setLease(const LeaseStatus& lease)
{
    m_lease = lease;
    m_election->setLease(lease);
}

void PlacementManager::setLiveHosts(const std::set<HostId>& hosts) { m_liveHosts = hosts; }

void PlacementManager::noteDemand(
    const ModelId& model, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals, MonotonicTime now)
{
    detectPause(now);
    if (m_configuration.models.contains(model))
        m_forwarder->note(model, waiting, running, arrivals);
}

// After a pause, loads that were passed to the adapter before it may be sent only now.
void PlacementManager::detectPause(MonotonicTime now)
{
    if (now - m_lastSeen > pauseThreshold) {
        for (const CommandId command : m_engineTracker->unresolvedLoads())
            m_weightSlots.noteStarted(command, now);
    }
    m_lastSeen = std::max(m_lastSeen, now);
}

bool PlacementManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    detectPause(now);
    const bool isOwn = m_election->handle(reply, now) || m_recorder->handle(reply, now)
        || m_weightSlots.handle(reply, now) || m_adapterSlots.handle(reply, now) || m_follower->handle(reply, now);
    if (isOwn) {
        m_decideNow = true;
        updateOwnership(now, effects);
    }
    return isOwn;
}

void PlacementManager::handle(const EndpointReport& report, MonotonicTime now, EffectList& effects)
{
    detectPause(now);
    m_highestReportedToken = std::max(m_highestReportedToken, report.highestFencingToken);
    if (!m_isOwner)
        return;
    m_engineTracker->handle(report, now, effects);
    applyCommandResults(now);
}

void PlacementManager::handle(const EndpointReportFailed& failure, MonotonicTime now)
{
    detectPause(now);
    m_engineTracker->handle(failure);
}

void PlacementManager::handle(const PlacementCommandFinished& finished, MonotonicTime now, EffectList& effects)
{
    detectPause(now);
    if (!m_isOwner)
        return;
    m_fencedOff = m_engineTracker->handle(finished, now, effects) || m_fencedOff;
    applyCommandResults(now);
}

void PlacementManager::handle(const HostId& from, const ModelWanted& wanted, MonotonicTime now)
{
    detectPause(now);
    if (!m_isOwner)
        return;
    m_demand->note(from, wanted, now);
    if (wanted.waiting > 0) {
        m_decider->markChanged(wanted.model);
        m_decideNow = true;
    }
}

void PlacementManager::handle(
    const HostId& from, const PlanAnnounced& announced, MonotonicTime now, EffectList& effects)
{
    detectPause(now);
    if (from != m_self && announced.dataCentre == m_dataCentre && !m_isOwner)
        m_follower->handle(announced, effects);
}

void PlacementManager::markEndpointLeaving(const EndpointId& endpoint)
{
    m_engineTracker->markLeaving(endpoint);
    m_decideAt = {};
}

void PlacementManager::markEndpointDead(const EndpointId& endpoint, EffectList& effects)
{
    m_engineTracker->markDead(endpoint, effects);
    m_decideAt = {};
}

void PlacementManager::markEndpointAlive(const EndpointId& endpoint, MonotonicTime now)
{
    m_engineTracker->markAlive(endpoint, now);
}

void PlacementManager::applyCommandResults(MonotonicTime now)
{
    for (const CommandResult& result : m_engineTracker->takeCommandResults()) {
        m_decider->noteCommandResult(result, now);
        m_decideNow = true;
    }
}

void PlacementManager::updateOwnership(MonotonicTime now, EffectList& effects)
{
    if (m_fencedOff) {
        // Either another host has taken over, or the stored token was lost. Reading the key decides which.
        m_fencedOff = false;
        m_election->recheck();
    }
    const bool isHolder = m_election->isHolder(now);
    if (!isHolder && m_recorder->state() != PlanRecorder::State::Idle)
        stepDown(effects);
    if (m_recorder->state() == PlanRecorder::State::Superseded) {
        m_election->recheck();
        stepDown(effects);
        return;
    }
    if (isHolder && !m_shutdownAt && m_recorder->state() == PlanRecorder::State::Idle)
        m_recorder->beginTakeover(m_highestReportedToken, now);
    if (isHolder && !m_isOwner && m_recorder->state() == PlanRecorder::State::Ready)
        becomeOwner(now, effects);
}

void PlacementManager::becomeOwner(MonotonicTime now, EffectList& effects)
{
    m_isOwner = true;
    m_demand->clear();
    m_engineTracker->start(now);
    m_decider->start(now);
    m_decideAt = now;
    std::set<CommandId> unsettled;
    for (const auto& [id, command] : m_engineTracker->commands())
        unsettled.insert(id);
    m_weightSlots.start(unsettled, now);
    m_adapterSlots.start(unsettled, now);
    m_announced = m_recorder->inherited();
    m_announcedAt = {};
    m_forwarder->resendAll();
    effects.push_back(LogEntry { LogEvent::PlacementOwnershipGained,
        { { "fencing_token", std::to_string(m_recorder->token()) },
            { "replicas", std::to_string(m_recorder->confirmed().size()) } } });
}

void PlacementManager::stepDown(EffectList& effects)
{
    if (m_isOwner) {
        effects.push_back(LogEntry { LogEvent::PlacementOwnershipLost, {} });
        m_follower->replace(m_recorder->confirmed());
    }
    m_isOwner = false;
    m_recorder->stop();
    m_engineTracker->stop();
    m_weightSlots.stop();
    m_adapterSlots.stop();
    m_demand->clear();
    m_forwarder->resendAll();
}

void PlacementManager::forwardDemand(MonotonicTime now, EffectList& effects)
{
    const HostId currentOwner = owner();
    if (currentOwner != m_lastOwner) {
        m_lastOwner = currentOwner;
        m_forwarder->resendAll();
    }
    // While there is no owner, the demand is kept.
    if (currentOwner.value.empty() || (currentOwner == m_self && !m_isOwner))
        return;
    for (ModelWanted& wanted :
        m_forwarder->takeDue([this](const ModelId& model) { return isLoadedAnywhere(model); }, now)) {
        if (m_isOwner)
            handle(m_self, wanted, now);
        else
            effects.push_back(SendToPeer { currentOwner, std::move(wanted) });
    }
}

void PlacementManager::announce(MonotonicTime now, EffectList& effects)
{
    const PlacementPlan& confirmed = m_recorder->confirmed();
    const bool hasChanged
        = confirmed.version != m_announced.version || confirmed.fencingToken != m_announced.fencingToken;
    if (now - m_announcedAt < (hasChanged ? announcementInterval : idleAnnouncementInterval))
        return;
    const std::string bytes = encodePlanChange(differenceOf(m_announced, confirmed));
    for (const HostId& host : m_liveHosts) {
        if (host != m_self)
            effects.push_back(SendToPeer { host, PlanAnnounced { m_dataCentre, confirmed.version, bytes } });
    }
    if (hasChanged)
        m_announced = confirmed;
    m_announcedAt = now;
}

void PlacementManager::tick(MonotonicTime now, EffectList& effects)
{
    detectPause(now);
    const bool mayRelease = m_shutdownAt && (!m_isOwner || !m_engineTracker->hasUnfinishedCommands());
    if (mayRelease)
        m_election->beginRelease();
    m_election->tick(now, effects);
    updateOwnership(now, effects);
    forwardDemand(now, effects);
    if (!m_isOwner) {
        m_follower->tick(now, effects);
        if (m_election->isHolder(now))
            m_recorder->tick(now, effects);
        return;
    }
    if (!m_shutdownAt && now >= m_decideAt) {
        m_decideAt = now + decisionInterval;
        m_decider->decideAll(now, effects);
    } else if (!m_shutdownAt && m_decideNow) {
        m_decider->decideChanged(now, effects);
    }
    m_decideNow = false;
    m_weightSlots.tick(now, effects);
    m_adapterSlots.tick(now, effects);
    m_recorder->tick(now, effects);
    announce(now, effects);
    if (!m_shutdownAt)
        m_engineTracker->tick(now, m_lease.validUntil, effects);
    for (const CommandId command : m_engineTracker->takeStartedLoads())
        m_weightSlots.noteStarted(command, now);
    applyCommandResults(now);
    logPlanSize(effects);
}

void PlacementManager::logPlanSize(EffectList& effects)
{
    if (m_recorder->isTooLarge() && !m_planTooLargeLogged) {
        effects.push_back(
            LogEntry { LogEvent::PlanTooLarge, { { "bytes", std::to_string(m_recorder->lastEncodedBytes()) } } });
    }
    m_planTooLargeLogged = m_recorder->isTooLarge();
}

void PlacementManager::beginShutdown(MonotonicTime now)
{
    if (!m_shutdownAt)
        m_shutdownAt = now;
}

bool PlacementManager::isReleased(MonotonicTime now) const
{
    return m_shutdownAt && (m_election->isReleased() || now - *m_shutdownAt >= shutdownTimeout);
}

HostId PlacementManager::owner() const
{
    if (m_isOwner)
        return m_self;
    return m_election->holder().value.empty() ? m_follower->plan().owner : m_election->holder();
}

const PlacementPlan& PlacementManager::plan() const { return m_isOwner ? m_recorder->confirmed() : m_follower->plan(); }

bool PlacementManager::isLoadedAnywhere(const ModelId& model) const
{
    return std::any_of(plan().replicas.begin(), plan().replicas.end(), [&](const auto& row) {
        const auto cell = row.second.find(model);
        return cell != row.second.end() && cell->second.state == PlannedState::Loaded;
    });
}

PlacementStatus PlacementManager::status(MonotonicTime now) const
{
    PlacementStatus result;
    result.isOwner = m_isOwner;
    result.owner = owner();
    result.fencingToken = plan().fencingToken;
    result.planVersion = plan().version;
    for (const auto& [endpoint, row] : plan().replicas) {
        for (const auto& [model, replica] : row)
            result.replicas.push_back(replica);
    }
    if (!m_isOwner) {
        result.wanted = m_forwarder->current();
        return result;
    }
    for (const auto& [model, base] : m_demand->models()) {
        const ModelDemand demand = m_demand->demandOf(model, now);
        if (demand.isActive())
            result.wanted.push_back({ model, demand.waiting, demand.running, 0 });
    }
    result.planBytes = m_recorder->lastEncodedBytes();
    result.commandsInForce = m_engineTracker->commands().size();
    result.weightSlotsHeld = m_weightSlots.heldCount();
    result.adapterSlotsHeld = m_adapterSlots.heldCount();
    return result;
}

} // namespace Catkinwell
