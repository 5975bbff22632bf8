#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <catkinwell/emulator/EngineEmulator.h>
#include <catkinwell/http/HttpClient.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

struct ExchangeResult {
    int status = 0;
    std::string body;
    bool finished = false;
    std::optional<AttemptOutcome> failure;
    std::string reason;
};

class ClientFixture {
public:
    ClientFixture()
    {
        EngineEmulatorSettings settings;
        settings.loadedModels = { "m" };
        settings.tokenInterval = std::chrono::milliseconds(1);
        emulator.emplace(loop, settings);
        REQUIRE_FALSE(isError(emulator->start()));
        loop.callLater(std::chrono::seconds(20), [this] { loop.stop(); });
    }

    ExchangeResult run(const std::string& prompt, bool stream, std::optional<std::uint16_t> port = std::nullopt)
    {
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(port.value_or(emulator->port()));
        exchange.method = "POST";
        exchange.target = "/v1/completions";
        exchange.body = R"({"model":"m","max_tokens":20,"stream":)" + std::string(stream ? "true" : "false")
            + R"(,"prompt":")" + prompt + "\"}";
        exchange.silenceTimeout = std::chrono::milliseconds(300);
        ExchangeResult result;
        HttpExchangeObserver observer;
        observer.onHead = [&](int status, const HeaderList&) { result.status = status; };
        observer.onData = [&](const std::string& data) { result.body += data; };
        observer.onFinished = [&] {
            result.finished = true;
            loop.stop();
        };
        observer.onFailed = [&](AttemptOutcome outcome, AttemptFailure, const std::string& reason) {
            result.failure = outcome;
            result.reason = reason;
            loop.stop();
        };
        client.start(exchange, observer);
        loop.run();
        return result;
    }

    EventLoop loop;
    HttpClient client { loop };
    std::optional<EngineEmulator> emulator;
};

} // namespace

TEST_CASE("Whole and streamed responses arrive completely, also on a reused connection")
{
    ClientFixture fixture;
    for (int i = 0; i < 3; ++i) {
        const ExchangeResult whole = fixture.run("hello", false);
        CHECK(whole.finished);
        CHECK(whole.status == 200);
        const ExchangeResult streamed = fixture.run("hello", true);
        CHECK(streamed.finished);
        CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    }
}

// Guards against "not sent" for a request that may have run, and "unknown" for one that was not sent.
TEST_CASE("Failures tell whether the request may have run")
{
    struct Case {
        const char* prompt;
        bool stream;
        bool refusedPort;
        AttemptOutcome expected;
    };
    const Case test = GENERATE(values<Case>({
        { "hello", false, true, AttemptOutcome::NotSent },
        { "emulate-silence", false, false, AttemptOutcome::Unknown },
        { "emulate-truncation", true, false, AttemptOutcome::Unknown },
        { "emulate-truncation", false, false, AttemptOutcome::Unknown },
    }));
    ClientFixture fixture;
    // Port 1 of the loopback address has no listener.
    const auto port = test.refusedPort ? std::optional<std::uint16_t>(1) : std::nullopt;
    const ExchangeResult result = fixture.run(test.prompt, test.stream, port);
    INFO(test.prompt << ": " << result.reason);
    CHECK_FALSE(result.finished);
    REQUIRE(result.failure);
    CHECK(nameOf(*result.failure) == nameOf(test.expected));
}

namespace {

struct SourceCase {
    const char* address;
    // Address of the client as the server sees it; empty if there is no connection.
    const char* expectedPeer;
};

// Accepts connections, notes where they begin and closes them.
class PeerListener {
public:
    PeerListener(EventLoop& loop, std::function<void()> onPeer)
        : m_onPeer(std::move(onPeer))
    {
        sockaddr_storage address {};
        int size = sizeof(address);
        evutil_parse_sockaddr_port("127.0.0.1", reinterpret_cast<sockaddr*>(&address), &size);
        m_listener.reset(evconnlistener_new_bind(
            loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&address), size));
        REQUIRE(m_listener);
    }

    std::string address() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof(bound);
        getsockname(evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr*>(&bound), &size);
        return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    std::string peer;

private:
    struct Free {
        void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
    };

    static void accept(evconnlistener*, evutil_socket_t socket, sockaddr* address, int, void* self)
    {
        auto& listener = *static_cast<PeerListener*>(self);
        std::array<char, INET_ADDRSTRLEN> text {};
        evutil_inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in*>(address)->sin_addr, text.data(), text.size());
        listener.peer = text.data();
        evutil_closesocket(socket);
        listener.m_onPeer();
    }

    std::function<void()> m_onPeer;
    std::unique_ptr<evconnlistener, Free> m_listener;
};

} // namespace

