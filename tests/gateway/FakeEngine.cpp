#include "gateway/FakeEngine.h"

namespace Catkinwell::Testing {

namespace {

    constexpr std::size_t modelCapacity = 2;
    constexpr std::size_t adapterCapacity = 2;
    constexpr Duration reportLag = std::chrono::milliseconds(200);
    constexpr Duration unloadTime = std::chrono::milliseconds(20);
    constexpr Duration adapterTime = std::chrono::milliseconds(15);

} // namespace

FakeEngine::FakeEngine(std::string id, LoadedModels models, EngineFaults faults, std::uint64_t seed)
    : m_id(std::move(id))
    , m_models(std::move(models))
    , m_faults(faults)
    , m_random(seed)
{
    for (const auto& [model, adapters] : m_models)
        m_onDisk.insert(model);
}

std::optional<EngineOrderOutcome> FakeEngine::handle(const EngineOrder& order, MonotonicTime now)
{
    const bool isLost = m_random.unit() < m_faults.lostAnswers;
    if (isLost && m_random.unit() < m_faults.lateOrders) {
        m_lateOrders.emplace_back(now + std::chrono::milliseconds(2000 + m_random.below(8000)), order);
        return std::nullopt;
    }
    const EngineOrderOutcome outcome = accept(order, now);
    return isLost ? std::nullopt : std::optional(outcome);
}

EngineOrderOutcome FakeEngine::accept(const EngineOrder& order, MonotonicTime now)
{
    if (order.endpoint != m_id)
        return EngineOrderOutcome::Misdirected;
    if (m_work || order.expectedOrderCount != m_orderCount)
        return EngineOrderOutcome::Conflict;
    const auto model = m_models.find(order.model);
    const bool isAdapter = !order.adapter.empty();
    if (isAdapter && model == m_models.end())
        return EngineOrderOutcome::Rejected;
    if (order.kind == EngineOrderKind::Unload) {
        ++m_orderCount;
        if (isAdapter)
            return unloadAdapter({ order.model, order.adapter }, now);
        m_work = Work { order, std::max(now + unloadTime, m_runningUntil[order.model]) };
        return EngineOrderOutcome::Accepted;
    }
    if (isAdapter && m_leavingAdapters.erase({ order.model, order.adapter }) > 0) {
        ++m_orderCount;
        return EngineOrderOutcome::Accepted;
    }
    if (isAdapter ? model->second.contains(order.adapter) : model != m_models.end())
        return EngineOrderOutcome::AlreadyDone;
    if (isOverfilledBy(order))
        m_violations.push_back(m_id.value + " was ordered to load more than its capacity");
    ++m_orderCount;
    if (isAdapter) {
        model->second.insert(order.adapter);
        return EngineOrderOutcome::Accepted;
    }
    const bool isFromStore = !m_onDisk.contains(order.model);
    m_storeLoads += isFromStore ? 1 : 0;
    m_work = Work { order, now + (isFromStore ? std::chrono::milliseconds(6000) : std::chrono::milliseconds(1600)) };
    return EngineOrderOutcome::Accepted;
}

EngineOrderOutcome FakeEngine::unloadAdapter(const ModelVariant& adapter, MonotonicTime now)
{
    const auto used = m_adapterUsedUntil.find(adapter);
    if (used != m_adapterUsedUntil.end() && now < used->second && m_models[adapter.model].contains(adapter.adapter)) {
        m_leavingAdapters.insert(adapter);
        return EngineOrderOutcome::Accepted;
    }
    m_models[adapter.model].erase(adapter.adapter);
    return EngineOrderOutcome::AlreadyDone;
}

std::size_t FakeEngine::adapterCount() const
{
    std::size_t count = 0;
    for (const auto& [model, adapters] : m_models)
        count += adapters.size();
    return count;
}

bool FakeEngine::isOverfilledBy(const EngineOrder& order) const
{
    const bool isAdapter = !order.adapter.empty();
    if (!m_sizes)
        return isAdapter ? adapterCount() >= adapterCapacity : m_models.size() >= modelCapacity;
    const GatewayModel& ordered = m_sizes->models.at(order.model);
    double needed = isAdapter ? ordered.adapterMb : ordered.memoryMb;
    for (const auto& [id, adapters] : m_models) {
        const GatewayModel& model = m_sizes->models.at(id);
        needed += model.memoryMb + model.adapterMb * static_cast<double>(adapters.size());
    }
    return needed > m_sizes->memoryMb || (isAdapter && adapterCount() >= m_sizes->adapterPlaces);
}

void FakeEngine::complete(const EngineOrder& order)
{
    if (order.kind == EngineOrderKind::Unload) {
        m_models.erase(order.model);
        std::erase_if(
            m_leavingAdapters, [&order](const ModelVariant& adapter) { return adapter.model == order.model; });
        return;
    }
    m_models[order.model];
    m_onDisk.insert(order.model);
}

void FakeEngine::advance(MonotonicTime now)
{
    if (m_work && now >= m_work->endsAt) {
        complete(m_work->order);
        m_work.reset();
        ++m_heartbeat;
    }
    std::erase_if(m_leavingAdapters, [&](const ModelVariant& adapter) {
        if (now < m_adapterUsedUntil[adapter])
            return false;
        m_models[adapter.model].erase(adapter.adapter);
        return true;
    });
    for (std::size_t i = 0; i < m_lateOrders.size();) {
        if (now < m_lateOrders[i].first) {
            ++i;
            continue;
        }
        const EngineOrder order = m_lateOrders[i].second;
        m_lateOrders.erase(m_lateOrders.begin() + static_cast<std::ptrdiff_t>(i));
        accept(order, now);
    }
    snapshot(now);
}

void FakeEngine::snapshot(MonotonicTime now)
{
    EngineStatus status;
    status.endpoint = m_id;
    status.incarnation = m_incarnation;
    status.orderCount = m_orderCount;
    status.isBusy = m_work.has_value();
    status.models = m_models;
    status.onDisk = m_onDisk;
    m_snapshots.push_back({ now, status });
    while (m_snapshots.size() > 1 && m_snapshots[1].at <= now - reportLag)
        m_snapshots.pop_front();
}

EngineStatus FakeEngine::status(MonotonicTime now) const
{
    EngineStatus status = m_snapshots.front().status;
    status.requestedAt = now;
    return status;
}

EndpointRecord FakeEngine::record() const
{
    EndpointRecord record;
    record.id = m_id;
    record.service = "notes";
    record.address = "127.0.0.1:9";
    record.slots = 4;
    record.incarnation = m_incarnation;
    record.heartbeat = m_heartbeat;
    record.models = m_models;
    record.onDisk = m_onDisk;
    record.softwareVersion = m_version;
    return record;
}

void FakeEngine::restart(MonotonicTime now)
{
    ++m_incarnation;
    m_orderCount = 0;
    m_heartbeat = 0;
    m_models.clear();
    m_leavingAdapters.clear();
    m_work.reset();
    m_snapshots.clear();
    snapshot(now);
}

void FakeEngine::restartAs(const std::string& id, MonotonicTime now)
{
    m_id = EndpointId(id);
    restart(now);
}

} // namespace Catkinwell::Testing
