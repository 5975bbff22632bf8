#pragma once

#include "gateway/FakeEngine.h"
#include "gateway/GatewayFixture.h"
#include <catkinwell/gateway/GatewayReducer.h>
#include <catkinwell/store/StoreEpochTracker.h>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

// The platform's store in simulated time: items, leases, a history for watches, and copies from which it is restored.
class SimulatedStore {
public:
    // The reply to a call; nullopt for a watch without changes.
    std::optional<StoreReply> answer(const StoreCall&, MonotonicTime now);
    std::vector<StoreEntry> changesOf(const StoreWatchPrefix&) const;
    void expireLeases(MonotonicTime now);

    void put(const std::string& key, const std::string& value, const LeaseId& lease = {});
    void erase(const std::string& key);
    std::string value(const std::string& key) const;
    std::vector<std::string> keys(const std::string& prefix) const;

    void saveCopy() { m_copy = m_state; }
    // Goes back to the copy, whose leases begin anew.
    void restore(MonotonicTime now);
    StoreEpoch epoch() const { return m_epoch; }
    StoreVersion version() const { return m_state.version; }

private:
    struct Item {
        StoreEntry entry;
        LeaseId lease;
    };
    struct Lease {
        Duration ttl {};
        MonotonicTime endsAt {};
    };
    struct State {
        std::map<std::string, Item> items;
        std::map<LeaseId, Lease> leases;
        std::vector<StoreEntry> history;
        StoreVersion version = 1;
        std::uint64_t lastLease = 0;
    };

    StoreReply write(const StoreCompareAndSwap&);
    void endLease(const LeaseId&);

    State m_state;
    State m_copy;
    StoreEpoch m_epoch = 1;
};

// Documents in JSON: {"service", "heartbeat", "leaving", "version", "incarnation", "models", "zone"} for endpoints, a
// version for a configuration. A configuration whose document ends with a space has an additional route; one that ends
// with " split" divides resumable streams between the services "notes" and "drafts".
class SimulatedProtocol final : public ReplayProtocol {
public:
    std::string operatorPrefix() const override { return "configuration"; }
    std::string configurationKey() const override { return "configuration"; }
    std::string endpointPrefix() const override { return "endpoints/"; }
    std::optional<DataCentreId> evacuatedDataCentre(std::string_view key) const override
    {
        return evacuatedUnder("configuration/evacuate/", key);
    }
    Result<GatewayConfiguration> readConfiguration(std::string_view document) const override;
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override;
};

// Reducers of several gateways with one store in simulated time. Messages between hosts with the same secret arrive
// after one step. Engines of the service "notes" carry out the orders.
class SimulatedFleet {
public:
    struct Order {
        std::size_t host = 0;
        EndpointId engine;
        std::uint64_t token = 0;
        MonotonicTime at {};
    };

    using Adjust = std::function<void(std::size_t host, GatewaySettings&)>;

    // The settings of each host are adjusted before it starts.
    explicit SimulatedFleet(std::size_t hosts, std::size_t engines = 0, Adjust adjust = {});

    void run(Duration);
    // Runs with requests for models in turn, so that the owner gives orders.
    void runWithDemand(Duration);
    // The request's identifier for the caller is "r" and the returned number.
    RequestId arrive(std::size_t host, const std::string& target, const std::string& model = "",
        const std::string& part = "", const HeaderList& more = {});
    // Sends the head and the first events of the answer to an attempt, ends the answer, or breaks its connection.
    void begin(std::size_t attempt, int events, const HeaderList& more = {});
    // The endpoint states that it did not run the request.
    void reject(std::size_t attempt, const HeaderList& more = {});
    void finish(std::size_t attempt);
    void breakOff(std::size_t attempt);
    void fail(std::size_t attempt, AttemptOutcome, AttemptFailure);
    void callerLeaves(std::size_t host, RequestId id) { apply(host, CallerLeft { id }); }

    void start(std::size_t host);
    void kill(std::size_t host)
    {
        m_hosts[host].reducer.reset();
        m_hosts[host].watches.clear();
    }
    bool isRunning(std::size_t host) const { return m_hosts[host].reducer != nullptr; }
    // The host gets no answers from the store while it is disconnected.
    void setConnected(std::size_t host, bool isConnected);
    // The store does not answer the host's calls, also those that wait, so that they end with their timeouts.
    void setSilent(std::size_t host, bool isSilent);
    // The host reaches neither the store nor other hosts while it is isolated.
    void setIsolated(std::size_t host, bool isIsolated);
    // The host does nothing while it is frozen; messages to it wait.
    void setFrozen(std::size_t host, bool isFrozen) { m_hosts[host].isFrozen = isFrozen; }
    void restoreStore();

