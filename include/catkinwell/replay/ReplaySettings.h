#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// A temporary change of the load or of the fleet.
enum class LoadChange {
    // Requests of the first kind arrive more often.
    Burst,
    // Requests ask for models that have had no requests before.
    RareModels,
    // The demand for the busiest models moves to other models.
    DemandShift,
    // One account sends many times its usual demand.
    HotAccount,
    // Refused callers retry immediately and several times.
    EagerCallers,
    // Engines leave at short notice and return with empty memory.
    EnginesLeave,
};

std::string_view nameOf(LoadChange);

struct LoadPhase {
    LoadChange change = LoadChange::Burst;
    Duration at {};
    Duration length {};
    // The factor on the usual rate, or the fraction of the models or engines that are affected.
    double strength = 1;
};

// A named sequence of load phases.
struct LoadPattern {
    std::string_view name;
    std::span<const LoadPhase> phases;
};

// Returns all patterns, starting with the calm one.
std::span<const LoadPattern> loadPatterns();
// Returns nullptr if no pattern has this name.
const LoadPattern* findLoadPattern(std::string_view name);

// A kind of request with its rate, size and latency goal.
struct RequestKind {
    std::string name;
    double perSecond = 1;
    // Prompt tokens that all requests of an account have in common, and prompt tokens that only one request has.
    unsigned sharedTokens = 0;
    unsigned ownTokens = 100;
    unsigned outputTokens = 100;
    Duration latencyGoal {};
    Duration timeLimit {};
    bool isResumable = false;
};

// The capacity and speed of the engines of a replay, which are all the same.
struct EngineShape {
    unsigned slots = 64;
    // The maximum number of waiting requests in addition to the running ones; the engine rejects further requests.
    unsigned queue = 192;
    unsigned residentModels = 2;
    unsigned adapterSlots = 8;
    unsigned memoryTokens = 130'000;
    Duration step = std::chrono::microseconds(8500);
    Duration stepPerRequest = std::chrono::microseconds(18);
    double promptTokensPerMillisecond = 22;
    unsigned tokensPerEvent = 3;
    Duration loadFromStore = std::chrono::milliseconds(6500);
    Duration loadFromDisk = std::chrono::milliseconds(1650);
    Duration loadAdapter = std::chrono::milliseconds(14);
    // The number of concurrent loads that the weight store serves at full speed, and the number of loads that may start
    // per second.
    unsigned storeConcurrency = 4;
    double storeLoadsPerSecond = 2.8;
};

struct ReplaySettings {
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(40);
    unsigned hosts = 4;
    unsigned engines = 12;
    unsigned models = 60;
    // Models with steady demand. The adapters belong to the busiest of them.
    unsigned busyModels = 5;
    unsigned adapters = 24;
    unsigned accounts = 5;
    // The rate limit of each account as a multiple of its usual demand.
    double accountHeadroom = 1.6;
    EngineShape engine;
    std::vector<RequestKind> kinds;
    EnginePlacementSettings placement;
    // If false, no orders are given and the models stay where they were at the start.
    bool hasPlacement = true;
};

// Returns a fleet of the size of the users' smaller deployment, with three kinds of streams.
ReplaySettings defaultReplaySettings();

} // namespace Catkinwell
