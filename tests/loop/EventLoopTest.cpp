#include <catch2/catch.hpp>
#include <catkinwell/loop/EventLoop.h>

using namespace Catkinwell;

// Guards against delayed calls that are made twice, too early, or not at all if one of them schedules another.
TEST_CASE("A delayed call is made once, after its delay")
{
    EventLoop loop;
    const SystemClock clock;
    const MonotonicTime start = clock.monotonicNow();
    int calls = 0;
    Duration nestedAfter {};
    loop.callLater(std::chrono::milliseconds(20), [&] {
        ++calls;
        loop.callLater(std::chrono::milliseconds(20), [&] {
            ++calls;
            nestedAfter = clock.monotonicNow() - start;
            loop.stop();
        });
    });
    loop.run();
    CHECK(calls == 2);
    CHECK(nestedAfter >= std::chrono::milliseconds(39));
}

// Guards against a leak of the objects that a pending call owns when the loop is destroyed.
TEST_CASE("A pending call is released with its loop")
{
    const auto owned = std::make_shared<int>(1);
    {
        EventLoop loop;
        loop.callLater(std::chrono::hours(1), [owned] {});
        CHECK(owned.use_count() == 2);
    }
    CHECK(owned.use_count() == 1);
}
