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

// Where requests with a host and a path prefix go, and what may be done with them.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    bool isStream = false;
    // Whether a request may run more than once.
    bool isIdempotent = false;
    // Whether a broken stream may go on at another endpoint behind the last event that arrived.
    bool isResumable = false;
    // Whether requests need no key.
    bool isPublic = false;
    // Longest time that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(30);
    // Time to the first byte at which an answer has its full value.
    Duration latencyGoal = std::chrono::seconds(1);
    // Longest pause between the events of a stream at which it still has its full value; 0 if unstated.
    Duration pauseGoal {};
    // 0 is the most urgent.
    int priority = 5;
    // The largest number of endpoints to which one request is sent.
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
    // Requests that run together.
    unsigned batchSize = 1;
    // Memory for models and adapters together.
    double memoryMb = 0;
    unsigned adapterSlots = 0;
    // Loads from the weight store that may begin in a second, over all endpoints. 0 for no limit.
    double loadsPerSecond = 0;
    std::map<ModelId, GatewayModel> models;
};

struct GatewayService {
    std::string name;
    std::string healthPath;
    // Absent for a plain service.
    std::optional<GatewayEngine> engine;
};

struct GatewayAccount {
    AccountId id;
    // Replaces the priority of the route.
    std::optional<int> priority;
    // Units in a second over all hosts together; 0 for no limit.
    double unitsPerSecond = 0;
    double burst = 0;
    // Whether a unit is a token; otherwise it is a request.
    bool countsTokens = false;
    // Units of a request that states no tokens.
    double plainUnits = 1;
};

// What operators set for the whole fleet of gateways.
struct GatewayConfiguration {
    // 0 while no configuration is known.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, GatewayService> services;
    std::map<AccountId, GatewayAccount> accounts;
    // By SHA-256 of the key in hexadecimal digits.
    std::unordered_map<std::string, AccountId> accountOfKeyDigest;
    CallerLimits limits;

    bool isKnown() const { return version != 0; }
    bool needsKeys() const { return !accounts.empty(); }
    // The engine settings of a service, or nullptr for a plain or unknown one.
    const GatewayEngine* engineOf(const std::string& service) const;
};

} // namespace Catkinwell
