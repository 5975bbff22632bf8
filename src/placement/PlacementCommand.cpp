#include <catkinwell/placement/PlacementCommand.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<PlacementAction, 2> placementActionNames { {
        { PlacementAction::Load, "load" },
        { PlacementAction::Unload, "unload" },
    } };

    constexpr EnumNames<CommandOutcome, 4> commandOutcomeNames { {
        { CommandOutcome::Done, "done" },
        { CommandOutcome::NotDone, "not_done" },
        { CommandOutcome::FencedOff, "fenced_off" },
        { CommandOutcome::Unknown, "unknown" },
    } };

} // namespace

std::string_view nameOf(PlacementAction action) { return placementActionNames.nameOf(action); }

std::string_view nameOf(CommandOutcome outcome) { return commandOutcomeNames.nameOf(outcome); }

} // namespace Catkinwell