    nlohmann::json status(std::size_t host);
    // Host that began to give orders last.
    std::size_t orderingHost() const { return m_orderingHost; }
    // The host that holds the owner key; hostCount() if there is none.
    std::size_t owner() const;
    std::size_t hostCount() const { return m_hosts.size(); }
    std::string secretOf(std::size_t host) const { return m_hosts[host].secret; }

    SimulatedStore store;
    MonotonicTime now { std::chrono::hours(1) };
    std::vector<Order> orders;
    std::vector<StartAttempt> attempts;
    // The host of each attempt.
    std::vector<std::size_t> attemptHosts;
    // Requests that a host sent to another one.
    std::size_t relays = 0;
    // How long callers wait.
    Duration callerTime = std::chrono::seconds(4);
    // Whether the host can open connections to the endpoint; answers probes.
    std::function<bool(std::size_t host, const EndpointId&)> reaches
        = [](std::size_t, const EndpointId&) { return true; };
    // The data centres of engines that are not in "here".
    std::map<EndpointId, std::string> zones;
    // Endpoints for which a host ended what was not sent yet.
    std::vector<EndpointId> withheld;
    // Lists of this prefix get no answer.
    std::string unansweredPrefix;
    // Setting of hosts that are started from then on.
    std::optional<ColdBounds> coldBounds;
    // Whether messages from one host reach the other.
    std::function<bool(std::size_t from, std::size_t to)> links = [](std::size_t, std::size_t) { return true; };
    // How long a document of the configuration takes on the link of the host that receives it, one after the other.
    Duration documentTime {};
    // Documents that were sent to each host.
    std::map<std::size_t, std::size_t> documents;
    // Whether requests for one target have the same body.
    bool areBodiesEqual = false;
    // Whether attempts get an empty answer at once.
    bool answersAttempts = true;
    std::vector<SendWholeResponse> answers;
    // Streams whose end was sent to the caller.
    std::set<RequestId> finishedStreams;
    std::vector<LogEntry> logs;
    // Store calls by operation: lists, other reads and watches, writes.
    std::size_t lists = 0;
    std::size_t writes = 0;
    // All calls and watches by their purpose.
    std::map<StoreUser, std::size_t> calls;

private:
    struct PendingWatch {
        StoreCall call;
        MonotonicTime sentAt {};
        MonotonicTime endsAt {};
    };
    struct DelayedMessage {
        PeerMessageReceived message;
        MonotonicTime at {};
    };
    struct Host {
        std::unique_ptr<GatewayReducer> reducer;
        std::vector<PendingWatch> watches;
        std::vector<PendingWatch> lostCalls;
        std::vector<DelayedMessage> delayed;
        MonotonicTime linkFreeAt {};
        std::vector<GatewayEvent> inbox;
        StoreEpochTracker epochs;
        std::string secret;
        Incarnation incarnation = 0;
        bool isConnected = true;
        bool isSilent = false;
        bool isFrozen = false;
        bool isIsolated = false;
    };

    // A relayed request: the attempt at the relaying host, and the request at the serving one.
    struct Relay {
        std::size_t from = 0;
        AttemptId attempt;
        std::size_t to = 0;
        RequestId request;
    };

    void step();
    void execute(std::size_t host, const StartRelay&);
    // Passes on what a host does about a relayed request. Returns whether it is one.
    template <typename Answer> bool passOn(std::size_t host, const Answer&);
    void cancelRelay(std::size_t host, AttemptId);
    void apply(std::size_t host, const GatewayEvent&);
    void execute(std::size_t host, const StoreCall&);
    void execute(std::size_t host, const EngineOrder&);
    void reply(std::size_t host, const StoreCall&, StoreReply, MonotonicTime sentAt, StoreEpoch atSending);
    void answerWatches(std::size_t host);
    void endLostCalls(std::size_t host);
    void deliver(std::size_t host, PeerMessageReceived);
    void deliverDelayed(std::size_t host);
    static void breakWatches(Host&);
    HostId idOf(std::size_t host) const { return HostId("host" + std::to_string(host)); }

    SimulatedProtocol m_protocol;
    Adjust m_adjust;
    std::vector<Host> m_hosts;
    std::vector<Relay> m_relays;
    std::map<EndpointId, FakeEngine> m_engines;
    std::size_t m_orderingHost = 0;
    std::uint64_t m_lastRequest = 0;
    Incarnation m_lastIncarnation = 0;
    MonotonicTime m_nextHeartbeatAt {};
    std::uint64_t m_heartbeat = 100;
};

} // namespace Catkinwell::Testing
