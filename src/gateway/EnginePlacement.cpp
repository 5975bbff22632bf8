#include <catkinwell/gateway/EnginePlacement.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    constexpr double runningAverageSeconds = 1.5;
    constexpr Duration runningInterval = std::chrono::milliseconds(200);
    // Pause before repeating an order that was refused because of a conflict.
    constexpr Duration conflictPause = std::chrono::milliseconds(40);
    // Time that an engine takes to unload a model without running requests.
    constexpr Duration unloadTime = std::chrono::milliseconds(50);
    // Pause after an order that failed or got no answer.
    constexpr Duration orderRetryPause = std::chrono::milliseconds(250);
    // Typical age of the state in a status report.
    constexpr Duration statusLag = std::chrono::milliseconds(250);
    constexpr Duration longestStatusLag = std::chrono::milliseconds(400);
    constexpr Duration statusInterval = std::chrono::seconds(4);
    constexpr Duration unverifiedStatusInterval = std::chrono::milliseconds(150);
    constexpr Duration pendingStatusInterval = std::chrono::milliseconds(300);
    constexpr Duration updateRepeatInterval = std::chrono::seconds(1);
    // Hosts refuse requests by the latest forecast, which changes as fast as loads end.
    constexpr Duration forecastInterval = std::chrono::milliseconds(500);
    // An engine's own record shows a change after this time unless the store is unavailable.
    constexpr Duration updateRepeatTime = std::chrono::seconds(3);
    // Bounds the CPU time that planning takes in a large fleet.
    constexpr Duration planIntervalPerEngine = std::chrono::microseconds(300);
    constexpr Duration longestPlanInterval = std::chrono::milliseconds(200);
    // A load from memory or disk takes its configured time; the replica counts as ready this much later.
    constexpr Duration loadMargin = std::chrono::milliseconds(30);
    constexpr Duration adapterLoadTime = std::chrono::milliseconds(25);
    // The engine's order count is read again after this many consecutive conflicts.
    constexpr unsigned maximumConflicts = 4;

    // Removes the order's model or adapter from the list.
    void dropFrom(LoadedModels& models, const EngineOrder& order)
    {
        if (order.adapter.empty())
            models.erase(order.model);
        else if (const auto model = models.find(order.model); model != models.end())
            model->second.erase(order.adapter);
    }

} // namespace

EnginePlacement::EnginePlacement(EnginePlacementSettings settings, EndpointDirectory& directory)
    : m_settings(settings)
    , m_directory(directory)
    , m_storeConcurrency(settings.concurrentStoreLoads)
{
}

void EnginePlacement::configure(const GatewayConfiguration& configuration) { m_configuration = configuration; }

void EnginePlacement::setPermission(const std::optional<PlacementPermission>& permission, MonotonicTime now)
{
    const bool isNew = permission && (!m_permission || m_permission->fencingToken != permission->fencingToken);
    m_permission = permission;
    if (!isNew)
        return;
    for (auto& [id, engine] : m_engines) {
        engine.isVerified = false;
        engine.verifyAfter = now;
        engine.pending.reset();
        engine.adapterPending.reset();
        engine.nextLoad.reset();
        engine.leavingAdapters.clear();
        engine.isChanged = true;
        engine.nextStatusAt = now;
    }
}

void EnginePlacement::put(const EndpointRecord& record, MonotonicTime now)
{
    invalidateSummaries();
    if (!m_configuration.engineOf(record.service)) {
        m_engines.erase(record.id);
        return;
    }
    auto [found, isNew] = m_engines.try_emplace(record.id);
    Engine& engine = found->second;
    if (isNew || engine.record.incarnation != record.incarnation) {
        engine = Engine();
        engine.models = record.models;
        engine.nextStatusAt = now;
    }
    engine.record = record;
    engine.inHostMemory = record.inHostMemory;
    engine.onDisk = record.onDisk;
    if (!m_permission)
        engine.models = record.models;
    else
        noteCompletion(engine, record.models, now);
}

