#pragma once

#include <admin/AdminCall.h>
#include <catkinwell/admin/AdminInterfaces.h>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <nlohmann/json_fwd.hpp>
#include <variant>

namespace Catkinwell {

// The validated document that results from an operator's change.
struct ConfigurationEdit {
    FleetConfiguration document;
    // Added to the answer once the change is accepted, for example a new key.
    nlohmann::json answer;
};

using EditResult = std::variant<ConfigurationEdit, AdminProblem>;

// Each function applies one kind of change to the accepted configuration. They have no side
// effects except for the use of the secret source, which dry runs do not use.
EditResult replaceDocument(const AdminCall&, const FleetConfiguration& accepted);
EditResult replaceDefaults(const AdminCall&, const FleetConfiguration& accepted);
EditResult putSectionItem(const AdminCall&, const FleetConfiguration& accepted);
EditResult removeSectionItem(const AdminCall&, const FleetConfiguration& accepted);
EditResult putException(const AdminCall&, const FleetConfiguration& accepted);
EditResult removeException(const AdminCall&, const FleetConfiguration& accepted);
EditResult grantKey(const AdminCall&, const FleetConfiguration& accepted, SecretSource&);
EditResult removeKey(const AdminCall&, const FleetConfiguration& accepted);

// Finds a key by its label, or by a prefix of at least 8 digits of its digest.
std::variant<std::string, AdminProblem> findKeyDigest(const FleetConfiguration&, const std::string& labelOrPrefix);

nlohmann::json toJson(const ConfigurationException&);
nlohmann::json toJson(const KeyGrant&);

// Splits for example "model/notes-7b/maximumReplicas" into scope and field.
std::pair<std::string, std::string> splitExceptionTarget(const std::string& target);

// Returns a problem with status 404 for a target that does not exist.
AdminProblem notFound(const AdminCall&);

} // namespace Catkinwell
