#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Catkinwell {

using FencingToken = std::uint64_t;

enum class PlacementAction {
    Load,
    Unload,
};

std::string_view nameOf(PlacementAction);

// An effect: sends one load or unload to an engine. The plan that contains the
// command must already be confirmed by the store.
struct PlacementCommand {
    CommandId id;
    EndpointId endpoint;
    std::string address;
    PlacementAction action = PlacementAction::Load;
    ModelId model;
    // Set for an adapter.
    ModelId baseModel;
    std::uint64_t memoryBytes = 0;
    FencingToken fencingToken = 0;
    // The adapter reads the clock again immediately before writing and drops the command after this time.
    MonotonicTime validUntil {};
    Duration timeout = std::chrono::seconds(120);
};

enum class CommandOutcome {
    Done,
    // Surely without effect: never sent, or refused by the engine.
    NotDone,
    // The engine refused the fencing token as too old; surely without effect.
    FencedOff,
    Unknown,
};

std::string_view nameOf(CommandOutcome);

// An event: what became of a PlacementCommand.
struct PlacementCommandFinished {
    CommandId id;
    CommandOutcome outcome = CommandOutcome::Unknown;
    std::string reason;
};

} // namespace Catkinwell
