#include "placement/DemandTable.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Three times the forwarding interval, so that a lost message does not expire the demand.
    constexpr Duration demandLifetime = std::chrono::seconds(6);
    constexpr Duration forwardInterval = std::chrono::seconds(2);
    constexpr Duration coldForwardInterval = std::chrono::milliseconds(334);

} // namespace

void DemandTable::configure(const FleetConfiguration& effective)
{
    m_baseModels.clear();
    for (const auto& [id, model] : effective.models)
        m_baseModels.emplace(id, model.baseModel);
    std::erase_if(m_models, [&](const auto& entry) { return !effective.models.contains(entry.first); });
}

void DemandTable::note(const HostId& from, const ModelWanted& wanted, MonotonicTime now)
{
    const auto model = m_baseModels.find(wanted.model);
    if (model == m_baseModels.end())
        return;
    Entry& entry = m_models[wanted.model];
    std::erase_if(entry.hosts, [&](const auto& host) { return now - host.second.at > demandLifetime; });
    const bool isUsed = wanted.waiting + wanted.running + wanted.arrivalsSinceLast > 0;
    if (wanted.waiting + wanted.running > 0)
        entry.hosts[from] = { wanted.waiting, wanted.running, now };
    else
        entry.hosts.erase(from);
    if (!isUsed)
        return;
    entry.lastUse = now;
    m_policy.noteArrivals(wanted.model, wanted.arrivalsSinceLast, now);
    // A request for an adapter is also a use of its base model.
    if (model->second && m_baseModels.contains(*model->second)) {
        m_models[*model->second].lastUse = now;
        m_policy.noteArrivals(*model->second, wanted.arrivalsSinceLast, now);
    }
}

ModelDemand DemandTable::demandOf(const ModelId& model, MonotonicTime now) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end())
        return {};
    ModelDemand demand;
    demand.lastUse = found->second.lastUse;
    for (const auto& [host, figures] : found->second.hosts) {
        if (now - figures.at > demandLifetime)
            continue;
        demand.waiting += figures.waiting;
        demand.running += figures.running;
    }
    return demand;
}

void DemandForwarder::note(const ModelId& model, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals)
{
    ModelWanted& wanted = m_entries[model].wanted;
    wanted.model = model;
    wanted.waiting = waiting;
    wanted.running = running;
    wanted.arrivalsSinceLast += arrivals;
}

void DemandForwarder::retain(const std::function<bool(const ModelId&)>& isKnown)
{
    std::erase_if(m_entries, [&](const auto& entry) { return !isKnown(entry.first); });
}

void DemandForwarder::resendAll()
{
    for (auto& [model, entry] : m_entries) {
        entry.sentAt.reset();
        entry.waitingSent = 0;
    }
}

std::vector<ModelWanted> DemandForwarder::takeDue(
    const std::function<bool(const ModelId&)>& isLoaded, MonotonicTime now)
{
    std::vector<ModelWanted> due;
    for (auto& [model, entry] : m_entries) {
        ModelWanted& wanted = entry.wanted;
        const bool isZero = wanted.waiting + wanted.running + wanted.arrivalsSinceLast == 0;
        if (isZero && entry.zeroSent)
            continue;
        const bool isNewlyWaiting = wanted.waiting > 0 && entry.waitingSent == 0 && !isLoaded(model);
        const Duration interval = isNewlyWaiting ? coldForwardInterval : forwardInterval;
        if (entry.sentAt && now - *entry.sentAt < interval)
            continue;
        due.push_back(wanted);
        entry.sentAt = now;
        entry.waitingSent = wanted.waiting;
        entry.zeroSent = isZero;
        wanted.arrivalsSinceLast = 0;
    }
    return due;
}

std::vector<ModelWanted> DemandForwarder::current() const
{
    std::vector<ModelWanted> result;
    for (const auto& [model, entry] : m_entries) {
        if (entry.wanted.waiting + entry.wanted.running > 0)
            result.push_back(entry.wanted);
    }
    return result;
}

} // namespace Catkinwell