// Completes the outstanding load if the reported models show its effect.
void EnginePlacement::noteCompletion(Engine& engine, const LoadedModels& models, MonotonicTime now)
{
    std::erase_if(engine.unloading, [&models](const ModelId& model) { return !models.contains(model); });
    if (!engine.pending || !engine.pending->isAccepted || engine.pending->order.kind != EngineOrderKind::Load
        || !models.contains(engine.pending->order.model))
        return;
    const ModelId model = engine.pending->order.model;
    if (isStoreLoad(engine.pending))
        m_storeConcurrency.finished(engine.pending->storeStart, loadTime(engine, model, WeightSource::Store), now);
    engine.models[model];
    engine.loadedAt[model] = now;
    engine.onDisk.insert(model);
    engine.pending.reset();
    engine.isChanged = true;
}

void EnginePlacement::remove(const EndpointId& id)
{
    invalidateSummaries();
    m_engines.erase(id);
}

void EnginePlacement::handle(const HostId& from, const DemandReport& report, MonotonicTime now)
{
    m_demand.handle(from, report, now);
    if (report.versionWaits.empty())
        m_versionWaits.erase(from);
    else
        m_versionWaits[from] = report.versionWaits;
}

void EnginePlacement::removeHost(const HostId& host)
{
    m_demand.removeHost(host);
    m_versionWaits.erase(host);
}

void EnginePlacement::updateRunning(MonotonicTime now)
{
    if (now - m_runningUpdatedAt < runningInterval)
        return;
    const double weight = 1
        - std::exp(
            -secondsOf(std::min<Duration>(now - m_runningUpdatedAt, std::chrono::seconds(1))) / runningAverageSeconds);
    m_runningUpdatedAt = now;
    std::map<ServiceModel, unsigned> counts;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& [model, adapters] : engine.models)
            counts[{ engine.record.service, model }] += m_directory.runningOn(id, model);
    }
    for (const auto& [model, count] : counts)
        m_running[model] += weight * (count - m_running[model]);
    std::erase_if(m_running, [&counts](const auto& entry) { return !counts.contains(entry.first); });
}

void EnginePlacement::tick(MonotonicTime now, EffectList& effects)
{
    updateRunning(now);
    if (!m_permission || now >= m_permission->until)
        return;
    for (auto& [id, engine] : m_engines) {
        if (engine.pending && engine.pending->isAccepted && now >= engine.pending->expectedEnd)
            finishPendingLoad(engine, now);
        if (engine.adapterPending && engine.adapterPending->isAccepted && now >= engine.adapterPending->expectedEnd)
            finishAdapterLoad(engine, now);
        if (now >= engine.nextStatusAt && !engine.isStatusPending && !m_directory.isPaused(id, now))
            fetchStatus(engine, now, effects);
    }
    if (now < m_permission->from)
        return;
    m_storeConcurrency.setRunning(storeLoadsRunning(), now);
    for (auto& [id, engine] : m_engines)
        continueLoad(engine, now, effects);
    if (now < m_nextPlanAt)
        return;
    m_nextPlanAt = now + planInterval();
    m_demand.update(now);
    dropEvacuatedLoads();
    invalidateSummaries();
    updateStoreLoads(now);
    planAdapters(now, effects);
    planWaitingModels(now, effects);
    planVersionWaits(now, effects);
    planBusyModels(now, effects);
    planCopies(now, effects);
}

Duration EnginePlacement::planInterval() const
{
    return std::min<Duration>(longestPlanInterval, planIntervalPerEngine * static_cast<std::int64_t>(m_engines.size()));
}

