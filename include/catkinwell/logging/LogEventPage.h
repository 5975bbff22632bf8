#pragma once

#include <string>

namespace Catkinwell {

// Renders logEventCatalogue() as the text of docs/log-events.md. Thread safe.
std::string renderLogEventPage();

} // namespace Catkinwell
