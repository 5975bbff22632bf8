#pragma once

#include <catkinwell/placement/PlacementPlan.h>
#include <string>
#include <vector>

namespace Catkinwell {

enum class RecordKind {
    PlanStored,
    CommandArrived,
    LoadStarted,
    LoadEnded,
    // The engine no longer holds the model.
    Gone,
    Wanted,
    Served,
    // The host's process ended, and its requests with it.
    HostGone,
};

// One event of a history. The checkers use no other input.
struct RecordEntry {
    MonotonicTime at {};
    RecordKind kind = RecordKind::Wanted;
    DataCentreId dataCentre {};
    EndpointId endpoint {};
    ModelId model {};
    HostId host {};
    FencingToken token = 0;
    std::uint64_t bytes = 0;
    bool isAdapter = false;
    bool byHand = false;
    // Whether the engine ignores fencing tokens.
    bool ignoresFencing = false;
    PlacementPlan plan {};
};

using Record = std::vector<RecordEntry>;

// Each checker returns one message per violation.
using Violations = std::vector<std::string>;

// Every load started by a command is in the stored plan from its start until the engine no longer holds the model.
Violations checkLoadedWithinDecided(const Record&);
// The models that an engine holds never exceed its memory.
Violations checkMemory(const Record&, const std::map<EndpointId, std::uint64_t>& memoryBytes);
// At most 4 weight loads and 32 adapter loads run concurrently, and in every window of w seconds at most
// 4 + 3 w weight loads start (a token bucket with 3 per second and a burst of 4).
Violations checkLoadSlots(const Record&);
// On an engine that ignores fencing tokens, no command arrives after one with a higher token.
Violations checkOneOwnerInForce(const Record&);
// Every requested model is served later, unless the requesting host died.
Violations checkServed(const Record&);

} // namespace Catkinwell
