#include "process/FleetFixture.h"

#include <catkinwell/core/Digest.h>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace Catkinwell::Testing {

namespace {

    using Json = nlohmann::json;

    constexpr auto startTimeout = std::chrono::seconds(20);

    std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    // The address at which a host's connections to endpoints begin.
    std::string sourceAddress(std::size_t host) { return "127.0.1." + std::to_string(host + 1); }

    bool answers(std::uint16_t port, const std::string& target)
    {
        return send({ port, "GET", target, {}, {}, std::chrono::milliseconds(500) }).status != 0;
    }

} // namespace

FleetFixture::FleetFixture(FleetOptions options)
    : m_settings(options.settings)
{
    setenv("CATKINWELL_CLUSTER_SECRET", "secret-of-the-process-tests", 1);
    m_storePort = freePort();
    m_store = start({ "emulate", "store", "--listen", address(m_storePort) }, "store");
    m_servicePort = freePort();
    m_service = start({ "emulate", "engine", "--listen", address(m_servicePort) }, "service");
    for (std::size_t i = 0; i < options.engines; ++i) {
        m_enginePorts.push_back(freePort());
        std::vector<std::string> arguments { "emulate", "engine", "--listen", address(m_enginePorts[i]),
            "--load-seconds", "0.5", "--token-ms", std::to_string(options.tokenMilliseconds) };
        if (options.enginesIgnoreFencing)
            arguments.emplace_back("--ignore-fencing");
        m_engines.push_back(start(arguments, "engine-" + std::to_string(i)));
    }
    if (options.hasEndpointLinks) {
        std::vector<std::uint16_t> targets = m_enginePorts;
        targets.push_back(m_servicePort);
        m_endpointLinks = std::make_unique<EndpointLinks>(targets);
    }
    for (std::size_t i = 0; i < options.hosts; ++i)
        m_hostPorts.push_back({ freePort(), freePort(), freePort(), freePort() });
    m_hosts.resize(options.hosts);
    if (!eventually([this] { return answers(m_storePort, "/emulator/statistics"); }, startTimeout))
        throw std::runtime_error("the emulated store did not start");
    std::vector<std::uint16_t> endpointPorts = m_enginePorts;
    endpointPorts.push_back(m_servicePort);
    for (const std::uint16_t port : endpointPorts) {
        if (!eventually([port] { return answers(port, "/emulator/executions"); }, startTimeout))
            throw std::runtime_error("an emulated endpoint did not start");
    }
    for (std::size_t i = 0; i < options.hosts; ++i)
        startHost(i);
    Json document = fleetDocument();
    options.adjust(document);
    const auto accepted = [&] {
        HttpCall call = admin("PUT", "/admin/v1/configuration", document);
        call.headers["If-Match"] = "0";
        call.headers["X-Audit-Reason"] = "first configuration";
        return send(call).status == 200;
    };
    if (!eventually(accepted, startTimeout))
        throw std::runtime_error("the fleet configuration was not accepted: " + m_hosts[0]->output());
    for (std::size_t i = 0; i < options.hosts; ++i) {
        const HttpCall models { callerPort(i), "GET", "/v1/models",
            { { "Authorization", std::string("Bearer ") + key } } };
        if (!eventually([&] { return send(models).status == 200; }, startTimeout))
            throw std::runtime_error("the configuration did not reach a host: " + m_hosts[i]->output());
    }
}

std::unique_ptr<ChildProcess> FleetFixture::start(const std::vector<std::string>& arguments, const std::string& name)
{
    std::vector<std::string> command { binaryPath() };
    command.insert(command.end(), arguments.begin(), arguments.end());
    return std::make_unique<ChildProcess>(command, m_folder.path() + "/" + name + ".log");
}

void FleetFixture::startHost(std::size_t index)
{
    const HostPorts& ports = m_hostPorts[index];
    const std::string name = "host-" + std::to_string(index);
    Json seeds = Json::object();
    for (std::size_t other = 0; other < m_hostPorts.size(); ++other) {
        if (other != index)
            seeds["host-" + std::to_string(other)] = address(m_hostPorts[other].peers);
    }
    Json settings { { "host", name }, { "data_centre", "dc1" }, { "callers", { { "listen", address(ports.callers) } } },
        { "administration",
            { { "listen", address(ports.administration) },
                { "credentials",
                    Json::array({ { { "name", "tester" }, { "token_sha256", sha256Hex(adminToken) },
                        { "roles", { "read", "operate", "grant_keys" } } } }) } } },
        { "peers",
            { { "listen", address(ports.peers) }, { "relay_listen", address(ports.relays) },
                { "cluster_secret", { { "environment", "CATKINWELL_CLUSTER_SECRET" } } }, { "seeds", seeds } } },
        { "store", { { "address", address(m_storePort) } } } };
    if (m_endpointLinks)
        settings["source_address"] = sourceAddress(index);
    settings.merge_patch(m_settings);
    const std::string file = m_folder.path() + "/" + name + ".json";
    std::ofstream(file) << settings.dump();
    m_hosts[index] = start({ "serve", "--config", file }, name);
    if (!eventually([&] { return answers(ports.callers, "/healthz"); }, startTimeout))
        throw std::runtime_error("a host did not start: " + m_hosts[index]->output());
}

