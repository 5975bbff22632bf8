#include <catkinwell/gateway/EnginePlacement.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <cmath>
#include <tuple>

namespace Catkinwell {

namespace {

    // The time over which arrival rates are averaged.
    constexpr double rateSeconds = 12;
    constexpr double runningSeconds = 1.5;
    constexpr Duration runningInterval = std::chrono::milliseconds(200);
    // An order without an answer is sent again after this time.
    constexpr Duration conflictPause = std::chrono::milliseconds(40);
    // An engine needs a moment to drop what no request uses.
    constexpr Duration unloadTime = std::chrono::milliseconds(30);
    constexpr Duration orderRetryPause = std::chrono::milliseconds(250);
    // Engines report their state this long after it was so.
    constexpr Duration statusLag = std::chrono::milliseconds(250);
    constexpr Duration statusInterval = std::chrono::seconds(4);
    constexpr Duration unverifiedStatusInterval = std::chrono::milliseconds(150);
    constexpr Duration pendingStatusInterval = std::chrono::milliseconds(300);
    constexpr Duration wholeNewsInterval = std::chrono::seconds(1);
    // A load from memory or disk takes its stated time; a replica counts as ready a little later.
    constexpr Duration loadMargin = std::chrono::milliseconds(30);
    constexpr Duration adapterLoadTime = std::chrono::milliseconds(25);
    // A replica that was just loaded for waiting requests is not replaced before they have run.
    constexpr Duration protectedTime = std::chrono::milliseconds(1500);
    constexpr Duration adapterIdleTime = std::chrono::milliseconds(700);
    // After so many refusals the engine's number of orders is read anew.
    constexpr unsigned maximumConflicts = 4;
    constexpr unsigned unreachableFailures = 2;
    constexpr double protectedValue = 20;
    constexpr double runningValue = 0.8;
    // What a request loses, in seconds, when its model has to be loaded again first.
    constexpr double reloadSeconds = 2;
    // The part of the requests for adapters that need an order.
    constexpr double adapterMissShare = 0.3;
    // Copies on disks of a model, and of one with adapters, which is more likely to be in demand.
    constexpr unsigned manyWaiting = 4;
    // Replicas that a model in steady demand keeps in any case, so that the loss of one endpoint or data centre does
    // not leave it without.
    constexpr unsigned hotReplicas = 2;
    constexpr double veryHotRate = 2;
    constexpr unsigned veryHotReplicas = 3;
    constexpr double sameDataCentreCost = 0.6;
    constexpr unsigned wantedCopies = 1;
    constexpr unsigned wantedCopiesWithAdapters = 2;
    constexpr double hotRate = 0.6;
    constexpr double hotValue = 50;

    // Removes the model or adapter of an order.
    void dropFrom(LoadedModels& models, const EngineOrder& order)
    {
        if (order.adapter.empty())
            models.erase(order.model);
        else if (const auto model = models.find(order.model); model != models.end())
            model->second.erase(order.adapter);
    }

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

EnginePlacement::EnginePlacement(EnginePlacementSettings settings, EndpointDirectory& directory)
    : m_settings(settings)
    , m_directory(directory)
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
        engine.pending.reset();
        engine.adapterPending.reset();
        engine.nextLoad.reset();
        engine.isChanged = true;
        engine.nextStatusAt = now;
    }
}

