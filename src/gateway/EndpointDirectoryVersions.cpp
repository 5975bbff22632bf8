#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>

// The software versions of endpoints, and which of them a service had of late.
namespace Catkinwell {

namespace {

    // No caller takes up a stream later than this time after its version was last seen.
    constexpr Duration versionLifetime = std::chrono::seconds(120);
    constexpr Duration versionInterval = std::chrono::seconds(1);
    constexpr std::size_t maximumVersions = 64;

} // namespace

void EndpointDirectory::noteVersion(const EndpointRecord& record, MonotonicTime now)
{
    std::map<std::string, MonotonicTime>& versions = m_versionsSeen[record.service];
    if (versions.size() < maximumVersions || versions.contains(record.softwareVersion))
        versions[record.softwareVersion] = now;
}

bool EndpointDirectory::hasSeveralVersions(const std::string& service, MonotonicTime now) const
{
    if (!m_recordedServices || m_recordedServices->contains(service))
        return true;
    const auto seen = m_versionsSeen.find(service);
    return seen != m_versionsSeen.end()
        && std::count_if(seen->second.begin(), seen->second.end(),
               [now](const auto& version) { return now - version.second < versionLifetime; })
        > 1;
}

std::vector<std::string> EndpointDirectory::servicesWithSeveralVersions(MonotonicTime now) const
{
    std::vector<std::string> services;
    for (const auto& [service, versions] : m_versionsSeen) {
        if (versions.size() > 1 && hasSeveralVersions(service, now))
            services.push_back(service);
    }
    return services;
}

void EndpointDirectory::updateVersions(MonotonicTime now)
{
    if (now < m_nextVersionsAt)
        return;
    m_nextVersionsAt = now + versionInterval;
    for (const auto& [id, entry] : m_entries)
        noteVersion(entry.record, now);
    for (auto& [service, versions] : m_versionsSeen)
        std::erase_if(versions, [now](const auto& version) { return now - version.second >= versionLifetime; });
    std::erase_if(m_versionsSeen, [](const auto& service) { return service.second.empty(); });
}

bool EndpointDirectory::isVersionAccepted(const Entry& entry, const std::optional<std::string>& softwareVersion)
{
    return !softwareVersion || entry.record.softwareVersion == *softwareVersion;
}

bool EndpointDirectory::hasVersion(const EndpointNeed& need, MonotonicTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        const Entry& entry = item.second;
        return entry.record.service == need.service && isVersionAccepted(entry, need.softwareVersion)
            && isPresent(entry, now) && !need.excluded.contains(item.first);
    });
}

} // namespace Catkinwell
