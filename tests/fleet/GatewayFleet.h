#pragma once

#include "fleet/FaultProxy.h"
#include "platform/FakeEndpoint.h"
#include "platform/FakeMetadataStore.h"
#include "process/ProcessHarness.h"
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace Catkinwell::Testing {

struct GatewayFleetOptions {
    std::size_t hosts = 3;
    std::size_t plainEndpoints = 3;
    std::size_t engines = 3;
    std::uint64_t seed = 1;
    // Whether every second pair of engines has the software version "v2" instead of "v1".
    bool hasTwoVersions = false;
};

// What a host has counted of its callers' requests.
struct RequestAccounts {
    // When the counts were taken, for a report.
    std::string moment;
    std::uint64_t read = 0;
    std::uint64_t ended = 0;
};

// Gateway processes with fakes of the platform's services, which run on a thread of the test. There are two services:
// "orders" with plain endpoints, and "notes" with engines for the models m1 to m4, of which each engine holds two. The
// accounts "a" and "b" have the keys "key-a" and "key-b". Requests to /order/ run at most once, requests to /read/ are
// idempotent, and /note/ is a resumable stream. All connections of a host to the store, to other hosts and to endpoints
// go through proxies. If the environment variable CATKINWELL_OTHER_BINARY names the program of another release, hosts
// of both run side by side and change the release at each start.
class GatewayFleet {
public:
    explicit GatewayFleet(GatewayFleetOptions = {});
    ~GatewayFleet();

    std::size_t hostCount() const { return m_hosts.size(); }
    std::size_t endpointCount() const { return m_endpoints.size(); }
    std::uint16_t callerPort(std::size_t host) const { return m_hosts[host].callerPort; }
    ChildProcess& process(std::size_t host) { return *m_hosts[host].process; }

    void start(std::size_t host);
    // Returns whether the host reports that it is ready.
    bool isReady(std::size_t host) const;
    // Waits until all hosts are ready. Throws std::runtime_error on timeout.
    void waitUntilReady(std::chrono::milliseconds timeout = std::chrono::seconds(12));
    // Waits until every host receives messages from all others. Throws std::runtime_error on timeout.
    void waitUntilConnected();
    // What the host has counted of its callers' requests; zeros if it does not answer.
    RequestAccounts accounts(std::size_t host, const std::string& moment) const;
    // The same as its process logged it when it last ended; nullopt if it has not.
    std::optional<RequestAccounts> accountsAtEnd(std::size_t host) const;
    // Returns the host's answer to /status.
    nlohmann::json status(std::size_t host) const;
    void writeSettings(std::size_t host, const nlohmann::json& changes) const;

    // Writes an operators' configuration with this version, and with these fields in place of the usual ones, to the
    // store.
    void configure(std::uint64_t version, const nlohmann::json& changes = nlohmann::json::object());

    // Runs the function on the thread of the fakes and waits for it. The fakes may be used only on that thread.
    void onLoop(const std::function<void()>&);
    FakeMetadataStore& store() { return *m_store; }
    FakeEndpoint& endpoint(std::size_t index) { return *m_endpoints[index].fake; }
    FaultProxy& storeLink(std::size_t host) { return *m_hosts[host].storeLink; }
    FaultProxy& peerLink(std::size_t host) { return *m_hosts[host].peerLink; }
    FaultProxy& relayLink(std::size_t host) { return *m_hosts[host].relayLink; }
    FaultProxy& endpointLink(std::size_t index) { return *m_endpoints[index].link; }
    // Sets the state of the host's connections to all endpoints; nullopt ends it.
    void setPath(std::size_t host, std::optional<LinkState>);
    // Makes the endpoint stop or resume writing its record. Its record is deleted when it stops.
    void setListed(std::size_t endpoint, bool isListed);
    void writeRecord(std::size_t endpoint);
    // Makes the endpoint's record name this port of another server from now on.
    void setRecordPort(std::size_t endpoint, std::uint16_t port);

    EndpointHistory records();

private:
    struct Host {
        std::string name;
        std::uint16_t callerPort = 0;
        std::uint16_t statusPort = 0;
        std::uint16_t peerPort = 0;
        std::uint16_t relayPort = 0;
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<FaultProxy> peerLink;
        std::unique_ptr<FaultProxy> relayLink;
        std::unique_ptr<ChildProcess> process;
        std::size_t starts = 0;
    };

    struct Endpoint {
        std::unique_ptr<FakeEndpoint> fake;
        std::unique_ptr<FaultProxy> link;
        // The port in its record if that is another server's.
        std::optional<std::uint16_t> recordPort;
        bool isListed = true;
    };

    void addEndpoints(const GatewayFleetOptions&);
    void followEnds();
    void runLoop();
    void stopLoop();
    std::string settingsFile(std::size_t host) const;
    std::string logFile(std::size_t host) const;

    TemporaryFolder m_folder;
    EventLoop m_loop;
    EndpointHistory m_records;
    std::unique_ptr<FakeMetadataStore> m_store;
    std::vector<Endpoint> m_endpoints;
    std::vector<Host> m_hosts;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    std::thread m_thread;
};

} // namespace Catkinwell::Testing
