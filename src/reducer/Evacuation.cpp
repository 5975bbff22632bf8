#include <catkinwell/reducer/Reducer.h>

// Data centres that the fleet configuration evacuates: their endpoints count as leaving, for requests and placement.
namespace Catkinwell {

void Reducer::applyEvacuations(MonotonicTime now, EffectList& effects)
{
    const FleetConfiguration& configuration = m_configuration.effective();
    std::set<DataCentreId> dataCentres;
    for (const auto& [dataCentre, evacuation] : configuration.evacuations)
        dataCentres.insert(dataCentre);
    const std::vector<DataCentreId> changed = m_evacuated.replaceAll(dataCentres, configuration.version, now);
    m_evacuatedEndpoints.clear();
    std::map<DataCentreId, std::size_t> counts;
    for (const auto& [id, endpoint] : configuration.endpoints) {
        ++counts[endpoint.dataCentre];
        if (m_evacuated.contains(endpoint.dataCentre))
            m_evacuatedEndpoints.insert(id);
    }
    for (const DataCentreId& dataCentre : changed) {
        const auto evacuation = configuration.evacuations.find(dataCentre);
        const bool hasBegun = evacuation != configuration.evacuations.end();
        effects.push_back(LogEntry { LogEvent::EvacuationChanged,
            { { "data_centre", dataCentre.value }, { "state", hasBegun ? "began" : "ended" },
                { "version", std::to_string(configuration.version) },
                { "endpoints", std::to_string(counts[dataCentre]) },
                { "reason", hasBegun ? evacuation->second.reason : "" } } });
        effects.push_back(RecordMetric { Metric::EvacuatedDataCentre, dataCentre.value, hasBegun ? 1.0 : 0.0 });
    }
    for (const DataCentreId& dataCentre : m_evacuated.takeUnchecked()) {
        if (counts[dataCentre] == 0)
            effects.push_back(LogEntry { LogEvent::EvacuationUnmatched, { { "data_centre", dataCentre.value } } });
    }
}

} // namespace Catkinwell
