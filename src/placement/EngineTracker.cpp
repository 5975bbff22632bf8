#include "placement/EngineTracker.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Maximum age of the state that a report describes, counted from the request for the report.
    constexpr Duration reportLag = std::chrono::seconds(1);
    // Added to an engine's receive timeout to allow for clock drift and the resolution of the engine's timer.
    constexpr Duration arrivalMargin = std::chrono::seconds(1);
    // Time between the announcement of an unload and its command, in which hosts stop sending new requests there.
    constexpr Duration unloadDelay = std::chrono::milliseconds(100);
    constexpr Duration steadyFetchInterval = std::chrono::seconds(2);
    constexpr Duration urgentFetchInterval = std::chrono::milliseconds(500);
    constexpr Duration fetchTimeout = std::chrono::seconds(1);
    // No models are loaded on an endpoint whose latest report is older than this.
    constexpr Duration reportLifetime = std::chrono::seconds(10);
    constexpr Duration minimumCommandTimeout = std::chrono::seconds(60);

    const ReportedReplica* findReported(const EndpointReport& report, const ModelId& model)
    {
        const auto found = std::find_if(report.replicas.begin(), report.replicas.end(),
            [&](const ReportedReplica& replica) { return replica.model == model; });
        return found == report.replicas.end() ? nullptr : &*found;
    }

    LogEntry commandEntry(LogEvent event, const EndpointId& endpoint, const ModelId& model, std::string detail)
    {
        return { event, { { "endpoint", endpoint.value }, { "model", model.value }, { "detail", std::move(detail) } } };
    }

} // namespace

Duration EngineTracker::maximumArrivalDelay(const Engine& engine)
{
    return engine.settings.receiveTimeout + arrivalMargin;
}

void EngineTracker::configure(const FleetConfiguration& effective, const DataCentreId& dataCentre)
{
    m_models = effective.models;
    std::map<EndpointId, Engine> kept;
    for (const auto& [id, settings] : effective.endpoints) {
        if (settings.dataCentre != dataCentre || settings.kind != EndpointKind::Engine)
            continue;
        const auto known = m_engines.find(id);
        Engine engine = known == m_engines.end() ? Engine {} : std::move(known->second);
        if (known == m_engines.end())
            engine.readyAfter = m_startedAt + reportLag;
        engine.settings = settings;
        kept.emplace(id, std::move(engine));
    }
    m_engines = std::move(kept);
}

void EngineTracker::start(MonotonicTime now)
{
    stop();
    m_active = true;
    m_startedAt = now;
    for (auto& [id, engine] : m_engines) {
        engine.ready = false;
        engine.fetchPending = false;
        engine.fetchedAt = {};
        engine.report.reset();
        engine.fencedAt.reset();
        engine.changedAt.clear();
        const bool waits = engine.settings.fencing == FencingSupport::Ignored;
        engine.readyAfter = now + reportLag + (waits ? maximumArrivalDelay(engine) : Duration {});
    }
    for (const auto& [endpoint, row] : m_recorder.working().replicas) {
        const auto engine = m_engines.find(endpoint);
        const Duration arrivalDelay = engine == m_engines.end() ? arrivalMargin : maximumArrivalDelay(engine->second);
        for (const auto& [model, replica] : row) {
            if (replica.state != PlannedState::Loading && replica.state != PlannedState::Unloading)
                continue;
            const auto action
                = replica.state == PlannedState::Loading ? PlacementAction::Load : PlacementAction::Unload;
            m_commands[replica.command]
                = { replica.command, endpoint, model, action, true, now, now + arrivalDelay + reportLag, false, true };
        }
    }
}

void EngineTracker::stop()
{
    m_active = false;
    m_commands.clear();
    m_commandResults.clear();
    m_startedLoads.clear();
}

void EngineTracker::markLeaving(const EndpointId& endpoint)
{
    const auto found = m_engines.find(endpoint);
    if (found != m_engines.end())
        found->second.leaving = true;
}

void EngineTracker::markDead(const EndpointId& endpoint, EffectList& effects)
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    engine.dead = true;
    engine.ready = false;
    engine.fetchPending = false;
    engine.report.reset();
    engine.changedAt.clear();
    if (!m_active)
        return;
    for (auto command = m_commands.begin(); command != m_commands.end();) {
        if (command->second.endpoint != endpoint) {
            ++command;
            continue;
        }
        m_commandResults.push_back(
            { command->first, endpoint, command->second.model, command->second.action, false, true, false });
        command = m_commands.erase(command);
    }
    if (m_recorder.working().replicas.erase(endpoint) > 0) {
        m_recorder.markChanged();
        effects.push_back(commandEntry(
            LogEvent::PlannedReplicaMissing, endpoint, {}, "the platform reports the endpoint as terminated"));
    }
}