void EnginePlacement::put(const EndpointRecord& record, MonotonicTime now)
{
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

// Ends the order under way if its effect shows.
void EnginePlacement::noteCompletion(Engine& engine, const LoadedModels& models, MonotonicTime now)
{
    std::erase_if(engine.unloading, [&models](const ModelId& model) { return !models.contains(model); });
    if (!engine.pending || !engine.pending->isAccepted || engine.pending->order.kind != EngineOrderKind::Load
        || !models.contains(engine.pending->order.model))
        return;
    const ModelId model = engine.pending->order.model;
    engine.models[model];
    engine.loadedAt[model] = now;
    engine.onDisk.insert(model);
    engine.pending.reset();
    engine.isChanged = true;
}

void EnginePlacement::remove(const EndpointId& id) { m_engines.erase(id); }

void EnginePlacement::handle(const HostId& from, const std::vector<VariantDemand>& list, MonotonicTime now)
{
    HostDemand& host = m_hostDemand[from];
    std::map<std::pair<std::string, ModelVariant>, VariantDemand> entries;
    for (const VariantDemand& entry : list) {
        const auto key = std::pair(entry.service, entry.variant);
        const auto former = host.entries.find(key);
        std::uint64_t arrived = entry.arrivals;
        if (former != host.entries.end())
            arrived = entry.arrivals >= former->second.arrivals ? entry.arrivals - former->second.arrivals : arrived;
        Demand& demand = m_demand[key];
        demand.service = entry.service;
        demand.rate += static_cast<double>(arrived) / rateSeconds;
        if (arrived > 0)
            demand.lastArrivalAt = now;
        entries.emplace(key, entry);
    }
    host.entries = std::move(entries);
    for (auto& [key, demand] : m_demand)
        demand.waiting = 0;
    for (const auto& [name, other] : m_hostDemand) {
        for (const auto& [key, entry] : other.entries)
            m_demand[key].waiting += entry.waiting;
    }
}

void EnginePlacement::removeHost(const HostId& host) { m_hostDemand.erase(host); }

void EnginePlacement::updateDemand(MonotonicTime now)
{
    for (auto& [key, demand] : m_demand) {
        if (demand.updatedAt != MonotonicTime())
            demand.rate *= std::exp(-secondsOf(now - demand.updatedAt) / rateSeconds);
        demand.updatedAt = now;
    }
    if (now - m_runningUpdatedAt < runningInterval)
        return;
    const double weight = 1
        - std::exp(-secondsOf(std::min<Duration>(now - m_runningUpdatedAt, std::chrono::seconds(1))) / runningSeconds);
    m_runningUpdatedAt = now;
    std::map<ModelId, unsigned> counts;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& [model, adapters] : engine.models)
            counts[model] += m_directory.runningOn(id, model);
    }
    for (const auto& [model, count] : counts)
        m_running[model] += weight * (count - m_running[model]);
    std::erase_if(m_running, [&counts](const auto& entry) { return !counts.contains(entry.first); });
}

void EnginePlacement::tick(MonotonicTime now, EffectList& effects)
{
    updateDemand(now);
    if (!m_permission || now >= m_permission->until)
        return;
    for (auto& [id, engine] : m_engines) {
        if (engine.pending && engine.pending->isAccepted && now >= engine.pending->expectedEnd)
            finishPending(engine, now);
        if (engine.adapterPending && engine.adapterPending->isAccepted && now >= engine.adapterPending->expectedEnd)
            finishAdapter(engine, now);
        if (now >= engine.nextStatusAt && !engine.isStatusPending)
            fetchStatus(engine, now, effects);
    }
    if (now < m_permission->from)
        return;
    for (auto& [id, engine] : m_engines)
        continueLoad(engine, now, effects);
    planAdapters(now, effects);
    planWaitingModels(now, effects);
    planBusyModels(now, effects);
    planCopies(now, effects);
}

void EnginePlacement::fetchStatus(Engine& engine, MonotonicTime now, EffectList& effects)
{
    engine.isStatusPending = true;
    const bool isWaiting = engine.pending && engine.pending->isAccepted;
    engine.nextStatusAt = now
        + (!engine.isVerified ? unverifiedStatusInterval
                : isWaiting   ? pendingStatusInterval
                              : statusInterval);
    effects.push_back(FetchEngineStatus { engine.record.id, engine.record.address });
}

// A load whose weights lie at the engine ends at its stated time; others end when the engine says so.
void EnginePlacement::finishPending(Engine& engine, MonotonicTime now)
{
    const Pending pending = *engine.pending;
    if (pending.order.kind != EngineOrderKind::Load || pending.source == WeightSource::Store)
        return;
    engine.pending.reset();
    engine.isChanged = true;
    engine.models[pending.order.model];
    engine.loadedAt[pending.order.model] = now;
    engine.inHostMemory.insert(pending.order.model);
    engine.onDisk.insert(pending.order.model);
}

void EnginePlacement::finishAdapter(Engine& engine, MonotonicTime now)
{
    const EngineOrder order = engine.adapterPending->order;
    engine.adapterPending.reset();
    engine.isChanged = true;
    const auto model = engine.models.find(order.model);
    if (model == engine.models.end())
        return;
    model->second.insert(order.adapter);
    engine.adapterUse[{ order.model, order.adapter }] = now;
}

