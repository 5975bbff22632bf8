#pragma once

#include <catkinwell/core/Clock.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Writes the time in UTC with seconds, for example "2026-12-04T10:30:00Z".
std::string wallTimeText(WallTime);

// Reads what wallTimeText writes.
std::optional<WallTime> parseWallTime(const std::string& text);

} // namespace Catkinwell
