#include "fleet/EndlessServer.h"
#include "fleet/GatewayFleet.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned memoryMb = 128;
// The endless server takes nearly all requests; what it failed with is tried at the other endpoint.
constexpr unsigned endlessSlots = 400;
constexpr unsigned soundSlots = 16;
constexpr auto plainPatience = 1000ms;
constexpr auto pauseBetweenPlainRequests = 50ms;

HttpCall callOf(const GatewayFleet& fleet, const std::string& path, const std::string& id)
{
    return { fleet.callerPort(0), "POST", path,
        { { "Host", "test.example" }, { "Catkinwell-Request-Id", id }, { "Authorization", "Bearer key-a" } }, "body",
        10s };
}

// Whether the answer is one that either endpoint ended.
bool isWhole(const HttpAnswer& answer)
{
    return answer.status == 200 && answer.complete && (answer.body == "plain" || answer.body.starts_with("answer to "));
}

// Sends a request and never reads its answer.
class DeafCaller {
public:
    explicit DeafCaller(const HttpCall& call)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(call.port);
        std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : call.headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
        m_isSent = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0
            && send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }
    ~DeafCaller() { close(m_socket); }
    DeafCaller(const DeafCaller&) = delete;
    DeafCaller& operator=(const DeafCaller&) = delete;
    bool isSent() const { return m_isSent; }

private:
    int m_socket;
    bool m_isSent = false;
};

// Sends plain requests one after the other beside the endless ones.
class PlainCaller {
public:
    explicit PlainCaller(const GatewayFleet& fleet)
        : m_thread([this, &fleet] { run(fleet); })
    {
    }
    ~PlainCaller()
    {
        if (m_thread.joinable())
            stop();
    }
    PlainCaller(const PlainCaller&) = delete;
    PlainCaller& operator=(const PlainCaller&) = delete;

    void stop()
    {
        m_isStopping = true;
        m_thread.join();
    }
    std::size_t sent() const { return m_sent; }
    std::size_t served() const { return m_served; }

private:
    void run(const GatewayFleet& fleet)
    {
        while (!m_isStopping) {
            HttpCall call = callOf(fleet, "/read/plain", "plain-" + std::to_string(++m_sent));
            call.timeout = plainPatience;
            const HttpAnswer answer = Testing::send(call);
            m_served += isWhole(answer) ? 1 : 0;
            std::this_thread::sleep_for(pauseBetweenPlainRequests);
        }
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_sent = 0;
    std::atomic<std::size_t> m_served = 0;
    std::thread m_thread;
};

// One gateway whose plain service has an endless server and a sound endpoint.
class EndlessFixture {
public:
    EndlessFixture()
        : fleet(options())
    {
        fleet.process(0).signal(SIGKILL);
        fleet.writeSettings(0, { { "memory_mb", memoryMb } });
        fleet.start(0);
        fleet.onLoop([this] {
            fleet.endpoint(0).setCapacity(endlessSlots, 10ms);
            fleet.endpoint(1).setCapacity(soundSlots, 10ms);
            fleet.setRecordPort(0, server.port());
        });
        fleet.waitUntilReady();
        const auto isServed = [this] { return isWhole(Testing::send(callOf(fleet, "/read/plain", "first"))); };
        REQUIRE(eventually(isServed, 5s));
    }

    // Sends the requests, one after the other of each part. Every second caller does not read. Returns the answers of
    // the others.
    std::vector<HttpAnswer> sendEndless(const std::vector<EndlessPart>& parts, std::size_t count)
    {
        std::vector<std::unique_ptr<DeafCaller>> deaf;
        std::vector<HttpCall> calls;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string path = "/read/" + std::string(nameOf(parts[i % parts.size()]));
            const HttpCall call = callOf(fleet, path, "endless-" + std::to_string(i));
            if (i / parts.size() % 2 == 0)
                calls.push_back(call);
            else
                deaf.push_back(std::make_unique<DeafCaller>(call));
        }
        return sendTogether(calls);
    }

    EndlessServer server;
    GatewayFleet fleet;

private:
    static GatewayFleetOptions options()
    {
        GatewayFleetOptions options;
        options.hosts = 1;
        options.plainEndpoints = 2;
        options.engines = 1;
        return options;
    }
};

struct EndlessCase {
    const char* name;
    std::vector<EndlessPart> parts;
    std::size_t requests;
};

} // namespace

// Guards against a host that keeps the bytes of answers without end until it is out of memory, and against other
// callers that go unserved meanwhile.
TEST_CASE("Answers without end take a bounded part of a host's memory and leave the other callers served")
{
    using enum EndlessPart;
    const auto test = GENERATE(values<EndlessCase>({
        { "heads", { HeadLines, HeadValue, Garbage, ChunkSize }, 40 },
        { "interim answers and trailers", { InterimAnswers, Trailers }, 40 },
        { "few bodies", { UnframedBody, Chunks, LongBody }, 9 },
        { "many bodies", { UnframedBody, Chunks, LongBody }, 42 },
    }));
    EndlessFixture fixture;
    const std::size_t before = fixture.fleet.process(0).peakMemoryMb();
    PlainCaller plain(fixture.fleet);
    const std::vector<HttpAnswer> answers = fixture.sendEndless(test.parts, test.requests);
    plain.stop();
    INFO(test.name << ": " << before << " MB at most before, " << fixture.fleet.process(0).peakMemoryMb()
                   << " MB after; " << plain.served() << " of " << plain.sent() << " plain requests served");
    CHECK(fixture.fleet.process(0).isRunning());
    CHECK(fixture.fleet.process(0).peakMemoryMb() < memoryMb);
    // The requests may have run, so nothing may say that they have not.
    CHECK(std::all_of(answers.begin(), answers.end(),
        [](const HttpAnswer& answer) { return isWhole(answer) || answer.status == 502 || answer.status == 504; }));
    CHECK(plain.sent() > 0);
    CHECK(plain.served() == plain.sent());
}

// Guards against a host that refuses every request for want of memory because it counts answers as unread after their
// callers have read them.
TEST_CASE("A host that has sent all its answers keeps no bytes")
{
    GatewayFleetOptions options;
    options.hosts = 1;
    options.plainEndpoints = 2;
    options.engines = 1;
    GatewayFleet fleet(options);
    fleet.waitUntilReady();
    std::size_t served = 0;
    const auto keepsNothing = [&fleet] { return fleet.status(0).value("kept_bytes", std::size_t { 1 }) == 0; };
    for (int i = 0; i < 20; ++i) {
        INFO(i << " requests before this one");
        served += isWhole(Testing::send(callOf(fleet, "/read/plain", "r" + std::to_string(i)))) ? 1 : 0;
        REQUIRE(eventually(keepsNothing, 1s));
    }
    CHECK(served == 20);
}
