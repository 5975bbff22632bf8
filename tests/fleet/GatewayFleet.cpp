#include "fleet/GatewayFleet.h"

#include <catkinwell/logging/LogEvent.h>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

namespace Catkinwell::Testing {

namespace {

    using Json = nlohmann::json;

    constexpr Duration taskInterval = std::chrono::milliseconds(2);
    constexpr Duration heartbeatInterval = std::chrono::milliseconds(400);
    constexpr Duration recordLifetime = 3 * heartbeatInterval;
    constexpr std::chrono::milliseconds longestPeerSilence { 1000 };
    // The platform's minimum time between orders of two hosts to one engine.
    constexpr int ownerSilenceMilliseconds = 3000;

    std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    // The address at which a host's connections to endpoints begin.
    std::string sourceAddress(std::size_t host) { return "127.0.1." + std::to_string(host + 1); }

    Json route(const char* name, const char* prefix, const char* type, const char* service)
    {
        return { { "name", name }, { "host", "test.example" }, { "prefix", prefix }, { "route_type", type },
            { "service", service }, { "timeout_ms", 8000 }, { "target_latency_ms", 800 }, { "priority", 2 },
            { "max_attempts", 3 }, { "resumable", std::string(type) == "streaming" } };
    }

    Json model(const char* name)
    {
        return { { "name", name }, { "weights_mb", 40000 }, { "load_time_s", 6 }, { "disk_s", 1.6 }, { "warm_s", 1.6 },
            { "adapters", 0 }, { "adapter_mb", 0 } };
    }

    Json account(const char* name, const char* key)
    {
        return { { "name", name }, { "api_keys", { key } }, { "unit", "request_count" }, { "rate_per_s", 2000 },
            { "burst", 2000 } };
    }

    Json configuration(std::uint64_t version)
    {
        Json models = Json::array();
        for (const char* name : { "m1", "m2", "m3", "m4" })
            models.push_back(model(name));
        const Json engine { { "slots", 16 }, { "weights_mb", 80000 }, { "adapter_slots", 2 }, { "loads_per_s", 1 },
            { "models", models } };
        return { { "version", version },
            { "routes",
                { route("order", "/order/", "unsafe", "orders"), route("read", "/read/", "safe", "orders"),
                    route("note", "/note/", "streaming", "notes") } },
            { "services", { { { "name", "orders" } }, { { "name", "notes" }, { "engine", engine } } } },
            { "tenants", { account("a", "key-a"), account("b", "key-b") } } };
    }

} // namespace

GatewayFleet::GatewayFleet(GatewayFleetOptions options)
    : m_store(std::make_unique<FakeMetadataStore>(m_loop))
    , m_hosts(options.hosts)
{
    addEndpoints(options);
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host& host = m_hosts[i];
        host.name = "host-" + std::to_string(i);
        host.callerPort = freePort();
        host.statusPort = freePort();
        host.peerPort = freePort();
        host.relayPort = freePort();
        host.storeLink = std::make_unique<FaultProxy>(m_loop, m_store->open());
        host.peerLink = std::make_unique<FaultProxy>(m_loop, host.peerPort);
        host.relayLink = std::make_unique<FaultProxy>(m_loop, host.relayPort);
        writeSettings(i, Json::object());
    }
    m_store->put("op/config", configuration(1).dump());
    m_loop.callEvery(heartbeatInterval, [this] {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            if (m_endpoints[i].isListed)
                writeRecord(i);
        }
    });
    followEnds();
    m_thread = std::thread([this] { runLoop(); });
    try {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            start(i);
        waitUntilReady();
    } catch (const std::runtime_error&) {
        stopLoop();
        throw;
    }
}

GatewayFleet::~GatewayFleet()
{
    for (Host& host : m_hosts)
        host.process.reset();
    stopLoop();
}

void GatewayFleet::stopLoop()
{
    onLoop([this] { m_loop.stop(); });
    m_thread.join();
}

