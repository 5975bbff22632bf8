#include <catch2/catch.hpp>
#include <catkinwell/loop/EventLoop.h>

using namespace Catkinwell;

// Guards against calls that are made twice, early, or not at all when one of them plans another.
TEST_CASE("A later call is made once, after its delay")
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

// Guards against what a planned call owns staying in memory when the loop ends before it.
TEST_CASE("A call that was not made is released with its loop")
{
    const auto owned = std::make_shared<int>(1);
    {
        EventLoop loop;
        loop.callLater(std::chrono::hours(1), [owned] {});
        CHECK(owned.use_count() == 2);
    }
    CHECK(owned.use_count() == 1);
}
