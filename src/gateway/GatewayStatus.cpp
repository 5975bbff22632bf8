#include <catkinwell/gateway/GatewayReducer.h>

#include <nlohmann/json.hpp>

// Answers on the status and metrics listeners.
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
        response = { request.id, 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.renderText() };
    } else if (request.path == "/status") {
        response.status = 200;
        response.body = statusJson(now);
    }
    effects.push_back(std::move(response));
}

std::string GatewayReducer::statusJson(MonotonicTime now) const
{
    Json peers = Json::object();
    for (const auto& [host, peer] : m_peers) {
        peers[host.value] = { { "registered", peer.isRegistered }, { "silent_ms", millisecondsOf(now - peer.heardAt) },
            { "configuration", peer.configurationVersion } };
    }
    return Json {
        { "host", m_settings.host.value }, { "ready", isReady() }, { "configuration", m_configuration.version },
        { "endpoints", m_directory.size() }, { "requests", m_requests.activeRequests() },
        { "owner", m_ownership.owner().value }, { "peers", peers }
    }.dump();
}

} // namespace Catkinwell