void EngineTracker::markAlive(const EndpointId& endpoint, MonotonicTime now)
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    if (engine.dead)
        engine.readyAfter = now + maximumArrivalDelay(engine);
    engine.dead = false;
    engine.leaving = false;
}

void EngineTracker::handle(const EndpointReport& report, MonotonicTime now, EffectList& effects)
{
    const auto found = m_engines.find(report.endpoint);
    if (found == m_engines.end() || !m_active || found->second.dead)
        return;
    Engine& engine = found->second;
    engine.fetchPending = false;
    const bool isOlder = engine.report && report.requestedAt < engine.report->requestedAt;
    if (report.requestedAt < m_startedAt || isOlder)
        return;
    engine.leaving = engine.leaving || report.leaving;
    std::uint64_t explained = 0;
    for (const ReportedReplica& replica : report.replicas)
        explained += replica.memoryBytes;
    engine.unattributedBytes = report.memoryUsedBytes > explained ? report.memoryUsedBytes - explained : 0;
    if (engine.settings.fencing == FencingSupport::Enforced && !engine.fencedAt
        && report.highestFencingToken >= m_recorder.token())
        engine.fencedAt = now;
    settleByReport(engine, report, now, effects);
    removeMissing(engine, report, effects);
    adoptUnplanned(engine, report, effects);
    engine.report = report;
    engine.ready = engine.ready || report.requestedAt >= engine.readyAfter;
}

void EngineTracker::handle(const EndpointReportFailed& failure)
{
    const auto found = m_engines.find(failure.endpoint);
    if (found != m_engines.end())
        found->second.fetchPending = false;
}

void EngineTracker::settleByReport(
    const Engine& engine, const EndpointReport& report, MonotonicTime now, EffectList& effects)
{
    std::vector<std::pair<Command, bool>> settled;
    for (const auto& [id, command] : m_commands) {
        if (command.endpoint != report.endpoint || !command.settleAfter)
            continue;
        const ReportedReplica* replica = findReported(report, command.model);
        const bool isFenced
            = command.isInherited && engine.fencedAt && report.requestedAt >= *engine.fencedAt + reportLag;
        const bool isFinal = isFenced || report.requestedAt >= *command.settleAfter;
        const bool isLoaded = replica != nullptr && replica->state == ReplicaState::Loaded;
        if (command.action == PlacementAction::Load) {
            if (isLoaded && (isFinal || replica->command == id))
                settled.emplace_back(command, true);
            else if (replica == nullptr && isFinal)
                settled.emplace_back(command, false);
        } else if (isFinal && (replica == nullptr || isLoaded)) {
            settled.emplace_back(command, replica == nullptr);
        }
    }
    for (const auto& [command, succeeded] : settled)
        settle(command, succeeded, now, effects);
}

// Removes a command whose outcome is known and applies its effect to the working plan.
void EngineTracker::settle(const Command& ended, bool succeeded, MonotonicTime now, EffectList& effects)
{
    const Command command = ended;
    m_commands.erase(command.id);
    m_commandResults.push_back(
        { command.id, command.endpoint, command.model, command.action, succeeded, true, command.failureReported });
    const auto engine = m_engines.find(command.endpoint);
    if (engine != m_engines.end())
        engine->second.changedAt[command.model] = now;
    PlannedReplica* replica = m_recorder.working().find(command.endpoint, command.model);
    if (replica != nullptr && replica->command == command.id) {
        const bool isPresent = (command.action == PlacementAction::Load) == succeeded;
        if (isPresent)
            replica->state = PlannedState::Loaded;
        else
            m_recorder.working().erase(command.endpoint, command.model);
        m_recorder.markChanged();
    }
    effects.push_back(commandEntry(succeeded ? LogEvent::PlacementCommandSettled : LogEvent::PlacementCommandFailed,
        command.endpoint, command.model, std::string(nameOf(command.action)) + (succeeded ? " done" : " not done")));
    effects.push_back(RecordMetric {
        Metric::PlacementCommandsTotal, std::string(nameOf(command.action)) + (succeeded ? ":done" : ":not_done"), 1 });
}

// Whether the report is newer than the last known change of the model. Without one, the start of this ownership counts.
bool EngineTracker::isReportCurrent(const Engine& engine, const ModelId& model, const EndpointReport& report) const
{
    const auto changed = engine.changedAt.find(model);
    const MonotonicTime since = changed == engine.changedAt.end() ? m_startedAt : changed->second;
    return report.requestedAt >= since + reportLag;
}