void EnginePlacement::fetchStatus(Engine& engine, MonotonicTime now, EffectList& effects)
{
    engine.isStatusPending = true;
    const bool isWaiting = (engine.pending && engine.pending->isAccepted) || !engine.leavingAdapters.empty();
    engine.nextStatusAt = now
        + (!engine.isVerified ? unverifiedStatusInterval
                : isWaiting   ? pendingStatusInterval
                              : statusInterval);
    effects.push_back(FetchEngineStatus { engine.record.id, engine.record.address });
}

// Completes a load from host memory or disk after its configured time. Other orders end when the engine reports it.
void EnginePlacement::finishPendingLoad(Engine& engine, MonotonicTime now)
{
    const PendingOrder pending = *engine.pending;
    if (pending.order.kind != EngineOrderKind::Load || pending.source == WeightSource::Store)
        return;
    engine.pending.reset();
    engine.isChanged = true;
    engine.models[pending.order.model];
    engine.loadedAt[pending.order.model] = now;
    engine.inHostMemory.insert(pending.order.model);
    engine.onDisk.insert(pending.order.model);
}

void EnginePlacement::finishAdapterLoad(Engine& engine, MonotonicTime now)
{
    const EngineOrder order = engine.adapterPending->order;
    engine.adapterPending.reset();
    engine.isChanged = true;
    const auto model = engine.models.find(order.model);
    if (model == engine.models.end())
        return;
    model->second.insert(order.adapter);
    engine.adapterUse[{ order.model, order.adapter }] = now;
    engine.leavingAdapters.erase({ order.model, order.adapter });
}

// Replaces the known models with those of a status report that is at least as recent.
void EnginePlacement::applyReportedModels(Engine& engine, const LoadedModels& models, MonotonicTime now)
{
    noteCompletion(engine, models, now);
    if (engine.pending)
        return;
    noteUnloadedAdapters(engine, models);
    LoadedModels merged = withoutLeaving(engine, models);
    if (engine.models != merged) {
        for (const ModelId& model : engine.unloading)
            merged.erase(model);
        // The report may be older than the latest adapter orders, so keep adapters that were loaded within its lag.
        for (const auto& [variant, usedAt] : engine.adapterUse) {
            const auto model = merged.find(variant.model);
            if (model != merged.end() && now - usedAt < statusLag * 2 && engine.models.contains(variant.model)
                && engine.models.at(variant.model).contains(variant.adapter))
                model->second.insert(variant.adapter);
        }
        engine.isChanged = engine.isChanged || engine.models != merged;
        engine.models = std::move(merged);
    }
}

void EnginePlacement::handle(const EngineStatus& status, MonotonicTime now, EffectList&)
{
    const auto found = m_engines.find(status.endpoint);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    engine.isStatusPending = false;
    engine.failures = 0;
    if (status.incarnation != engine.record.incarnation)
        return;
    if (!status.onDisk.empty() || !status.inHostMemory.empty()) {
        engine.onDisk = status.onDisk;
        engine.inHostMemory = status.inHostMemory;
    }
    if (engine.isVerified && status.orderCount > engine.orderCount) {
        // The engine accepted an order whose answer was lost. What it holds is unknown until it is idle, and an order
        // sent now could run late, against a state that it was not meant for.
        requireVerification(engine, now);
    } else if (engine.isVerified && status.orderCount == engine.orderCount) {
        // The report of a busy engine predates the end of its order, which may already be known here.
        if (status.isBusy)
            noteCompletion(engine, status.models, now);
        else
            applyReportedModels(engine, status.models, now);
    }
    if (engine.pending || engine.isVerified || status.isBusy || status.requestedAt < engine.verifyAfter)
        return;
    engine.isVerified = true;
    engine.orderCount = status.orderCount;
    noteUnloadedAdapters(engine, status.models);
    engine.models = withoutLeaving(engine, status.models);
    engine.unloading.clear();
    engine.conflicts = 0;
    engine.isChanged = true;
    engine.nextStatusAt = now + statusInterval;
}

