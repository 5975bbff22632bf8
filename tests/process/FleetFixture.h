#pragma once

#include "process/EndpointLinks.h"
#include "process/ProcessHarness.h"
#include <memory>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

struct FleetOptions {
    std::size_t hosts = 1;
    std::size_t engines = 2;
    // The time between the tokens of the emulated engines.
    int tokenMilliseconds = 2;
    bool enginesIgnoreFencing = false;
    // Places a proxy before each endpoint, which can break the links of one host.
    bool hasEndpointLinks = false;
    // Merged into the settings of each host.
    nlohmann::json settings = nlohmann::json::object();
    // Changes the fleet document before it is proposed.
    std::function<void(nlohmann::json&)> adjust = [](nlohmann::json&) {};
};

// Runs real processes on the loopback address: a store, engines, one plain service and hosts, with an active fleet
// configuration and one granted key.
class FleetFixture {
public:
    explicit FleetFixture(FleetOptions = {});

    static constexpr const char* key = "ck-test-key-0123456789";
    static constexpr const char* adminToken = "operator-token-for-tests";

    std::uint16_t callerPort(std::size_t host = 0) const { return m_hostPorts[host].callers; }
    std::uint16_t adminPort(std::size_t host = 0) const { return m_hostPorts[host].administration; }
    std::uint16_t relayPort(std::size_t host = 0) const { return m_hostPorts[host].relays; }
    std::uint16_t enginePort(std::size_t engine) const { return m_enginePorts[engine]; }
    std::uint16_t servicePort() const { return m_servicePort; }
    std::uint16_t storePort() const { return m_storePort; }
    ChildProcess& host(std::size_t index = 0) { return *m_hosts[index]; }
    ChildProcess& engine(std::size_t index) { return *m_engines[index]; }
    ChildProcess& service() { return *m_service; }

    HttpCall completion(
        const std::string& model, const std::string& prompt, bool stream = false, std::size_t host = 0) const;
    HttpCall order(const std::string& body, const std::string& idempotencyKey, std::size_t host = 0) const;
    HttpCall admin(const std::string& method, const std::string& target, const nlohmann::json& body = {},
        std::size_t host = 0) const;

    // The links between a host and all endpoints, or those of the plain service, from now on.
    // Precondition: the options ask for endpoint links.
    void setEndpointLinks(std::size_t host, LinkState);
    void setServiceLink(std::size_t host, LinkState);
    // The links of a host to single endpoints: the engines and then the plain service.
    std::size_t endpointLinkCount() const { return m_enginePorts.size() + 1; }
    void setEndpointLink(std::size_t host, std::size_t endpoint, LinkState);
    void setStoreFaults(const nlohmann::json&) const;
    // Returns the requests that the plain service ran, oldest first.
    nlohmann::json serviceExecutions() const;
    // Takes effect when a host starts.
    void changeSettings(const nlohmann::json& changes) { m_settings.merge_patch(changes); }
    void startHost(std::size_t index);
    void stopHost(std::size_t index) { m_hosts[index].reset(); }

private:
    struct HostPorts {
        std::uint16_t callers = 0;
        std::uint16_t administration = 0;
        std::uint16_t peers = 0;
        std::uint16_t relays = 0;
    };

    nlohmann::json fleetDocument() const;
    // The port at which hosts reach an endpoint with this position among the links.
    std::uint16_t endpointPort(std::size_t index, std::uint16_t ownPort) const;
    std::unique_ptr<ChildProcess> start(const std::vector<std::string>& arguments, const std::string& name);

    TemporaryFolder m_folder;
    nlohmann::json m_settings;
    std::uint16_t m_storePort = 0;
    std::uint16_t m_servicePort = 0;
    std::vector<std::uint16_t> m_enginePorts;
    std::vector<HostPorts> m_hostPorts;
    // Before the engines, in their order, and the plain service.
    std::unique_ptr<EndpointLinks> m_endpointLinks;
    std::unique_ptr<ChildProcess> m_store;
    std::unique_ptr<ChildProcess> m_service;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
};

} // namespace Catkinwell::Testing
