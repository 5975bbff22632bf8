#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/EndpointLimits.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <catkinwell/gateway/HostDemand.h>
#include <catkinwell/gateway/SharedReading.h>
#include <catkinwell/gateway/StoreLoadForecast.h>
#include <catkinwell/gateway/StreamVersions.h>
#include <catkinwell/routing/PromptQuarantine.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// Number of one host's requests that run on an endpoint.
struct RunningCount {
    EndpointId endpoint;
    ModelVariant variant;
    std::uint32_t count = 0;
};

// State that each host sends to the other hosts periodically. A newer digest replaces an older one.
struct HostDigest {
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    bool isLeaving = false;
    AccountUsage usage;
    // Sent only to the placement owner.
    DemandReport demand;
    std::vector<RunningCount> running;
    PromptQuarantineDigest prompts;
    EndpointLimitDigest limits;
    // Services to whose endpoints the host has no path.
    std::set<std::string> unreachableServices;
    // Services whose endpoints fall over if they reject more requests in a second than given.
    std::map<std::string, double> brittleServices;
    // Hosts that are not live but may serve across a partition.
    std::vector<MissingHost> missingHosts;
    // Sent only to hosts of the same data centre, if one of them may read for the others.
    std::optional<ReadingFitness> reading;
};

// A replica that is being loaded.
struct PendingReplica {
    ModelVariant variant;
    std::uint32_t readyInMilliseconds = 0;
};

// The placement owner's view of one engine: what it holds and what was ordered.
struct EngineUpdate {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    LoadedModels models;
    std::vector<PendingReplica> pendingReplicas;
};

// The placement owner's view of engines that changed, or whose own records do not show their state yet.
struct PlacementUpdate {
    std::uint64_t fencingToken = 0;
    std::uint64_t sequence = 0;
    std::vector<EngineUpdate> engines;
    // One for each service whose models are loaded from the weight store; empty if the latest ones still hold.
    std::vector<StoreLoadForecast> forecasts {};
};

// Requests a configuration newer than this version.
struct ConfigurationWanted {
    std::uint64_t haveVersion = 0;
};

// A configuration document, as the operators wrote it.
struct ConfigurationDocumentOffer {
    std::uint64_t version = 0;
    std::string document;
};

// Streams of the sender that began, or its answer to a question.
struct StreamBeginnings {
    std::vector<StreamBeginning> streams;
};

// Asks at which software version a stream began.
struct StreamVersionWanted {
    StreamKey stream = 0;
};

using GatewayMessage = std::variant<HostDigest, PlacementUpdate, ConfigurationWanted, ConfigurationDocumentOffer,
    StreamBeginnings, StreamVersionWanted, RecordBatch, RecordsWanted>;

// Encodes a message as CBOR. Thread safe.
std::string encodeGatewayMessage(const GatewayMessage&);

// Errors: InvalidMessage. Thread safe.
Result<GatewayMessage> decodeGatewayMessage(std::string_view cbor);

} // namespace Catkinwell
