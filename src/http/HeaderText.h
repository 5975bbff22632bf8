#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// Returns the text with the letters A to Z in lower case. Thread safe.
std::string toLowerCase(std::string_view text);

// Returns the text without spaces and tabs at its ends. Thread safe.
std::string_view trimmedSpaces(std::string_view text);

// Compares without regard to the case of the letters A to Z. Thread safe.
bool equalIgnoringCase(std::string_view, std::string_view);

// Returns the value of the first header with the name, in any case, or nullptr. Thread safe.
const std::string* findHeader(const HeaderList&, std::string_view name);

// Returns the value of the first header with the name, in any case; empty if there is none. Thread safe.
std::string headerValue(const HeaderList&, std::string_view name);

// Returns the reason phrase of a status code. Thread safe.
std::string_view reasonPhrase(int status);

} // namespace Catkinwell
