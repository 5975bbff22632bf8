#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Catkinwell {

// Models and their adapters in the memory of an engine.
using LoadedModels = std::map<ModelId, std::set<std::string>>;

// What an endpoint states of itself in an answer of any kind.
struct EndpointNotice {
    // It will stop; it wants no new requests.
    bool isLeaving = false;
    // How long it wants no requests from this host; absent unless stated.
    std::optional<Duration> pause;
    // For how long it can handle only a few requests, because it started a short time ago; absent unless stated.
    std::optional<Duration> coldRemaining {};
    // Whether a cold time was stated that is no sensible duration.
    bool isColdTimeInvalid = false;
};

// The record that an endpoint publishes about itself in the platform's store.
struct EndpointRecord {
    EndpointId id;
    std::string service;
    // IP address and port.
    std::string address;
    DataCentreId dataCentre;
    // Version of the endpoint's software; endpoints of several versions serve side by side. Empty if unstated.
    std::string softwareVersion;
    bool isLeaving = false;
    // How long a leaving endpoint still runs; absent if unstated.
    std::optional<Duration> remaining;
    // Requests that it runs concurrently.
    unsigned slots = 1;
    // Distinguishes two runs under the same identifier.
    std::uint64_t incarnation = 0;
    // Increases with each record written in one run. A record with a lower value is outdated.
    std::uint64_t heartbeat = 0;
    LoadedModels models;
    std::set<ModelId> inHostMemory;
    std::set<ModelId> onDisk;
    // For how long from the time of the record it can handle only a few requests; absent unless stated.
    std::optional<Duration> coldRemaining {};
    // Whether a cold time was stated that is no sensible duration.
    bool isColdTimeInvalid = false;

    friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;

    // Whether the other record is from the same run and was written earlier.
    bool isNewerThan(const EndpointRecord& other) const
    {
        return incarnation == other.incarnation && heartbeat > other.heartbeat;
    }
};

// Event: the state of an engine, a few hundred milliseconds old.
struct EngineStatus {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    // Orders accepted since the engine started.
    std::uint64_t orderCount = 0;
    // Whether an order is being carried out.
    bool isBusy = false;
    unsigned waiting = 0;
    unsigned running = 0;
    LoadedModels models;
    std::set<ModelId> inHostMemory;
    std::set<ModelId> onDisk;
    // When the status was requested.
    MonotonicTime requestedAt {};
    EndpointNotice notice {};
};

// Event: the state of an engine could not be fetched or read.
struct EngineStatusFailed {
    EndpointId endpoint;
    std::string reason;
    // How the connection failed; absent if the engine answered.
    std::optional<AttemptFailure> failure {};
    EndpointNotice notice {};
};

// Effect: requests the state of an engine.
struct FetchEngineStatus {
    EndpointId endpoint;
    std::string address;
};

// Effect: asks an engine which requests it runs.
struct FetchRuns {
    EndpointId endpoint;
    std::string address;
    // Identifies the question in its answer.
    MonotonicTime requestedAt {};
    Duration timeout {};
};

// Event: which requests an engine runs, a few hundred milliseconds ago.
struct RunReport {
    EndpointId endpoint;
    MonotonicTime requestedAt {};
    // Events made for each running request, by its caller's identifier; absent if the engine does not list them.
    std::optional<std::map<std::string, std::uint64_t>> events;
    // Requests in the engine's queue.
    unsigned waiting = 0;
};

// Event: an engine did not say which requests it runs, or another endpoint has its address.
struct RunReportFailed {
    EndpointId endpoint;
    MonotonicTime requestedAt {};
    // How the connection failed; absent if there was an answer.
    std::optional<AttemptFailure> failure {};
};

enum class EngineOrderKind {
    Load,
    Unload,
};

std::string_view nameOf(EngineOrderKind);

// Effect: orders an engine to load or unload a model or an adapter of a loaded model.
struct EngineOrder {
    CommandId id;
    EndpointId endpoint;
    std::string address;
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    // Empty for the model itself.
    std::string adapter;
    // The engine refuses the order if it has accepted a different number of orders.
    std::uint64_t expectedOrderCount = 0;
    // The host that sends the order, and its fencing token.
    HostId holder;
    std::uint64_t fencingToken = 0;
    // The order is not sent after this time.
    MonotonicTime validUntil {};
};

enum class EngineOrderOutcome {
    // The order is being carried out.
    Accepted,
    // The requested state already holds.
    AlreadyDone,
    // Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    // The engine has seen a newer fencing token.
    Fenced,
    // Another endpoint now has this address.
    Misdirected,
    // The engine refused the order for another reason.
    Rejected,
    // The order was not sent.
    NotSent,
    // No answer was received; the order may be carried out, possibly later.
    Unknown,
};

std::string_view nameOf(EngineOrderOutcome);

// Event: the outcome of an order.
struct EngineOrderFinished {
    EngineOrder order;
    EngineOrderOutcome outcome = EngineOrderOutcome::Unknown;
    // What the engine answered, or why no answer came; for the log.
    std::string reason {};
};

} // namespace Catkinwell