// Takes over the models of a status report that is not older than what this host knows.
void EnginePlacement::takeModels(Engine& engine, const LoadedModels& models, MonotonicTime now)
{
    noteCompletion(engine, models, now);
    if (engine.pending)
        return;
    if (engine.models != models) {
        LoadedModels merged = models;
        for (const ModelId& model : engine.unloading)
            merged.erase(model);
        // Adapters that were ordered a moment ago are not in a state that is older than that.
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
    if (engine.isVerified && status.orderCount >= engine.orderCount) {
        // A larger number: an order whose answer was lost was carried out.
        engine.orderCount = status.orderCount;
        // The report of a busy engine is older than the end of its order, which may be known already.
        if (status.isBusy)
            noteCompletion(engine, status.models, now);
        else
            takeModels(engine, status.models, now);
    }
    if (engine.pending)
        return;
    // A state of before the last answer may still be on its way.
    const bool isSettled = now >= engine.notBefore + statusLag || status.orderCount >= engine.orderCount;
    if (!engine.isVerified && isSettled && !status.isBusy) {
        engine.isVerified = true;
        engine.orderCount = status.orderCount;
        engine.models = status.models;
        engine.unloading.clear();
        engine.conflicts = 0;
        engine.isChanged = true;
        engine.nextStatusAt = now + statusInterval;
    }
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
            { "outcome", std::string(nameOf(finished.outcome)) } } });
    effects.push_back(RecordMetric { Metric::PlacementCommandsTotal, std::string(nameOf(finished.outcome)) });
    const auto found = m_engines.find(finished.order.endpoint);
    if (found == m_engines.end())
        return;
    Engine& engine = found->second;
    const EngineOrder& order = finished.order;
    if (engine.adapterPending && engine.adapterPending->order.id == order.id) {
        handleAdapterOrder(engine, finished, now, effects);
        return;
    }
    if (!engine.pending || engine.pending->order.id != order.id)
        return;
    Pending& pending = *engine.pending;
    const bool isUnload = order.kind == EngineOrderKind::Unload;
    switch (finished.outcome) {
    case EngineOrderOutcome::Accepted:
    case EngineOrderOutcome::AlreadyDone:
        engine.conflicts = 0;
        pending.isAccepted = true;
        if (finished.outcome == EngineOrderOutcome::Accepted) {
            ++engine.orderCount;
        } else {
            engine.isVerified = false;
            engine.nextStatusAt = now;
        }
        if (isUnload) {
            // Only an accepted unload makes room: the memory of one that was refused is still in use.
            dropFrom(engine.models, order);
            engine.unloading.insert(order.model);
            engine.notBefore = now + unloadTime;
        } else {
            engine.unloading.clear();
            pending.expectedEnd = now + loadTime(engine, order.model, pending.source) + loadMargin;
            engine.nextStatusAt = pending.expectedEnd + statusLag;
        }
        if (isUnload || finished.outcome == EngineOrderOutcome::AlreadyDone)
            engine.pending.reset();
        engine.isChanged = true;
        break;
    case EngineOrderOutcome::Conflict:
        // The order before it may still be under way.
        engine.pending.reset();
        engine.notBefore = now + conflictPause;
        if (order.kind == EngineOrderKind::Load)
            engine.nextLoad = order.model;
        if (++engine.conflicts >= maximumConflicts)
            engine.isVerified = false;
        if (!engine.isStatusPending)
            fetchStatus(engine, now, effects);
        break;
    case EngineOrderOutcome::NotSent:
    case EngineOrderOutcome::Rejected:
    case EngineOrderOutcome::Fenced:
    case EngineOrderOutcome::Misdirected:
    case EngineOrderOutcome::Unknown:
        engine.pending.reset();
        engine.isVerified = false;
        ++engine.failures;
        engine.notBefore = now + orderRetryPause;
        engine.nextStatusAt = now;
        break;
    }
}

void EnginePlacement::handleAdapterOrder(
    Engine& engine, const EngineOrderFinished& finished, MonotonicTime now, EffectList& effects)
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
        } else if (finished.outcome == EngineOrderOutcome::AlreadyDone) {
            finishAdapter(engine, now);
        } else {
            engine.adapterPending->isAccepted = true;
            engine.adapterPending->expectedEnd = now + adapterLoadTime;
        }
        break;
    case EngineOrderOutcome::Conflict:
        engine.adapterPending.reset();
        engine.notBefore = now + conflictPause;
        if (++engine.conflicts >= maximumConflicts && !engine.pending)
            engine.isVerified = false;
        if (!engine.isStatusPending)
            fetchStatus(engine, now, effects);
        break;
    case EngineOrderOutcome::NotSent:
    case EngineOrderOutcome::Rejected:
    case EngineOrderOutcome::Fenced:
    case EngineOrderOutcome::Misdirected:
    case EngineOrderOutcome::Unknown:
        engine.adapterPending.reset();
        engine.isVerified = false;
        ++engine.failures;
        engine.notBefore = now + orderRetryPause;
        engine.nextStatusAt = now;
        break;
    }
}

