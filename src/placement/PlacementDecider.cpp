#include "placement/PlacementDecider.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Makes command identifiers unique within a data centre: the upper half is the
    // owner's fencing token, the lower half its command counter.
    constexpr unsigned tokenShift = 32;
    // Surplus replicas are kept this long, so that a short drop in demand does not unload them.
    constexpr Duration surplusKeepTime = std::chrono::seconds(60);
    constexpr Duration firstModelBackoff = std::chrono::milliseconds(200);
    constexpr Duration firstReplicaBackoff = std::chrono::seconds(1);
    constexpr std::uint32_t maximumBackoffSteps = 6;
    // Time after the end of a replica's backoff until its failure count is reset.
    constexpr Duration failureResetDelay = std::chrono::minutes(2);
    // Prefer endpoints that have the checkpoint in a faster cache tier; in seconds of load time.
    constexpr double remotePenalty = 1.0;
    constexpr double diskPenalty = 0.3;

    LogEntry decisionEntry(LogEvent event, const EndpointId& endpoint, const ModelId& model, std::string reason)
    {
        return { event, { { "endpoint", endpoint.value }, { "model", model.value }, { "reason", std::move(reason) } } };
    }

    double tierPenalty(const EngineTracker::Engine& engine, const ModelId& model)
    {
        if (!engine.report)
            return remotePenalty;
        for (const CachedCheckpoint& cached : engine.report->cachedCheckpoints) {
            if (cached.model == model)
                return cached.tier == CacheTier::Memory ? 0
                    : cached.tier == CacheTier::Disk    ? diskPenalty
                                                        : remotePenalty;
        }
        return remotePenalty;
    }

} // namespace

PlacementDecider::PlacementDecider(PlanRecorder& recorder, EngineTracker& engineTracker, const DemandTable& demand,
    const IdlePolicy& policy, LoadSlots& weights, LoadSlots& adapters)
    : m_recorder(recorder)
    , m_engineTracker(engineTracker)
    , m_demand(demand)
    , m_policy(policy)
    , m_weightSlots(weights)
    , m_adapterSlots(adapters)
{
}

void PlacementDecider::start(MonotonicTime now)
{
    m_startedAt = now;
    m_lastCommand = 0;
    m_changed.clear();
    m_evicting.clear();
    m_replicaBackoff.clear();
    m_modelBackoff.clear();
    m_lastNeeded.clear();
}

CommandId PlacementDecider::nextCommand() { return CommandId((m_recorder.token() << tokenShift) | ++m_lastCommand); }

const ModelSettings* PlacementDecider::settingsOf(const ModelId& model) const
{
    const auto found = m_configuration->models.find(model);
    return found == m_configuration->models.end() ? nullptr : &found->second;
}

LoadSlots& PlacementDecider::slotsOf(const ModelId& model)
{
    const ModelSettings* settings = settingsOf(model);
    return settings != nullptr && settings->baseModel ? m_adapterSlots : m_weightSlots;
}

void PlacementDecider::noteCommandResult(const CommandResult& result, MonotonicTime now)
{
    markChanged(result.model);
    if (result.isFinal) {
        m_weightSlots.release(result.command, now);
        m_adapterSlots.release(result.command, now);
    }
    const ReplicaKey key(result.endpoint, result.model);
    if (result.succeeded) {
        m_replicaBackoff.erase(key);
        m_modelBackoff.erase(result.model);
        if (result.action == PlacementAction::Unload)
            m_evicting.erase(key);
        return;
    }
    if (result.wasReported)
        return;
    const auto extend = [now](Backoff& backoff, Duration first) {
        backoff.until = now + first * (1U << backoff.failures);
        backoff.failures = std::min(backoff.failures + 1, maximumBackoffSteps);
    };
    extend(m_replicaBackoff[key], firstReplicaBackoff);
    if (result.action == PlacementAction::Load)
        extend(m_modelBackoff[result.model], firstModelBackoff);
}

bool PlacementDecider::isBackedOff(const ReplicaKey& key, MonotonicTime now) const
{
    const auto found = m_replicaBackoff.find(key);
    return found != m_replicaBackoff.end() && now < found->second.until;
}

