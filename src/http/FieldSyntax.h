#pragma once

#include <string_view>

// The characters that RFC 9110 allows in the fields of a message. All functions are pure and thread safe.
namespace Catkinwell {

// Whether the text may be the name of a field.
bool isToken(std::string_view text);

// Whether the text may be the value of a field: it has no control character but the tab.
bool isFieldValue(std::string_view text);

} // namespace Catkinwell
