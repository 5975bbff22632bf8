#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>

// When an endpoint can take a request that none can take now.
namespace Catkinwell {

std::optional<Duration> EndpointDirectory::timeUntilOrderedReplica(const std::string& service,
    const ModelVariant& variant, const std::optional<std::string>& softwareVersion, MonotonicTime now) const
{
    std::optional<Duration> soonest;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || now - entry.updateReceivedAt >= updateLifetime || isEvacuated(id)
            || !isVersionAccepted(entry, softwareVersion))
            continue;
        for (const PendingReplica& replica : entry.update.pendingReplicas) {
            if (replica.variant != variant)
                continue;
            const Duration left = std::max(Duration::zero(),
                entry.updateReceivedAt + std::chrono::milliseconds(replica.readyInMilliseconds) - now);
            soonest = soonest ? std::min(*soonest, left) : left;
        }
    }
    return soonest;
}

Duration EndpointDirectory::timeOfStoreLoad(
    const std::string& service, const GatewayModel& model, MonotonicTime now) const
{
    const Duration age = now - m_forecastsReceivedAt;
    const auto forecast = std::find_if(m_forecasts.begin(), m_forecasts.end(),
        [&service](const StoreLoadForecast& candidate) { return candidate.service == service; });
    if (forecast == m_forecasts.end() || age >= updateLifetime)
        return model.loadFromStore;
    return std::max<Duration>(model.loadFromStore, forecast->timeUntilReady(model.id) - age);
}

Duration EndpointDirectory::shortestTimeToReplica(const std::string& service, const ModelVariant& variant,
    const GatewayModel& model, const std::optional<std::string>& softwareVersion, const std::set<EndpointId>& excluded,
    MonotonicTime now) const
{
    // Adapters load soon after their model, so only the model matters.
    if (const auto ready = timeUntilOrderedReplica(service, { variant.model, "" }, softwareVersion, now))
        return std::min(
            *ready, timeUntilHolderIsTried(service, variant, softwareVersion, excluded, now).value_or(*ready));
    Duration soonest = timeOfStoreLoad(service, model, now);
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isPresent(entry, now) || !isVersionAccepted(entry, softwareVersion))
            continue;
        const Duration untilAccepted = m_cold.timeUntilAvailable(id, now);
        if (modelsOf(entry, now).contains(variant.model) || entry.record.models.contains(variant.model))
            soonest = std::min(soonest, untilAccepted);
        else if (entry.record.inHostMemory.contains(variant.model))
            soonest = std::min(soonest, std::max(untilAccepted, model.loadFromMemory));
        else if (entry.record.onDisk.contains(variant.model))
            soonest = std::min(soonest, std::max(untilAccepted, model.loadFromDisk));
    }
    return soonest;
}

// Suspicions, pauses and rejections pass long before a load from the store ends.
std::optional<Duration> EndpointDirectory::timeUntilHolderIsTried(const std::string& service,
    const ModelVariant& variant, const std::optional<std::string>& softwareVersion,
    const std::set<EndpointId>& excluded, MonotonicTime now) const
{
    std::optional<Duration> soonest;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isPresent(entry, now) || excluded.contains(id)
            || !isListedWith(entry, variant, now) || !isVersionAccepted(entry, softwareVersion))
            continue;
        const Duration left = std::max({ entry.suspectedUntil, entry.misdirectedUntil, m_notices.pauseEnd(id),
                                  endOfMissing(entry, variant), now + m_cold.timeUntilAvailable(id, now) })
            - now;
        if (left > Duration::zero())
            soonest = std::min(soonest.value_or(left), left);
    }
    return soonest;
}

std::optional<Duration> EndpointDirectory::timeUntilColdAccepts(
    const std::string& service, const std::optional<std::string>& softwareVersion, MonotonicTime now) const
{
    std::optional<Duration> soonest;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isUsable(entry, now) || !isVersionAccepted(entry, softwareVersion))
            continue;
        const Duration left = m_cold.timeUntilAvailable(id, now);
        if (left == Duration::zero())
            return std::nullopt;
        soonest = std::min(soonest.value_or(left), left);
    }
    return soonest;
}

} // namespace Catkinwell
