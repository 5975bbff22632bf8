#include <catkinwell/gateway/EnginePlacement.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

// Plans orders from demand: adapters, models with waiting requests, busy models and copies.
namespace Catkinwell {

namespace {

    constexpr Duration adapterIdleTime = std::chrono::milliseconds(700);
    // How long the place of an adapter that was ordered to leave is waited for. A stream may use it for much longer.
    constexpr Duration longestLeaving = std::chrono::seconds(1);
    constexpr Duration busyPlanInterval = std::chrono::milliseconds(100);
    // A model is overloaded if its load needs at least this many times its usable replicas.
    constexpr unsigned overloadFactor = 2;
    // Engines that should have a copy of each model. Models with adapters are more likely to be requested.
    constexpr unsigned wantedCopies = 1;
    constexpr unsigned wantedCopiesWithAdapters = 2;

} // namespace

void EnginePlacement::beginLoad(
    const Candidate& candidate, const ModelId& model, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    Engine& engine = *candidate.engine;
    engine.nextLoad = model;
    engine.isChanged = true;
    noteUpcoming(engine, model, now);
    m_plannedStoreLoads += candidate.source == WeightSource::Store ? 1 : 0;
    if (candidate.victims.empty())
        continueLoad(engine, now, effects);
    else
        giveOrder(engine, EngineOrderKind::Unload, { candidate.victims.front(), "" }, reason, now, effects);
}

// Such a load would take a place among those from the weight store without ever being ordered.
void EnginePlacement::dropEvacuatedLoads()
{
    if (m_directory.evacuated().isEmpty())
        return;
    for (auto& [id, engine] : m_engines) {
        if (!engine.nextLoad || !isEvacuated(engine))
            continue;
        engine.nextLoad.reset();
        engine.isChanged = true;
    }
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
    if (candidate->source == WeightSource::Store && !isUnderStoreRate(engine.record.service, now))
        return;
    giveOrder(engine, EngineOrderKind::Load, { model, "" }, "planned", now, effects);
}

void EnginePlacement::giveOrder(Engine& engine, EngineOrderKind kind, const ModelVariant& variant,
    std::string_view reason, MonotonicTime now, EffectList& effects)
{
    PendingOrder pending;
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
        m_storeLoadStarts.push_back(now);
        while (m_storeLoadStarts.size() > 1000)
            m_storeLoadStarts.pop_front();
    }
    if (kind == EngineOrderKind::Load && variant.adapter.empty() && engine.nextLoad == variant.model)
        engine.nextLoad.reset();
    engine.isChanged = true;
    effects.push_back(LogEntry { LogEvent::GatewayOrderDecided,
        { { "endpoint", engine.record.id.value }, { "order", std::to_string(pending.order.id.value) },
            { "kind", std::string(nameOf(kind)) }, { "model", variant.text() }, { "reason", std::string(reason) },
            { "expected_orders", std::to_string(engine.orderCount) },
            { "fencing_token", std::to_string(m_permission->fencingToken) },
            { "waiting", std::to_string(summaryOf(engine.record.service, variant.model, now).waiting) },
            { "load_ms", std::to_string(millisecondsOf(loadTime(engine, variant.model, pending.source))) } } });
    effects.push_back(pending.order);
    (variant.adapter.empty() ? engine.pending : engine.adapterPending) = std::move(pending);
}

void EnginePlacement::planAdapters(MonotonicTime now, EffectList& effects)
{
    for (const auto& [key, demand] : m_demand.entries()) {
        const ModelVariant& variant = key.second;
        if (variant.adapter.empty() || demand.waiting == 0)
            continue;
        const ModelSummary& summary = summaryOf(key.first, variant.model, now);
        const bool isPresent = std::any_of(summary.holders.begin(), summary.holders.end(), [&](const Engine* engine) {
            const bool isOrdered = engine->adapterPending && engine->adapterPending->order.model == variant.model
                && engine->adapterPending->order.adapter == variant.adapter;
            return (isOrdered || engine->models.at(variant.model).contains(variant.adapter))
                && m_directory.isUsable(engine->record.id, now);
        });
        if (isPresent)
            continue;
        planAdapter(variant, summary, now, effects);
    }
}

// Loads the adapter into one of the holders of its model, or makes room for it.
void EnginePlacement::planAdapter(
    const ModelVariant& variant, const ModelSummary& summary, MonotonicTime now, EffectList& effects)
{
    Engine* engine = adapterEngine(summary, variant, now);
    if (!engine)
        return;
    // One that was about to leave still has its place.
    if (engine->leavingAdapters.contains(variant) || hasRoomForAdapter(*engine, variant.model))
        giveOrder(*engine, EngineOrderKind::Load, variant, "adapter_wanted", now, effects);
    else
        makeRoomForAdapter(*engine, now, effects);
}