// Guards against connections that begin at another address than the operator chose.
TEST_CASE("Connections begin at the source address")
{
    const auto test = GENERATE(values<SourceCase>({
        { "", "127.0.0.1" },
        { "127.0.0.9", "127.0.0.9" },
        { "192.0.2.1", "" },
        { "::1", "" },
        { "elsewhere", "" },
    }));
    INFO(test.address);
    EventLoop loop;
    PeerListener listener(loop, [&] { loop.stop(); });
    HttpClient client(loop, test.address);
    HttpExchange exchange;
    exchange.address = listener.address();
    exchange.method = "GET";
    exchange.target = "/";
    std::optional<AttemptOutcome> outcome;
    HttpExchangeObserver observer;
    observer.onFailed = [&](AttemptOutcome failed, AttemptFailure, const std::string&) {
        outcome = failed;
        loop.stop();
    };
    client.start(exchange, observer);
    loop.callLater(std::chrono::seconds(5), [&] { loop.stop(); });
    loop.run();
    CHECK(listener.peer == test.expectedPeer);
    if (!*test.expectedPeer)
        CHECK(outcome == AttemptOutcome::NotSent);
}

// Guards against a placement command that a paused owner sends late on a new connection.
TEST_CASE("An exchange that needs an idle connection is not sent without one")
{
    ClientFixture fixture;
    const auto sendOnIdle = [&] {
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(fixture.emulator->port());
        exchange.target = "/anything";
        exchange.needsIdleConnection = true;
        std::string outcome;
        HttpExchangeObserver observer;
        observer.onHead = [](int, const HeaderList&) {};
        observer.onData = [](const std::string&) {};
        observer.onFinished = [&] {
            outcome = "done";
            fixture.loop.stop();
        };
        observer.onFailed = [&](AttemptOutcome failure, AttemptFailure, const std::string&) {
            outcome = nameOf(failure);
            fixture.loop.stop();
        };
        fixture.client.start(exchange, observer);
        fixture.loop.run();
        return outcome;
    };
    CHECK(sendOnIdle() == "not_sent");
    REQUIRE(fixture.run("hello", false).finished);
    CHECK(sendOnIdle() == "done");
    // The client closes connections after 2 s idle.
    fixture.loop.callLater(std::chrono::seconds(3), [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(sendOnIdle() == "not_sent");
}

// Guards against a use after free when a callback cancels its own exchange.
TEST_CASE("An exchange can be cancelled inside its own callbacks")
{
    ClientFixture fixture;
    HttpExchange exchange;
    exchange.address = "127.0.0.1:" + std::to_string(fixture.emulator->port());
    exchange.method = "POST";
    exchange.target = "/v1/completions";
    exchange.body = R"({"model":"m","max_tokens":50,"stream":true,"prompt":"x"})";
    HttpClient::ExchangeId id = 0;
    int calls = 0;
    HttpExchangeObserver observer;
    observer.onHead = [](int, const HeaderList&) {};
    observer.onData = [&](const std::string&) {
        ++calls;
        fixture.client.cancel(id);
        fixture.loop.callLater(std::chrono::milliseconds(100), [&] { fixture.loop.stop(); });
    };
    observer.onFinished = [&] { ++calls; };
    observer.onFailed = [&](AttemptOutcome, AttemptFailure, const std::string&) { ++calls; };
    id = fixture.client.start(exchange, observer);
    fixture.loop.run();
    CHECK(calls == 1);
    CHECK(fixture.client.runningExchanges() == 0);
}

// Guards against a listen backlog that drops connections of callers that connect at the same time.
TEST_CASE("All callers that connect at the same time are served")
{
    ClientFixture fixture;
    constexpr int callers = 400;
    int finished = 0;
    int ended = 0;
    for (int i = 0; i < callers; ++i) {
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(fixture.emulator->port());
        exchange.target = "/anything";
        HttpExchangeObserver observer;
        observer.onHead = [](int, const HeaderList&) {};
        observer.onData = [](const std::string&) {};
        const auto end = [&] {
            if (++ended == callers)
                fixture.loop.stop();
        };
        observer.onFinished = [&finished, end] {
            ++finished;
            end();
        };
        observer.onFailed = [end](AttemptOutcome, AttemptFailure, const std::string&) { end(); };
        fixture.client.start(exchange, observer);
    }
    fixture.loop.run();
    CHECK(finished == callers);
}

namespace {

// Accepts connections on a thread of its own and answers each after a delay.
class DelayedServer {
public:
    DelayedServer(int connections, std::chrono::milliseconds delay)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(listen(m_socket, connections) == 0);
        REQUIRE(getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this, connections, delay] { run(connections, delay); });
    }
    ~DelayedServer()
    {
        m_thread.join();
        for (const int peer : m_peers)
            close(peer);
        close(m_socket);
    }

    std::uint16_t port = 0;

private:
    void run(int connections, std::chrono::milliseconds delay)
    {
        for (int i = 0; i < connections; ++i)
            m_peers.push_back(accept(m_socket, nullptr, nullptr));
        std::this_thread::sleep_for(delay);
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for (const int peer : m_peers)
            static_cast<void>(write(peer, answer.data(), answer.size()));
    }

    int m_socket;
    std::vector<int> m_peers;
    std::thread m_thread;
};

struct LagCase {
    const char* name;
    std::chrono::milliseconds answerAfter;
    // When the loop begins to stand still, and for how long.
    std::chrono::milliseconds lagAfter;
    std::chrono::milliseconds lag;
    bool expectedFinished;
};

} // namespace

