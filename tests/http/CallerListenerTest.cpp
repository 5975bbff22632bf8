#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

// A listener that answers each request at once with its method, target and body.
class EchoFixture {
public:
    explicit EchoFixture(ListenerSettings settings = {})
        : listener(loop, withAddress(std::move(settings)), 0)
    {
        REQUIRE_FALSE(isError(listener.start()));
        listener.signalRequest().connect([this](const RequestArrived& request) {
            ++requests;
            listener.execute(SendWholeResponse {
                request.id, 200, {}, "[" + request.method + " " + request.target + " " + request.body + "]" });
        });
    }

    std::string send(const std::string& text, Duration duration = std::chrono::milliseconds(200))
    {
        return exchangeRaw(loop, listener.port(), text, duration);
    }

    EventLoop loop;
    CallerListener listener;
    int requests = 0;

private:
    static ListenerSettings withAddress(ListenerSettings settings)
    {
        settings.address = "127.0.0.1:0";
        settings.forwardsUnchanged = true;
        return settings;
    }
};

struct WireCase {
    const char* what;
    const char* sent;
    // Texts that the response must contain.
    std::vector<const char*> expected;
    int expectedRequests;
};

} // namespace

// Guards against request smuggling, valid framing that is rejected, and rejections without a typed error.
TEST_CASE("Requests are framed as HTTP/1.1 requires")
{
    const auto test = GENERATE(values<WireCase>({
        { "two pipelined requests", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b?x=1 HTTP/1.1\r\nHost: h\r\n\r\n",
            { "[GET /a ]", "[GET /b?x=1 ]" }, 2 },
        { "a chunk with an extension",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n0\r\n\r\n",
            { "[POST /a abcd]" }, 1 },
        { "an invalid chunk size",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n",
            { "400 Bad Request", "application/json", "\"outcome\":\"not_run\"", "<closed>" }, 0 },
        { "an unknown encoding with a smuggled request",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
            { "501 ", "\"code\":\"invalid_request\"", "<closed>" }, 0 },
        { "Expect: 100-continue", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
            { "100 Continue" }, 0 },
        { "Connection: close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", { "[GET /a ]", "<closed>" },
            1 },
        { "an unsupported upgrade",
            "GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nGET /b HTTP/1.1\r\nHost: "
            "h\r\n\r\n",
            { "[GET /a ]", "[GET /b ]" }, 2 },
        { "empty lines before a request", "\r\n\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", { "[GET /a ]" }, 1 },
        { "an empty line between two requests",
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", { "[GET /a ]", "[GET /b ]" },
            2 },
        { "an empty line before a name with a space", "\r\nGET /a HTTP/1.1\r\nHost: h\r\nX-Account : evil\r\n\r\n",
            { "400 Bad Request", "<closed>" }, 0 },
        { "empty lines before a name with a space",
            "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
            { "400 Bad Request", "<closed>" }, 0 },
        { "a carriage return that begins no empty line", "\rGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
            { "400 Bad Request", "<closed>" }, 0 },
    }));
    EchoFixture fixture;
    const std::string received = fixture.send(test.sent);
    INFO(test.what << ": " << received);
    for (const char* expected : test.expected)
        CHECK(received.find(expected) != std::string::npos);
    CHECK(fixture.requests == test.expectedRequests);
}

// Guards against callers that occupy a connection with an incomplete head.
TEST_CASE("An incomplete head is rejected after the header timeout")
{
    ListenerSettings settings;
    settings.headerTimeout = std::chrono::milliseconds(100);
    EchoFixture fixture(settings);
    const std::string received = fixture.send("GET /a HTTP/1.1\r\nHost: h\r\nX-", std::chrono::seconds(2));
    INFO(received);
    CHECK(received.find("408 ") != std::string::npos);
    CHECK(received.ends_with("<closed>"));
}

// Guards against a body limit that is enforced only for requests with Content-Length.
TEST_CASE("A body over the limit is rejected with either framing")
{
    const auto test = GENERATE(values<std::string>({
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n"
        "0123456789012345678901234567890123456789\r\n0\r\n\r\n",
    }));
    ListenerSettings settings;
    settings.maximumBodyBytes = 20;
    EchoFixture fixture(settings);
    const std::string received = fixture.send(test);
    INFO(received);
    CHECK(received.find("413 ") != std::string::npos);
    CHECK(fixture.requests == 0);
}

namespace {

struct StreamEndCase {
    const char* what;
    const char* version;
    bool isFinished;
    // Whether the response is ended together with its last data, or later.
    bool endsAtOnce;
    const char* expectedEnd;
};

} // namespace

