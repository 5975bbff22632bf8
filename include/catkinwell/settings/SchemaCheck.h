#pragma once

#include <catkinwell/core/Error.h>
#include <nlohmann/json_fwd.hpp>

namespace Catkinwell {

// Checks a document against a JSON Schema. The first violation is reported with its
// path, what was found and what is expected; an unknown field names the nearest known one.
// Errors: the given kind. Precondition: the schema is valid. Thread safe.
Status checkAgainstSchema(const nlohmann::json& document, const nlohmann::json& schema, ErrorKind);

} // namespace Catkinwell