// Requires a status report newer than the last order before the engine gets another one.
void EnginePlacement::requireVerification(Engine& engine, MonotonicTime now)
{
    engine.isVerified = false;
    engine.verifyAfter = now + longestStatusLag;
    engine.nextStatusAt = engine.verifyAfter;
    engine.isChanged = true;
}

void EnginePlacement::handle(const EngineStatusFailed& failed, MonotonicTime now, EffectList& effects)
{
    const auto found = m_engines.find(failed.endpoint);
    if (found == m_engines.end())
        return;
    found->second.isStatusPending = false;
    ++found->second.failures;
    found->second.nextStatusAt = now + std::chrono::milliseconds(500);
    effects.push_back(LogEntry {
        LogEvent::GatewayStatusFailed, { { "endpoint", failed.endpoint.value }, { "reason", failed.reason } } });
}

void EnginePlacement::handle(const EngineOrderFinished& finished, MonotonicTime now, EffectList& effects)
{
    effects.push_back(LogEntry { LogEvent::GatewayOrderFinished,
        { { "endpoint", finished.order.endpoint.value }, { "order", std::to_string(finished.order.id.value) },
            { "kind", std::string(nameOf(finished.order.kind)) },
            { "model", ModelVariant { finished.order.model, finished.order.adapter }.text() },
            { "outcome", std::string(nameOf(finished.outcome)) }, { "reason", finished.reason } } });
    effects.push_back(RecordMetric { Metric::PlacementCommandsTotal, std::string(nameOf(finished.outcome)) });
    const auto found = m_engines.find(finished.order.endpoint);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    const EngineOrder& order = finished.order;
    if (engine.adapterPending && engine.adapterPending->order.id == order.id) {
        handleAdapterOrder(engine, finished, now);
        return;
    }
    if (!engine.pending || engine.pending->order.id != order.id)
        return;
    PendingOrder& pending = *engine.pending;
    const bool isUnload = order.kind == EngineOrderKind::Unload;
    switch (finished.outcome) {
    case EngineOrderOutcome::Accepted:
    case EngineOrderOutcome::AlreadyDone:
        engine.conflicts = 0;
        pending.isAccepted = true;
        if (finished.outcome == EngineOrderOutcome::Accepted) {
            ++engine.orderCount;
        } else {
            requireVerification(engine, now);
        }
        if (isUnload) {
            // Only an accepted unload frees memory; after a refused one the model is still loaded.
            dropFrom(engine.models, order);
            engine.unloading.insert(order.model);
            engine.notBefore = now + unloadTime;
        } else {
            engine.unloading.clear();
            pending.expectedEnd = now + loadTime(engine, order.model, pending.source) + loadMargin;
            pending.storeStart = m_storeConcurrency.started(now);
            engine.nextStatusAt = pending.expectedEnd + statusLag;
        }
        if (isUnload || finished.outcome == EngineOrderOutcome::AlreadyDone)
            engine.pending.reset();
        engine.isChanged = true;
        break;
    case EngineOrderOutcome::Conflict:
        // The previous order may still be running.
        if (isStoreLoad(engine.pending) && !m_storeLoadStarts.empty())
            m_storeLoadStarts.pop_back();
        engine.pending.reset();
        engine.notBefore = now + conflictPause;
        if (order.kind == EngineOrderKind::Load)
            engine.nextLoad = order.model;
        // An engine that is unloading a model to make room for this order is expected to be busy for a moment.
        if (++engine.conflicts >= maximumConflicts || engine.unloading.empty())
            requireVerification(engine, now);
        break;
    default:
        engine.pending.reset();
        noteFailedOrder(engine, now);
        break;
    }
}

// The engine may have carried out the order, may do so later, or may be unreachable.
void EnginePlacement::noteFailedOrder(Engine& engine, MonotonicTime now)
{
    ++engine.failures;
    engine.notBefore = now + orderRetryPause;
    requireVerification(engine, now);
}

