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
    // The host's process ended; what it wanted went with it.
    HostGone,
};

// One line of a history; the checkers read nothing else.
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
    // Whether the engine ignores fencing.
    bool ignoresFencing = false;
    PlacementPlan plan {};
};

using Record = std::vector<RecordEntry>;

// Each checker returns one line per violation.
using Violations = std::vector<std::string>;

// Every load that was commanded is in the stored plan from its start until it is gone.
Violations checkLoadedWithinDecided(const Record&);
// What an engine holds never exceeds its memory, as given by endpoint.
Violations checkMemory(const Record&, const std::map<EndpointId, std::uint64_t>& memoryBytes);
// At most 4 weight loads and 32 adapter loads run at once, and in every window of w seconds at most
// 4 + 3 w weight loads start (a token bucket of 3 a second with a burst of 4).
Violations checkLoadSlots(const Record&);
// On an engine that ignores fencing no command arrives after one with a higher token.
Violations checkOneOwnerInForce(const Record&);
// Every wanted model is served later, unless the wanting host died.
Violations checkServed(const Record&);

} // namespace Catkinwell
