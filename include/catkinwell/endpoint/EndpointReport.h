#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

enum class ReplicaState {
    Loading,
    Loaded,
    Unloading,
};

std::string_view nameOf(ReplicaState);

// An engine's report on one model in its accelerator memory.
struct ReportedReplica {
    ModelId model;
    ReplicaState state = ReplicaState::Loaded;
    std::uint64_t memoryBytes = 0;
    // The placement command that loaded it, 0 if unknown.
    CommandId command;
};

// Where the endpoint's server can load a checkpoint from, in the order from fastest to slowest.
enum class CacheTier {
    Memory,
    Disk,
    Remote,
};

std::string_view nameOf(CacheTier);

struct CachedCheckpoint {
    ModelId model;
    CacheTier tier = CacheTier::Remote;
};

// The state that an endpoint reported; it may be out of date.
struct EndpointReport {
    EndpointId endpoint;
    // When the request for this report was sent and when its response had arrived completely.
    MonotonicTime requestedAt {};
    MonotonicTime receivedAt {};
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t capacity = 0;
    std::uint64_t memoryBytes = 0;
    std::uint64_t memoryUsedBytes = 0;
    std::uint64_t highestFencingToken = 0;
    std::vector<ReportedReplica> replicas;
    std::vector<CachedCheckpoint> cachedCheckpoints;
};

// An event: a report could not be fetched.
struct EndpointReportFailed {
    EndpointId endpoint;
    std::string reason;
    // No connection could be opened, so the endpoint's process is not running or not reachable.
    bool connectionFailed = false;
    // How the connection failed; absent if the endpoint answered.
    std::optional<AttemptFailure> failure {};
};

// An effect: fetches the endpoint's report. EndpointReport or EndpointReportFailed follows.
struct FetchEndpointReport {
    EndpointId endpoint;
    std::string address;
    Duration timeout = std::chrono::seconds(1);
};

} // namespace Catkinwell
