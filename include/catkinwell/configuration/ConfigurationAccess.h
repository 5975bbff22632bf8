#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/reducer/Effect.h>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Parses and validates a complete configuration document, including its exceptions. Errors: InvalidConfiguration with
// the path of the invalid field, what was found and what is expected; for an unknown field, the nearest known name is
// suggested. Thread safe.
Result<FleetConfiguration> parseFleetConfiguration(std::string_view json);

// Returns a JSON document from which parseFleetConfiguration() reads an equal configuration. Thread safe.
std::string fleetConfigurationToJson(const FleetConfiguration&);

// Returns the configuration with every exception applied that has not expired at the given time.
// Precondition: the configuration was accepted by parseFleetConfiguration. Thread safe.
FleetConfiguration applyExceptions(const FleetConfiguration&, WallTime);

// The outcome of a proposal. The message of a Conflict error contains the current version; Unavailable means that the
// store is unreachable and nothing was changed; Timeout means that the outcome is unknown.
struct ProposalResult {
    std::uint64_t ticket = 0;
    Result<ConfigurationVersion> result;
};

// Through this interface, other modules read and change the fleet configuration. Not thread safe; all calls come from
// the reducer.
class ConfigurationAccess {
public:
    virtual ~ConfigurationAccess() = default;

    // The newest accepted configuration that this host knows, without exceptions applied.
    virtual const FleetConfiguration& accepted() const = 0;
    // The accepted configuration with unexpired exceptions applied and locally revoked keys removed.
    virtual const FleetConfiguration& effective() const = 0;

    // Proposes a complete new document that replaces version expectedVersion. After a lost result, the proposal can be
    // repeated safely with the same change identifier. The result is returned by takeProposalResults() after a later
    // event.
    virtual void propose(std::uint64_t ticket, ConfigurationVersion expectedVersion, const FleetConfiguration& document,
        const std::string& changeId, MonotonicTime now, EffectList& effects)
        = 0;
    virtual std::vector<ProposalResult> takeProposalResults() = 0;

    // Revokes a key at once on this host and on every host that peer messages reach, even if the store is unreachable.
    virtual void revokeKeyLocally(const std::string& sha256Hex, MonotonicTime now, EffectList& effects) = 0;
};

} // namespace Catkinwell
