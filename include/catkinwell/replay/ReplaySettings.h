#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// How the load or the fleet changes for a while.
enum class LoadChange {
    // All requests of the first kind come more often.
    Burst,
    // Requests ask for models that nobody asked for before.
    RareModels,
    // The demand of the busiest models goes to others.
    DemandShift,
    // One account sends many times its usual.
    HotAccount,
    // Refused callers come back at once and several times.
    EagerCallers,
    // Engines are taken away at short notice and come back empty.
    EnginesLeave,
};

std::string_view nameOf(LoadChange);

struct LoadPhase {
    LoadChange change = LoadChange::Burst;
    Duration at {};
    Duration length {};
    // The factor on the usual rate, or the part of the models or engines that are concerned.
    double strength = 1;
};

// A named load.
struct LoadPattern {
    std::string_view name;
    std::span<const LoadPhase> phases;
};

// All patterns, the calm one first.
std::span<const LoadPattern> loadPatterns();
// Nothing for an unknown name.
const LoadPattern* findLoadPattern(std::string_view name);

// One kind of request.
struct RequestKind {
    std::string name;
    double perSecond = 1;
    // Tokens of the prompt that requests of an account share, and those of one request alone.
    unsigned sharedTokens = 0;
    unsigned ownTokens = 100;
    unsigned outputTokens = 100;
    Duration latencyGoal {};
    Duration timeLimit {};
    bool isResumable = false;
};

// The engines of a replay, all alike.
struct EngineShape {
    unsigned slots = 64;
    // Requests that wait beside the running ones; further ones are turned away.
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
    // Loads from the weight store that run together at full speed, and those that may begin in a second.
    unsigned storeConcurrency = 4;
    double storeLoadsPerSecond = 2.8;
};

struct ReplaySettings {
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(40);
    unsigned hosts = 4;
    unsigned engines = 12;
    unsigned models = 60;
    // Models in steady demand; the busiest of them has adapters.
    unsigned busyModels = 5;
    unsigned adapters = 24;
    unsigned accounts = 5;
    // The rate of each account as a multiple of its usual demand.
    double accountHeadroom = 1.6;
    EngineShape engine;
    std::vector<RequestKind> kinds;
    EnginePlacementSettings placement;
    // Without orders the models stay where they were at the start.
    bool hasPlacement = true;
};

// A fleet of the size of the users' smaller deployment with three kinds of streams.
ReplaySettings defaultReplaySettings();

} // namespace Catkinwell
