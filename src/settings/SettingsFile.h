#pragma once

#include <catkinwell/core/Error.h>
#include <string>

namespace Catkinwell {

// Returns the text of a settings file. Errors: NotFound for an unreadable file. Thread safe.
Result<std::string> readSettingsFile(const std::string& file);

} // namespace Catkinwell
