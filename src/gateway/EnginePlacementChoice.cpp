#include <catkinwell/gateway/EnginePlacement.h>

#include <algorithm>
#include <cmath>
#include <tuple>

// Chooses the engine for a model, the models to unload for it, and the number of replicas.
namespace Catkinwell {

namespace {

    // A newly loaded replica is protected for this time, so that the requests it was loaded for can run.
    constexpr Duration evictionProtectionTime = std::chrono::milliseconds(1500);
    constexpr unsigned unreachableFailures = 2;
    constexpr double runningRequestCost = 0.8;
    // Prefers, among otherwise equal engines, one with free memory to one that would unload an idle model.
    constexpr double unloadCost = 0.01;
    // Seconds that a request loses when its model has to be reloaded first.
    constexpr double reloadSeconds = 2;
    // Fraction of adapter requests whose adapter has to be loaded first.
    constexpr double adapterMissShare = 0.3;
    // This many waiting requests justify slowing down the other loads from the weight store.
    constexpr unsigned manyWaiting = 4;
    // Minimum replicas of a model in steady demand, so that the loss of one endpoint or data centre does not leave it
    // without any.
    constexpr unsigned hotReplicas = 2;
    constexpr double veryHotRate = 2;
    constexpr unsigned veryHotReplicas = 3;
    constexpr double sameDataCentreCost = 0.6;
    constexpr double hotRate = 0.6;
    // An engine carries out no other order during a load, so only this part of the engines tries how much the weight
    // store bears.
    constexpr double triedEngineShare = 0.15;

} // namespace

bool EnginePlacement::mayOrder(const Engine& engine, MonotonicTime now) const
{
    // An engine refuses all orders, including those for adapters, while it carries one out.
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

// Loads that no request waits for leave the reserved slots free. Many waiting requests justify extra loads although
// they slow down the others.
unsigned EnginePlacement::storeLoadBound(unsigned waiting) const
{
    const unsigned fullSpeed = storeConcurrency();
    if (waiting == 0)
        return std::max(1U, fullSpeed - std::min(fullSpeed, m_settings.reservedStoreLoads));
    return fullSpeed + (waiting >= manyWaiting ? m_settings.extraStoreLoads : 0);
}

unsigned EnginePlacement::storeConcurrency() const
{
    return m_storeConcurrency.concurrency(static_cast<unsigned>(triedEngineShare * m_engines.size()));
}

bool EnginePlacement::isStoreLoad(const std::optional<PendingOrder>& pending)
{
    return pending && pending->order.kind == EngineOrderKind::Load && pending->order.adapter.empty()
        && pending->source == WeightSource::Store;
}

unsigned EnginePlacement::storeLoadsRunning() const
{
    return static_cast<unsigned>(std::count_if(
        m_engines.begin(), m_engines.end(), [](const auto& item) { return isStoreLoad(item.second.pending); }));
}

// Counts running store loads and those that start once their engine has made room.
unsigned EnginePlacement::storeLoadsPlanned() const
{
    return static_cast<unsigned>(std::count_if(m_engines.begin(), m_engines.end(), [this](const auto& item) {
        const Engine& engine = item.second;
        return isStoreLoad(engine.pending)
            || (engine.nextLoad && sourceOf(engine, *engine.nextLoad) == WeightSource::Store);
    }));
}

bool EnginePlacement::mayLoadFromStore(const std::string& service, unsigned waiting, MonotonicTime now) const
{
    return m_plannedStoreLoads < storeLoadBound(waiting) && isUnderStoreRate(service, now);
}

// Whether one more load from the weight store stays within the rate limit.
bool EnginePlacement::isUnderStoreRate(const std::string& service, MonotonicTime now) const
{
    const GatewayEngine* settings = m_configuration.engineOf(service);
    if (!settings || settings->loadsPerSecond <= 0)
        return true;
    const auto recent = std::count_if(m_storeLoadStarts.begin(), m_storeLoadStarts.end(),
        [this, now](MonotonicTime at) { return now - at < m_settings.storeLoadWindow; });
    return static_cast<double>(recent) + 1 <= settings->loadsPerSecond * secondsOf(m_settings.storeLoadWindow);
}

std::optional<ModelId> EnginePlacement::upcomingModel(const Engine& engine)
{
    if (engine.pending && engine.pending->order.kind == EngineOrderKind::Load)
        return engine.pending->order.model;
    return engine.nextLoad;
}

const EnginePlacement::ModelSummaries& EnginePlacement::summaries(MonotonicTime now)
{
    if (m_summaries)
        return *m_summaries;
    ModelSummaries& all = m_summaries.emplace();
    for (const auto& [key, demand] : m_demand.entries()) {
        ModelSummary& summary = all[{ key.first, key.second.model }];
        summary.waiting += demand.waiting;
        summary.rate += demand.rate;
        summary.adapterRate += key.second.adapter.empty() ? 0 : demand.rate;
    }
    for (const auto& [key, running] : m_running)
        all[key].running = running;
    for (auto& item : m_engines) {
        Engine& engine = item.second;
        if (isEvacuated(engine))
            continue;
        const std::string& service = engine.record.service;
        const unsigned usable = isReachable(engine, now) ? 1 : 0;
        const auto addReplica = [&](const ModelId& model) -> ModelSummary& {
            ModelSummary& summary = all[{ service, model }];
            summary.usableReplicas += usable;
            summary.copies += engine.onDisk.contains(model) ? 0 : 1;
            return summary;
        };
        for (const auto& [model, adapters] : engine.models) {
            ModelSummary& summary = addReplica(model);
            summary.holders.push_back(&engine);
            summary.dataCentres.insert(engine.record.dataCentre);
        }
        if (const auto upcoming = upcomingModel(engine); upcoming && !engine.models.contains(*upcoming))
            addReplica(*upcoming);
        for (const ModelId& model : engine.onDisk) {
            ModelSummary& summary = all[{ service, model }];
            ++summary.copies;
            if (!engine.models.contains(model))
                summary.copyHolders.push_back(&engine);
        }
        for (const ModelId& model : engine.inHostMemory) {
            if (!engine.onDisk.contains(model) && !engine.models.contains(model))
                all[{ service, model }].copyHolders.push_back(&engine);
        }
    }
    return all;
}

void EnginePlacement::noteUpcoming(const Engine& engine, const ModelId& model, MonotonicTime now)
{
    if (!m_summaries || engine.models.contains(model))
        return;
    ModelSummary& summary = (*m_summaries)[{ engine.record.service, model }];
    summary.usableReplicas += isReachable(engine, now) ? 1 : 0;
    summary.copies += engine.onDisk.contains(model) ? 0 : 1;
}

void EnginePlacement::updateStoreLoads(MonotonicTime now)
{
    m_plannedStoreLoads = storeLoadsPlanned();
    while (!m_storeLoadStarts.empty() && now - m_storeLoadStarts.front() >= m_settings.storeLoadWindow)
        m_storeLoadStarts.pop_front();
}

const EnginePlacement::ModelSummary& EnginePlacement::summaryOf(
    const std::string& service, const ModelId& model, MonotonicTime now)
{
    static const ModelSummary unknown;
    const ModelSummaries& all = summaries(now);
    const auto found = all.find({ service, model });
    return found == all.end() ? unknown : found->second;
}

// Whether this host believes that it can reach the engine.
bool EnginePlacement::isReachable(const Engine& engine, MonotonicTime now) const
{
    return engine.failures < unreachableFailures && !engine.record.isLeaving
        && m_directory.isUsable(engine.record.id, now);
}

bool EnginePlacement::isEvacuated(const Engine& engine) const
{
    return m_directory.evacuated().contains(engine.record.dataCentre);
}

unsigned EnginePlacement::wantedReplicas(const std::string& service, const ModelSummary& summary) const
{
    const GatewayEngine* settings = m_configuration.engineOf(service);
    if (!settings)
        return 1;
    const double wantedLoad = std::max(settings->batchSize * m_settings.busyShare, m_settings.busyRequests);
    const double perReplica = std::max(1.0, std::min(wantedLoad, settings->batchSize / 2.0));
    const double load = summary.running + summary.waiting;
    const unsigned least = summary.rate > veryHotRate ? veryHotReplicas : (summary.rate > hotRate ? hotReplicas : 1);
    return std::max(least, static_cast<unsigned>(std::ceil(load / perReplica)));
}

// Requests per second for adapters of the models that the engine holds, as its share among all holders.
double EnginePlacement::adapterRate(const Engine& engine, MonotonicTime now)
{
    double rate = 0;
    for (const auto& [model, adapters] : engine.models) {
        const ModelSummary& summary = summaryOf(engine.record.service, model, now);
        rate += summary.adapterRate / static_cast<double>(std::max<std::size_t>(1, summary.holders.size()));
    }
    return rate;
}

// Cost of unloading the model from this engine, in seconds of waiting per second.
double EnginePlacement::evictionCost(const Engine& engine, const ModelId& model, MonotonicTime now)
{
    const ModelSummary& summary = summaryOf(engine.record.service, model, now);
    const std::size_t count = summary.holders.size();
    const unsigned wanted = wantedReplicas(engine.record.service, summary);
    double value = summary.rate * reloadSeconds / static_cast<double>(std::max<std::size_t>(1, count));
    if (summary.rate > hotRate && count <= wanted)
        value += hotModelCost;
    const unsigned running = m_directory.runningOn(engine.record.id, model);
    value += runningRequestCost * std::min(running, 4U);
    const auto loadedAt = engine.loadedAt.find(model);
    const bool isFresh = loadedAt != engine.loadedAt.end() && now - loadedAt->second < evictionProtectionTime;
    if (((isFresh || summary.waiting > 0) && count <= wanted) || isAwaited(engine, model))
        value += protectedReplicaCost;
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
    std::set<ModelId> held { model.id };
    std::vector<std::pair<double, ModelId>> others;
    for (const auto& [other, adapters] : engine.models) {
        others.emplace_back(evictionCost(engine, other, now), other);
        held.insert(other);
    }
    std::sort(others.begin(), others.end());
    const double seconds = secondsOf(loadTime(engine, model.id, candidate.source));
    const bool hasReplicaInDataCentre
        = summaryOf(engine.record.service, model.id, now).dataCentres.contains(engine.record.dataCentre);
    // The engine cannot load adapters during the load.
    candidate.cost = seconds + seconds * adapterRate(engine, now) * adapterMissShare
        + (hasReplicaInDataCentre ? sameDataCentreCost : 0);
    for (const auto& [value, other] : others) {
        if (fits(held, settings))
            break;
        held.erase(other);
        candidate.victims.push_back(other);
        candidate.cost += value + unloadCost;
    }
    if (!fits(held, settings))
        return std::nullopt;
    return candidate;
}

// Returns the expected time until the engine can take another order.
Duration EnginePlacement::timeUntilFree(const Engine& engine, MonotonicTime now) const
{
    Duration left = std::max(Duration::zero(), engine.notBefore - now);
    if (engine.pending)
        left = std::max(left, engine.pending->expectedEnd - now);
    if (engine.nextLoad)
        left += loadTime(engine, *engine.nextLoad, sourceOf(engine, *engine.nextLoad));
    return left;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::bestCandidate(const std::string& service,
    const ModelId& model, bool mayUseStore, BusyEnginePolicy policy, MonotonicTime now,
    const std::optional<std::string>& softwareVersion)
{
    const GatewayEngine* settings = m_configuration.engineOf(service);
    if (!settings || !settings->models.contains(model))
        return std::nullopt;
    std::optional<Candidate> best;
    const auto consider = [&](Engine& engine) {
        auto candidate
            = candidateFor(engine, *settings, settings->models.at(model), mayUseStore, policy, now, softwareVersion);
        if (candidate && (!best || candidate->cost < best->cost))
            best = std::move(candidate);
    };
    if (mayUseStore) {
        for (auto& [id, engine] : m_engines) {
            if (engine.record.service == service)
                consider(engine);
        }
    } else {
        for (Engine* engine : summaryOf(service, model, now).copyHolders)
            consider(*engine);
    }
    // Waiting for a busy engine that has a copy is better than a load from the store now.
    if (best && (!mayOrder(*best->engine, now) || best->engine->nextLoad))
        return std::nullopt;
    return best;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::candidateFor(Engine& engine, const GatewayEngine& settings,
    const GatewayModel& model, bool mayUseStore, BusyEnginePolicy policy, MonotonicTime now,
    const std::optional<std::string>& softwareVersion)
{
    const bool isFree = mayOrder(engine, now) && !engine.nextLoad;
    const bool isWorthWaiting = policy == BusyEnginePolicy::WaitForCopy && engine.isVerified
        && sourceOf(engine, model.id) != WeightSource::Store;
    if (!isReachable(engine, now) || engine.models.contains(model.id) || (!isFree && !isWorthWaiting)
        || (softwareVersion && engine.record.softwareVersion != *softwareVersion))
        return std::nullopt;
    auto candidate = candidateOn(engine, model, settings, mayUseStore, now);
    if (candidate && !isFree)
        candidate->cost += secondsOf(timeUntilFree(engine, now));
    return candidate;
}

// Returns the models in demand, sorted by descending load.
std::vector<EnginePlacement::ServiceModel> EnginePlacement::modelsByLoad(MonotonicTime now)
{
    std::vector<const ModelSummaries::value_type*> inDemand;
    for (const auto& item : summaries(now)) {
        if (item.second.waiting > 0 || item.second.rate > 0)
            inDemand.push_back(&item);
    }
    std::stable_sort(inDemand.begin(), inDemand.end(), [](const auto* left, const auto* right) {
        return std::tuple(left->second.waiting + left->second.running, left->second.rate)
            > std::tuple(right->second.waiting + right->second.running, right->second.rate);
    });
    std::vector<ServiceModel> list;
    list.reserve(inDemand.size());
    for (const auto* item : inDemand)
        list.push_back(item->first);
    return list;
}

// Returns the engine without a copy of the model that would be disturbed least by loading it.
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

} // namespace Catkinwell