// Guards against a caller of HTTP/1.0, which gets no chunks, that takes the end of a broken response for its end.
TEST_CASE("A response that is not complete never ends in order for a caller that gets no chunks")
{
    const auto test = GENERATE(values<StreamEndCase>({
        { "complete", "1.0", true, true, "part<closed>" },
        { "complete a moment later", "1.0", true, false, "part<closed>" },
        { "broken off", "1.0", false, true, "<reset>" },
        { "broken off a moment later", "1.0", false, false, "part<reset>" },
        { "complete, with chunks", "1.1", true, false, "0\r\n\r\n" },
        { "broken off, with chunks", "1.1", false, false, "4\r\npart\r\n<closed>" },
    }));
    EventLoop loop;
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.forwardsUnchanged = true;
    CallerListener listener(loop, settings, 0);
    REQUIRE_FALSE(isError(listener.start()));
    listener.signalRequest().connect([&](const RequestArrived& request) {
        listener.execute(SendResponseHead { request.id, 200, {} });
        listener.execute(SendResponseData { request.id, "part" });
        const auto end = [&listener, id = request.id, isFinished = test.isFinished] {
            if (isFinished)
                listener.execute(FinishResponse { id });
            else
                listener.execute(AbortResponse { id });
        };
        if (test.endsAtOnce)
            end();
        else
            loop.callLater(std::chrono::milliseconds(50), end);
    });
    const std::string received = exchangeRaw(loop, listener.port(),
        std::string("GET /a HTTP/") + test.version + "\r\nHost: h\r\n\r\n", std::chrono::milliseconds(500));
    INFO(test.what << ": " << received);
    CHECK(received.ends_with(test.expectedEnd));
}

// Guards against the operating system that ends the connections of a killed process in order.
TEST_CASE("A response without chunks is reset if the process ends before it is complete")
{
    EventLoop loop;
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.forwardsUnchanged = true;
    auto listener = std::make_unique<CallerListener>(loop, settings, 0);
    REQUIRE_FALSE(isError(listener->start()));
    listener->signalRequest().connect([&](const RequestArrived& request) {
        listener->execute(SendResponseHead { request.id, 200, {} });
        listener->execute(SendResponseData { request.id, "part" });
        // Closes the sockets as the end of the process does.
        loop.callLater(std::chrono::milliseconds(50), [&] { listener.reset(); });
    });
    const std::string received
        = exchangeRaw(loop, listener->port(), "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", std::chrono::milliseconds(500));
    INFO(received);
    CHECK(received.ends_with("part<reset>"));
}

// Guards against a host that falls behind and then has endpoints work for callers that have left meanwhile.
TEST_CASE("A request whose caller has left before it was read is not served")
{
    const bool hasLeft = GENERATE(false, true);
    EchoFixture fixture;
    BlockingCaller caller(fixture.listener.port());
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    if (hasLeft)
        caller.leave();
    fixture.loop.callLater(std::chrono::milliseconds(100), [&fixture] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.requests == (hasLeft ? 0 : 1));
}

// Guards against a planned stop that resets connections whose callers have sent a request, but which were not accepted
// yet.
TEST_CASE("Requests that were sent before the listener closed are answered")
{
    EchoFixture fixture;
    std::vector<std::unique_ptr<BlockingCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<BlockingCaller>(fixture.listener.port()));
        callers.back()->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    fixture.listener.stopAccepting();
    fixture.loop.callLater(std::chrono::milliseconds(100), [&fixture] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.requests == 20);
    for (const auto& caller : callers)
        CHECK(caller->received().find("[GET /a ]") != std::string::npos);
    CHECK(fixture.listener.busyConnections() == 0);
}

// Guards against a host that runs out of memory because a caller sends request after request and reads no answer.
TEST_CASE("A caller that does not read its answers gets no further ones until it does")
{
    constexpr int requestCount = 800;
    constexpr int mostUnread = 400;
    constexpr std::size_t answerBytes = 64 * 1024;
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    EventLoop loop;
    CallerListener listener(loop, settings, 0);
    REQUIRE_FALSE(isError(listener.start()));
    int requests = 0;
    listener.signalRequest().connect([&](const RequestArrived& request) {
        ++requests;
        listener.execute(SendWholeResponse { request.id, 200, {}, std::string(answerBytes, 'x') });
    });
    BlockingCaller caller(listener.port());
    std::string pipelined;
    for (int i = 0; i < requestCount; ++i)
        pipelined += "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(pipelined);
    loop.callLater(std::chrono::milliseconds(500), [&loop] { loop.stop(); });
    loop.run();
    CHECK(requests > 0);
    CHECK(requests < mostUnread);
    std::size_t received = 0;
    loop.callEvery(std::chrono::milliseconds(1), [&] {
        for (std::string part = caller.received(); !part.empty(); part = caller.received())
            received += part.size();
        if (received > requestCount * answerBytes)
            loop.stop();
    });
    loop.callLater(std::chrono::seconds(10), [&loop] { loop.stop(); });
    loop.run();
    CHECK(requests == requestCount);
    CHECK(received > requestCount * answerBytes);
}

