#include "requests/RequestFlowFixture.h"

namespace Catkinwell::Testing {

namespace {

    EndpointSettings endpointOf(const char* id, const char* pool, EndpointKind kind)
    {
        EndpointSettings endpoint;
        endpoint.id = EndpointId(id);
        endpoint.address = "127.0.0.1:9";
        endpoint.dataCentre = DataCentreId("here");
        endpoint.kind = kind;
        endpoint.pool = pool;
        return endpoint;
    }

    FleetConfiguration sampleFleet()
    {
        FleetConfiguration fleet;
        fleet.version = 1;
        fleet.accounts[AccountId("a")].id = AccountId("a");
        const EndpointSettings service = endpointOf("s1", "orders", EndpointKind::Service);
        const EndpointSettings engine = endpointOf("e1", "notes", EndpointKind::Engine);
        fleet.endpoints = { { service.id, service }, { engine.id, engine } };
        ModelSettings model;
        model.id = ModelId("m1");
        model.pool = "notes";
        fleet.models.emplace(model.id, model);
        fleet.routes = { { "/read/", "orders", RouteAccess::Open, true, 0 },
            { "/order/", "orders", RouteAccess::Open, false, 0 } };
        return fleet;
    }

    template <typename Kind> std::vector<Kind> takeEffects(EffectList& effects)
    {
        std::vector<Kind> found;
        for (const Effect& effect : effects) {
            if (const auto* match = std::get_if<Kind>(&effect))
                found.push_back(*match);
        }
        std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<Kind>(effect); });
        return found;
    }

} // namespace

RequestFlowFixture::RequestFlowFixture() { configure(sampleFleet()); }

void RequestFlowFixture::configure(const FleetConfiguration& fleet)
{
    configuration.value = fleet;
    endpoints.configure(fleet);
    shares.configure(fleet.accounts, now, effects);
    requests.configurationChanged(now, effects);
    requests.capacityChanged();
    requests.advance(now, effects);
}

RequestId RequestFlowFixture::arrive(const std::string& path)
{
    RequestArrived request;
    request.id = RequestId(++m_lastRequest);
    request.method = "POST";
    request.path = path;
    request.body = "body " + std::to_string(m_lastRequest);
    requests.handle(request, now, effects);
    requests.advance(now, effects);
    return request.id;
}

RequestId RequestFlowFixture::arriveForModel(const std::string& model)
{
    RelayedRequestArrived relayed;
    relayed.from = HostId("other");
    relayed.arrived.id = RequestId(++m_lastRequest);
    relayed.arrived.method = "POST";
    relayed.arrived.target = "/v1/completions";
    relayed.arrived.body
        = R"({"model":")" + model + R"(","prompt":"p)" + std::to_string(m_lastRequest) + R"(","max_tokens":4})";
    relayed.terms.account = AccountId("a");
    relayed.terms.timeLeft = std::chrono::seconds(60);
    requests.handle(relayed, now, effects);
    requests.advance(now, effects);
    return relayed.arrived.id;
}

void RequestFlowFixture::advance(Duration duration)
{
    constexpr Duration step = std::chrono::milliseconds(20);
    for (const MonotonicTime end = now + duration; now < end;) {
        now += step;
        requests.tick(now, effects);
        requests.advance(now, effects);
    }
}

std::vector<StartAttempt> RequestFlowFixture::takeAttempts() { return takeEffects<StartAttempt>(effects); }

std::vector<SendWholeResponse> RequestFlowFixture::takeAnswers() { return takeEffects<SendWholeResponse>(effects); }

} // namespace Catkinwell::Testing
