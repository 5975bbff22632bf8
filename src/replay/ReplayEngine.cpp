#include <catkinwell/replay/ReplayEngine.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration reportLag = std::chrono::milliseconds(200);
    constexpr double unloadSeconds = 0.04;
    // The maximum number of prompt tokens that one step processes.
    constexpr double promptTokensPerStep = 2048;
    constexpr std::size_t maximumCachedParts = 32;

} // namespace

ReplayEngine::ReplayEngine(EndpointId id, DataCentreId dataCentre, const EngineShape& shape)
    : m_id(std::move(id))
    , m_dataCentre(std::move(dataCentre))
    , m_shape(shape)
{
}

void ReplayEngine::hold(const ModelId& model)
{
    m_models[model];
    m_onDisk.insert(model);
}

bool ReplayEngine::holds(const ModelVariant& variant) const
{
    const auto model = m_models.find(variant.model);
    return model != m_models.end() && (variant.adapter.empty() || model->second.contains(variant.adapter));
}

bool ReplayEngine::add(const EngineJob& job, MonotonicTime now)
{
    if (!holds(job.variant) || m_waiting.size() >= m_shape.queue)
        return false;
    if (m_running.empty())
        m_stepAt = std::max(m_stepAt, now);
    m_waiting.push_back(job);
    return true;
}

void ReplayEngine::cancel(const AttemptId& id)
{
    std::erase_if(m_waiting, [&id](const EngineJob& job) { return job.id == id; });
    m_running.remove_if([&id](const Running& running) { return running.job.id == id; });
}

unsigned ReplayEngine::usedTokens() const
{
    unsigned used = 0;
    for (const Running& running : m_running)
        used += running.job.sharedTokens + running.job.ownTokens + running.produced;
    return used;
}

unsigned ReplayEngine::runningOf(const ModelId& model) const
{
    return static_cast<unsigned>(std::count_if(m_running.begin(), m_running.end(),
        [&model](const Running& running) { return running.job.variant.model == model; }));
}

void ReplayEngine::begin(const EngineJob& job)
{
    Running running;
    running.job = job;
    const std::string part = job.variant.text() + "|" + job.sharedPart;
    const auto kept = std::find(m_cachedParts.begin(), m_cachedParts.end(), part);
    running.unreadTokens = job.ownTokens + (kept == m_cachedParts.end() ? job.sharedTokens : 0);
    if (kept != m_cachedParts.end())
        m_cachedParts.erase(kept);
    m_cachedParts.push_back(part);
    if (m_cachedParts.size() > maximumCachedParts)
        m_cachedParts.pop_front();
    m_running.push_back(std::move(running));
}

void ReplayEngine::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_shape.slots) {
        const EngineJob& next = m_waiting.front();
        if (usedTokens() + next.sharedTokens + next.ownTokens > m_shape.memoryTokens)
            return;
        begin(next);
        m_waiting.pop_front();
    }
}

// Preempts the most recently started requests until the token memory suffices; they start over from the queue.
void ReplayEngine::preemptIfFull()
{
    while (m_running.size() > 1 && usedTokens() > m_shape.memoryTokens) {
        m_waiting.push_front(m_running.back().job);
        m_running.pop_back();
        ++m_preemptions;
    }
}

void ReplayEngine::runStep(std::vector<JobEvent>& events)
{
    admitWaiting();
    double readTokens = 0;
    for (Running& running : m_running) {
        const double part = std::min(running.unreadTokens, promptTokensPerStep - readTokens);
        running.unreadTokens -= part;
        readTokens += part;
    }
    const Duration length = m_shape.step + m_shape.stepPerRequest * static_cast<std::int64_t>(m_running.size())
        + durationOfMilliseconds(readTokens / m_shape.promptTokensPerMillisecond);
    m_stepAt += length;
    m_runningSeconds += static_cast<double>(m_running.size()) * secondsOf(length);
    for (auto running = m_running.begin(); running != m_running.end();) {
        if (running->unreadTokens > 0) {
            ++running;
            continue;
        }
        ++running->produced;
        ++running->unsentTokens;
        const bool isFinished = running->produced >= running->job.outputTokens;
        if (isFinished || running->unsentTokens >= m_shape.tokensPerEvent || running->produced == 1) {
            events.push_back({ running->job.id, JobEvent::Kind::Output, m_stepAt });
            running->unsentTokens = 0;
        }
        if (isFinished) {
            events.push_back({ running->job.id, JobEvent::Kind::Finished, m_stepAt });
            running = m_running.erase(running);
        } else {
            ++running;
        }
    }
    preemptIfFull();
}

std::vector<JobEvent> ReplayEngine::advance(MonotonicTime now, unsigned storeLoads)
{
    advanceWork(now - std::max(m_workAt, now - std::chrono::seconds(1)), storeLoads);
    m_workAt = now;
    std::vector<JobEvent> events;
    while (m_stepAt < now && !(m_running.empty() && m_waiting.empty()))
        runStep(events);
    noteState(now);
    return events;
}

