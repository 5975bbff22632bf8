#include "fleet/GatewayFleet.h"
#include "fleet/KeptConnection.h"
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// More than the kernel's buffers take in for a caller on a slow link, which needs 6.7 s for it.
constexpr std::size_t largeBytes = 4'000'000;
constexpr std::size_t bytesPerSecond = 600'000;
constexpr auto patience = 30s;
constexpr auto graceTime = 8s;
constexpr auto timeBeforeStop = 500ms;
constexpr std::size_t readersAtStop = 4;

constexpr unsigned memoryMb = 128;
// Their answers take nearly twice the memory, and come at 1,100 Mbit/s.
constexpr std::size_t documents = 60;
constexpr auto documentInterval = 30ms;
constexpr std::size_t orderingCallers = 4;
constexpr auto memoryCheckInterval = 10ms;

HttpCall callOf(const GatewayFleet& fleet, const std::string& path, const std::string& id)
{
    return { fleet.callerPort(0), "POST", path + id,
        { { "Host", "test.example" }, { "Catkinwell-Request-Id", id }, { "Catkinwell-Deadline-Ms", "30000" },
            { "Authorization", "Bearer key-a" } },
        "body", patience };
}

std::string largeAnswerTo(const std::string& id)
{
    std::string answer = "answer to " + id;
    answer.resize(largeBytes, 'x');
    return answer;
}

KeptExchange readSlowly(const HttpCall& call)
{
    KeptConnection connection(call.port, CloseAnnouncement::Followed, bytesPerSecond);
    return connection.isOpen() ? connection.exchange(call) : KeptExchange {};
}

bool isWhole(const KeptExchange& exchange, const std::string& body)
{
    return exchange.end == ExchangeEnd::Answered && exchange.answer.status == 200 && exchange.answer.body == body;
}

std::string described(const std::string& id, const KeptExchange& exchange)
{
    return id + ": status " + std::to_string(exchange.answer.status) + ", "
        + std::to_string(exchange.answer.body.size()) + " bytes, end " + std::to_string(static_cast<int>(exchange.end));
}

// One gateway with one plain endpoint that answers some requests with many bytes.
class LargeAnswersFixture {
public:
    LargeAnswersFixture()
        : fleet({ 1, 1, 0 })
    {
        fleet.process(0).signal(SIGKILL);
        fleet.writeSettings(0, { { "memory_mb", memoryMb } });
        const auto route = [](const char* name, const char* prefix, const char* type) -> nlohmann::json {
            return { { "name", name }, { "host", "test.example" }, { "prefix", prefix }, { "route_type", type },
                { "service", "orders" }, { "timeout_ms", 30000 }, { "target_latency_ms", 800 }, { "priority", 2 },
                { "max_attempts", 1 } };
        };
        fleet.configure(2, { { "routes", { route("order", "/order/", "unsafe"), route("read", "/read/", "safe") } } });
        fleet.onLoop([this] {
            fleet.endpoint(0).setCapacity(400, 10ms);
            fleet.endpoint(0).setLargeAnswer(largeBytes);
        });
        fleet.start(0);
        fleet.waitUntilReady();
        REQUIRE(eventually([this] { return send(callOf(fleet, "/read/", "first")).status == 200; }, 5s));
    }

    bool hasRun(const std::string& id)
    {
        const auto executions = fleet.records().executions;
        return std::any_of(executions.begin(), executions.end(), [&id](const auto& run) { return run.request == id; });
    }

    GatewayFleet fleet;
};

