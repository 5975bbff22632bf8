#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Catkinwell {

// Returns the differences of two documents: a list of objects {"path", "old", "new"}, where the
// path is a JSON pointer; "old" is missing for an added value and "new" for a removed one.
// Array elements are matched by identityOf(). Indices in paths refer to the new document, or to
// the old one for a removed element.
nlohmann::json diffDocuments(const nlohmann::json& before, const nlohmann::json& after);

// Returns the identity of an element of an array in the configuration: its identifier
// fields, or its whole text if it has none.
std::string identityOf(const nlohmann::json& element);

} // namespace Catkinwell
