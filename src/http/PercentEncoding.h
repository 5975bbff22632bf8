#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

// Encodes every byte that is not a letter, a digit or one of "-._~/" as %XX. Thread safe.
std::string percentEncoded(std::string_view text);

// Decodes %XX; other bytes, also an incomplete %X, stay as they are. Thread safe.
std::string percentDecoded(std::string_view text);

} // namespace Catkinwell
