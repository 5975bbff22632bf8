#pragma once

#include "FieldTable.h"

namespace Catkinwell {

// Whether the text has the form. Thread safe.
bool hasForm(std::string_view text, TextForm);

// Says what a text of the form looks like, for error messages. Thread safe.
std::string_view describeForm(TextForm);

// Reads a time in UTC such as "2027-01-31T18:00:00Z"; empty if the text is anything else. Thread safe.
std::optional<WallTime> parseWallTime(const std::string& text);

// Writes the time in the form that parseWallTime reads, in whole seconds. Thread safe.
std::string formatWallTime(WallTime);

} // namespace Catkinwell
