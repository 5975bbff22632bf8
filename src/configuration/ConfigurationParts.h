#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Error.h>
#include <map>

namespace Catkinwell {

// Where an applied configuration came from.
enum class ConfigurationSource {
    Store,
    Peer,
    Proposal,
    Initial,
};

std::string_view nameOf(ConfigurationSource);

inline constexpr std::string_view configurationHeadKey = "config/head";
// A part's key is this prefix followed by the SHA-256 of its text.
inline constexpr std::string_view configurationPartPrefix = "config/parts/";
// Below the store's limit of 1 MB for a value and the limit of a peer message.
inline constexpr std::size_t maximumPartBytes = 900000;

// An accepted change. The head lists the most recent ones, so that a proposer which did not receive the store's answer
// finds its change even after later ones.
struct AcceptedChange {
    std::string changeId;
    ConfigurationVersion version = 0;
};

// The value of config/head: the version and the content hashes of its parts.
struct ConfigurationHead {
    ConfigurationVersion version = 0;
    std::vector<std::string> parts;
    // Newest last.
    std::vector<AcceptedChange> recentChanges;
};

std::string headToJson(const ConfigurationHead&);

// Errors: InvalidConfiguration for anything that headToJson does not write.
Result<ConfigurationHead> parseHead(std::string_view json);

// Divides a configuration into parts by section and by a hash of each object's id, so that a change of one
// object changes one small part. Returns the texts by content hash.
// Errors: LimitReached if one part would exceed maximumPartBytes.
Result<std::map<std::string, std::string>> splitConfiguration(const FleetConfiguration&);

// Reads a configuration from the texts of its parts and validates it as a whole. The version stays 0.
// Errors: InvalidConfiguration.
Result<FleetConfiguration> joinConfiguration(const std::vector<std::string_view>& parts);

} // namespace Catkinwell