// Chooses the engine to load the adapter into, among those that hold its model.
EnginePlacement::Engine* EnginePlacement::adapterEngine(
    const ModelSummary& summary, const ModelVariant& variant, MonotonicTime now)
{
    Engine* best = nullptr;
    double bestScore = 0;
    for (Engine* engine : summary.holders) {
        if (!mayOrder(*engine, now) || engine->nextLoad)
            continue;
        // The hash makes every owner prefer the same engines for an adapter, which then often still have it loaded.
        const double preference
            = static_cast<double>(stableHash(engine->record.id.value + variant.text()) >> 11) / 9007199254740992.0;
        const double score
            = m_directory.runningOn(engine->record.id) / static_cast<double>(engine->record.slots) + preference * 0.3;
        if (!best || score < bestScore) {
            best = engine;
            bestScore = score;
        }
    }
    return best;
}

MonotonicTime EnginePlacement::adapterUsedAt(const Engine& engine, const ModelVariant& variant) const
{
    const auto loaded = engine.adapterUse.find(variant);
    const auto demand = m_demand.entries().find({ engine.record.service, variant });
    return std::max(loaded == engine.adapterUse.end() ? MonotonicTime() : loaded->second,
        demand == m_demand.entries().end() ? MonotonicTime() : demand->second.lastArrivalAt);
}

// Unloads the least recently used adapter, unless all were used recently or a place may become free anyway.
void EnginePlacement::makeRoomForAdapter(Engine& engine, MonotonicTime now, EffectList& effects)
{
    const auto leavesSoon = [&](const ModelVariant& leaving) {
        const auto ordered = engine.adapterUse.find(leaving);
        return ordered != engine.adapterUse.end() && now - ordered->second < longestLeaving;
    };
    // Adapters that leave get no new requests, so only some of them may do so at a time.
    const GatewayEngine* settings = m_configuration.engineOf(engine.record.service);
    const std::size_t maximumLeaving = std::max<std::size_t>(2, settings ? settings->adapterSlots / 2 : 0);
    if (engine.leavingAdapters.size() >= maximumLeaving
        || std::any_of(engine.leavingAdapters.begin(), engine.leavingAdapters.end(), leavesSoon))
        return;
    std::optional<ModelVariant> oldest;
    MonotonicTime oldestAt = now - adapterIdleTime;
    for (const auto& [model, adapters] : engine.models) {
        for (const std::string& adapter : adapters) {
            const MonotonicTime usedAt = adapterUsedAt(engine, { model, adapter });
            if (usedAt < oldestAt) {
                oldestAt = usedAt;
                oldest = ModelVariant { model, adapter };
            }
        }
    }
    if (oldest)
        giveOrder(engine, EngineOrderKind::Unload, *oldest, "adapter_makes_way", now, effects);
}

void EnginePlacement::planWaitingModels(MonotonicTime now, EffectList& effects)
{
    for (const auto& [service, model] : modelsByLoad(now)) {
        const ModelSummary& summary = summaryOf(service, model, now);
        if (summary.waiting == 0 || summary.usableReplicas > 0)
            continue;
        const bool mayUseStore = mayLoadFromStore(service, summary.waiting, now);
        if (const auto candidate = bestCandidate(service, model, mayUseStore, BusyEnginePolicy::WaitForCopy, now))
            beginLoad(*candidate, model, "requests_wait", now, effects);
    }
}

void EnginePlacement::planVersionWaits(MonotonicTime now, EffectList& effects)
{
    std::set<VersionWait> waits;
    for (const auto& [host, ofHost] : m_versionWaits)
        waits.insert(ofHost.begin(), ofHost.end());
    for (const VersionWait& wait : waits)
        planVersionWait(wait, now, effects);
}

bool EnginePlacement::isAwaited(const Engine& engine, const ModelId& model) const
{
    return std::any_of(m_versionWaits.begin(), m_versionWaits.end(), [&](const auto& ofHost) {
        return std::any_of(ofHost.second.begin(), ofHost.second.end(), [&](const VersionWait& wait) {
            return wait.service == engine.record.service && wait.variant.model == model
                && wait.softwareVersion == engine.record.softwareVersion;
        });
    });
}

