#pragma once

#include "FieldTable.h"

#include <catkinwell/core/Error.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Catkinwell {

// Returns an InvalidConfiguration error: "<path>: found <found>; expected <expected>".
Error configurationError(const std::string& path, const std::string& found, const std::string& expected);

// Returns a short text of the value for error messages.
std::string shortTextOf(const nlohmann::json& value);

// Reads every field of the object's table. Fields that are absent keep their defaults. Errors: InvalidConfiguration
// for a wrong type or range, a missing required field or an unknown name. Instantiated for the types of FieldTable.h.
template <typename Object> Status readFields(const nlohmann::json& value, const std::string& path, Object& target);

// Reads one value by its field's name. Precondition for the caller: the field exists; otherwise NotFound is returned.
template <typename Object>
Status readField(const nlohmann::json& value, const std::string& path, std::string_view fieldName, Object& target);

// Returns the JSON text of the object with all its fields in the table's order; absent optional values are left out.
template <typename Object> std::string fieldsToJson(const Object& object);

} // namespace Catkinwell
