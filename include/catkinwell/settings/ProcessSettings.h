#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/logging/EventLog.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

struct AdminCredentialSettings {
    std::string name;
    // SHA-256 of the token in hexadecimal digits.
    std::string tokenSha256;
    // Names of roles: read, operate, grant_keys.
    std::vector<std::string> roles;
};

// The settings of one process. What all hosts share is in the fleet configuration instead.
struct ProcessSettings {
    HostId host;
    DataCentreId dataCentre;
    ListenerSettings callers;
    ListenerSettings administration;
    std::vector<AdminCredentialSettings> credentials;
    // IP address and port at which other hosts reach this one.
    std::string peerAddress;
    // The secret that authenticates messages between hosts.
    std::string clusterSecret;
    // Hosts that are known before the platform's list has been read.
    std::map<HostId, std::string> seedPeers;
    std::string storeAddress;
    LogSettings log;
    Duration shutdownGrace = std::chrono::seconds(120);
};

// Reads and checks settings. Secrets are read from the files or environment variables that the
// settings name. Errors: InvalidSettings that gives the path of the wrong field,
// what was found and what is expected; for an unknown field the nearest known one. Thread safe
// as long as no other thread changes the environment.
Result<ProcessSettings> parseProcessSettings(std::string_view json);

// Reads a settings file. Errors: as parseProcessSettings, and NotFound for an unreadable file.
Result<ProcessSettings> loadProcessSettings(const std::string& file);

} // namespace Catkinwell