// Guards against answers that are lost, and peers that count as silent, because this process was behind.
TEST_CASE("Time in which the loop stood still is not the peer's silence")
{
    const auto test = GENERATE(values<LagCase>({
        { "answers that arrived meanwhile", 250ms, 150ms, 400ms, true },
        { "answers soon after it", 650ms, 150ms, 400ms, true },
        { "no answer for long after it", 1500ms, 150ms, 400ms, false },
        { "no answer and no lag", 800ms, 150ms, 0ms, false },
    }));
    INFO(test.name);
    constexpr int exchanges = 100;
    DelayedServer server(exchanges, test.answerAfter);
    EventLoop loop;
    HttpClient client(loop);
    int finished = 0;
    int ended = 0;
    const auto end = [&] {
        if (++ended == exchanges)
            loop.stop();
    };
    for (int i = 0; i < exchanges; ++i) {
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(server.port);
        exchange.silenceTimeout = 300ms;
        HttpExchangeObserver observer;
        observer.onHead = [](int, const HeaderList&) {};
        observer.onData = [](const std::string&) {};
        observer.onFinished = [&] {
            ++finished;
            end();
        };
        observer.onFailed = [&](AttemptOutcome, AttemptFailure, const std::string&) { end(); };
        client.start(exchange, observer);
    }
    loop.callLater(test.lagAfter, [&test] { std::this_thread::sleep_for(test.lag); });
    loop.run();
    CHECK(finished == (test.expectedFinished ? exchanges : 0));
}

// Guards against a request that is sent after its host gave it up, because its connection opened late.
TEST_CASE("An exchange whose connection is still being opened can be withheld, and nothing of it is sent")
{
    struct Case {
        const char* exchangeKey;
        const char* withheldKey;
        bool isSent;
    };
    const Case test = GENERATE(values<Case>({ { "o1", "o1", false }, { "o1", "o2", true }, { "", "o1", true } }));
    ClientFixture fixture;
    HttpExchange exchange;
    exchange.address = "127.0.0.1:" + std::to_string(fixture.emulator->port());
    exchange.method = "POST";
    exchange.target = "/v1/completions";
    exchange.body = R"({"model":"m","max_tokens":1,"stream":false,"prompt":"hello"})";
    exchange.withholdKey = test.exchangeKey;
    bool isFinished = false;
    std::optional<std::pair<AttemptOutcome, AttemptFailure>> failure;
    HttpExchangeObserver observer;
    observer.onHead = [](int, const HeaderList&) {};
    observer.onData = [](const std::string&) {};
    observer.onFinished = [&] {
        isFinished = true;
        fixture.loop.stop();
    };
    observer.onFailed = [&](AttemptOutcome outcome, AttemptFailure reason, const std::string&) {
        failure = std::pair(outcome, reason);
        fixture.loop.callLater(100ms, [&] { fixture.loop.stop(); });
    };
    fixture.client.start(exchange, observer);
    fixture.client.withholdUnsent(test.withheldKey);
    fixture.loop.run();
    CHECK(isFinished == test.isSent);
    CHECK(failure.has_value() != test.isSent);
    if (failure)
        CHECK(*failure == std::pair(AttemptOutcome::NotSent, AttemptFailure::Withheld));
}
