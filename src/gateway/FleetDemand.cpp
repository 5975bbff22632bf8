#include <catkinwell/gateway/FleetDemand.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr double minimumRate = 0.002;
    // Rates change little within this time.
    constexpr Duration updateInterval = std::chrono::milliseconds(50);

} // namespace

void FleetDemand::handle(const HostId& from, const DemandReport& report, MonotonicTime now)
{
    update(now);
    HostEntries& host = m_hosts[from];
    HostEntries former;
    if (report.isWhole)
        former = host;
    for (const VariantDemand& variant : report.entries) {
        const ServiceVariant key(variant.service, variant.variant);
        former.erase(key);
        replace(host, key, { variant.waiting, variant.rate, now });
        Entry& entry = m_entries[key];
        entry.lastArrivalAt = std::max(entry.lastArrivalAt, now - std::chrono::milliseconds(variant.idleMilliseconds));
    }
    // A whole report ends the demand for each variant that it omits.
    for (const auto& [key, reported] : former) {
        replace(host, key, { 0, 0, now });
        host.erase(key);
    }
}

void FleetDemand::replace(HostEntries& host, const ServiceVariant& key, const Reported& reported)
{
    Reported& former = host[key];
    Entry& entry = m_entries[key];
    entry.waiting += reported.waiting - former.waiting;
    entry.rate = std::max(0.0, entry.rate + reported.rate - former.rate * demandDecay(reported.at - former.at));
    former = reported;
}

void FleetDemand::removeHost(const HostId& host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    for (const auto& [key, reported] : found->second) {
        // The rate decays by itself, since the host's callers move to other hosts.
        if (const auto entry = m_entries.find(key); entry != m_entries.end())
            entry->second.waiting -= reported.waiting;
    }
    m_hosts.erase(found);
}

void FleetDemand::update(MonotonicTime now)
{
    if (now - m_updatedAt < updateInterval)
        return;
    const double decay = demandDecay(now - m_updatedAt);
    m_updatedAt = now;
    for (auto& [key, entry] : m_entries)
        entry.rate *= decay;
    std::erase_if(
        m_entries, [](const auto& item) { return item.second.waiting == 0 && item.second.rate < minimumRate; });
}

} // namespace Catkinwell
