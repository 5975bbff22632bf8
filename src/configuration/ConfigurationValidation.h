#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Error.h>

namespace Catkinwell {

// Checks everything that concerns more than one field: references between objects, pools, replica ranges,
// and each exception's scope, field and value. Errors: InvalidConfiguration. Thread safe.
Status validateConfiguration(const FleetConfiguration&);

// Replaces the exception's field in the configuration. Errors: InvalidConfiguration if the scope or the field does not
// exist, the field may not be replaced, or the value is not valid for it. Thread safe.
Status applyException(const ConfigurationException&, const std::string& path, FleetConfiguration& target);

} // namespace Catkinwell
