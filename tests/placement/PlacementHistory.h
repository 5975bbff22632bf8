#pragma once

#include <catkinwell/placement/PlacementPlan.h>
#include <string>
#include <vector>

namespace Catkinwell {

enum class HistoryEventKind {
    PlanStored,
    CommandArrived,
    LoadStarted,
    LoadEnded,
    // The engine no longer holds the model.
    ModelRemoved,
    ModelRequested,
    ModelServed,
    // The host's process ended, and its requests with it.
    HostStopped,
};

// One event of a history. The checkers use no other input.
struct HistoryEvent {
    MonotonicTime at {};
    HistoryEventKind kind = HistoryEventKind::ModelRequested;
    DataCentreId dataCentre {};
    EndpointId endpoint {};
    ModelId model {};
    HostId host {};
    FencingToken token = 0;
    std::uint64_t bytes = 0;
    bool isAdapter = false;
    bool isManual = false;
    // Whether the engine ignores fencing tokens.
    bool ignoresFencing = false;
    PlacementPlan plan {};
};

using PlacementHistory = std::vector<HistoryEvent>;

// Each checker returns one message per violation.
using Violations = std::vector<std::string>;

// Every load started by a command is in the stored plan from its start until the engine no longer holds the model.
Violations checkLoadsInPlan(const PlacementHistory&);
// The models that an engine holds never exceed its memory.
Violations checkMemory(const PlacementHistory&, const std::map<EndpointId, std::uint64_t>& memoryBytes);
// At most 4 weight loads and 32 adapter loads run concurrently, and in every window of w seconds at most
// 4 + 3 w weight loads start (a token bucket with 3 per second and a burst of 4).
Violations checkLoadSlots(const PlacementHistory&);
// On an engine that ignores fencing tokens, no command arrives after one with a higher token.
Violations checkNoOverlappingOwners(const PlacementHistory&);
// Every requested model is served later, unless the requesting host died.
Violations checkServed(const PlacementHistory&);

} // namespace Catkinwell
