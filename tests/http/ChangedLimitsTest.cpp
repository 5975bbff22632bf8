#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// More than the sockets of both sides buffer.
constexpr std::size_t largeBody = 32 * 1024 * 1024;

// A listener that answers each request after a moment. Answers to /large are larger than sockets buffer.
class LimitsFixture {
public:
    LimitsFixture()
        : listener(loop, settings(), 0)
    {
        REQUIRE_FALSE(isError(listener.start()));
        listener.signalRequest().connect([this](const RequestArrived& request) {
            const std::string body = request.target == "/large" ? std::string(largeBody, 'x') : "whole";
            loop.callLater(100ms, [this, id = request.id, body] {
                listener.execute(SendWholeResponse { id, 200, {}, body });
            });
        });
    }

    void run(Duration duration)
    {
        loop.callLater(duration, [this] { loop.stop(); });
        loop.run();
    }

    // Runs the loop until the answer is complete or the time has passed. Returns the number of bytes that arrived.
    std::size_t receive(BlockingCaller& caller, std::size_t size, Duration atMost)
    {
        std::size_t received = 0;
        constexpr Duration step = 5ms;
        for (Duration waited {}; waited < atMost && received < size && !caller.isClosed(); waited += step) {
            run(step);
            for (std::string part = caller.received(); !part.empty(); part = caller.received())
                received += part.size();
        }
        return received;
    }

    EventLoop loop;
    CallerListener listener;

private:
    static ListenerSettings settings()
    {
        ListenerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.forwardsUnchanged = true;
        settings.headerTimeout = 500ms;
        settings.idleTimeout = 500ms;
        return settings;
    }
};

struct LimitsChange {
    const char* name;
    CallerLimits limits;
};

struct RequestState {
    const char* name;
    // What was sent before the change, and after it.
    std::string before;
    std::string after;
};

const std::string head = "POST /whole HTTP/1.1\r\nHost: h\r\nX-Note: 0123456789012345678901234567890123456789\r\n"
                         "Content-Length: 40\r\n\r\n";
const std::string body(40, 'b');

} // namespace

// Guards against a change of limits that ends a request which its caller began, or sent on a kept connection, under
// the limits before it.
TEST_CASE("A request that was begun before a change of limits is answered")
{
    const auto change = GENERATE(values<LimitsChange>({
        { "no change", { 32 * 1024, 4 * 1024 * 1024, 500ms, 500ms } },
        { "shorter heads", { 60, 4 * 1024 * 1024, 500ms, 500ms } },
        { "shorter bodies", { 32 * 1024, 20, 500ms, 500ms } },
        { "shorter timeouts", { 32 * 1024, 4 * 1024 * 1024, 20ms, 20ms } },
        { "longer timeouts", { 32 * 1024, 4 * 1024 * 1024, 2s, 2s } },
    }));
    const auto state = GENERATE(values<RequestState>({
        { "half a head read", head.substr(0, 70), head.substr(70) + body },
        { "half a body read", head + body.substr(20), body.substr(0, 20) },
        { "waiting for its answer", head + body, "" },
        { "an idle connection", "", head + body },
    }));
    INFO(change.name << ", " << state.name);
    LimitsFixture fixture;
    const bool isIdle = state.before.empty();
    BlockingCaller caller(fixture.listener.port());
    if (isIdle)
        caller.send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
    else
        caller.send(state.before);
    fixture.run(50ms);
    if (isIdle)
        REQUIRE(fixture.receive(caller, 1, 2s) > 0);
    fixture.listener.setLimits(change.limits);
    fixture.run(50ms);
    REQUIRE_FALSE(caller.isClosed());
    if (isIdle && change.limits.maximumBodyBytes < body.size())
        return; // A request that begins after the change is bound by it.
    if (isIdle && change.limits.maximumHeaderBytes < head.size())
        return;
    if (!state.after.empty())
        caller.send(state.after);
    std::string answer;
    for (int i = 0; i < 40 && answer.empty(); ++i) {
        fixture.run(10ms);
        answer = caller.received();
    }
    CHECK(answer.starts_with("HTTP/1.1 200 "));
}

// Guards against a connection that is closed by the idle timeout which was in force when it became idle, although
// callers were told a longer one meanwhile.
TEST_CASE("A longer idle timeout holds for connections that are idle already")
{
    LimitsFixture fixture;
    BlockingCaller caller(fixture.listener.port());
    caller.send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.receive(caller, 1, 2s) > 0);
    CallerLimits limits;
    limits.idleTimeout = 1500ms;
    fixture.listener.setLimits(limits);
    fixture.run(1s);
    CHECK_FALSE(caller.isClosed());
    fixture.run(1s);
    CHECK(caller.isClosed());
}

// Guards against an answer that is cut off although its caller goes on taking it, because an idle timeout counts from
// the answer's end.
TEST_CASE("An answer that is taken slowly is written whole")
{
    const auto closing = GENERATE(values<std::string>({ "", "Connection: close\r\n" }));
    INFO(closing);
    LimitsFixture fixture;
    CallerLimits limits;
    limits.idleTimeout = 200ms;
    fixture.listener.setLimits(limits);
    BlockingCaller caller(fixture.listener.port());
    caller.send("GET /large HTTP/1.1\r\nHost: h\r\n" + closing + "\r\n");
    std::size_t received = 0;
    // A part of the answer every 50 ms, so that the whole takes about a second.
    constexpr std::size_t part = 2 * 1024 * 1024;
    for (int i = 0; i < 100 && received <= largeBody; ++i) {
        fixture.run(50ms);
        for (std::size_t taken = 0; taken < part;) {
            const std::size_t size = caller.received().size();
            if (size == 0)
                break;
            taken += size;
            received += size;
        }
    }
    CHECK(received > largeBody);
}
