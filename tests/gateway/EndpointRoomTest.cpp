#include <catch2/catch.hpp>
#include <catkinwell/gateway/EndpointRoom.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr const char* service = "orders";
const EndpointId endpoint("e");

struct RoomCase {
    const char* name;
    std::size_t hosts;
    EndpointRoom::Use use;
    // Requests that one host may start in a window, at least and at most.
    unsigned expectedLeast;
    unsigned expectedMost;
};

unsigned startAll(EndpointRoom& room, const EndpointRoom::Use& use, MonotonicTime now)
{
    unsigned started = 0;
    for (; started < 100 && room.hasRoom(service, endpoint, use, now); ++started)
        room.attemptStarted(service, endpoint, now);
    return started;
}

} // namespace

// Guards against hosts that each take all the room that is free.
TEST_CASE("A host starts no more than its share of the free room in the time that reports take")
{
    const auto test = GENERATE(values<RoomCase>({
        { "the only host", 1, { 10, 4, 4, 4 }, 6, 6 },
        { "four equal hosts", 4, { 40, 0, 0, 0 }, 7, 7 },
        { "a host that runs most of all", 4, { 40, 20, 17, 20 }, 10, 11 },
        { "a host that runs little", 4, { 40, 20, 1, 20 }, 1, 2 },
        { "more hosts than places", 100, { 4, 0, 0, 0 }, 0, 1 },
        { "no room", 4, { 10, 10, 0, 10 }, 0, 0 },
        { "more than the room", 4, { 10, 14, 0, 14 }, 0, 0 },
    }));
    INFO(test.name);
    EndpointRoom room(3);
    EffectList effects;
    constexpr MonotonicTime now { 1h };
    room.setHosts(test.hosts);
    room.noteAnswer(service, 2.0, now, effects);
    const unsigned started = startAll(room, test.use, now);
    CHECK(started >= test.expectedLeast);
    CHECK(started <= test.expectedMost);
    // The next window begins when the reports of all hosts have arrived.
    CHECK(startAll(room, test.use, now + 200ms) == 0);
    if (test.expectedLeast > 0)
        CHECK(startAll(room, test.use, now + 250ms) > 0);
}

// Guards against hosts that try a full endpoint again and again.
TEST_CASE("After a rejection the host leaves the endpoint alone, the longer the more hosts there are")
{
    const std::size_t hosts = GENERATE(1U, 4U, 40U);
    EndpointRoom room(3);
    EffectList effects;
    constexpr MonotonicTime now { 1h };
    room.setHosts(hosts);
    room.noteAnswer(service, 2.0, now, effects);
    room.noteRejected(service, endpoint, now);
    Duration closed {};
    const EndpointRoom::Use use { 64, 0, 0, 0 };
    while (!room.hasRoom(service, endpoint, use, now + closed) && closed < 10s)
        closed += 10ms;
    // All hosts together are rejected no more than twice a second, up to a longest pause.
    CHECK(closed >= std::min<Duration>(5s, std::chrono::milliseconds(1000 * hosts / 2) - 250ms));
    CHECK(closed <= 6s);
}

// Guards against a limit that outlasts what it was stated for, and against hosts that did not hear of it.
TEST_CASE("A service is brittle while its endpoints or other hosts say so")
{
    EndpointRoom room(3);
    EffectList effects;
    constexpr MonotonicTime now { 1h };
    CHECK_FALSE(room.isBrittle(service, now));
    SECTION("an answer without the statement ends it")
    {
        room.noteAnswer(service, 2.0, now, effects);
        CHECK(room.report(now) == std::map<std::string, double> { { service, 2.0 } });
        room.noteAnswer(service, std::nullopt, now, effects);
        CHECK_FALSE(room.isBrittle(service, now));
        CHECK(effects.size() == 2);
    }
    SECTION("it ends by itself")
    {
        room.noteAnswer(service, 2.0, now, effects);
        CHECK(room.isBrittle(service, now + 29s));
        CHECK_FALSE(room.isBrittle(service, now + 30s));
    }
    SECTION("a report of another host is not passed on")
    {
        room.merge({ { service, 2.0 } }, now, effects);
        CHECK(room.isBrittle(service, now));
        CHECK(room.report(now).empty());
    }
}
