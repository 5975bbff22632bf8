#pragma once

#include <catkinwell/core/Clock.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Writes the time in UTC with whole seconds, for example "2026-12-04T10:30:00Z". Thread safe.
std::string formatWallTime(WallTime);

// Reads what formatWallTime writes; nothing for any other text or a day that does not exist. Thread safe.
std::optional<WallTime> parseWallTime(const std::string& text);

} // namespace Catkinwell