PlacementDecider::Index PlacementDecider::indexByModel() const
{
    Index index;
    for (const auto& [endpoint, row] : m_recorder.working().replicas) {
        for (const auto& [model, replica] : row)
            index[model].emplace_back(endpoint, model);
    }
    return index;
}

void PlacementDecider::decideAll(MonotonicTime now, EffectList& effects)
{
    std::erase_if(m_evicting,
        [this](const ReplicaKey& key) { return m_recorder.working().find(key.first, key.second) == nullptr; });
    std::erase_if(m_replicaBackoff, [now](const auto& entry) { return now > entry.second.until + failureResetDelay; });
    const Index index = indexByModel();
    static const std::vector<ReplicaKey> none;
    for (const auto& [id, model] : m_configuration->models) {
        const auto replicas = index.find(id);
        decideModel(model, replicas == index.end() ? none : replicas->second, now, effects);
    }
    for (const auto& [model, replicas] : index) {
        if (settingsOf(model) == nullptr)
            m_evicting.insert(replicas.begin(), replicas.end());
    }
    m_changed.clear();
    advanceEvictions(now);
    advancePlanned(now);
}

void PlacementDecider::decideChanged(MonotonicTime now, EffectList& effects)
{
    for (const ModelId& model : std::exchange(m_changed, {})) {
        const ModelSettings* settings = settingsOf(model);
        if (settings == nullptr)
            continue;
        std::vector<ReplicaKey> replicas;
        for (const auto& [endpoint, row] : m_recorder.working().replicas) {
            if (row.contains(model))
                replicas.emplace_back(endpoint, model);
        }
        decideModel(*settings, replicas, now, effects);
    }
    advanceEvictions(now);
    advancePlanned(now);
}

// Whether the replica counts towards the model's desired replicas. While requests wait, replicas that cannot serve
// them soon do not count.
bool PlacementDecider::countsAsPresent(const ReplicaKey& key, bool isWaiting, MonotonicTime now) const
{
    const PlannedReplica* replica = m_recorder.working().find(key.first, key.second);
    if (replica == nullptr || replica->state == PlannedState::Unloading || m_evicting.contains(key))
        return false;
    const auto engine = m_engineTracker.engines().find(key.first);
    if (engine == m_engineTracker.engines().end() || engine->second.leaving || engine->second.dead)
        return false;
    if (!isWaiting)
        return true;
    const auto command = m_engineTracker.commands().find(replica->command);
    const bool isOutcomeUnknown = command != m_engineTracker.commands().end() && command->second.settleAfter;
    return !isOutcomeUnknown && (!engine->second.ready || m_engineTracker.isUsable(key.first, now));
}

std::uint32_t PlacementDecider::desiredReplicas(
    const ModelSettings& model, const ModelDemand& demand, const std::vector<ReplicaKey>& replicas, MonotonicTime now)
{
    const std::size_t present = replicas.size();
    auto lastUse = demand.lastUse;
    // A new owner does not know when inherited models were last used, so their idle time starts with the takeover.
    // A replica adopted from a report has no command; it is unloaded unless there is demand for it.
    const bool isInherited = std::any_of(replicas.begin(), replicas.end(),
        [this](const ReplicaKey& key) { return m_recorder.working().find(key.first, key.second)->command.value != 0; });
    if (!lastUse && isInherited)
        lastUse = m_startedAt;
    const bool shouldLoad = demand.isActive() || m_policy.shouldBeLoaded(model.id, lastUse, now);
    std::uint32_t desired = std::max<std::uint32_t>(model.minimumReplicas, shouldLoad ? 1 : 0);
    if (!demand.isActive())
        return desired;
    std::uint32_t capacity = 1;
    for (const auto& [id, engine] : m_engineTracker.engines()) {
        if (engine.settings.pool == model.pool)
            capacity = std::max(capacity, engine.settings.capacity);
    }
    const std::uint32_t needed = (demand.waiting + demand.running + capacity - 1) / capacity;
    if (needed >= present)
        m_lastNeeded[model.id] = now;
    // Only waiting requests add replicas; running ones do not.
    const auto limit = demand.waiting > 0 ? needed : std::min<std::uint32_t>(needed, std::max<std::size_t>(present, 1));
    desired = std::clamp(limit, desired, std::max(desired, model.maximumReplicas));
    const auto held = m_lastNeeded.find(model.id);
    if (held != m_lastNeeded.end() && now - held->second < surplusKeepTime)
        desired = std::max<std::uint32_t>(desired, std::min<std::size_t>(present, model.maximumReplicas));
    return desired;
}

