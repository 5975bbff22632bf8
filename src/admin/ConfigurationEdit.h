#pragma once

#include <admin/AdminCall.h>
#include <catkinwell/admin/AdminInterfaces.h>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <nlohmann/json_fwd.hpp>
#include <variant>

namespace Catkinwell {

// A validated document that an operator's call asks for.
struct ConfigurationEdit {
    FleetConfiguration document;
    // Added to the answer once the change is accepted, for example a new key.
    nlohmann::json answer;
};

using EditResult = std::variant<ConfigurationEdit, AdminProblem>;

// Each function applies one kind of call to the accepted configuration. They are pure
// apart from the secret source, which is not used for dry runs.
EditResult replaceDocument(const AdminCall&, const FleetConfiguration& accepted);
EditResult replaceDefaults(const AdminCall&, const FleetConfiguration& accepted);
EditResult putSectionItem(const AdminCall&, const FleetConfiguration& accepted);
EditResult removeSectionItem(const AdminCall&, const FleetConfiguration& accepted);
EditResult putException(const AdminCall&, const FleetConfiguration& accepted);
EditResult removeException(const AdminCall&, const FleetConfiguration& accepted);
EditResult grantKey(const AdminCall&, const FleetConfiguration& accepted, SecretSource&);
EditResult removeKey(const AdminCall&, const FleetConfiguration& accepted);

// Finds the key by its label or by at least 8 digits of its digest.
std::variant<std::string, AdminProblem> findKeyDigest(const FleetConfiguration&, const std::string& labelOrPrefix);

nlohmann::json toJson(const ConfigurationException&);
nlohmann::json toJson(const KeyGrant&);

// Returns the scope and the field of "model/notes-7b/maximumReplicas".
std::pair<std::string, std::string> splitExceptionTarget(const std::string& target);

// A problem for a target that does not exist, with status 404.
AdminProblem notFound(const AdminCall&);

} // namespace Catkinwell
