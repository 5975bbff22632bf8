#include "EndpointSuspicions.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration noteLifetime = std::chrono::seconds(10);
    constexpr std::size_t maximumEndpoints = 1000;
    constexpr std::size_t maximumObservers = 8;

} // namespace

void EndpointSuspicions::note(const EndpointId& endpoint, const HostId& observer, MonotonicTime now)
{
    if (m_notes.size() >= maximumEndpoints && m_notes.count(endpoint) == 0)
        return;
    auto& observers = m_notes[endpoint];
    if (observers.size() < maximumObservers || observers.count(observer) != 0)
        observers[observer] = now;
}

std::size_t EndpointSuspicions::observersOf(const EndpointId& endpoint, MonotonicTime now) const
{
    const auto found = m_notes.find(endpoint);
    if (found == m_notes.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
        [&](const auto& note) { return now - note.second <= noteLifetime; }));
}

std::vector<EndpointId> EndpointSuspicions::notedBy(
    const HostId& observer, MonotonicTime now, const EndpointId& after, std::size_t count) const
{
    std::vector<EndpointId> endpoints;
    auto position = m_notes.upper_bound(after);
    for (std::size_t step = 0; step < m_notes.size() && endpoints.size() < count; ++step) {
        if (position == m_notes.end())
            position = m_notes.begin();
        const auto note = position->second.find(observer);
        if (note != position->second.end() && now - note->second <= noteLifetime)
            endpoints.push_back(position->first);
        ++position;
    }
    return endpoints;
}

void EndpointSuspicions::forgetOld(MonotonicTime now)
{
    for (auto& [endpoint, observers] : m_notes)
        std::erase_if(observers, [&](const auto& note) { return now - note.second > noteLifetime; });
    std::erase_if(m_notes, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace Catkinwell
