#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

// Encodes every byte that is not a letter, a digit or one of "-._~/" as %XX. Thread safe.
std::string percentEncoded(std::string_view text);

// Decodes %XX; keeps all other bytes, including an incomplete or invalid escape. Thread safe.
std::string percentDecoded(std::string_view text);

} // namespace Catkinwell
