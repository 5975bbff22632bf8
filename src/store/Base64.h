#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

// Returns the standard base64 text with padding. Thread safe.
std::string base64Encoded(std::string_view);

// Returns an empty text for invalid input. Thread safe.
std::string base64Decoded(std::string_view);

} // namespace Catkinwell