void GatewayFleet::addEndpoints(const GatewayFleetOptions& options)
{
    const auto add = [this, &options](const std::string& id, const char* service) -> FakeEndpoint& {
        Endpoint endpoint;
        endpoint.fake
            = std::make_unique<FakeEndpoint>(m_loop, id, service, m_records, options.seed + m_endpoints.size());
        m_endpoints.push_back(std::move(endpoint));
        return *m_endpoints.back().fake;
    };
    for (std::size_t i = 0; i < options.plainEndpoints; ++i)
        add("o-" + std::to_string(i), "orders");
    const char* const models[] { "m1", "m2", "m3", "m4" };
    for (std::size_t i = 0; i < options.engines; ++i) {
        LoadedModels held;
        held[ModelId(models[i % 2])];
        held[ModelId(models[2 + i % 2])];
        FakeEndpoint& engine = add("e-" + std::to_string(i), "notes");
        engine.makeEngine(held);
        if (options.hasTwoVersions && i / 2 % 2 == 1)
            engine.setVersion("v2");
    }
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        m_endpoints[i].fake->open();
        m_endpoints[i].link = std::make_unique<FaultProxy>(m_loop, m_endpoints[i].fake->port());
        writeRecord(i);
    }
}

// A crashed endpoint says nothing; its record lapses.
void GatewayFleet::followEnds()
{
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        m_endpoints[i].fake->signalEnded().connect([this, i](const std::string& id) {
            m_endpoints[i].link->setState(LinkState::Refused);
            m_loop.callLater(recordLifetime, [this, id] { m_store->erase("servers/" + id); });
        });
        m_endpoints[i].fake->signalStarted().connect([this, i] {
            m_endpoints[i].link->setState(LinkState::Open);
            if (m_endpoints[i].isListed)
                writeRecord(i);
        });
    }
}

void GatewayFleet::runLoop()
{
    m_loop.callEvery(taskInterval, [this] {
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard lock(m_mutex);
            tasks.swap(m_tasks);
        }
        for (const auto& task : tasks)
            task();
    });
    m_loop.run();
}

void GatewayFleet::onLoop(const std::function<void()>& task)
{
    std::promise<void> done;
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.emplace_back([&task, &done] {
            task();
            done.set_value();
        });
    }
    done.get_future().wait();
}

std::string GatewayFleet::settingsFile(std::size_t host) const
{
    return m_folder.path() + "/" + m_hosts[host].name + ".json";
}

std::string GatewayFleet::logFile(std::size_t host) const
{
    return m_folder.path() + "/" + m_hosts[host].name + ".log";
}

void GatewayFleet::writeSettings(std::size_t index, const Json& changes) const
{
    const Host& host = m_hosts[index];
    Json settings { { "host", host.name }, { "data_centre", "dc1" }, { "caller_address", address(host.callerPort) },
        { "status_address", address(host.statusPort) }, { "peer_address", address(host.peerPort) },
        { "announced_peer_address", address(host.peerLink->port()) }, { "relay_address", address(host.relayPort) },
        { "announced_relay_address", address(host.relayLink->port()) },
        { "store_address", address(host.storeLink->port()) }, { "source_address", sourceAddress(index) },
        { "owner_silence_ms", ownerSilenceMilliseconds },
        { "requests", { { "retry_fraction", 0.5 }, { "retry_constant", 1000 } } } };
    settings.update(changes);
    std::ofstream(settingsFile(index)) << settings.dump();
}

void GatewayFleet::start(std::size_t host)
{
    m_hosts[host].process.reset();
    // With another release at hand, every second start of a host runs it, and neighbours run different ones.
    const char* otherRelease = std::getenv("CATKINWELL_OTHER_BINARY");
    const bool isOther = otherRelease && (host + m_hosts[host].starts++) % 2 == 1;
    m_hosts[host].process = std::make_unique<ChildProcess>(
        std::vector<std::string> { isOther ? otherRelease : binaryPath(), "gateway", "--config", settingsFile(host) },
        logFile(host));
}

