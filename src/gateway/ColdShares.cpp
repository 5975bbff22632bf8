#include <catkinwell/gateway/ColdShares.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    // Within this time every host in contact has read a changed list of hosts.
    constexpr Duration settlingTime = std::chrono::seconds(3);
    // Lists arrive at most every 100 ms, so that these cover the settling time.
    constexpr std::size_t maximumViews = 32;
    // A host that is out of contact for longer is expected to have ended.
    constexpr Duration missingLifetime = std::chrono::minutes(10);
    constexpr std::size_t maximumMissing = 256;

    // The finalizer of splitmix64: every bit of the input changes about half of the bits of the result.
    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

} // namespace

ColdShares::ColdShares(HostId self)
    : m_self(std::move(self))
    , m_selfHash(stableHash(m_self.value))
{
}

void ColdShares::setHosts(const std::set<HostId>& registered, const std::set<HostId>& stopped, MonotonicTime now)
{
    for (const HostId& host : m_registered) {
        if (!registered.contains(host) && m_missing.size() < maximumMissing)
            m_missing.try_emplace(host, now + missingLifetime);
    }
    std::erase_if(m_missing, [&](const auto& missing) {
        return now >= missing.second || registered.contains(missing.first) || stopped.contains(missing.first);
    });
    m_registered = registered;
    std::set<std::uint64_t> others;
    for (const HostId& host : registered)
        others.insert(stableHash(host.value));
    for (const auto& [host, until] : m_missing)
        others.insert(stableHash(host.value));
    others.erase(m_selfHash);
    // A list that was replaced before the settling time counts no longer.
    while (m_views.size() > 1 && now - m_views[1].since >= settlingTime)
        m_views.pop_front();
    std::vector<std::uint64_t> list(others.begin(), others.end());
    if (!m_views.empty() && m_views.back().otherHosts == list)
        return;
    if (m_views.size() >= maximumViews)
        m_views.pop_front();
    m_views.push_back({ std::move(list), now });
}

unsigned ColdShares::partIn(const View& view, const EndpointId& endpoint, unsigned number) const
{
    const std::uint64_t endpointHash = stableHash(endpoint.value);
    const std::uint64_t own = mix(m_selfHash ^ endpointHash);
    const auto rank = static_cast<std::size_t>(std::count_if(view.otherHosts.begin(), view.otherHosts.end(),
        [&](std::uint64_t host) { return mix(host ^ endpointHash) > own; }));
    const std::size_t sharers = std::min<std::size_t>(view.otherHosts.size() + 1, number);
    if (rank >= sharers)
        return 0;
    return static_cast<unsigned>(number / sharers + (rank < number % sharers ? 1 : 0));
}

unsigned ColdShares::partOf(const EndpointId& endpoint, unsigned number, MonotonicTime now) const
{
    // At its start a host does not know the lists that other hosts go by.
    if (m_views.empty() || number == 0 || now - m_views.front().since < settlingTime)
        return 0;
    unsigned part = partIn(m_views.back(), endpoint, number);
    for (std::size_t i = 0; i + 1 < m_views.size() && part > 0; ++i) {
        if (now - m_views[i + 1].since < settlingTime)
            part = std::min(part, partIn(m_views[i], endpoint, number));
    }
    return part;
}

Duration ColdShares::timeUntilPart(const EndpointId& endpoint, unsigned number, MonotonicTime now) const
{
    if (m_views.empty() || partIn(m_views.back(), endpoint, std::max(1U, number)) == 0 || number == 0)
        return Duration::max();
    MonotonicTime at = m_views.front().since + settlingTime;
    for (std::size_t i = 0; i + 1 < m_views.size(); ++i) {
        if (partIn(m_views[i], endpoint, number) == 0)
            at = std::max(at, m_views[i + 1].since + settlingTime);
    }
    return std::max(Duration::zero(), Duration(at - now));
}

} // namespace Catkinwell
