#include <catch2/catch.hpp>
#include <catkinwell/gateway/StreamVersions.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 1h };

} // namespace

// Guards against state that grows with the number of streams, and against versions that are kept for ever.
TEST_CASE("Streams are forgotten when there are too many or their callers have no time left")
{
    StreamVersions streams({ 4, 3, 10s });
    for (StreamKey key = 1; key <= 6; ++key)
        streams.noteBegun(key, "v1", 5s, start);
    CHECK(streams.size() == 4);
    CHECK_FALSE(streams.find(1, start));
    CHECK(streams.find(6, start) == "v1");
    CHECK(streams.find(6, start + 4900ms) == "v1");
    CHECK_FALSE(streams.find(6, start + 5s));
    streams.tick(start + 6s);
    CHECK(streams.size() == 0);
    // Other hosts cannot make this one keep a stream longer than the longest lifetime.
    streams.merge({ 7, "v1", INT64_MAX }, start);
    CHECK(streams.find(7, start + 9s) == "v1");
    CHECK_FALSE(streams.find(7, start + 11s));
}

TEST_CASE("Beginnings are reported once, in messages of bounded size")
{
    StreamVersions streams({ 16, 3, 10s });
    for (StreamKey key = 1; key <= 4; ++key)
        streams.noteBegun(key, "v1", 5s, start);
    streams.merge({ 9, "v2", 1000 }, start);
    CHECK(streams.takeNews(start).size() == 3);
    CHECK(streams.takeNews(start).size() == 1);
    CHECK(streams.takeNews(start).empty());
    CHECK(streams.answer(9, start).softwareVersion == "v2");
    CHECK(streams.answer(9, start).remainingMilliseconds == 1000);
    CHECK(streams.answer(10, start).remainingMilliseconds < 0);
}

// Guards against an older report that hides that an endpoint changed its version under an open stream.
TEST_CASE("A version that cannot be told stays unknown")
{
    StreamVersions streams;
    streams.noteBegun(1, "v1", 5s, start);
    streams.noteBegun(1, "", 5s, start);
    streams.merge({ 1, "v1", 4000 }, start);
    CHECK(streams.find(1, start) == "");
}