bool EnginePlacement::mayOrder(const Engine& engine, MonotonicTime now) const
{
    // An engine refuses orders, also for adapters, while it carries one out.
    return engine.isVerified && !engine.pending && !engine.adapterPending && now >= engine.notBefore
        && m_directory.isUsable(engine.record.id, now);
}

const GatewayModel* EnginePlacement::settingsOf(const Engine& engine, const ModelId& model) const
{
    const GatewayEngine* settings = m_configuration.engineOf(engine.record.service);
    if (!settings)
        return nullptr;
    const auto found = settings->models.find(model);
    return found == settings->models.end() ? nullptr : &found->second;
}

EnginePlacement::WeightSource EnginePlacement::sourceOf(const Engine& engine, const ModelId& model) const
{
    if (engine.inHostMemory.contains(model))
        return WeightSource::HostMemory;
    return engine.onDisk.contains(model) ? WeightSource::Disk : WeightSource::Store;
}

Duration EnginePlacement::loadTime(const Engine& engine, const ModelId& model, WeightSource source) const
{
    const GatewayModel* settings = settingsOf(engine, model);
    if (!settings)
        return std::chrono::seconds(10);
    switch (source) {
    case WeightSource::HostMemory:
        return settings->loadFromMemory;
    case WeightSource::Disk:
        return settings->loadFromDisk;
    case WeightSource::Store:
        break;
    }
    return settings->loadFromStore;
}

// Copies that nobody waits for leave room, and many waiting requests are worth making the other loads slower.
unsigned EnginePlacement::storeLoadBound(unsigned waiting) const
{
    if (waiting == 0)
        return std::max(1U, m_settings.concurrentStoreLoads - m_settings.reservedStoreLoads);
    return m_settings.concurrentStoreLoads + (waiting >= manyWaiting ? m_settings.extraStoreLoads : 0);
}

unsigned EnginePlacement::storeLoadsRunning() const
{
    return static_cast<unsigned>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& item) {
        const auto& pending = item.second.pending;
        return pending && pending->order.kind == EngineOrderKind::Load && pending->order.adapter.empty()
            && pending->source == WeightSource::Store;
    }));
}

bool EnginePlacement::mayLoadFromStore(const std::string& service, unsigned waiting, MonotonicTime now) const
{
    if (storeLoadsRunning() >= storeLoadBound(waiting))
        return false;
    const GatewayEngine* settings = m_configuration.engineOf(service);
    if (!settings || settings->loadsPerSecond <= 0)
        return true;
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(),
        [this, now](MonotonicTime at) { return now - at < m_settings.storeLoadWindow; });
    return static_cast<double>(recent) + 1 <= settings->loadsPerSecond * secondsOf(m_settings.storeLoadWindow);
}

unsigned EnginePlacement::replicas(const ModelId& model, bool withComing) const
{
    unsigned count = 0;
    for (const auto& [id, engine] : m_engines) {
        const bool isComing = withComing
            && ((engine.pending && engine.pending->order.kind == EngineOrderKind::Load
                    && engine.pending->order.model == model)
                || engine.nextLoad == model);
        count += engine.models.contains(model) || isComing ? 1 : 0;
    }
    return count;
}

unsigned EnginePlacement::usableReplicas(const ModelId& model, MonotonicTime now) const
{
    return static_cast<unsigned>(std::count_if(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        const Engine& engine = item.second;
        const bool isComing = engine.nextLoad == model
            || (engine.pending && engine.pending->order.kind == EngineOrderKind::Load
                && engine.pending->order.model == model);
        return isReachable(engine, now) && (engine.models.contains(model) || isComing);
    }));
}

// Whether this host reaches the engine, as far as it knows.
bool EnginePlacement::isReachable(const Engine& engine, MonotonicTime now) const
{
    return engine.failures < unreachableFailures && !engine.record.isLeaving
        && m_directory.isUsable(engine.record.id, now);
}

double EnginePlacement::rateOf(const ModelId& model) const
{
    double rate = 0;
    for (const auto& [key, demand] : m_demand)
        rate += key.second.model == model ? demand.rate : 0;
    return rate;
}

unsigned EnginePlacement::waitingFor(const ModelId& model) const
{
    unsigned waiting = 0;
    for (const auto& [key, demand] : m_demand)
        waiting += key.second.model == model ? demand.waiting : 0;
    return waiting;
}