std::uint16_t FleetFixture::endpointPort(std::size_t index, std::uint16_t ownPort) const
{
    return m_endpointLinks ? m_endpointLinks->port(index) : ownPort;
}

void FleetFixture::setEndpointLinks(std::size_t host, LinkState state)
{
    for (std::size_t i = 0; i < endpointLinkCount(); ++i)
        setEndpointLink(host, i, state);
}

void FleetFixture::setEndpointLink(std::size_t host, std::size_t endpoint, LinkState state)
{
    m_endpointLinks->setState(endpoint, sourceAddress(host), state);
}

void FleetFixture::setServiceLink(std::size_t host, LinkState state)
{
    setEndpointLink(host, m_enginePorts.size(), state);
}

Json FleetFixture::fleetDocument() const
{
    Json document { { "version", 0 }, { "defaults", { { "request_deadline_seconds", 20 } } },
        { "accounts",
            Json::array(
                { { { "id", "quay" }, { "rate_tokens_per_second", 1'000'000 }, { "burst_tokens", 10'000'000 } } }) },
        { "keys", Json::array({ { { "sha256", sha256Hex(key) }, { "account", "quay" }, { "label", "test" } } }) },
        { "endpoints",
            Json::array(
                { { { "id", "desk-1" }, { "address", address(endpointPort(m_enginePorts.size(), m_servicePort)) },
                    { "data_centre", "dc1" }, { "kind", "service" }, { "pool", "desk" } } }) },
        { "models",
            Json::array({ { { "id", "notes" }, { "pool", "writer" }, { "memory_bytes", 1 << 30 },
                              { "expected_load_seconds", 0.5 }, { "maximum_replicas", 1 } },
                { { "id", "notes/de" }, { "pool", "writer" }, { "base_model", "notes" }, { "memory_bytes", 1 << 20 },
                    { "expected_load_seconds", 0.04 } } }) },
        { "routes",
            Json::array({ { { "path_prefix", "/orders" }, { "pool", "desk" }, { "idempotent", false },
                              { "cost_tokens", 1 } },
                { { "path_prefix", "/stock" }, { "pool", "desk" }, { "access", "open" }, { "idempotent", true } } }) },
        { "exceptions", Json::array() } };
    for (std::size_t i = 0; i < m_enginePorts.size(); ++i)
        document["endpoints"].push_back({ { "id", "writer-" + std::to_string(i) },
            { "address", address(endpointPort(i, m_enginePorts[i])) }, { "data_centre", "dc1" }, { "pool", "writer" },
            { "memory_bytes", 80ULL << 30 }, { "capacity_requests", 8 } });
    return document;
}

HttpCall FleetFixture::completion(
    const std::string& model, const std::string& prompt, bool stream, std::size_t host) const
{
    const Json body { { "model", model }, { "prompt", prompt }, { "max_tokens", 8 }, { "stream", stream } };
    return { callerPort(host), "POST", "/v1/completions",
        { { "Authorization", std::string("Bearer ") + key }, { "Content-Type", "application/json" } }, body.dump() };
}

HttpCall FleetFixture::order(const std::string& body, const std::string& idempotencyKey, std::size_t host) const
{
    HttpCall call { callerPort(host), "POST", "/orders", { { "Authorization", std::string("Bearer ") + key } }, body };
    if (!idempotencyKey.empty())
        call.headers["Idempotency-Key"] = idempotencyKey;
    return call;
}

HttpCall FleetFixture::admin(
    const std::string& method, const std::string& target, const Json& body, std::size_t host) const
{
    return { adminPort(host), method, target,
        { { "Authorization", std::string("Bearer ") + adminToken }, { "Content-Type", "application/json" } },
        body.is_null() ? "" : body.dump() };
}

void FleetFixture::setStoreFaults(const Json& faults) const
{
    send({ m_storePort, "PUT", "/emulator/faults", {}, faults.dump() });
}

Json FleetFixture::serviceExecutions() const
{
    const HttpAnswer answer = send({ m_servicePort, "GET", "/emulator/executions" });
    return Json::parse(answer.body).at("executions");
}

} // namespace Catkinwell::Testing
