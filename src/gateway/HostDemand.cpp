#include <catkinwell/gateway/HostDemand.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    // Averaging time of arrivals.
    constexpr double averageSeconds = 12;
    // Requests per second below which a variant without waiting requests is dropped.
    constexpr double minimumRate = 0.004;

} // namespace

double demandDecay(Duration time) { return std::exp(-secondsOf(std::max(time, Duration::zero())) / averageSeconds); }

HostDemand::Entry& HostDemand::updated(const ServiceVariant& key, MonotonicTime now)
{
    Entry& entry = m_entries[key];
    entry.rate *= demandDecay(now - entry.updatedAt);
    entry.updatedAt = now;
    entry.isChanged = true;
    return entry;
}

void HostDemand::arrived(const ServiceVariant& key, MonotonicTime now)
{
    Entry& entry = updated(key, now);
    entry.rate += 1 / averageSeconds;
    entry.lastArrivalAt = now;
}

void HostDemand::waitBegan(const ServiceVariant& key, MonotonicTime now) { ++updated(key, now).waiting; }

void HostDemand::waitEnded(const ServiceVariant& key, MonotonicTime now)
{
    Entry& entry = updated(key, now);
    if (entry.waiting > 0)
        --entry.waiting;
}

DemandReport HostDemand::report(bool isWhole, MonotonicTime now)
{
    DemandReport report;
    report.isWhole = isWhole;
    for (auto& [key, entry] : m_entries) {
        if (!isWhole && !entry.isChanged)
            continue;
        entry.isChanged = false;
        entry.rate *= demandDecay(now - entry.updatedAt);
        entry.updatedAt = now;
        const std::int64_t idle = millisecondsOf(now - entry.lastArrivalAt);
        report.entries.push_back(
            { key.second, key.first, entry.waiting, entry.rate, static_cast<std::uint32_t>(idle) });
    }
    if (isWhole)
        std::erase_if(
            m_entries, [](const auto& item) { return item.second.waiting == 0 && item.second.rate < minimumRate; });
    return report;
}

} // namespace Catkinwell
