#include <catkinwell/gateway/EvacuatedDataCentres.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // Ends of evacuations that are remembered; the oldest is forgotten first.
    constexpr std::size_t maximumEnds = 256;

} // namespace

bool EvacuatedDataCentres::apply(const DataCentreId& dataCentre, const StoreEntry& entry, MonotonicTime now)
{
    const auto known = m_evacuations.find(dataCentre);
    if (!entry.isDeleted) {
        if (known != m_evacuations.end()) {
            known->second.version = entry.version;
            return false;
        }
        m_evacuations[dataCentre] = { entry.version, false };
        m_endedAt.erase(dataCentre);
        return true;
    }
    if (known == m_evacuations.end())
        return false;
    m_evacuations.erase(known);
    if (m_endedAt.size() >= maximumEnds)
        m_endedAt.erase(std::min_element(m_endedAt.begin(), m_endedAt.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    m_endedAt[dataCentre] = now;
    return true;
}

std::vector<DataCentreId> EvacuatedDataCentres::replaceAll(
    const std::set<DataCentreId>& dataCentres, StoreVersion version, MonotonicTime now)
{
    std::set<DataCentreId> all = dataCentres;
    for (const auto& [dataCentre, evacuation] : m_evacuations)
        all.insert(dataCentre);
    std::vector<DataCentreId> changed;
    for (const DataCentreId& dataCentre : all) {
        StoreEntry entry;
        entry.version = version;
        entry.isDeleted = !dataCentres.contains(dataCentre);
        if (apply(dataCentre, entry, now))
            changed.push_back(dataCentre);
    }
    return changed;
}

std::optional<MonotonicTime> EvacuatedDataCentres::endedAt(const DataCentreId& dataCentre) const
{
    const auto found = m_endedAt.find(dataCentre);
    return found == m_endedAt.end() ? std::nullopt : std::optional(found->second);
}

std::vector<DataCentreId> EvacuatedDataCentres::takeUnchecked()
{
    std::vector<DataCentreId> unchecked;
    for (auto& [dataCentre, evacuation] : m_evacuations) {
        if (!std::exchange(evacuation.isChecked, true))
            unchecked.push_back(dataCentre);
    }
    return unchecked;
}

} // namespace Catkinwell