unsigned EnginePlacement::wantedReplicas(const std::string& service, const ModelId& model) const
{
    const GatewayEngine* settings = m_configuration.engineOf(service);
    const auto running = m_running.find(model);
    if (!settings)
        return 1;
    const double perReplica = std::max(1.0, settings->batchSize * m_settings.busyShare);
    const double load = (running == m_running.end() ? 0 : running->second) + waitingFor(model);
    const double rate = rateOf(model);
    const unsigned least = rate > veryHotRate ? veryHotReplicas : (rate > hotRate ? hotReplicas : 1);
    return std::max(least, static_cast<unsigned>(std::ceil(load / perReplica)));
}

double EnginePlacement::memoryUsed(const Engine& engine, const GatewayEngine& settings) const
{
    double used = 0;
    double largestAdapter = 0;
    for (const auto& [model, adapters] : engine.models) {
        const auto found = settings.models.find(model);
        if (found == settings.models.end())
            continue;
        used += found->second.memoryMb;
        largestAdapter = std::max(largestAdapter, found->second.adapterMb);
    }
    return used + largestAdapter * settings.adapterSlots;
}

// Requests a second for adapters of the models that the engine holds.
double EnginePlacement::adapterRate(const Engine& engine) const
{
    double rate = 0;
    for (const auto& [key, demand] : m_demand) {
        if (!key.second.adapter.empty() && engine.models.contains(key.second.model))
            rate += demand.rate / std::max(1U, replicas(key.second.model, false));
    }
    return rate;
}

// What it costs, in seconds of waiting a second, to unload the model here.
double EnginePlacement::keepValue(const Engine& engine, const ModelId& model, MonotonicTime now) const
{
    const unsigned count = replicas(model, false);
    const unsigned wanted = wantedReplicas(engine.record.service, model);
    const double rate = rateOf(model);
    double value = rate * reloadSeconds / std::max(1U, count);
    if (rate > hotRate && count <= wanted)
        value += hotValue;
    const unsigned running = m_directory.runningOn(engine.record.id, model);
    value += runningValue * std::min(running, 4U);
    const auto loadedAt = engine.loadedAt.find(model);
    const bool isFresh = loadedAt != engine.loadedAt.end() && now - loadedAt->second < protectedTime;
    if ((isFresh || waitingFor(model) > 0) && count <= wanted)
        value += protectedValue;
    return value;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::candidateOn(
    Engine& engine, const GatewayModel& model, const GatewayEngine& settings, bool mayUseStore, MonotonicTime now)
{
    Candidate candidate;
    candidate.engine = &engine;
    candidate.source = sourceOf(engine, model.id);
    if (candidate.source == WeightSource::Store && !mayUseStore)
        return std::nullopt;
    const double reserve = model.adapterMb * settings.adapterSlots;
    double freeMb = settings.memoryMb - std::max(reserve, memoryUsed(engine, settings));
    if (memoryUsed(engine, settings) < reserve)
        freeMb = settings.memoryMb - reserve;
    std::vector<std::pair<double, ModelId>> others;
    for (const auto& [other, adapters] : engine.models)
        others.emplace_back(keepValue(engine, other, now), other);
    std::sort(others.begin(), others.end());
    const double seconds = secondsOf(loadTime(engine, model.id, candidate.source));
    const bool hasNeighbour = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
        return item.second.record.dataCentre == engine.record.dataCentre && item.second.models.contains(model.id);
    });
    // Adapters cannot be loaded meanwhile.
    candidate.cost
        = seconds + seconds * adapterRate(engine) * adapterMissShare + (hasNeighbour ? sameDataCentreCost : 0);
    for (const auto& [value, other] : others) {
        if (freeMb >= model.memoryMb)
            break;
        const GatewayModel* otherSettings = settingsOf(engine, other);
        freeMb += otherSettings ? otherSettings->memoryMb : 0;
        candidate.victims.push_back(other);
        candidate.cost += value;
    }
    if (freeMb < model.memoryMb)
        return std::nullopt;
    return candidate;
}