void PlacementDecider::decideModel(
    const ModelSettings& model, const std::vector<ReplicaKey>& replicas, MonotonicTime now, EffectList& effects)
{
    const ModelDemand demand = m_demand.demandOf(model.id, now);
    std::vector<ReplicaKey> present;
    for (const ReplicaKey& key : replicas) {
        // Cancels the eviction if demand returned before the unload was recorded and the memory is not needed
        // otherwise.
        const PlannedReplica* replica = m_recorder.working().find(key.first, key.second);
        if (demand.isActive() && replica->state == PlannedState::Loaded && m_evicting.contains(key)
            && projectedBytes(key.first) + replica->memoryBytes <= m_engineTracker.memoryBytes(key.first))
            m_evicting.erase(key);
        if (countsAsPresent(key, demand.waiting > 0, now))
            present.push_back(key);
    }
    const std::uint32_t desired = desiredReplicas(model, demand, present, now);
    if (present.size() > desired) {
        const std::size_t surplus = present.size() - desired;
        dropSurplus(model, std::move(present), surplus, now, effects);
        return;
    }
    const auto backoff = m_modelBackoff.find(model.id);
    if (m_recorder.isTooLarge() || (backoff != m_modelBackoff.end() && now < backoff->second.until))
        return;
    for (std::size_t count = present.size(); count < desired; ++count)
        planLoad(model, demand.waiting > 0, now, effects);
}

void PlacementDecider::dropSurplus(const ModelSettings& model, std::vector<ReplicaKey> present, std::size_t surplus,
    MonotonicTime now, EffectList& effects)
{
    // Loads that were not sent yet are dropped first, then replicas on the endpoints that use most memory.
    std::sort(present.begin(), present.end(), [this](const ReplicaKey& left, const ReplicaKey& right) {
        const bool leftOccupies = m_recorder.working().find(left.first, left.second)->occupiesMemory();
        const bool rightOccupies = m_recorder.working().find(right.first, right.second)->occupiesMemory();
        if (leftOccupies != rightOccupies)
            return !leftOccupies;
        return m_engineTracker.usedBytes(left.first) > m_engineTracker.usedBytes(right.first);
    });
    for (const ReplicaKey& key : present) {
        if (surplus == 0)
            return;
        // A base model is kept while an adapter needs it.
        if (!model.baseModel && hasAdapters(key))
            continue;
        const PlannedReplica* replica = m_recorder.working().find(key.first, key.second);
        --surplus;
        if (replica->state == PlannedState::Planned)
            abandonPlanned(key, now);
        else if (replica->state == PlannedState::Loaded && m_evicting.insert(key).second)
            effects.push_back(decisionEntry(LogEvent::UnloadDecided, key.first, key.second, "idle"));
    }
}

void PlacementDecider::abandonPlanned(const ReplicaKey& key, MonotonicTime now)
{
    const PlannedReplica* replica = m_recorder.working().find(key.first, key.second);
    slotsOf(key.second).release(replica->command, now);
    m_recorder.working().erase(key.first, key.second);
}

bool PlacementDecider::hasAdapters(const ReplicaKey& key) const
{
    const auto row = m_recorder.working().replicas.find(key.first);
    if (row == m_recorder.working().replicas.end())
        return false;
    return std::any_of(row->second.begin(), row->second.end(), [&](const auto& cell) {
        const ModelSettings* settings = settingsOf(cell.first);
        return settings != nullptr && settings->baseModel == key.second;
    });
}

// The memory that the endpoint uses once all decisions have been carried out.
std::uint64_t PlacementDecider::projectedBytes(const EndpointId& endpoint) const
{
    std::uint64_t projected = m_engineTracker.usedBytes(endpoint);
    const auto row = m_recorder.working().replicas.find(endpoint);
    if (row == m_recorder.working().replicas.end())
        return projected;
    for (const auto& [model, replica] : row->second) {
        if (replica.state == PlannedState::Planned)
            projected += replica.memoryBytes;
        else if (replica.state == PlannedState::Unloading || m_evicting.contains({ endpoint, model }))
            projected -= replica.memoryBytes;
    }
    return projected;
}

