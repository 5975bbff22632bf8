#include <catkinwell/gateway/GatewayReducer.h>

// What operators write to the store: the configuration, and the data centres to evacuate.
namespace Catkinwell {

namespace {

    // The operators end an evacuation at a time that nobody knows. A caller that returns after this time finds a change
    // soon without many requests that are refused in vain.
    constexpr Duration evacuatedRetryAfter = std::chrono::seconds(5);

} // namespace

// The evacuations come first, so that the configuration never makes requests go to an evacuated data centre.
void GatewayReducer::applyOperatorEntries(
    const std::vector<StoreEntry>& entries, MonotonicTime now, EffectList& effects)
{
    bool hasChanged = false;
    for (const StoreEntry& entry : entries) {
        if (const auto dataCentre = m_protocol.evacuatedDataCentre(entry.key))
            hasChanged = applyEvacuation(*dataCentre, entry, now, effects) || hasChanged;
    }
    for (const StoreEntry& entry : entries) {
        if (entry.key == m_protocol.configurationKey() && !entry.isDeleted)
            applyConfiguration(entry.value, std::nullopt, now, effects);
    }
    if (!hasChanged)
        return;
    updateEvacuations(now, effects);
    m_requests.dispatchWaiting(now, effects);
}

bool GatewayReducer::applyEvacuation(
    const DataCentreId& dataCentre, const StoreEntry& entry, MonotonicTime now, EffectList& effects)
{
    if (!m_directory.evacuated().apply(dataCentre, entry, now))
        return false;
    const bool hasBegun = m_directory.evacuated().contains(dataCentre);
    const std::vector<EndpointId> endpoints = m_directory.endpointsIn(dataCentre);
    effects.push_back(LogEntry { LogEvent::EvacuationChanged,
        { { "data_centre", dataCentre.value }, { "state", hasBegun ? "began" : "ended" }, { "key", entry.key },
            { "version", std::to_string(entry.version) }, { "endpoints", std::to_string(endpoints.size()) },
            { "reason", entry.isLost ? "the restored store does not have the key" : "" } } });
    effects.push_back(RecordMetric { Metric::EvacuatedDataCentre, dataCentre.value, hasBegun ? 1.0 : 0.0 });
    for (const EndpointId& endpoint : endpoints) {
        if (hasBegun)
            effects.push_back(WithholdUnsent { endpoint });
        else
            m_directory.cold().noteMaybeCold(endpoint, now);
    }
    return true;
}

void GatewayReducer::updateEvacuations(MonotonicTime now, EffectList& effects)
{
    m_directory.reportEvacuatedServices(now, effects);
    // Which endpoints there are is not known before.
    if (m_directory.evacuated().isEmpty() || !m_endpointMirror.isRead())
        return;
    for (const DataCentreId& dataCentre : m_directory.evacuated().takeUnchecked()) {
        if (m_directory.endpointsIn(dataCentre).empty())
            effects.push_back(LogEntry { LogEvent::EvacuationUnmatched, { { "data_centre", dataCentre.value } } });
    }
}

bool GatewayRequests::endIfEvacuated(Request& request, MonotonicTime now, EffectList& effects)
{
    if (!m_directory.isWhollyEvacuated(request.service, now))
        return false;
    if (request.mayHaveRun || request.isHeadSent)
        fail(request, 502, "evacuated", now, effects);
    else
        refuse(request,
            { 503, "evacuated", "all endpoints of the service are in data centres under evacuation",
                evacuatedRetryAfter },
            now, effects);
    return true;
}

// The endpoint did not get the request and did not fail.
void GatewayRequests::handleWithheld(
    Request& request, const std::string& reason, MonotonicTime now, EffectList& effects)
{
    effects.push_back(failedAttemptEntry(request, reason, "not_sent", now));
    m_directory.limits().attemptNotSent(request.attempt->endpoint, now);
    endAttempt(request, AttemptVerdict::Neutral, now, effects);
    dispatch(request, now, effects);
}

} // namespace Catkinwell
