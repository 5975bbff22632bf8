#pragma once

#include <string>

namespace Catkinwell {

// Returns the text of docs/log-events.md, made from logEventCatalogue(). Thread safe.
std::string renderLogEventPage();

} // namespace Catkinwell
