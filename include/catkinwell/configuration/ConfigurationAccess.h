#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/reducer/Effect.h>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Parses and validates a whole configuration document, exceptions included.
// Errors: InvalidConfiguration with the path of the wrong field, what was found
// and what is expected; an unknown field names the nearest known one. Thread safe.
Result<FleetConfiguration> parseFleetConfiguration(std::string_view json);

// Writes the document that parseFleetConfiguration reads back to an equal value. Thread safe.
std::string fleetConfigurationToJson(const FleetConfiguration&);

// Returns the configuration with every exception applied that has not expired at the given time.
// Precondition: the configuration was accepted by parseFleetConfiguration. Thread safe.
FleetConfiguration applyExceptions(const FleetConfiguration&, WallTime);

// The outcome of a proposal. An error of kind Conflict carries the current version in its message;
// Unavailable means that the store is out of reach and nothing was changed; Timeout means unknown.
struct ProposalResult {
    std::uint64_t ticket = 0;
    Result<ConfigurationVersion> result;
};

// How other modules read and change the fleet configuration. Not thread safe;
// all calls come from the reducer.
class ConfigurationAccess {
public:
    virtual ~ConfigurationAccess() = default;

    // The newest accepted configuration that this host knows, without exceptions applied.
    virtual const FleetConfiguration& accepted() const = 0;
    // The same with unexpired exceptions applied and locally revoked keys removed.
    virtual const FleetConfiguration& effective() const = 0;

    // Proposes a whole new document that replaces the version expectedVersion. The
    // change identifier makes a repeat after a lost answer safe. The result appears
    // in takeProposalResults() after a later event.
    virtual void propose(std::uint64_t ticket, ConfigurationVersion expectedVersion, const FleetConfiguration& document,
        const std::string& changeId, MonotonicTime now, EffectList& effects)
        = 0;
    virtual std::vector<ProposalResult> takeProposalResults() = 0;

    // Stops a key at once on this host and on every host that peers' messages reach, with or without the store.
    virtual void revokeKeyLocally(const std::string& sha256Hex, MonotonicTime now, EffectList& effects) = 0;
};

} // namespace Catkinwell
