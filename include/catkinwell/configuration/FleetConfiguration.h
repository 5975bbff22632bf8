#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

using ConfigurationVersion = std::uint64_t;

// A client account's fleet-wide limits.
struct ClientAccount {
    AccountId id;
    // Tokens per second, over all hosts together.
    TokenCount rate = 1000;
    // Tokens that may be used at once after a pause.
    TokenCount burst = 10000;
    // The account's share of a contended queue, relative to the weights of other accounts.
    std::uint32_t weight = 1;
};

// An API key that an operator granted. Only its digest is stored.
struct KeyGrant {
    std::string sha256Hex;
    AccountId account;
    // A name for operators, never the key itself.
    std::string label;
};

enum class EndpointKind {
    Engine,
    Service,
};

enum class FencingSupport {
    // The engine refuses a command whose fencing token is older than one it has seen.
    Enforced,
    // The engine carries out every command, whatever its fencing token.
    Ignored,
};

struct EndpointSettings {
    EndpointId id;
    // IP address and port, for example "127.0.0.1:9001".
    std::string address;
    DataCentreId dataCentre;
    EndpointKind kind = EndpointKind::Engine;
    // Engines and services with the same pool serve the same models or routes, for example "notewriter".
    std::string pool;
    FencingSupport fencing = FencingSupport::Enforced;
    std::uint64_t memoryBytes = 0;
    // Requests that the endpoint runs at the same time without queueing.
    std::uint32_t capacity = 8;
    // The endpoint closes a connection on which no request arrives for this long.
    Duration receiveTimeout = std::chrono::seconds(5);
};

// A model, or an adapter when baseModel is set.
struct ModelSettings {
    ModelId id;
    std::string pool;
    std::optional<ModelId> baseModel;
    std::uint64_t memoryBytes = 0;
    Duration expectedLoadTime = std::chrono::seconds(20);
    std::uint32_t minimumReplicas = 0;
    std::uint32_t maximumReplicas = 2;
    // The limit of generated tokens for a request that sets none.
    TokenCount defaultMaxTokens = 256;
    // The number of prompt bytes that count as one token in the reservation. With 1, the reservation is an upper bound
    // for any tokenizer with byte fallback.
    std::uint32_t bytesPerToken = 1;
};

enum class RouteAccess {
    Open,
    Keyed,
};

// An HTTP route to services that are not engines.
struct RouteSettings {
    // The route applies to requests whose path starts with this prefix. Of several routes, the longest prefix applies.
    std::string pathPrefix;
    std::string pool;
    RouteAccess access = RouteAccess::Keyed;
    // Whether a request may be sent again after an unknown outcome.
    bool idempotent = false;
    // Tokens that one request costs its account.
    TokenCount cost = 1;
};

struct FleetDefaults {
    Duration requestDeadline = std::chrono::seconds(60);
    std::uint32_t maximumQueuedPerAccountAndModel = 256;
    std::uint32_t maximumQueuedPerHost = 8192;
    double retryBudgetFraction = 0.1;
    // Cost weights of the idle policy. Their ratio decides how long an idle replica is kept.
    double idleHourCost = 1.0;
    double coldStartCost = 1.0;
    double weightLoadsPerSecond = 3.0;
    std::uint32_t weightLoadSlots = 4;
    std::uint32_t adapterLoadSlots = 32;
    Duration keyedRequestRetention = std::chrono::hours(24);
    // Monthly budget in accelerator hours; 0 means none.
    double monthlyAcceleratorHours = 0;
};

// Replaces the value of one field of one object, for a documented reason, until the exception expires.
struct ConfigurationException {
    // The object, for example "model/notes-7b" or "account/quay-3".
    std::string scope;
    // The field's name in the JSON document, and its JSON value as text.
    std::string field;
    std::string valueJson;
    std::string reason;
    std::optional<WallTime> expires;
};

// Keeps new requests and placement commands away from the endpoints of a data centre.
struct DataCentreEvacuation {
    DataCentreId dataCentre;
    // Why an operator evacuates it.
    std::string reason;
};

// The complete accepted configuration at one version. Exceptions are stored separately; applying the unexpired ones
// gives the effective settings.
struct FleetConfiguration {
    ConfigurationVersion version = 0;
    FleetDefaults defaults;
    std::map<AccountId, ClientAccount> accounts;
    // By the digest of the key.
    std::map<std::string, KeyGrant> keys;
    std::map<EndpointId, EndpointSettings> endpoints;
    std::map<ModelId, ModelSettings> models;
    std::vector<RouteSettings> routes;
    std::vector<ConfigurationException> exceptions;
    std::map<DataCentreId, DataCentreEvacuation> evacuations;
};

std::string_view nameOf(EndpointKind);
std::string_view nameOf(FencingSupport);
std::string_view nameOf(RouteAccess);

} // namespace Catkinwell