EngineOrderOutcome ReplayEngine::handle(const EngineOrder& order, MonotonicTime now)
{
    if (order.endpoint != m_id)
        return EngineOrderOutcome::Misdirected;
    const bool isAdapter = !order.adapter.empty();
    if (m_work || order.expectedOrderCount != m_orderCount)
        return EngineOrderOutcome::Conflict;
    const auto model = m_models.find(order.model);
    if (isAdapter && model == m_models.end())
        return EngineOrderOutcome::Rejected;
    const bool isPresent = isAdapter ? model->second.contains(order.adapter) : model != m_models.end();
    if (isPresent == (order.kind == EngineOrderKind::Load))
        return EngineOrderOutcome::AlreadyDone;
    ++m_orderCount;
    m_workAt = now;
    if (isAdapter) {
        std::size_t used = 0;
        for (const auto& [name, adapters] : m_models)
            used += adapters.size();
        m_overfills += order.kind == EngineOrderKind::Load && used >= m_shape.adapterSlots ? 1 : 0;
        complete(order);
        return EngineOrderOutcome::Accepted;
    }
    Work work { order, false, unloadSeconds };
    if (order.kind == EngineOrderKind::Load) {
        m_overfills += m_models.size() >= m_shape.residentModels ? 1 : 0;
        work.isFromStore = !m_onDisk.contains(order.model);
        work.secondsLeft = secondsOf(work.isFromStore ? m_shape.loadFromStore : m_shape.loadFromDisk);
        ++(work.isFromStore ? m_loadsFromStore : m_loadsFromDisk);
    }
    m_work = std::move(work);
    return EngineOrderOutcome::Accepted;
}

void ReplayEngine::advanceWork(Duration time, unsigned storeLoads)
{
    if (!m_work || time <= Duration::zero())
        return;
    const double share = m_work->isFromStore
        ? std::min(1.0, static_cast<double>(m_shape.storeConcurrency) / std::max(1U, storeLoads))
        : 1;
    m_work->secondsLeft -= secondsOf(time) * share;
    if (m_work->secondsLeft > 0)
        return;
    // An unload waits until no running request uses the model.
    if (m_work->order.kind == EngineOrderKind::Unload && runningOf(m_work->order.model) > 0)
        return;
    complete(m_work->order);
    m_work.reset();
    ++m_heartbeat;
}

void ReplayEngine::complete(const EngineOrder& order)
{
    const bool isLoad = order.kind == EngineOrderKind::Load;
    if (order.adapter.empty() && isLoad) {
        hold(order.model);
    } else if (order.adapter.empty()) {
        m_models.erase(order.model);
    } else if (isLoad) {
        m_models[order.model].insert(order.adapter);
    } else {
        m_models[order.model].erase(order.adapter);
    }
}

std::vector<JobEvent> ReplayEngine::leave(MonotonicTime now)
{
    std::vector<JobEvent> events;
    for (const Running& running : m_running)
        events.push_back({ running.job.id, JobEvent::Kind::Lost, now });
    for (const EngineJob& job : m_waiting)
        events.push_back({ job.id, JobEvent::Kind::Rejected, now });
    m_running.clear();
    m_waiting.clear();
    m_models.clear();
    m_cachedParts.clear();
    m_work.reset();
    m_orderCount = 0;
    m_heartbeat = 0;
    ++m_incarnation;
    m_states.clear();
    noteState(now);
    return events;
}

void ReplayEngine::noteState(MonotonicTime now)
{
    EngineStatus status;
    status.endpoint = m_id;
    status.incarnation = m_incarnation;
    status.orderCount = m_orderCount;
    status.isBusy = m_work.has_value();
    status.running = static_cast<unsigned>(m_running.size());
    status.waiting = static_cast<unsigned>(m_waiting.size());
    status.models = m_models;
    status.onDisk = m_onDisk;
    m_states.emplace_back(now, std::move(status));
    while (m_states.size() > 1 && m_states[1].first <= now - reportLag)
        m_states.pop_front();
}

EngineStatus ReplayEngine::status(MonotonicTime now) const
{
    EngineStatus status = m_states.front().second;
    status.requestedAt = now;
    return status;
}

EndpointRecord ReplayEngine::record() const
{
    EndpointRecord record;
    record.id = m_id;
    record.service = "notes";
    record.address = "127.0.0.1:9";
    record.dataCentre = m_dataCentre;
    record.slots = m_shape.slots;
    record.incarnation = m_incarnation;
    record.heartbeat = m_heartbeat;
    record.models = m_models;
    record.onDisk = m_onDisk;
    return record;
}

} // namespace Catkinwell