void EnginePlacement::handleAdapterOrder(Engine& engine, const EngineOrderFinished& finished, MonotonicTime now)
{
    const EngineOrder& order = finished.order;
    engine.isChanged = true;
    switch (finished.outcome) {
    case EngineOrderOutcome::Accepted:
    case EngineOrderOutcome::AlreadyDone:
        ++engine.orderCount;
        engine.conflicts = 0;
        if (order.kind == EngineOrderKind::Unload) {
            dropFrom(engine.models, order);
            engine.adapterPending.reset();
            // One that no request uses is gone at once.
            if (finished.outcome == EngineOrderOutcome::Accepted) {
                engine.leavingAdapters.insert({ order.model, order.adapter });
                engine.adapterUse[{ order.model, order.adapter }] = now;
                engine.nextStatusAt = now + pendingStatusInterval;
            }
        } else if (finished.outcome == EngineOrderOutcome::AlreadyDone) {
            finishAdapterLoad(engine, now);
        } else {
            engine.adapterPending->isAccepted = true;
            engine.adapterPending->expectedEnd = now + adapterLoadTime;
        }
        break;
    case EngineOrderOutcome::Conflict:
        engine.adapterPending.reset();
        engine.notBefore = now + conflictPause;
        requireVerification(engine, now);
        break;
    default:
        engine.adapterPending.reset();
        noteFailedOrder(engine, now);
        break;
    }
}

EngineUpdate EnginePlacement::updateOf(const Engine& engine, MonotonicTime now) const
{
    EngineUpdate update;
    update.endpoint = engine.record.id;
    update.incarnation = engine.record.incarnation;
    update.models = engine.models;
    // Models and adapters about to be unloaded get no new requests.
    for (const auto& pending : { engine.pending, engine.adapterPending }) {
        if (pending && pending->order.kind == EngineOrderKind::Unload)
            dropFrom(update.models, pending->order);
    }
    const auto milliseconds = [](Duration duration) {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisecondsOf(duration)));
    };
    if (engine.pending && engine.pending->order.kind == EngineOrderKind::Load)
        update.pendingReplicas.push_back({ { engine.pending->order.model, engine.pending->order.adapter },
            milliseconds(engine.pending->expectedEnd - now) });
    if (engine.nextLoad)
        update.pendingReplicas.push_back({ { *engine.nextLoad, "" },
            milliseconds(loadTime(engine, *engine.nextLoad, sourceOf(engine, *engine.nextLoad))) });
    return update;
}

// Hosts use an engine's own record where there is no update, so a state that the record shows is not repeated.
bool EnginePlacement::needsUpdate(const Engine& engine, bool isRepeat, MonotonicTime now) const
{
    if (!engine.isVerified)
        return false;
    if (engine.isChanged || !isRepeat)
        return engine.isChanged;
    return now - engine.changedAt < updateRepeatTime || engine.pending || engine.adapterPending || engine.nextLoad
        || engine.models != engine.record.models;
}

std::optional<PlacementUpdate> EnginePlacement::takeUpdate(MonotonicTime now)
{
    if (!m_permission || now >= m_permission->until)
        return std::nullopt;
    const bool isRepeat = now >= m_nextUpdateRepeatAt;
    if (isRepeat)
        m_nextUpdateRepeatAt = now + updateRepeatInterval;
    PlacementUpdate update;
    update.fencingToken = m_permission->fencingToken;
    for (auto& [id, engine] : m_engines) {
        if (!needsUpdate(engine, isRepeat, now))
            continue;
        if (engine.isChanged)
            engine.changedAt = now;
        engine.isChanged = false;
        update.engines.push_back(updateOf(engine, now));
    }
    if (now >= m_nextForecastAt) {
        m_nextForecastAt = now + forecastInterval;
        update.forecasts = forecasts(now);
    }
    if (update.engines.empty() && update.forecasts.empty())
        return std::nullopt;
    update.sequence = ++m_updateSequence;
    return update;
}

} // namespace Catkinwell
