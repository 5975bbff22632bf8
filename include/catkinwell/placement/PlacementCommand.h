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

// An effect that sends one load or unload to an engine. The plan that contains the
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
    // The adapter checks the clock immediately before it sends and drops the command after this time.
    MonotonicTime validUntil {};
    Duration timeout = std::chrono::seconds(120);
};

enum class CommandOutcome {
    Done,
    // Guaranteed to have no effect: never sent, or refused by the engine.
    NotDone,
    // The engine refused the fencing token as too old. Guaranteed to have no effect.
    FencedOff,
    Unknown,
};

std::string_view nameOf(CommandOutcome);

// An event with the outcome of a PlacementCommand.
struct PlacementCommandFinished {
    CommandId id;
    CommandOutcome outcome = CommandOutcome::Unknown;
    std::string reason;
};

} // namespace Catkinwell
