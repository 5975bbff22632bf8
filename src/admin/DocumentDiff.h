#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Catkinwell {

// Returns what differs between two documents: a list of objects {"path", "old", "new"}, where
// the path is a JSON pointer and "old" or "new" is missing for an added or removed value.
// Elements of arrays are matched by identityOf; a path counts elements in the new document,
// or in the old one for a removed element.
nlohmann::json diffDocuments(const nlohmann::json& before, const nlohmann::json& after);

// Returns what tells an element of a configuration's array from the others: its
// identifier fields, or its whole text if it has none.
std::string identityOf(const nlohmann::json& element);

} // namespace Catkinwell
