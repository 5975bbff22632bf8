#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Catkinwell {

// The models and adapters in the memory of an engine.
using LoadedModels = std::map<ModelId, std::set<std::string>>;

// What an endpoint says of itself in the platform's store.
struct EndpointRecord {
    EndpointId id;
    std::string service;
    // IP address and port.
    std::string address;
    DataCentreId dataCentre;
    bool isLeaving = false;
    // How long a leaving endpoint still runs, if it says so.
    std::optional<Duration> remaining;
    // Requests that it runs together.
    unsigned slots = 1;
    // Distinguishes two runs under the same identifier.
    std::uint64_t incarnation = 0;
    // Rises with each record that the endpoint writes in one run. A lower one was overtaken.
    std::uint64_t heartbeat = 0;
    LoadedModels models;
    std::set<ModelId> inHostMemory;
    std::set<ModelId> onDisk;

    // Whether the other record is of the same run and was written before this one.
    bool isNewerThan(const EndpointRecord& other) const
    {
        return incarnation == other.incarnation && heartbeat > other.heartbeat;
    }
};

// An event: the state of an engine, some hundred milliseconds old.
struct EngineStatus {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    // Orders that it has accepted since its start.
    std::uint64_t orderCount = 0;
    // An order is under way.
    bool isBusy = false;
    unsigned waiting = 0;
    unsigned running = 0;
    LoadedModels models;
    std::set<ModelId> inHostMemory;
    std::set<ModelId> onDisk;
    // When it was asked for.
    MonotonicTime requestedAt {};
};

// An event: no readable state could be had.
struct EngineStatusFailed {
    EndpointId endpoint;
    std::string reason;
};

// An effect: asks an engine for its state.
struct FetchEngineStatus {
    EndpointId endpoint;
    std::string address;
};

enum class EngineOrderKind {
    Load,
    Unload,
};

std::string_view nameOf(EngineOrderKind);

// An effect: orders an engine to load or unload a model or an adapter of a loaded model.
struct EngineOrder {
    CommandId id;
    EndpointId endpoint;
    std::string address;
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    // Empty for the model itself.
    std::string adapter;
    // The order is refused if the engine has accepted another number of orders.
    std::uint64_t expectedOrderCount = 0;
    // Who gives the order, and under which fencing token.
    HostId holder;
    std::uint64_t fencingToken = 0;
    // The order is not sent after this time.
    MonotonicTime validUntil {};
};

enum class EngineOrderOutcome {
    // It is being carried out.
    Accepted,
    // It holds already.
    AlreadyDone,
    // Another order is under way, or the number of accepted orders differs.
    Conflict,
    // The fencing token is older than one that the engine has seen.
    Fenced,
    // Another endpoint has this address now.
    Misdirected,
    // The engine refused it for another reason.
    Rejected,
    // Nothing was sent.
    NotSent,
    // No answer: it may be carried out, also later.
    Unknown,
};

std::string_view nameOf(EngineOrderOutcome);

// An event: what became of an order.
struct EngineOrderFinished {
    EngineOrder order;
    EngineOrderOutcome outcome = EngineOrderOutcome::Unknown;
};

} // namespace Catkinwell
