#include <catkinwell/replay/ReplaySettings.h>

#include <algorithm>
#include <array>

namespace Catkinwell {

using namespace std::chrono_literals;

namespace {

    constexpr std::array<std::string_view, 6> changeNames { "burst", "rare-models", "demand-shift", "hot-account",
        "eager-callers", "engines-leave" };

    constexpr std::array burst { LoadPhase { LoadChange::Burst, 10s, 8s, 2.4 } };
    constexpr std::array rareModels { LoadPhase { LoadChange::RareModels, 10s, 8s, 0.3 } };
    constexpr std::array demandShift { LoadPhase { LoadChange::DemandShift, 8s, 10s, 2 },
        LoadPhase { LoadChange::DemandShift, 22s, 10s, 4 } };
    constexpr std::array hotAccount { LoadPhase { LoadChange::HotAccount, 10s, 10s, 8 } };
    constexpr std::array eagerCallers { LoadPhase { LoadChange::Burst, 10s, 8s, 2 },
        LoadPhase { LoadChange::EagerCallers, 10s, 8s, 3 } };
    constexpr std::array enginesLeave { LoadPhase { LoadChange::EnginesLeave, 10s, 8s, 0.25 } };
    constexpr std::array together { LoadPhase { LoadChange::DemandShift, 6s, 14s, 2 },
        LoadPhase { LoadChange::Burst, 9s, 6s, 2 }, LoadPhase { LoadChange::EnginesLeave, 12s, 8s, 0.2 },
        LoadPhase { LoadChange::HotAccount, 18s, 8s, 6 }, LoadPhase { LoadChange::RareModels, 24s, 6s, 0.2 } };

    constexpr std::array<LoadPattern, 8> patterns { {
        { "calm", {} },
        { "burst", burst },
        { "rare-models", rareModels },
        { "demand-shift", demandShift },
        { "hot-account", hotAccount },
        { "eager-callers", eagerCallers },
        { "engines-leave", enginesLeave },
        { "together", together },
    } };

} // namespace

std::string_view nameOf(LoadChange change) { return changeNames[static_cast<std::size_t>(change)]; }

std::span<const LoadPattern> loadPatterns() { return patterns; }

const LoadPattern* findLoadPattern(std::string_view name)
{
    const auto found = std::find_if(
        patterns.begin(), patterns.end(), [name](const LoadPattern& pattern) { return pattern.name == name; });
    return found == patterns.end() ? nullptr : &*found;
}

ReplaySettings defaultReplaySettings()
{
    ReplaySettings settings;
    settings.kinds = {
        { "note", 17, 350, 1110, 171, 600ms, 15s, false },
        { "summary", 2.7, 350, 1110, 171, 4s, 30s, true },
        { "check", 10.4, 155, 491, 69, 600ms, 8s, false },
    };
    return settings;
}

} // namespace Catkinwell
