#include <catkinwell/gateway/ConfigurationExchange.h>

namespace Catkinwell {

void ConfigurationExchange::noteStated(const HostId& host, std::uint64_t version, MonotonicTime now)
{
    if (version <= m_inForce)
        return;
    m_ahead[host] = version;
    if (version <= m_newest)
        return;
    m_newest = version;
    m_newestAt = now;
}

void ConfigurationExchange::noteInForce(std::uint64_t version)
{
    m_inForce = version;
    std::erase_if(m_ahead, [version](const auto& host) { return host.second <= version; });
}

void ConfigurationExchange::removeHost(const HostId& host) { m_ahead.erase(host); }

std::optional<Duration> ConfigurationExchange::behindFor(MonotonicTime now) const
{
    return m_newest > m_inForce ? std::optional(now - m_newestAt) : std::nullopt;
}

} // namespace Catkinwell