// Guards against answers that no bound counts, because callers read them slowly, and against a count that stays once
// they have been read or their callers have left.
TEST_CASE("The bytes of answers that callers have not read are counted")
{
    const bool leaves = GENERATE(false, true);
    constexpr std::size_t answerBytes = 16 * 1024 * 1024;
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    EventLoop loop;
    CallerListener listener(loop, settings, 0);
    REQUIRE_FALSE(isError(listener.start()));
    listener.signalRequest().connect([&](const RequestArrived& request) {
        listener.execute(SendWholeResponse { request.id, 200, {}, std::string(answerBytes, 'x') });
    });
    const auto runFor = [&loop](Duration duration) {
        loop.callLater(duration, [&loop] { loop.stop(); });
        loop.run();
    };
    BlockingCaller caller(listener.port());
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor(std::chrono::milliseconds(200));
    CHECK(listener.unsentBytes() > 0);
    CHECK(listener.unsentBytes() < answerBytes);
    if (leaves)
        caller.leave();
    for (int i = 0; i < 5000 && listener.unsentBytes() > 0; ++i) {
        if (!leaves)
            caller.received();
        runFor(std::chrono::milliseconds(1));
    }
    CHECK(listener.unsentBytes() == 0);
}

namespace {

struct BusyCase {
    const char* name;
    std::string sent;
    // Whether the loop runs after the bytes have arrived.
    bool isRead;
    std::size_t expectedBusy;
};

} // namespace

// Guards against a process that ends while a request is arriving.
TEST_CASE("A connection is busy from the first byte of a request to the last of its answer")
{
    const auto test = GENERATE(values<BusyCase>({
        { "nothing", "", true, 0 },
        { "half a head", "GET /a HTTP/1.1\r\nHo", true, 1 },
        { "half a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", true, 1 },
        { "a request that is not read yet", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", false, 1 },
        { "an answered request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", true, 0 },
        { "an answered request and a part of the next", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET", true, 1 },
    }));
    INFO(test.name);
    EchoFixture fixture;
    BlockingCaller caller(fixture.listener.port());
    const auto runBriefly = [&fixture] {
        fixture.loop.callLater(std::chrono::milliseconds(50), [&fixture] { fixture.loop.stop(); });
        fixture.loop.run();
    };
    runBriefly();
    if (!test.sent.empty())
        caller.send(test.sent);
    if (test.isRead)
        runBriefly();
    CHECK(fixture.listener.busyConnections() == test.expectedBusy);
}

namespace {

struct LateReadCase {
    const char* name;
    // Sent before the loop stands still, and while it does.
    std::string first;
    std::string rest;
};

} // namespace

// Guards against callers that get 408, or no answer at all, because the host did not read their requests in time.
TEST_CASE("Requests that have arrived are read before their time counts as passed")
{
    const auto test = GENERATE(values<LateReadCase>({
        { "a head", "GET /a HTTP/1.1\r\nHo", "st: h\r\n\r\n" },
        { "a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd" },
        { "a request on an idle connection", "", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" },
    }));
    INFO(test.name);
    // More connections than libevent asks the kernel for at a time.
    constexpr int callerCount = 120;
    ListenerSettings settings;
    settings.headerTimeout = std::chrono::milliseconds(1000);
    settings.idleTimeout = std::chrono::milliseconds(1000);
    EchoFixture fixture(settings);
    const auto runFor = [&fixture](Duration duration) {
        fixture.loop.callLater(duration, [&fixture] { fixture.loop.stop(); });
        fixture.loop.run();
    };
    std::vector<std::unique_ptr<BlockingCaller>> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(std::make_unique<BlockingCaller>(fixture.listener.port()));
        if (!test.first.empty())
            callers.back()->send(test.first);
        runFor(std::chrono::milliseconds(2));
    }
    for (const auto& caller : callers)
        caller->send(test.rest);
    usleep(1'200'000);
    runFor(std::chrono::milliseconds(300));
    CHECK(fixture.requests == callerCount);
}
