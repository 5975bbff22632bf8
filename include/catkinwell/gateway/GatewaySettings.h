#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/GatewayRequests.h>
#include <catkinwell/logging/EventLog.h>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// The settings of one gateway process. What all hosts share is in the operators' configuration instead.
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    std::string callerAddress;
    // Answers /ready, /metrics and /status.
    std::string statusAddress;
    // A second address for the same answers; empty for none.
    std::string metricsAddress;
    std::string peerAddress;
    // Where the other hosts reach peerAddress; empty if that is the same.
    std::string announcedPeerAddress;
    std::string storeAddress;
    // The keys of the gateways in the store begin with this.
    std::string storeKeyPrefix = "catkinwell/";
    Duration leaseTtl = std::chrono::seconds(2);
    // How long a new owner of the placement gives no orders.
    Duration ownerSilence = std::chrono::milliseconds(3300);
    // How long a stopping process may take.
    Duration shutdownGrace = std::chrono::seconds(8);
    GatewayRequestSettings requests;
    EnginePlacementSettings placement;
    LogSettings log;
};

// Reads and checks settings in JSON. Errors: InvalidSettings that names the wrong field and what is expected.
// Thread safe.
Result<GatewaySettings> parseGatewaySettings(std::string_view json);

// Returns the names of the fields that differ and take effect only at the next start: identity, addresses, the lease
// and the log's file. All others may change while the process runs. Thread safe.
std::vector<std::string> fieldsThatNeedRestart(const GatewaySettings& running, const GatewaySettings& wanted);

// Reads a settings file. Errors: as parseGatewaySettings, and NotFound for an unreadable file. Thread safe.
Result<GatewaySettings> loadGatewaySettings(const std::string& file);

} // namespace Catkinwell
