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
    // Role names: read, operate, grant_keys.
    std::vector<std::string> roles;
};

// The settings of one process. Settings that all hosts share are in the fleet configuration.
struct ProcessSettings {
    HostId host;
    DataCentreId dataCentre;
    ListenerSettings callers;
    ListenerSettings administration;
    std::vector<AdminCredentialSettings> credentials;
    // IP address and port that other hosts connect to.
    std::string peerAddress;
    // Where other hosts connect to have requests served that they cannot bring to an endpoint; empty if this host
    // neither accepts nor sends such requests.
    std::string relayAddress;
    // The secret that authenticates messages between hosts.
    std::string clusterSecret;
    // Initial peers, used until the platform's list of hosts has been read.
    std::map<HostId, std::string> seedPeers;
    std::string storeAddress;
    // IP address at which connections to endpoints, the store and relaying hosts begin; empty if the system chooses.
    std::string sourceAddress;
    LogSettings log;
    Duration shutdownGrace = std::chrono::seconds(120);
    // Memory that the process may use, in MB. A quarter of it may be taken by requests that have not arrived whole.
    unsigned memoryMb = 1024;
};

// Parses and validates settings. Secrets are read from the files or environment variables named in
// the settings. Errors: InvalidSettings with the path of the invalid field, the value found and
// the value expected; for an unknown field also the most similar known one. Thread safe
// as long as no other thread changes the environment.
Result<ProcessSettings> parseProcessSettings(std::string_view json);

// Reads a settings file. Errors: as parseProcessSettings(), and NotFound for an unreadable file.
Result<ProcessSettings> loadProcessSettings(const std::string& file);

} // namespace Catkinwell
