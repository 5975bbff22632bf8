#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/CallerListener.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// A model with, optionally, one of its adapters.
struct ModelVariant {
    ModelId model;
    // Empty for the model itself.
    std::string adapter;

    friend auto operator<=>(const ModelVariant&, const ModelVariant&) = default;
    // "model" or "model/adapter".
    std::string text() const { return adapter.empty() ? model.value : model.value + "/" + adapter; }
};

struct RouteTarget {
    std::string service;
    double weight = 1;
};

// Targets and properties of requests with a given host and path prefix.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    bool isStream = false;
    // Whether a request may run more than once.
    bool isIdempotent = false;
    // Whether a broken stream may resume at another endpoint after the last event received.
    bool isResumable = false;
    // Whether requests are accepted without a key.
    bool isPublic = false;
    // Maximum duration of a request.
    Duration timeout = std::chrono::seconds(30);
    // Target for the time to first byte. A later answer loses value.
    Duration latencyGoal = std::chrono::seconds(1);
    // Target for the longest pause between events of a stream, likewise; 0 if unstated.
    Duration pauseGoal {};
    // 0 is the most urgent.
    int priority = 5;
    // Maximum number of attempts of a request, not counting those that certainly did not run.
    unsigned maximumAttempts = 1;
    std::vector<RouteTarget> targets;
};

struct GatewayModel {
    ModelId id;
    double memoryMb = 0;
    double adapterMb = 0;
    unsigned adapterCount = 0;
    Duration loadFromStore = std::chrono::seconds(10);
    Duration loadFromDisk = std::chrono::seconds(2);
    Duration loadFromMemory = std::chrono::seconds(1);
};

struct GatewayEngine {
    // Requests that run concurrently.
    unsigned batchSize = 1;
    // Total memory for models and adapters.
    double memoryMb = 0;
    unsigned adapterSlots = 0;
    // Loads from the weight store that may start per second over all endpoints; 0 for no limit.
    double loadsPerSecond = 0;
    std::map<ModelId, GatewayModel> models;
};

struct GatewayService {
    std::string name;
    std::string healthPath;
    // Absent for a plain service.
    std::optional<GatewayEngine> engine;
    // For how long an endpoint is cold after its start, and the requests per second over all hosts that it can handle
    // meanwhile; 0 if its endpoints are never cold.
    Duration coldStart {};
    double coldRequestsPerSecond = 0;
    // Whether one of these two values is no sensible one.
    bool isColdInvalid = false;
};

struct GatewayAccount {
    AccountId id;
    // Overrides the route's priority.
    std::optional<int> priority;
    // Units per second over all hosts; 0 for no limit.
    double unitsPerSecond = 0;
    double burst = 0;
    // Whether units are tokens; otherwise they are requests.
    bool countsTokens = false;
    // Units of a request that states no tokens.
    double plainUnits = 1;
};

// The operators' configuration, shared by all gateways of the fleet.
struct GatewayConfiguration {
    // 0 until a configuration is known.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, GatewayService> services;
    std::map<AccountId, GatewayAccount> accounts;
    // Keyed by the hexadecimal SHA-256 of the API key.
    std::unordered_map<std::string, AccountId> accountOfKeyDigest;
    CallerLimits limits;

    bool isKnown() const { return version != 0; }
    bool needsKeys() const { return !accounts.empty(); }
    // Returns the engine settings of a service, or nullptr for a plain or unknown service.
    const GatewayEngine* engineOf(const std::string& service) const;
};

} // namespace Catkinwell
