#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace Catkinwell {

// Parsing CBOR, and serializing or copying a document, recurse for each level of nesting. A deeper document from
// outside could exhaust the stack.
constexpr std::size_t maximumJsonDepth = 32;

// Parse a document from outside. A document that is invalid or nested too deeply yields a discarded value, of which
// at() throws and is_object() and the like are false. Thread safe.
nlohmann::json parseBoundedJson(std::string_view text);
nlohmann::json parseBoundedCbor(std::string_view bytes, std::size_t maximumDepth = maximumJsonDepth);

} // namespace Catkinwell
