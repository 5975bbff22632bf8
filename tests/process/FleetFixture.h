#pragma once

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

    void setStoreFaults(const nlohmann::json&) const;
    // Returns the requests that the plain service ran, oldest first.
    nlohmann::json serviceExecutions() const;
    void startHost(std::size_t index);
    void stopHost(std::size_t index) { m_hosts[index].reset(); }

private:
    struct HostPorts {
        std::uint16_t callers = 0;
        std::uint16_t administration = 0;
        std::uint16_t peers = 0;
    };

    nlohmann::json fleetDocument() const;
    std::unique_ptr<ChildProcess> start(const std::vector<std::string>& arguments, const std::string& name);

    TemporaryFolder m_folder;
    std::uint16_t m_storePort = 0;
    std::uint16_t m_servicePort = 0;
    std::vector<std::uint16_t> m_enginePorts;
    std::vector<HostPorts> m_hostPorts;
    std::unique_ptr<ChildProcess> m_store;
    std::unique_ptr<ChildProcess> m_service;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::vector<std::unique_ptr<ChildProcess>> m_hosts;
};

} // namespace Catkinwell::Testing
