#include <catkinwell/gateway/GatewayReducer.h>

#include <catkinwell/metrics/RequestMetrics.h>
#include <catkinwell/store/StoreCallKind.h>
#include <nlohmann/json.hpp>

// What a gateway tells of itself: its metrics, answers on the status and metrics listeners, and the
// end of a stop.
namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

} // namespace

void GatewayReducer::handleStatusRequest(const RequestArrived& request, MonotonicTime now, EffectList& effects)
{
    SendWholeResponse response { request.id, 404, { { "Content-Type", "application/json" } }, "{}" };
    if (request.path == "/ready") {
        response.status = isReady() ? 200 : 503;
    } else if (request.path == "/metrics") {
        recordAges(now);
        response = { request.id, 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.renderText() };
    } else if (request.path == "/status") {
        response.status = 200;
        response.body = statusJson(now);
    }
    effects.push_back(std::move(response));
}

void GatewayReducer::recordMetrics(EffectList& effects)
{
    for (const Effect& effect : effects) {
        if (const auto* metric = std::get_if<RecordMetric>(&effect))
            m_metrics.record(*metric);
        if (const auto* call = std::get_if<StoreCall>(&effect))
            m_metrics.record({ Metric::StoreCallsByKind,
                std::string(nameOf(StoreCallIds::userOf(call->id))) + '_'
                    + std::string(nameOf(kindOf(call->operation))) });
    }
    std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<RecordMetric>(effect); });
}

void GatewayReducer::recordAges(MonotonicTime now)
{
    const MonotonicTime recordsAt = std::max(m_reading.freshAt(), m_endpointMirror.readAt());
    m_metrics.record(
        { Metric::StateAgeSeconds, "configuration", secondsOf(now - m_configurationMirror.confirmedAt()) });
    m_metrics.record({ Metric::StateAgeSeconds, "endpoint_records", secondsOf(now - recordsAt) });
}

void GatewayReducer::handle(const RequestsCounted& counted, EffectList& effects)
{
    for (RecordMetric& metric : metricsOf(m_callerCounts, counted.counts))
        effects.push_back(std::move(metric));
    m_callerCounts = counted.counts;
}

void GatewayReducer::logStopEnd(LogEvent event, std::size_t cut, EffectList& effects) const
{
    const RequestEnds& ends = m_requests.ends();
    LogEntry entry { event,
        { { "running", std::to_string(cut) }, { "accepted", std::to_string(ends.accepted) },
            { "open", std::to_string(ends.open()) } } };
    for (std::size_t end = 0; end < requestEndCount; ++end)
        entry.fields.emplace_back(nameOf(static_cast<RequestEnd>(end)), std::to_string(ends.ended[end]));
    effects.push_back(std::move(entry));
}

std::string GatewayReducer::statusJson(MonotonicTime now) const
{
    Json peers = Json::object();
    for (const auto& [host, peer] : m_peers) {
        peers[host.value] = { { "registered", peer.isRegistered }, { "silent_ms", millisecondsOf(now - peer.heardAt) },
            { "configuration", peer.configurationVersion } };
    }
    Json answers = Json::object();
    for (std::size_t end = 0; end < answerEndCount; ++end)
        answers[nameOf(static_cast<AnswerEnd>(end))] = m_callerCounts.ended[end];
    const Json callers { { "read", m_callerCounts.read }, { "open", m_callerCounts.open() }, { "ended", answers },
        { "rejected", m_callerCounts.rejected } };
    const RequestEnds& ends = m_requests.ends();
    Json evacuated = Json::array();
    for (const auto& [dataCentre, evacuation] : m_directory.evacuated().evacuations())
        evacuated.push_back(dataCentre.value);
    const Json reading { { "role", nameOf(m_reading.role()) }, { "reader", m_reading.reader().value },
        { "version", m_endpointMirror.version() },
        { "own_call_age_ms", millisecondsOf(now - m_endpointMirror.readAt()) },
        { "age_ms", millisecondsOf(now - std::max(m_reading.freshAt(), m_endpointMirror.readAt())) } };
    return Json {
        { "kept_bytes", m_requests.keptBytes() }, { "host", m_settings.host.value }, { "ready", isReady() },
        { "configuration", m_configuration.version }, { "endpoints", m_directory.size() },
        { "requests", m_requests.activeRequests() }, { "owner", m_ownership.owner().value }, { "peers", peers },
        { "missing_hosts", m_quota.missingPeers() }, { "callers", callers }, { "accepted", ends.accepted },
        { "open", ends.open() }, { "evacuated_data_centres", evacuated }, { "reading", reading }
    }.dump();
}

} // namespace Catkinwell
