#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

// The lines of a response that are not its body, without their ends. All functions are pure and thread safe. A defect
// is returned as a text that continues "the response is invalid: "; empty if there is none.
namespace Catkinwell {

// Blanks between the parts, a missing or odd reason and a later minor version are accepted, as RFC 9112 advises.
std::string_view findStatusLineFault(std::string_view line);

// The line is one of a head or of trailers, and does not continue another.
std::string_view findFieldLineFault(std::string_view line);

// The line continues the value of the field before it.
std::string_view findFoldedLineFault(std::string_view line);

// Whether the line begins with a blank, as one that continues another does.
bool isFoldedLine(std::string_view line);

// Returns the size that the line states, whose extensions are ignored; nullopt if it is malformed.
std::optional<std::uint64_t> chunkSizeOf(std::string_view line);

} // namespace Catkinwell
