#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Returns "; did you mean \"<name>\"?" with the known name at the smallest edit distance, or an
// empty text if none is similar. Thread safe.
std::string suggestionFor(std::string_view wrongName, const std::vector<std::string_view>& knownNames);

} // namespace Catkinwell
