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

// Settings of one gateway process. Settings shared by all hosts are in the operators' configuration instead.
struct GatewaySettings {
    HostId host;
    DataCentreId dataCentre;
    std::string callerAddress;
    // Answers /ready, /metrics and /status.
    std::string statusAddress;
    // A second address that serves the same paths; empty for none.
    std::string metricsAddress;
    std::string peerAddress;
    // Address at which the other hosts reach peerAddress; empty if it is the same.
    std::string announcedPeerAddress;
    // Accepts relayed requests of other hosts; empty if this host neither accepts nor sends any. By default the port
    // after that of peerAddress.
    std::string relayAddress;
    // Address at which the other hosts reach relayAddress; empty if it is the same.
    std::string announcedRelayAddress;
    // IP address at which connections to endpoints, other hosts and the store begin; empty to let the system choose.
    std::string sourceAddress;
    std::string storeAddress;
    // Prefix of the gateways' keys in the store.
    std::string storeKeyPrefix = "catkinwell/";
    Duration leaseTtl = std::chrono::seconds(2);
    // How long a new placement owner sends no orders.
    Duration ownerSilence = std::chrono::milliseconds(3300);
    // Within this time a host notices that its connection to the store went silent, and opens a new one. A longer time
    // needs fewer calls.
    Duration storeReconnect = std::chrono::seconds(3);
    // How long a host that shuts down still accepts requests, because the load balancer does not know of it yet; at
    // most half of the time for the shutdown, so that they can be completed.
    Duration shutdownAccepting = std::chrono::milliseconds(2900);
    // How long a shutdown may take.
    Duration shutdownGrace = std::chrono::seconds(8);
    // Memory that the process may use, in MB. The bytes of requests and answers that it keeps are bounded by parts of
    // it.
    unsigned memoryMb = 256;
    // How far the requests to a cold endpoint may exceed its rate; absent if cold endpoints are not treated apart.
    std::optional<ColdBounds> coldBounds;
    // From this number of hosts on, requests are spread over endpoints by the room to be expected, because reports of
    // the other hosts are old; with fewer hosts each request goes to the least loaded endpoint.
    unsigned spreadFromHosts = 12;
    // Cores that the process may use. Hosts with more of them read the endpoints' records for the others.
    double processorShare = 1;
    // Hosts of a data centre from which on one of them reads the endpoints' records for all; 0 for never.
    unsigned sharedReadingHosts = 5;
    // See ListenerSettings; at least 1.
    unsigned minimumBodyBytesPerSecond = 64;
    GatewayRequestSettings requests;
    EnginePlacementSettings placement;
    LogSettings log;
};

// Parses and validates settings in JSON. Errors: InvalidSettings that names the invalid field and what is expected.
// Thread safe.
Result<GatewaySettings> parseGatewaySettings(std::string_view json);

// Returns the names of the fields that differ and take effect only at the next start: identity, addresses, lease and
// log file, and the least rate of bodies. All others may change while the process runs. Thread safe.
std::vector<std::string> fieldsThatNeedRestart(const GatewaySettings& running, const GatewaySettings& wanted);

// Reads a settings file. Errors: those of parseGatewaySettings, and NotFound for an unreadable file. Thread safe.
Result<GatewaySettings> loadGatewaySettings(const std::string& file);

} // namespace Catkinwell
