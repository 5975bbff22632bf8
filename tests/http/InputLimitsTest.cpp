#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/http/InputBudget.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 100'000;
constexpr std::size_t heldBody = 80'000;
constexpr auto exchangeTime = 300ms;

std::string bodyHead(std::size_t length, const char* more = "")
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n" + more + "\r\n";
}

// Two listeners that share a budget; each answers with the size of the body.
class SharedBudgetFixture {
public:
    SharedBudgetFixture()
        : budget(std::make_shared<InputBudget>(InputLimits { limit, 1000 }))
        , callers(loop, settings(), 0)
        , relays(loop, settings(), 1000)
    {
        for (CallerListener* listener : { &callers, &relays }) {
            listener->shareInput(budget);
            REQUIRE_FALSE(isError(listener->start()));
            listener->signalRequest().connect([listener](const RequestArrived& request) {
                listener->execute(
                    SendWholeResponse { request.id, 200, {}, std::to_string(request.body.size()) + " bytes" });
            });
        }
    }

    void runLoop(Duration duration)
    {
        loop.callLater(duration, [this] { loop.stop(); });
        loop.run();
    }

    static ListenerSettings settings()
    {
        ListenerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.forwardsUnchanged = true;
        return settings;
    }

    EventLoop loop;
    std::shared_ptr<InputBudget> budget;
    CallerListener callers;
    CallerListener relays;
};

struct ExpectCase {
    const char* what;
    std::size_t length;
    const char* expected;
};

} // namespace

// Guards against a rejection that takes the wrong request, states a wrong outcome or keeps the memory.
TEST_CASE("Above the limit the largest unfinished request of all listeners is rejected as not run")
{
    SharedBudgetFixture fixture;
    const BlockingCaller stopped(fixture.relays.port());
    stopped.send(bodyHead(heldBody + 1) + std::string(heldBody, 'x'));
    CHECK(exchangeRaw(fixture.loop, fixture.callers.port(), bodyHead(3) + "abc", exchangeTime).find("3 bytes")
        != std::string::npos);
    CHECK(fixture.budget->heldBytes() >= heldBody);
    CHECK(stopped.received().empty());
    const std::string answer
        = exchangeRaw(fixture.loop, fixture.callers.port(), bodyHead(60'001) + std::string(60'000, 'x'), exchangeTime);
    CHECK(answer == "");
    const std::string rejection = stopped.received();
    CHECK(rejection.starts_with("HTTP/1.1 503 "));
    for (const char* text : { "\"not_run\"", "\"memory_full\"", "Retry-After: 1\r\n" })
        CHECK(rejection.find(text) != std::string::npos);
    CHECK(fixture.relays.counts().rejectedFor.at(static_cast<std::size_t>(RejectionReason::MemoryFull)) == 1);
    CHECK(fixture.callers.counts().rejected == 0);
    CHECK(fixture.budget->counts().requests == 1);
    CHECK(fixture.budget->heldBytes() < heldBody);
}

// Guards against bodies that are invited although there is no room for them, and against the refusal of small ones.
TEST_CASE("A body is invited only if there is room for it")
{
    const auto test = GENERATE(values<ExpectCase>({
        { "no room", 60'000, "HTTP/1.1 503 " },
        { "room", 10'000, "HTTP/1.1 100 " },
    }));
    INFO(test.what);
    SharedBudgetFixture fixture;
    const BlockingCaller stopped(fixture.callers.port());
    stopped.send(bodyHead(heldBody + 1) + std::string(heldBody, 'x'));
    fixture.runLoop(exchangeTime);
    const std::string answer = exchangeRaw(
        fixture.loop, fixture.callers.port(), bodyHead(test.length, "Expect: 100-continue\r\n"), exchangeTime);
    CHECK(answer.starts_with(test.expected));
    CHECK(stopped.received().empty());
}

// Guards against a refused body whose memory is kept while the rest of it is discarded.
TEST_CASE("A body that is too long is refused at its declaration and not kept")
{
    SharedBudgetFixture fixture;
    const BlockingCaller endless(fixture.callers.port());
    endless.send(bodyHead(5'000'000) + std::string(50'000, 'x'));
    CHECK(exchangeRaw(fixture.loop, fixture.callers.port(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", exchangeTime)
              .find("0 bytes")
        != std::string::npos);
    CHECK(endless.received().starts_with("HTTP/1.1 413 "));
    CHECK(fixture.budget->heldBytes() == 0);
    CHECK(fixture.callers.counts().rejectedFor.at(static_cast<std::size_t>(RejectionReason::TooLarge)) == 1);
}

// Guards against callers that keep a connection and its memory with a byte from time to time.
TEST_CASE("A body that arrives too slowly is refused")
{
    EventLoop loop;
    ListenerSettings settings = SharedBudgetFixture::settings();
    settings.idleTimeout = 200ms;
    CallerListener listener(loop, settings, 0);
    REQUIRE_FALSE(isError(listener.start()));
    const BlockingCaller slow(listener.port());
    slow.send(bodyHead(1000));
    for (int i = 0; i < 8; ++i) {
        slow.send("x");
        loop.callLater(100ms, [&loop] { loop.stop(); });
        loop.run();
    }
    CHECK(slow.received().starts_with("HTTP/1.1 408 "));
    CHECK(listener.counts().rejectedFor.at(static_cast<std::size_t>(RejectionReason::TooSlow)) == 1);
}
