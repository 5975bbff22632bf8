#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/routing/PromptQuarantine.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Catkinwell {

// The form of a digest inside a larger message. Thread safe.
nlohmann::json jsonOf(const PromptQuarantineDigest&);
// Throws nlohmann::json::exception for any other document. Thread safe.
PromptQuarantineDigest promptQuarantineDigestOf(const nlohmann::json&);

// The form of a digest as a message of its own: CBOR. Thread safe.
std::string encodePromptQuarantineDigest(const PromptQuarantineDigest&);
// Errors: InvalidMessage for any other bytes. Thread safe.
Result<PromptQuarantineDigest> decodePromptQuarantineDigest(std::string_view cbor);

} // namespace Catkinwell
