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

// Reads all fields in the table of the object's type. Absent fields keep their defaults. Errors: InvalidConfiguration
// for a wrong type or range, a missing required field or an unknown name. Instantiated for the types of FieldTable.h.
template <typename Object> Status readFields(const nlohmann::json& value, const std::string& path, Object& target);

// Reads one value for the field of this name. Errors: InvalidConfiguration for an invalid value, NotFound if there is
// no such field.
template <typename Object>
Status readField(const nlohmann::json& value, const std::string& path, std::string_view fieldName, Object& target);

// Returns the object as JSON with its fields in the table's order, without absent optional values.
template <typename Object> std::string fieldsToJson(const Object& object);

} // namespace Catkinwell