bool GatewayFleet::isReady(std::size_t host) const
{
    return send({ m_hosts[host].statusPort, "GET", "/ready", {}, {}, std::chrono::milliseconds(500) }).status == 200;
}

void GatewayFleet::waitUntilReady(std::chrono::milliseconds timeout)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!eventually([this, i] { return isReady(i); }, timeout))
            throw std::runtime_error(m_hosts[i].name + " is not ready: " + m_hosts[i].process->output());
    }
}

void GatewayFleet::waitUntilConnected()
{
    const auto hearsAll = [this](std::size_t host) {
        const Json peers = status(host).value("peers", Json::object());
        return peers.size() + 1 == m_hosts.size() && std::all_of(peers.begin(), peers.end(), [](const Json& peer) {
            return peer.value("silent_ms", std::int64_t { 0 }) < longestPeerSilence.count();
        });
    };
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!eventually([&] { return hearsAll(i); }, std::chrono::seconds(5)))
            throw std::runtime_error(
                m_hosts[i].name + " does not receive messages from all others: " + status(i).dump());
    }
}

RequestAccounts GatewayFleet::accounts(std::size_t host, const std::string& moment) const
{
    const Json callers = status(host).value("callers", Json::object());
    RequestAccounts accounts { moment + ", " + m_hosts[host].name, callers.value("read", std::uint64_t { 0 }), 0 };
    for (const Json& count : callers.value("ended", Json::object()))
        accounts.ended += count.get<std::uint64_t>();
    return accounts;
}

std::optional<RequestAccounts> GatewayFleet::accountsAtEnd(std::size_t host) const
{
    std::optional<RequestAccounts> accounts;
    std::istringstream lines(m_hosts[host].process->output());
    for (std::string line; std::getline(lines, line);) {
        const Json entry = Json::parse(line, nullptr, false);
        if (!entry.is_object() || entry.value("event", 0) != static_cast<int>(LogEvent::RequestsCounted)
            || entry.value("listener", "") != "callers")
            continue;
        const std::uint64_t read = std::stoull(entry.value("read", "0"));
        accounts = { "end of " + m_hosts[host].name, read, read - std::stoull(entry.value("open", "0")) };
    }
    return accounts;
}

Json GatewayFleet::status(std::size_t host) const
{
    const HttpAnswer answer
        = send({ m_hosts[host].statusPort, "GET", "/status", {}, {}, std::chrono::milliseconds(500) });
    const Json body = Json::parse(answer.body, nullptr, false);
    return body.is_object() ? body : Json::object();
}

void GatewayFleet::configure(std::uint64_t version, const Json& changes)
{
    Json document = configuration(version);
    document.update(changes);
    onLoop([this, &document] { m_store->put("op/config", document.dump()); });
}

void GatewayFleet::writeRecord(std::size_t index)
{
    Endpoint& endpoint = m_endpoints[index];
    if (endpoint.fake->isDown())
        return;
    m_store->put("servers/" + endpoint.fake->id(),
        endpoint.fake->nextRecord(endpoint.recordPort.value_or(endpoint.link->port())));
}

void GatewayFleet::setRecordPort(std::size_t index, std::uint16_t port)
{
    m_endpoints[index].recordPort = port;
    writeRecord(index);
}

void GatewayFleet::setListed(std::size_t index, bool isListed)
{
    m_endpoints[index].isListed = isListed;
    if (isListed)
        writeRecord(index);
    else
        m_store->erase("servers/" + m_endpoints[index].fake->id());
}

void GatewayFleet::setPath(std::size_t host, std::optional<LinkState> state)
{
    onLoop([this, host, state] {
        for (Endpoint& endpoint : m_endpoints)
            endpoint.link->setStateFor(sourceAddress(host), state);
    });
}

EndpointHistory GatewayFleet::records()
{
    EndpointHistory copy;
    onLoop([this, &copy] { copy = m_records; });
    return copy;
}

} // namespace Catkinwell::Testing
