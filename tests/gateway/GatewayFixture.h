#pragma once

#include "replay/ReplayProtocol.h"
#include <catkinwell/gateway/GatewayRequests.h>
#include <catkinwell/gateway/PrefixMirror.h>

namespace Catkinwell::Testing {

// Returns what follows the prefix; nullopt if the key does not begin with it.
inline std::optional<DataCentreId> evacuatedUnder(std::string_view prefix, std::string_view key)
{
    return key.starts_with(prefix) ? std::optional(DataCentreId(std::string(key.substr(prefix.size())))) : std::nullopt;
}

// The replay protocol's plain headers, with documents that refer to the sample configuration and sample endpoints. The
// record of an endpoint is its service, its software version and its models, separated by spaces.
class PlainProtocol : public ReplayProtocol {
public:
    std::string operatorPrefix() const override { return "configuration"; }
    std::string configurationKey() const override { return "configuration"; }
    std::string endpointPrefix() const override { return "endpoints/"; }
    std::optional<DataCentreId> evacuatedDataCentre(std::string_view key) const override
    {
        return evacuatedUnder("configuration/evacuate/", key);
    }
    Result<GatewayConfiguration> readConfiguration(std::string_view document) const override;
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override;
};

// A fleet with the service "orders" of plain endpoints and the service "notes" of engines with the models "m1" to
// "m4", of which two fit into an engine. The accounts "a" and "b" have the keys "key-a" and "key-b" and 100 tokens per
// second with a burst of 200.
GatewayConfiguration sampleConfiguration(std::uint64_t version = 1);

// A ready endpoint with four slots.
EndpointRecord sampleEndpoint(const std::string& id, const std::string& service, const LoadedModels& models = {});

// A mirror of the gateways' keys that has read these entries.
PrefixMirror mirrorOf(std::vector<StoreEntry>);

// Returns the effects of one type, in order.
template <typename Kind> std::vector<Kind> effectsOf(const EffectList& effects)
{
    std::vector<Kind> found;
    for (const Effect& effect : effects) {
        if (const auto* match = std::get_if<Kind>(&effect))
            found.push_back(*match);
    }
    return found;
}

// The request handling of one host, with a manual clock.
class RequestsFixture {
public:
    explicit RequestsFixture(std::uint64_t seed = 1);

    // Sends a request, by default of account "a". The path selects the route: /order/ is not repeatable, /read/ is
    // idempotent, /note/ is a stream and /dossier/ a resumable stream. Streams use the model. The prompt consists of
    // the part, if there is one, and of a part of the request's own.
    RequestId arrive(const std::string& path, const std::string& key = "key-a", double timeLeftMs = 10000,
        const std::string& model = "m1", const std::string& part = "");
    // Sends the head of a stream and then closes the connection, as a crashing endpoint does.
    void crash(AttemptId);
    // Sends the complete answer of an attempt.
    void answer(AttemptId, int status, HeaderList headers = { { "sealed", "1" } }, const std::string& body = "body");
    void advance(Duration);

    // Returns the attempts started since the last call.
    std::vector<StartAttempt> takeAttempts();
    // Returns the whole answers sent to callers since the last call.
    std::vector<SendWholeResponse> takeAnswers();
    // Returns and clears the effects of all events so far.
    EffectList takeEffects() { return std::exchange(effects, {}); }

    PlainProtocol protocol;
    MonotonicTime now { std::chrono::hours(1) };
    EndpointDirectory directory;
    FleetQuota quota { HostId("self") };
    RelayPeers relayPeers { DataCentreId("here"), 1 };
    GatewayRequests requests;
    EffectList effects;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace Catkinwell::Testing