void PlacementDecider::planLoad(const ModelSettings& model, bool mayEvict, MonotonicTime now, EffectList& effects)
{
    std::optional<Candidate> best;
    for (const auto& [id, engine] : m_engineTracker.engines()) {
        if (engine.settings.pool != model.pool || !m_engineTracker.isUsable(id, now))
            continue;
        auto candidate = evaluate(engine.settings, model, mayEvict, now);
        if (candidate && (!best || candidate->score < best->score))
            best = std::move(candidate);
    }
    if (!best)
        return;
    for (const ReplicaKey& victim : best->victims) {
        if (m_evicting.insert(victim).second)
            effects.push_back(decisionEntry(
                LogEvent::UnloadDecided, victim.first, victim.second, "its memory is needed for " + model.id.value));
    }
    const auto plan = [&](const ModelSettings& settings) {
        m_recorder.working().put(
            { best->endpoint, settings.id, PlannedState::Planned, nextCommand(), settings.memoryBytes });
    };
    if (model.baseModel && m_recorder.working().find(best->endpoint, *model.baseModel) == nullptr)
        plan(*settingsOf(*model.baseModel));
    plan(model);
    effects.push_back(
        decisionEntry(LogEvent::LoadDecided, best->endpoint, model.id, "score " + std::to_string(best->score)));
}

std::optional<PlacementDecider::Candidate> PlacementDecider::evaluate(
    const EndpointSettings& endpoint, const ModelSettings& model, bool mayEvict, MonotonicTime now) const
{
    const PlacementPlan& plan = m_recorder.working();
    if (plan.find(endpoint.id, model.id) != nullptr || isBackedOff({ endpoint.id, model.id }, now))
        return std::nullopt;
    Candidate candidate { endpoint.id, 0, {} };
    std::uint64_t needed = model.memoryBytes;
    if (model.baseModel) {
        const ModelSettings* base = settingsOf(*model.baseModel);
        const PlannedReplica* loaded = plan.find(endpoint.id, *model.baseModel);
        const ReplicaKey baseKey(endpoint.id, *model.baseModel);
        if (base == nullptr || m_evicting.contains(baseKey) || isBackedOff(baseKey, now)
            || (loaded != nullptr && loaded->state == PlannedState::Unloading))
            return std::nullopt;
        if (loaded == nullptr) {
            needed += base->memoryBytes;
            candidate.score += std::chrono::duration<double>(base->expectedLoadTime).count();
        }
    }
    const std::uint64_t projected = projectedBytes(endpoint.id);
    if (projected + needed > endpoint.memoryBytes) {
        const std::uint64_t missing = projected + needed - endpoint.memoryBytes;
        if (!mayEvict || !chooseVictims(endpoint.id, model, missing, now, candidate))
            return std::nullopt;
    }
    candidate.score += tierPenalty(m_engineTracker.engines().at(endpoint.id), model.id);
    // Breaks ties in favour of the endpoint with the most free memory.
    if (endpoint.memoryBytes > 0)
        candidate.score += 0.1 * static_cast<double>(projected) / static_cast<double>(endpoint.memoryBytes);
    return candidate;
}