void EngineTracker::removeMissing(Engine& engine, const EndpointReport& report, EffectList& effects)
{
    const auto row = m_recorder.working().replicas.find(report.endpoint);
    if (row == m_recorder.working().replicas.end())
        return;
    std::vector<ModelId> missing;
    for (auto& [model, replica] : row->second) {
        const ReportedReplica* reported = findReported(report, model);
        if (reported != nullptr && reported->memoryBytes > replica.memoryBytes && replica.occupiesMemory()) {
            replica.memoryBytes = reported->memoryBytes;
            m_recorder.markChanged();
        }
        if (reported == nullptr && replica.state == PlannedState::Loaded && isReportCurrent(engine, model, report))
            missing.push_back(model);
    }
    for (const ModelId& model : missing) {
        m_recorder.working().erase(report.endpoint, model);
        m_recorder.markChanged();
        effects.push_back(commandEntry(
            LogEvent::PlannedReplicaMissing, report.endpoint, model, "the engine's report does not list it"));
    }
}

void EngineTracker::adoptUnplanned(Engine& engine, const EndpointReport& report, EffectList& effects)
{
    for (const ReportedReplica& reported : report.replicas) {
        PlannedReplica* replica = m_recorder.working().find(report.endpoint, reported.model);
        if (replica != nullptr && replica->occupiesMemory())
            continue;
        if (!isReportCurrent(engine, reported.model, report))
            continue;
        const CommandId abandoned = replica == nullptr ? CommandId {} : replica->command;
        if (abandoned.value != 0)
            m_commandResults.push_back(
                { abandoned, report.endpoint, reported.model, PlacementAction::Load, true, true, false });
        m_recorder.working().put(
            { report.endpoint, reported.model, PlannedState::Loaded, CommandId {}, reported.memoryBytes });
        m_recorder.markChanged();
        effects.push_back(commandEntry(LogEvent::UnplannedReplicaAdopted, report.endpoint, reported.model,
            std::to_string(reported.memoryBytes) + " bytes"));
    }
}

bool EngineTracker::handle(const PlacementCommandFinished& finished, MonotonicTime now, EffectList& effects)
{
    const auto found = m_commands.find(finished.id);
    if (found == m_commands.end())
        return false;
    Command& command = found->second;
    // A failed load is resolved by a later report, like an unknown outcome: a duplicate of the command that is
    // still in transit could load the model after its removal from the plan.
    const bool isFailedLoad = finished.outcome == CommandOutcome::NotDone && command.action == PlacementAction::Load;
    if (finished.outcome == CommandOutcome::Unknown || isFailedLoad) {
        const auto engine = m_engines.find(command.endpoint);
        const Duration arrivalDelay = engine == m_engines.end() ? arrivalMargin : maximumArrivalDelay(engine->second);
        command.settleAfter = now + arrivalDelay + reportLag;
        if (isFailedLoad && !std::exchange(command.failureReported, true))
            m_commandResults.push_back(
                { command.id, command.endpoint, command.model, command.action, false, false, false });
        effects.push_back(commandEntry(LogEvent::PlacementCommandFailed, command.endpoint, command.model,
            std::string(nameOf(command.action)) + " " + std::string(nameOf(finished.outcome)) + ": "
                + finished.reason));
        return false;
    }
    settle(command, finished.outcome == CommandOutcome::Done, now, effects);
    return finished.outcome == CommandOutcome::FencedOff;
}

void EngineTracker::recordLoad(PlannedReplica& replica, MonotonicTime now)
{
    replica.state = PlannedState::Loading;
    m_commands[replica.command] = { replica.command, replica.endpoint, replica.model, PlacementAction::Load, false, now,
        std::nullopt, false, false };
    m_recorder.markChanged();
}

void EngineTracker::recordUnload(PlannedReplica& replica, CommandId id, MonotonicTime now)
{
    replica.state = PlannedState::Unloading;
    replica.command = id;
    m_commands[id] = { id, replica.endpoint, replica.model, PlacementAction::Unload, false, now + unloadDelay,
        std::nullopt, false, false };
    m_recorder.markChanged();
}

void EngineTracker::tick(MonotonicTime now, MonotonicTime leaseValidUntil, EffectList& effects)
{
    if (!m_active)
        return;
    fetchReports(now, effects);
    std::vector<CommandId> abandoned;
    for (auto& [id, command] : m_commands) {
        if (command.sent || now < command.sendAfter)
            continue;
        const PlannedReplica* confirmed = m_recorder.confirmed().find(command.endpoint, command.model);
        if (confirmed == nullptr || confirmed->command != id || !confirmed->occupiesMemory())
            continue;
        const auto engine = m_engines.find(command.endpoint);
        if (engine == m_engines.end() || !engine->second.ready)
            continue;
        // A replica adopted after the decision may be using the memory.
        const bool isOvercommitted = usedBytes(command.endpoint) > engine->second.settings.memoryBytes;
        if (command.action == PlacementAction::Load && isOvercommitted) {
            abandoned.push_back(id);
            continue;
        }
        send(command, engine->second, *confirmed, leaseValidUntil, effects);
    }
    for (const CommandId id : abandoned)
        settle(m_commands.at(id), false, now, effects);
}

