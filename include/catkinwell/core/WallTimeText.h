#pragma once

#include <catkinwell/core/Clock.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Formats the time in UTC with whole seconds, for example "2026-12-04T10:30:00Z". Thread safe.
std::string formatWallTime(WallTime);

// Parses the format of formatWallTime(). Returns nothing for any other text and for a nonexistent day. Thread safe.
std::optional<WallTime> parseWallTime(const std::string& text);

} // namespace Catkinwell