bool PlacementDecider::chooseVictims(const EndpointId& endpoint, const ModelSettings& incoming, std::uint64_t needed,
    MonotonicTime now, Candidate& candidate) const
{
    struct Victim {
        double cost = 0;
        std::uint64_t bytes = 0;
        std::vector<ReplicaKey> replicas;
    };
    const auto row = m_recorder.working().replicas.find(endpoint);
    if (row == m_recorder.working().replicas.end())
        return false;
    const auto isIdle = [&](const ModelId& model, const PlannedReplica& replica) {
        return replica.state == PlannedState::Loaded && !m_evicting.contains({ endpoint, model })
            && !m_demand.demandOf(model, now).isActive();
    };
    std::vector<Victim> victims;
    for (const auto& [model, replica] : row->second) {
        if (!isIdle(model, replica) || model == incoming.baseModel || isBackedOff({ endpoint, model }, now))
            continue;
        const ModelSettings* settings = settingsOf(model);
        // An evicted model with a minimum number of replicas would be loaded again immediately.
        if (settings != nullptr && settings->minimumReplicas > 0)
            continue;
        Victim victim { m_policy.evictionCost(model, now), replica.memoryBytes, { { endpoint, model } } };
        bool isWhollyIdle = true;
        // Evicting a base model also evicts its adapters.
        for (const auto& [other, adapter] : row->second) {
            const ModelSettings* adapterSettings = settingsOf(other);
            if (adapterSettings == nullptr || adapterSettings->baseModel != model
                || m_evicting.contains({ endpoint, other }))
                continue;
            isWhollyIdle = isWhollyIdle && isIdle(other, adapter);
            victim.cost += m_policy.evictionCost(other, now);
            victim.bytes += adapter.memoryBytes;
            victim.replicas.emplace_back(endpoint, other);
        }
        if (isWhollyIdle)
            victims.push_back(std::move(victim));
    }
    std::sort(
        victims.begin(), victims.end(), [](const Victim& left, const Victim& right) { return left.cost < right.cost; });
    std::uint64_t freed = 0;
    std::set<ReplicaKey> chosen;
    for (const Victim& victim : victims) {
        if (freed >= needed)
            break;
        candidate.score += 1 + victim.cost;
        for (const ReplicaKey& key : victim.replicas) {
            if (chosen.insert(key).second)
                freed += row->second.at(key.second).memoryBytes;
        }
    }
    candidate.victims.assign(chosen.begin(), chosen.end());
    return freed >= needed;
}

void PlacementDecider::advanceEvictions(MonotonicTime now)
{
    for (const ReplicaKey& key : m_evicting) {
        PlannedReplica* replica = m_recorder.working().find(key.first, key.second);
        if (replica == nullptr || replica->state != PlannedState::Loaded)
            continue;
        // A late duplicate of the load command must not arrive after the unload.
        const bool isBlocked
            = !m_engineTracker.isPastArrivalDelay(*replica, now) || hasAdapters(key) || isBackedOff(key, now);
        const auto engine = m_engineTracker.engines().find(key.first);
        if (!isBlocked && engine != m_engineTracker.engines().end() && engine->second.ready && !engine->second.dead)
            m_engineTracker.recordUnload(*replica, nextCommand(), now);
    }
}

void PlacementDecider::advancePlanned(MonotonicTime now)
{
    std::vector<ReplicaKey> planned;
    for (const auto& [endpoint, row] : m_recorder.working().replicas) {
        for (const auto& [model, replica] : row) {
            if (replica.state == PlannedState::Planned)
                planned.emplace_back(endpoint, model);
        }
    }
    for (const ReplicaKey& key : planned) {
        if (PlannedReplica* replica = m_recorder.working().find(key.first, key.second))
            advancePlannedReplica(*replica, now);
    }
}

void PlacementDecider::advancePlannedReplica(PlannedReplica& replica, MonotonicTime now)
{
    const ReplicaKey key(replica.endpoint, replica.model);
    const ModelSettings* settings = settingsOf(replica.model);
    LoadSlots& slots = slotsOf(replica.model);
    if (settings == nullptr || !m_engineTracker.isUsable(replica.endpoint, now) || isBackedOff(key, now)) {
        abandonPlanned(key, now);
        return;
    }
    bool isRunnable = m_engineTracker.usedBytes(replica.endpoint) + replica.memoryBytes
        <= m_engineTracker.memoryBytes(replica.endpoint);
    if (settings->baseModel) {
        const PlannedReplica* base = m_recorder.working().find(replica.endpoint, *settings->baseModel);
        if (base == nullptr) {
            // The load of the base model failed. The adapter is planned again, on another endpoint if possible.
            abandonPlanned(key, now);
            return;
        }
        isRunnable = isRunnable && base->state == PlannedState::Loaded
            && !m_evicting.contains({ replica.endpoint, *settings->baseModel });
    }
    if (isRunnable && slots.isHeld(replica.command)) {
        m_engineTracker.recordLoad(replica, now);
    } else if (isRunnable) {
        slots.request(replica.command, replica.endpoint);
    } else if (slots.isHeld(replica.command)) {
        // Releases the slot while the load cannot run.
        slots.release(replica.command, now);
        replica.command = nextCommand();
    }
}

} // namespace Catkinwell
