#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>

// Endpoints of data centres under evacuation get nothing new, as those that leave; after it they return in steps.
namespace Catkinwell {

bool EndpointDirectory::isEvacuated(const EndpointId& id) const
{
    if (m_evacuated.isEmpty())
        return false;
    const auto found = m_entries.find(id);
    return found != m_entries.end() && m_evacuated.contains(found->second.record.dataCentre);
}

// Whether the endpoint is neither leaving nor gone.
bool EndpointDirectory::isInService(const Entry& entry, MonotonicTime now)
{
    return !entry.record.isLeaving && (entry.usableUntil == MonotonicTime() || now < entry.usableUntil);
}

bool EndpointDirectory::isPresent(const Entry& entry, MonotonicTime now) const
{
    return isInService(entry, now) && !m_evacuated.contains(entry.record.dataCentre);
}

bool EndpointDirectory::isAvailable(const Entry& entry, MonotonicTime now)
{
    const EndpointRecord& record = entry.record;
    if (!m_cold.isAvailable(record.id, now) || !m_limits.isAvailable(record.id, now))
        return false;
    if (const auto endedAt = m_evacuated.endedAt(record.dataCentre); endedAt)
        if (!m_return.isAvailable(record.id, *endedAt, now))
            return false;
    return !m_room.isBrittle(record.service, now) || m_room.hasRoom(record.service, record.id, useOf(entry, now), now);
}

std::vector<EndpointId> EndpointDirectory::endpointsIn(const DataCentreId& dataCentre) const
{
    std::vector<EndpointId> endpoints;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.dataCentre == dataCentre)
            endpoints.push_back(id);
    }
    return endpoints;
}

bool EndpointDirectory::isWhollyEvacuated(const std::string& service, MonotonicTime now) const
{
    if (m_evacuated.isEmpty())
        return false;
    bool isEvacuated = false;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isInService(entry, now))
            continue;
        if (!m_evacuated.contains(entry.record.dataCentre))
            return false;
        isEvacuated = true;
    }
    return isEvacuated;
}

void EndpointDirectory::reportEvacuatedServices(MonotonicTime now, EffectList& effects)
{
    if (m_evacuated.isEmpty() && m_evacuatedServices.empty())
        return;
    std::set<std::string> services;
    for (const auto& [id, entry] : m_entries) {
        if (m_evacuated.contains(entry.record.dataCentre) && !services.contains(entry.record.service)
            && isWhollyEvacuated(entry.record.service, now))
            services.insert(entry.record.service);
    }
    const auto log = [&effects](const std::string& service, const char* state) {
        effects.push_back(LogEntry { LogEvent::ServiceEvacuated, { { "service", service }, { "state", state } } });
    };
    for (const std::string& service : services) {
        if (!m_evacuatedServices.contains(service))
            log(service, "refused");
    }
    for (const std::string& service : m_evacuatedServices) {
        if (!services.contains(service))
            log(service, "served");
    }
    m_evacuatedServices = std::move(services);
}

} // namespace Catkinwell
