#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

// Encodes as standard base64 with padding. Thread safe.
std::string base64Encoded(std::string_view);

// Decodes standard base64 with padding. Returns an empty text for invalid input. Thread safe.
std::string base64Decoded(std::string_view);

} // namespace Catkinwell
