#pragma once

#include <catkinwell/core/Error.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Catkinwell {

// Checks a document against a JSON Schema. The first violation is reported with its
// path, what was found and what is expected; an unknown field names the nearest known one.
// Errors: the given kind. Precondition: the schema is valid. Thread safe.
Status checkAgainstSchema(const nlohmann::json& document, const nlohmann::json& schema, ErrorKind);

// Returns the candidate with the smallest edit distance, or an empty text if none is close. Thread safe.
std::string nearestName(std::string_view name, const nlohmann::json& candidates);

} // namespace Catkinwell
