#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>

// Which endpoint to probe when this host may have lost its path, and what is forgotten once that is decided.
namespace Catkinwell {

std::optional<EndpointChoice> EndpointDirectory::chooseForProbe(
    const std::string& service, const std::function<bool(const EndpointId&)>& hasFailed, MonotonicTime now)
{
    std::vector<const Entry*> present;
    std::set<DataCentreId> failedDataCentres;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isPresent(entry, now) || m_notices.isPaused(id, now)
            || !m_cold.isAvailable(id, now))
            continue;
        present.push_back(&entry);
        if (hasFailed(id))
            failedDataCentres.insert(entry.record.dataCentre);
    }
    // The lower the number, the more does a failure say about this host rather than about others.
    const auto rankOf = [&](const Entry* entry) {
        const DataCentreId& dataCentre = entry->record.dataCentre;
        if (failedDataCentres.contains(dataCentre))
            return hasFailed(entry->record.id) ? 3 : 2;
        return dataCentre == m_ownDataCentre ? 0 : 1;
    };
    std::vector<const Entry*> candidates;
    int lowestRank = 3;
    for (const Entry* entry : present) {
        const int rank = rankOf(entry);
        if (rank < lowestRank)
            candidates.clear();
        lowestRank = std::min(lowestRank, rank);
        if (rank == lowestRank)
            candidates.push_back(entry);
    }
    if (candidates.empty())
        return std::nullopt;
    const EndpointRecord& record = candidates[m_random.below(candidates.size())]->record;
    return EndpointChoice { record.id, record.address };
}

void EndpointDirectory::forgetSuspicions(const std::string& service)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.record.service != service)
            continue;
        entry.suspectedUntil = MonotonicTime();
        entry.consecutiveFailures = 0;
        entry.failureShare = 0;
    }
}

} // namespace Catkinwell
