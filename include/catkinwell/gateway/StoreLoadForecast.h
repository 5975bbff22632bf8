#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// A model that only the weight store has and that requests wait for, and when it is expected to be ready.
struct ExpectedLoad {
    ModelId model;
    std::uint32_t readyInMilliseconds = 0;
};

// When models of a service that only the weight store has can be ready, as the placement owner expects it.
struct StoreLoadForecast {
    std::string service;
    // The next models, in the order in which they are to be loaded.
    std::vector<ExpectedLoad> next;
    // A model that is requested now and is not among the next ones.
    std::uint32_t otherReadyInMilliseconds = 0;

    // Returns the time until the model is ready.
    Duration timeUntilReady(const ModelId&) const;
};

// State of the weight store and its queue, for one service.
struct StoreQueue {
    std::string service;
    // Remaining time of each running or planned load.
    std::vector<Duration> running;
    // Loads that the store serves at the same time at full speed; at least 1.
    unsigned concurrency = 1;
    Duration loadTime {};
    // Models without a replica and without a copy that requests wait for, most wanted first.
    std::vector<ModelId> waiting;
};

// Answers the load pattern in which far more rare models are requested than the weight store can deliver: a request
// whose model cannot be ready in time is refused at once with the true time, instead of waiting for a load that does
// not begin. Thread safe.
StoreLoadForecast forecastStoreLoads(const StoreQueue&);

} // namespace Catkinwell