// Kills the process once it has more memory than it may, as the platform does.
class MemoryGuard {
public:
    explicit MemoryGuard(ChildProcess& process)
        : m_thread([this, &process] { run(process); })
    {
    }
    ~MemoryGuard()
    {
        m_isStopping = true;
        m_thread.join();
    }
    MemoryGuard(const MemoryGuard&) = delete;
    MemoryGuard& operator=(const MemoryGuard&) = delete;
    std::size_t peakMb() const { return m_peakMb; }

private:
    void run(const ChildProcess& process)
    {
        while (!m_isStopping && m_peakMb <= memoryMb) {
            m_peakMb = std::max<std::size_t>(m_peakMb, process.peakMemoryMb());
            std::this_thread::sleep_for(memoryCheckInterval);
        }
        if (m_peakMb > memoryMb)
            process.signal(SIGKILL);
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_peakMb = 0;
    std::thread m_thread;
};

// A caller that sends one order after the other on a connection that it keeps, until one gets no answer.
class OrderingCaller {
public:
    OrderingCaller(const GatewayFleet& fleet, std::string name)
        : m_thread([this, &fleet, name = std::move(name)] { run(fleet, name); })
    {
    }
    ~OrderingCaller() { stop(); }
    OrderingCaller(const OrderingCaller&) = delete;
    OrderingCaller& operator=(const OrderingCaller&) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    // Precondition: stop() has returned.
    std::size_t served() const { return m_served; }
    const std::vector<std::string>& unanswered() const { return m_unanswered; }

private:
    void run(const GatewayFleet& fleet, const std::string& name)
    {
        KeptConnection connection(fleet.callerPort(0));
        for (unsigned number = 0; !m_isStopping && m_unanswered.empty(); ++number) {
            const std::string id = name + "-" + std::to_string(number);
            const KeptExchange exchange
                = connection.isOpen() ? connection.exchange(callOf(fleet, "/order/", id)) : KeptExchange {};
            if (exchange.end != ExchangeEnd::Answered)
                m_unanswered.push_back(described(id, exchange));
            else
                m_served += exchange.answer.status == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> m_isStopping = false;
    std::size_t m_served = 0;
    std::vector<std::string> m_unanswered;
    std::thread m_thread;
};

} // namespace

// Guards against a planned stop that cuts answers which callers on slow links still read, with grace time left.
TEST_CASE("Callers on slow links read their whole answers through a planned stop")
{
    LargeAnswersFixture fixture;
    std::vector<std::future<KeptExchange>> readers;
    for (std::size_t i = 0; i < readersAtStop; ++i) {
        const HttpCall call = callOf(fixture.fleet, "/order/", "large-" + std::to_string(i));
        readers.push_back(std::async(std::launch::async, [call] { return readSlowly(call); }));
    }
    std::this_thread::sleep_for(timeBeforeStop);
    for (std::size_t i = 0; i < readersAtStop; ++i)
        REQUIRE(fixture.hasRun("large-" + std::to_string(i)));
    fixture.fleet.process(0).signal(SIGTERM);
    CHECK(fixture.fleet.process(0).waitForExit(graceTime) == 0);
    std::vector<std::string> cut;
    for (std::size_t i = 0; i < readersAtStop; ++i) {
        const std::string id = "large-" + std::to_string(i);
        const KeptExchange exchange = readers[i].get();
        if (!isWhole(exchange, largeAnswerTo(id)))
            cut.push_back(described(id, exchange));
    }
    CHECK(cut == std::vector<std::string> {});
}

// Guards against whole answers for callers on slow links that pile up until the process is killed for its memory, and
// takes the answers to orders that have run with it.
TEST_CASE("Large answers for many slow callers leave a host within its memory and its orders answered")
{
    LargeAnswersFixture fixture;
    MemoryGuard guard(fixture.fleet.process(0));
    std::vector<std::unique_ptr<OrderingCaller>> orders;
    for (std::size_t i = 0; i < orderingCallers; ++i)
        orders.push_back(std::make_unique<OrderingCaller>(fixture.fleet, "order-" + std::to_string(i)));
    std::vector<std::future<KeptExchange>> readers;
    for (std::size_t i = 0; i < documents; ++i) {
        const HttpCall call = callOf(fixture.fleet, "/order/", "large-" + std::to_string(i));
        readers.push_back(std::async(std::launch::async, [call] { return readSlowly(call); }));
        std::this_thread::sleep_for(documentInterval);
    }
    std::vector<std::string> broken;
    std::size_t whole = 0;
    for (std::size_t i = 0; i < documents; ++i) {
        const std::string id = "large-" + std::to_string(i);
        const KeptExchange exchange = readers[i].get();
        const bool isRefused = exchange.end == ExchangeEnd::Answered && exchange.answer.status == 503;
        if (isWhole(exchange, largeAnswerTo(id)))
            ++whole;
        else if (!isRefused || fixture.hasRun(id))
            broken.push_back(described(id, exchange));
    }
    std::vector<std::string> unanswered;
    std::size_t served = 0;
    for (const auto& caller : orders) {
        caller->stop();
        served += caller->served();
        unanswered.insert(unanswered.end(), caller->unanswered().begin(), caller->unanswered().end());
    }
    INFO(guard.peakMb() << " MB at most; " << whole << " of " << documents << " documents whole; " << served
                        << " orders served");
    CHECK(guard.peakMb() <= memoryMb);
    CHECK(fixture.fleet.process(0).isRunning());
    CHECK(unanswered == std::vector<std::string> {});
    CHECK(broken == std::vector<std::string> {});
    CHECK(whole > 0);
    CHECK(served > 0);
}