// A stream must go on at the software version that began it, so a replica at another one does not serve it.
void EnginePlacement::planVersionWait(const VersionWait& wait, MonotonicTime now, EffectList& effects)
{
    const ModelId& model = wait.variant.model;
    ModelSummary ofVersion;
    bool isExpected = false;
    for (auto& [id, engine] : m_engines) {
        if (engine.record.service != wait.service || engine.record.softwareVersion != wait.softwareVersion
            || !isReachable(engine, now))
            continue;
        if (engine.models.contains(model))
            ofVersion.holders.push_back(&engine);
        isExpected = isExpected || upcomingModel(engine) == model;
    }
    if (ofVersion.holders.empty()) {
        const bool mayUseStore = mayLoadFromStore(wait.service, 1, now);
        const auto candidate = isExpected
            ? std::nullopt
            : bestCandidate(wait.service, model, mayUseStore, BusyEnginePolicy::WaitForCopy, now, wait.softwareVersion);
        if (candidate)
            beginLoad(*candidate, model, "streams_wait", now, effects);
        return;
    }
    const auto hasAdapter = [&wait](const Engine* engine) {
        const bool isOrdered = engine->adapterPending
            && ModelVariant { engine->adapterPending->order.model, engine->adapterPending->order.adapter }
                == wait.variant;
        return isOrdered || engine->models.at(wait.variant.model).contains(wait.variant.adapter);
    };
    if (!wait.variant.adapter.empty() && std::none_of(ofVersion.holders.begin(), ofVersion.holders.end(), hasAdapter))
        planAdapter(wait.variant, ofVersion, now, effects);
}

void EnginePlacement::planBusyModels(MonotonicTime now, EffectList& effects)
{
    if (now < m_nextBusyPlanAt)
        return;
    m_nextBusyPlanAt = now + busyPlanInterval;
    m_busyModelNeedsStore = false;
    for (const auto& [service, model] : modelsByLoad(now)) {
        // planWaitingModels() loads the first replica.
        const ModelSummary& summary = summaryOf(service, model, now);
        const unsigned wanted = wantedReplicas(service, summary);
        if (wanted <= 1 || summary.usableReplicas >= wanted)
            continue;
        // An overloaded model is as urgent as one with waiting requests.
        const bool isOverloaded = wanted >= summary.usableReplicas * overloadFactor;
        const unsigned urgency = isOverloaded ? std::max(1U, summary.waiting) : summary.waiting;
        const bool mayUseStore = mayLoadFromStore(service, urgency, now);
        const auto candidate = bestCandidate(service, model, mayUseStore, BusyEnginePolicy::Skip, now);
        if (candidate && candidate->cost < hotModelCost)
            beginLoad(*candidate, model, "busy", now, effects);
        else if (!mayUseStore)
            m_busyModelNeedsStore = true;
    }
}

StoreQueue EnginePlacement::storeQueueOf(const std::string& service, const GatewayEngine& settings, MonotonicTime now)
{
    StoreQueue queue;
    queue.service = service;
    queue.concurrency = storeConcurrency();
    for (const auto& [id, model] : settings.models)
        queue.loadTime = std::max(queue.loadTime, model.loadFromStore);
    for (const auto& [id, engine] : m_engines) {
        if (engine.record.service != service)
            continue;
        if (isStoreLoad(engine.pending))
            queue.running.push_back(std::max(Duration::zero(), engine.pending->expectedEnd - now));
        else if (engine.nextLoad && sourceOf(engine, *engine.nextLoad) == WeightSource::Store)
            queue.running.push_back(queue.loadTime);
    }
    for (const auto& [ofService, model] : modelsByLoad(now)) {
        const ModelSummary& summary = summaryOf(ofService, model, now);
        if (ofService == service && summary.waiting > 0 && summary.copies == 0)
            queue.waiting.push_back(model);
    }
    return queue;
}

std::vector<StoreLoadForecast> EnginePlacement::forecasts(MonotonicTime now)
{
    std::vector<StoreLoadForecast> list;
    for (const auto& [service, settings] : m_configuration.services) {
        if (settings.engine)
            list.push_back(forecastStoreLoads(storeQueueOf(service, *settings.engine, now)));
    }
    return list;
}

// Loads models that have too few copies, before requests ask for them.
void EnginePlacement::planCopies(MonotonicTime now, EffectList& effects)
{
    if (m_busyModelNeedsStore)
        return;
    for (const auto& [service, settings] : m_configuration.services) {
        if (!settings.engine || !mayLoadFromStore(service, 0, now))
            continue;
        const GatewayModel* wanted = nullptr;
        double wantedValue = 0;
        for (const auto& [model, modelSettings] : settings.engine->models) {
            const ModelSummary& summary = summaryOf(service, model, now);
            const unsigned copies = summary.copies;
            const bool hasAdapters = modelSettings.adapterCount > 0;
            if (copies >= (hasAdapters ? wantedCopiesWithAdapters : wantedCopies))
                continue;
            const double value = (copies == 0 ? 2 : 1) + (hasAdapters ? 0.5 : 0) + std::min(summary.rate, 0.4);
            if (value > wantedValue) {
                wanted = &modelSettings;
                wantedValue = value;
            }
        }
        if (!wanted)
            continue;
        const auto candidate = bestCopyCandidate(service, *wanted, now);
        if (candidate && candidate->cost < protectedReplicaCost)
            beginLoad(*candidate, wanted->id, "copy", now, effects);
    }
}

} // namespace Catkinwell
