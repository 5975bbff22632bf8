#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// A list of named objects in the configuration's JSON document: either an array whose
// elements contain their identifier, or an object keyed by it.
struct DocumentSection {
    // The name under /admin/v1/ and in the document.
    std::string_view name;
    std::string_view identityField;
};

// Returns nullptr if the resource is not a section of the document that is edited as JSON.
const DocumentSection* findSection(std::string_view resource);

// Returns the elements as an array; each contains its identifier.
nlohmann::json listItems(const nlohmann::json& document, const DocumentSection&);

std::optional<nlohmann::json> findItem(
    const nlohmann::json& document, const DocumentSection&, const std::string& identifier);

// Adds or replaces an element, and sets its identifier field.
// Precondition: item is an object.
void putItem(nlohmann::json& document, const DocumentSection&, const std::string& identifier, nlohmann::json item);

// Returns false if there is no such element.
bool removeItem(nlohmann::json& document, const DocumentSection&, const std::string& identifier);

} // namespace Catkinwell