// Until the engine can take another order.
Duration EnginePlacement::freeIn(const Engine& engine, MonotonicTime now) const
{
    Duration left = std::max(Duration::zero(), engine.notBefore - now);
    if (engine.pending)
        left = std::max(left, engine.pending->expectedEnd - now);
    if (engine.nextLoad)
        left += loadTime(engine, *engine.nextLoad, sourceOf(engine, *engine.nextLoad));
    return left;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::bestCandidate(
    const std::string& service, const ModelId& model, bool mayUseStore, Patience patience, MonotonicTime now)
{
    const GatewayEngine* settings = m_configuration.engineOf(service);
    if (!settings || !settings->models.contains(model))
        return std::nullopt;
    std::optional<Candidate> best;
    for (auto& [id, engine] : m_engines) {
        const bool isFree = mayOrder(engine, now) && !engine.nextLoad;
        const bool isWorthWaiting
            = patience == Patience::WaitForCopy && engine.isVerified && sourceOf(engine, model) != WeightSource::Store;
        if (engine.record.service != service || !isReachable(engine, now) || engine.models.contains(model)
            || (!isFree && !isWorthWaiting))
            continue;
        auto candidate = candidateOn(engine, settings->models.at(model), *settings, mayUseStore, now);
        if (!candidate)
            continue;
        if (!isFree)
            candidate->cost += secondsOf(freeIn(engine, now));
        if (!best || candidate->cost < best->cost)
            best = std::move(candidate);
    }
    // An engine with a copy that is free soon is better than a load from the store now.
    if (best && (!mayOrder(*best->engine, now) || best->engine->nextLoad))
        return std::nullopt;
    return best;
}

void EnginePlacement::begin(
    const Candidate& candidate, const ModelId& model, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    Engine& engine = *candidate.engine;
    engine.nextLoad = model;
    engine.isChanged = true;
    if (candidate.victims.empty())
        continueLoad(engine, now, effects);
    else
        giveOrder(engine, EngineOrderKind::Unload, { candidate.victims.front(), "" }, reason, now, effects);
}

void EnginePlacement::continueLoad(Engine& engine, MonotonicTime now, EffectList& effects)
{
    if (!engine.nextLoad || !mayOrder(engine, now))
        return;
    const bool isDraining = std::any_of(engine.unloading.begin(), engine.unloading.end(),
        [&](const ModelId& model) { return m_directory.runningOn(engine.record.id, model) > 0; });
    if (isDraining)
        return;
    const ModelId model = *engine.nextLoad;
    const GatewayEngine* settings = m_configuration.engineOf(engine.record.service);
    const GatewayModel* modelSettings = settingsOf(engine, model);
    if (!settings || !modelSettings || engine.models.contains(model)) {
        engine.nextLoad.reset();
        return;
    }
    const auto candidate = candidateOn(engine, *modelSettings, *settings, true, now);
    if (!candidate) {
        engine.nextLoad.reset();
        return;
    }
    if (!candidate->victims.empty()) {
        giveOrder(engine, EngineOrderKind::Unload, { candidate->victims.front(), "" }, "makes_way", now, effects);
        return;
    }
    if (candidate->source == WeightSource::Store
        && !mayLoadFromStore(engine.record.service, std::max(1U, waitingFor(model)), now))
        return;
    giveOrder(engine, EngineOrderKind::Load, { model, "" }, "planned", now, effects);
}

void EnginePlacement::giveOrder(Engine& engine, EngineOrderKind kind, const ModelVariant& variant,
    std::string_view reason, MonotonicTime now, EffectList& effects)
{
    Pending pending;
    pending.order.id = CommandId(++m_lastCommand);
    pending.order.endpoint = engine.record.id;
    pending.order.address = engine.record.address;
    pending.order.kind = kind;
    pending.order.model = variant.model;
    pending.order.adapter = variant.adapter;
    pending.order.expectedOrderCount = engine.orderCount;
    pending.order.holder = m_permission->holder;
    pending.order.fencingToken = m_permission->fencingToken;
    pending.order.validUntil = m_permission->until;
    pending.source = sourceOf(engine, variant.model);
    pending.sentAt = now;
    pending.expectedEnd = now + std::chrono::seconds(5);
    const bool isStoreLoad
        = kind == EngineOrderKind::Load && variant.adapter.empty() && pending.source == WeightSource::Store;
    if (isStoreLoad) {
        m_storeLoads.push_back(now);
        while (m_storeLoads.size() > 1000)
            m_storeLoads.pop_front();
    }
    if (kind == EngineOrderKind::Load && variant.adapter.empty() && engine.nextLoad == variant.model)
        engine.nextLoad.reset();
    engine.isChanged = true;
    effects.push_back(LogEntry { LogEvent::GatewayOrderDecided,
        { { "endpoint", engine.record.id.value }, { "order", std::to_string(pending.order.id.value) },
            { "kind", std::string(nameOf(kind)) }, { "model", variant.text() }, { "reason", std::string(reason) },
            { "expected_orders", std::to_string(engine.orderCount) },
            { "fencing_token", std::to_string(m_permission->fencingToken) },
            { "waiting", std::to_string(waitingFor(variant.model)) },
            { "load_ms",
                std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                    loadTime(engine, variant.model, pending.source))
                                   .count()) } } });
    effects.push_back(pending.order);
    (variant.adapter.empty() ? engine.pending : engine.adapterPending) = std::move(pending);
}