void EngineTracker::send(Command& command, const Engine& engine, const PlannedReplica& replica,
    MonotonicTime leaseValidUntil, EffectList& effects)
{
    const auto model = m_models.find(command.model);
    PlacementCommand effect;
    effect.id = command.id;
    effect.endpoint = command.endpoint;
    effect.address = engine.settings.address;
    effect.action = command.action;
    effect.model = command.model;
    effect.memoryBytes = replica.memoryBytes;
    effect.fencingToken = m_recorder.token();
    effect.validUntil = leaseValidUntil;
    effect.timeout = minimumCommandTimeout;
    if (model != m_models.end()) {
        effect.baseModel = model->second.baseModel.value_or(ModelId {});
        // Five times the expected time, so that a slow weight store does not time out every load.
        effect.timeout = std::max(minimumCommandTimeout, 5 * model->second.expectedLoadTime);
    }
    command.sent = true;
    if (command.action == PlacementAction::Load)
        m_startedLoads.push_back(command.id);
    effects.push_back(commandEntry(LogEvent::PlacementCommandSent, command.endpoint, command.model,
        std::string(nameOf(command.action)) + " command " + std::to_string(command.id.value)));
    effects.push_back(std::move(effect));
}

void EngineTracker::fetchReports(MonotonicTime now, EffectList& effects)
{
    for (auto& [id, engine] : m_engines) {
        if (engine.dead || (engine.fetchPending && now - engine.fetchedAt < 2 * fetchTimeout))
            continue;
        const bool isAwaited = (!engine.ready && now >= engine.readyAfter)
            || std::any_of(m_commands.begin(), m_commands.end(), [&endpoint = engine.settings.id](const auto& entry) {
                   return entry.second.endpoint == endpoint && entry.second.settleAfter;
               });
        const MonotonicTime last = std::max(engine.fetchedAt, engine.report ? engine.report->requestedAt : m_startedAt);
        const bool isFirst = engine.fetchedAt == MonotonicTime {};
        if (!isFirst && now - last < (isAwaited ? urgentFetchInterval : steadyFetchInterval))
            continue;
        engine.fetchPending = true;
        engine.fetchedAt = now;
        effects.push_back(FetchEndpointReport { id, engine.settings.address, fetchTimeout });
    }
}

std::vector<CommandId> EngineTracker::unresolvedLoads() const
{
    std::vector<CommandId> result;
    for (const auto& [id, command] : m_commands) {
        if (command.sent && command.action == PlacementAction::Load)
            result.push_back(id);
    }
    return result;
}

bool EngineTracker::hasUnfinishedCommands() const
{
    return std::any_of(m_commands.begin(), m_commands.end(),
        [](const auto& entry) { return entry.second.sent && !entry.second.settleAfter; });
}

bool EngineTracker::isUsable(const EndpointId& endpoint, MonotonicTime now) const
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end())
        return false;
    const Engine& engine = found->second;
    return engine.ready && !engine.leaving && !engine.dead && engine.report
        && now - engine.report->requestedAt < reportLifetime;
}

std::uint64_t EngineTracker::usedBytes(const EndpointId& endpoint) const
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end())
        return 0;
    std::uint64_t used = found->second.unattributedBytes;
    const auto row = m_recorder.working().replicas.find(endpoint);
    if (row != m_recorder.working().replicas.end()) {
        for (const auto& [model, replica] : row->second)
            used += replica.occupiesMemory() ? replica.memoryBytes : 0;
    }
    return used;
}

std::uint64_t EngineTracker::memoryBytes(const EndpointId& endpoint) const
{
    const auto found = m_engines.find(endpoint);
    return found == m_engines.end() ? 0 : found->second.settings.memoryBytes;
}

bool EngineTracker::isPastArrivalDelay(const PlannedReplica& replica, MonotonicTime now) const
{
    const auto engine = m_engines.find(replica.endpoint);
    if (engine == m_engines.end())
        return false;
    const auto changed = engine->second.changedAt.find(replica.model);
    return changed == engine->second.changedAt.end() || now >= changed->second + maximumArrivalDelay(engine->second);
}

} // namespace Catkinwell
