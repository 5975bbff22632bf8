#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <catkinwell/gateway/HostDemand.h>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// Requests of one host that run on an endpoint.
struct RunningCount {
    EndpointId endpoint;
    ModelVariant variant;
    std::uint32_t count = 0;
};

// What each host tells the others several times a second. A later one replaces the earlier one.
struct HostDigest {
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    bool isLeaving = false;
    AccountUsage usage;
    // Only the owner of the placement is told.
    DemandReport demand;
    std::vector<RunningCount> running;
    // Fingerprints of requests that were running when an endpoint died, with the number of crashes.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> suspectFingerprints;
};

// A replica that will be ready.
struct ComingReplica {
    ModelVariant variant;
    std::uint32_t readyInMilliseconds = 0;
};

// What the owner knows and has ordered of one engine.
struct EngineNews {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    LoadedModels models;
    std::vector<ComingReplica> coming;
};

// The owner's view of the engines that changed, or of all.
struct PlacementNews {
    std::uint64_t fencingToken = 0;
    std::uint64_t sequence = 0;
    std::vector<EngineNews> engines;
};

// Asks a host for a configuration newer than this version.
struct ConfigurationWanted {
    std::uint64_t haveVersion = 0;
};

// A configuration document as the operators wrote it.
struct ConfigurationDocumentOffer {
    std::uint64_t version = 0;
    std::string document;
};

using GatewayMessage = std::variant<HostDigest, PlacementNews, ConfigurationWanted, ConfigurationDocumentOffer>;

// Encodes a message as CBOR. Thread safe.
std::string encodeGatewayMessage(const GatewayMessage&);

// Errors: InvalidMessage. Thread safe.
Result<GatewayMessage> decodeGatewayMessage(std::string_view cbor);

} // namespace Catkinwell