void EnginePlacement::planAdapters(MonotonicTime now, EffectList& effects)
{
    for (const auto& [key, demand] : m_demand) {
        const ModelVariant& variant = key.second;
        if (variant.adapter.empty())
            continue;
        Engine* best = nullptr;
        double bestScore = 0;
        bool isPresent = false;
        for (auto& [id, engine] : m_engines) {
            const auto model = engine.models.find(variant.model);
            if (engine.record.service != key.first || model == engine.models.end() || !m_directory.isUsable(id, now))
                continue;
            const bool isComing = engine.adapterPending && engine.adapterPending->order.model == variant.model
                && engine.adapterPending->order.adapter == variant.adapter;
            if (model->second.contains(variant.adapter)) {
                if (now - demand.lastArrivalAt < adapterIdleTime)
                    engine.adapterUse[variant] = std::max(engine.adapterUse[variant], demand.lastArrivalAt);
                isPresent = true;
            }
            isPresent = isPresent || isComing;
            if (!mayOrder(engine, now) || engine.nextLoad)
                continue;
            // Every owner prefers the same engines for an adapter, which then often still have it at hand.
            const double preference
                = static_cast<double>(stableHash(id.value + variant.text()) >> 11) / 9007199254740992.0;
            const double score
                = m_directory.runningOn(id) / static_cast<double>(engine.record.slots) + preference * 0.3;
            if (!best || score < bestScore) {
                best = &engine;
                bestScore = score;
            }
        }
        if (demand.waiting == 0 || isPresent || !best)
            continue;
        unsigned used = 0;
        for (const auto& [model, adapters] : best->models)
            used += static_cast<unsigned>(adapters.size());
        const GatewayEngine* settings = m_configuration.engineOf(key.first);
        if (settings && used < settings->adapterSlots) {
            giveOrder(*best, EngineOrderKind::Load, variant, "adapter_wanted", now, effects);
            continue;
        }
        // The adapter that was used longest ago makes way.
        std::optional<ModelVariant> oldest;
        MonotonicTime oldestAt = now - adapterIdleTime;
        for (const auto& [model, adapters] : best->models) {
            for (const std::string& adapter : adapters) {
                const auto use = best->adapterUse.find({ model, adapter });
                const MonotonicTime usedAt = use == best->adapterUse.end() ? MonotonicTime() : use->second;
                if (usedAt < oldestAt) {
                    oldestAt = usedAt;
                    oldest = ModelVariant { model, adapter };
                }
            }
        }
        if (oldest)
            giveOrder(*best, EngineOrderKind::Unload, *oldest, "adapter_makes_way", now, effects);
    }
}

// The models of all services in the order of the load that asks for them.
std::vector<EnginePlacement::ModelLoad> EnginePlacement::modelLoads() const
{
    std::map<std::pair<std::string, ModelId>, ModelLoad> loads;
    for (const auto& [key, demand] : m_demand) {
        ModelLoad& load = loads[{ key.first, key.second.model }];
        load.service = key.first;
        load.model = key.second.model;
        load.waiting += demand.waiting;
        load.rate += demand.rate;
    }
    std::vector<ModelLoad> list;
    for (auto& [key, load] : loads) {
        const auto running = m_running.find(load.model);
        load.running = running == m_running.end() ? 0 : running->second;
        list.push_back(load);
    }
    std::sort(list.begin(), list.end(), [](const ModelLoad& left, const ModelLoad& right) {
        return std::tuple(left.waiting + left.running, left.rate)
            > std::tuple(right.waiting + right.running, right.rate);
    });
    return list;
}

void EnginePlacement::planWaitingModels(MonotonicTime now, EffectList& effects)
{
    for (const ModelLoad& load : modelLoads()) {
        if (load.waiting == 0 || usableReplicas(load.model, now) > 0)
            continue;
        const bool mayUseStore = mayLoadFromStore(load.service, load.waiting, now);
        if (const auto candidate = bestCandidate(load.service, load.model, mayUseStore, Patience::WaitForCopy, now))
            begin(*candidate, load.model, "requests_wait", now, effects);
    }
}

