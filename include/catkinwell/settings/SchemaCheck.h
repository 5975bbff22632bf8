#pragma once

#include <catkinwell/core/Error.h>
#include <nlohmann/json_fwd.hpp>

namespace Catkinwell {

// Validates a document against a JSON Schema. The error gives the path of the first violation, the
// value found and the value expected, or for an unknown field the most similar known one.
// Errors: the given kind. Precondition: the schema is valid. Thread safe.
Status checkAgainstSchema(const nlohmann::json& document, const nlohmann::json& schema, ErrorKind);

} // namespace Catkinwell
