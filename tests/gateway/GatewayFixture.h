#pragma once

#include "replay/ReplayProtocol.h"
#include <catkinwell/gateway/GatewayRequests.h>

namespace Catkinwell::Testing {

// The plain headers of replays, with documents that name the sample configuration and sample endpoints.
class PlainProtocol final : public ReplayProtocol {
public:
    std::string configurationKey() const override { return "configuration"; }
    std::string endpointPrefix() const override { return "endpoints/"; }
    Result<GatewayConfiguration> readConfiguration(std::string_view document) const override;
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override;
};

// A fleet with the service "orders" of plain endpoints and the service "notes" of engines with the models "m1" to
// "m4", of which two fit into an engine. The accounts "a" and "b" have the keys "key-a" and "key-b" and 100 tokens a
// second with a burst of 200.
GatewayConfiguration sampleConfiguration(std::uint64_t version = 1);

// A ready endpoint with four slots.
EndpointRecord sampleEndpoint(const std::string& id, const std::string& service, const LoadedModels& models = {});

// Returns the effects of one kind, in their order.
template <typename Kind> std::vector<Kind> effectsOf(const EffectList& effects)
{
    std::vector<Kind> found;
    for (const Effect& effect : effects) {
        if (const auto* match = std::get_if<Kind>(&effect))
            found.push_back(*match);
    }
    return found;
}

// The request path of one host with a clock that moves when it is told to.
class RequestsFixture {
public:
    RequestsFixture();

    // A request of account "a" with its key. The path chooses the route: /order/ runs once, /read/ is idempotent,
    // /note/ is a stream of model m1 and /dossier/ a stream of m1 that may be resumed.
    RequestId arrive(const std::string& path, const std::string& key = "key-a", double timeLeftMs = 10000,
        const std::string& model = "m1");
    // Answers the running attempt as a whole.
    void answer(AttemptId, int status, HeaderList headers = { { "sealed", "1" } }, const std::string& body = "body");
    void advance(Duration);

    // The attempts started since the last call.
    std::vector<StartAttempt> takeAttempts();
    // The whole answers to callers since the last call.
    std::vector<SendWholeResponse> takeAnswers();
    // Returns and forgets the effects of all events so far.
    EffectList takeEffects() { return std::exchange(effects, {}); }

    PlainProtocol protocol;
    MonotonicTime now { std::chrono::hours(1) };
    EndpointDirectory directory { DataCentreId("here"), 1 };
    FleetQuota quota { HostId("self") };
    GatewayRequests requests;
    EffectList effects;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace Catkinwell::Testing