void EnginePlacement::planBusyModels(MonotonicTime now, EffectList& effects)
{
    if (now < m_nextPlanAt)
        return;
    m_nextPlanAt = now + std::chrono::milliseconds(100);
    for (const ModelLoad& load : modelLoads()) {
        // One replica is a matter of the requests that wait.
        const unsigned wanted = wantedReplicas(load.service, load.model);
        if (wanted <= 1 || usableReplicas(load.model, now) >= wanted)
            continue;
        const bool mayUseStore = mayLoadFromStore(load.service, load.waiting, now);
        const auto candidate = bestCandidate(load.service, load.model, mayUseStore, Patience::None, now);
        if (candidate && candidate->cost < hotValue)
            begin(*candidate, load.model, "busy", now, effects);
    }
}

unsigned EnginePlacement::copiesOf(const ModelId& model) const
{
    return static_cast<unsigned>(std::count_if(m_engines.begin(), m_engines.end(), [&model](const auto& item) {
        const Engine& engine = item.second;
        const bool isComing = engine.nextLoad == model
            || (engine.pending && engine.pending->order.kind == EngineOrderKind::Load
                && engine.pending->order.model == model);
        return engine.models.contains(model) || engine.onDisk.contains(model) || isComing;
    }));
}

// Gives each model a copy on some disk before it is asked for.
void EnginePlacement::planCopies(MonotonicTime now, EffectList& effects)
{
    for (const auto& [service, settings] : m_configuration.services) {
        if (!settings.engine || !mayLoadFromStore(service, 0, now))
            continue;
        const GatewayModel* wanted = nullptr;
        double wantedValue = 0;
        for (const auto& [model, modelSettings] : settings.engine->models) {
            const unsigned copies = copiesOf(model);
            const bool hasAdapters = modelSettings.adapterCount > 0;
            if (copies >= (hasAdapters ? wantedCopiesWithAdapters : wantedCopies))
                continue;
            const double value = (copies == 0 ? 2 : 1) + (hasAdapters ? 0.5 : 0) + std::min(rateOf(model), 0.4);
            if (value > wantedValue) {
                wanted = &modelSettings;
                wantedValue = value;
            }
        }
        if (!wanted)
            continue;
        const auto candidate = bestCopyCandidate(service, *wanted, now);
        if (candidate && candidate->cost < protectedValue)
            begin(*candidate, wanted->id, "copy", now, effects);
    }
}

// The engine that a copy disturbs least, of those that have none.
std::optional<EnginePlacement::Candidate> EnginePlacement::bestCopyCandidate(
    const std::string& service, const GatewayModel& model, MonotonicTime now)
{
    std::optional<Candidate> best;
    for (auto& [id, engine] : m_engines) {
        if (engine.record.service != service || !mayOrder(engine, now) || engine.nextLoad
            || engine.models.contains(model.id) || engine.onDisk.contains(model.id))
            continue;
        auto candidate = candidateOn(engine, model, *m_configuration.engineOf(service), true, now);
        if (candidate && (!best || candidate->cost < best->cost))
            best = std::move(candidate);
    }
    return best;
}

EngineNews EnginePlacement::newsOf(const Engine& engine, MonotonicTime now) const
{
    EngineNews news;
    news.endpoint = engine.record.id;
    news.incarnation = engine.record.incarnation;
    news.models = engine.models;
    // What is about to be unloaded takes no new requests.
    for (const auto& pending : { engine.pending, engine.adapterPending }) {
        if (pending && pending->order.kind == EngineOrderKind::Unload)
            dropFrom(news.models, pending->order);
    }
    const auto milliseconds = [](Duration duration) {
        return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    };
    if (engine.pending && engine.pending->order.kind == EngineOrderKind::Load)
        news.coming.push_back({ { engine.pending->order.model, engine.pending->order.adapter },
            milliseconds(engine.pending->expectedEnd - now) });
    if (engine.nextLoad)
        news.coming.push_back({ { *engine.nextLoad, "" },
            milliseconds(loadTime(engine, *engine.nextLoad, sourceOf(engine, *engine.nextLoad))) });
    return news;
}

std::optional<PlacementNews> EnginePlacement::takeNews(MonotonicTime now)
{
    if (!m_permission || now >= m_permission->until)
        return std::nullopt;
    const bool isWhole = now >= m_nextWholeNewsAt;
    if (isWhole)
        m_nextWholeNewsAt = now + wholeNewsInterval;
    PlacementNews news;
    news.fencingToken = m_permission->fencingToken;
    for (auto& [id, engine] : m_engines) {
        if ((!isWhole && !engine.isChanged) || !engine.isVerified)
            continue;
        engine.isChanged = false;
        news.engines.push_back(newsOf(engine, now));
    }
    if (news.engines.empty())
        return std::nullopt;
    news.sequence = ++m_newsSequence;
    return news;
}

} // namespace Catkinwell
