#include <catch2/catch.hpp>
#include <catkinwell/gateway/EventStreamBuffer.h>

using namespace Catkinwell;

// Guards against truncated events, wherever the stream is split into chunks.
TEST_CASE("Only complete events are returned, wherever the stream is split")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 22\ndata: b\n\nid: 333\r\ndata: c\r\n\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventStreamBuffer buffer;
        std::string passed = buffer.take(stream.substr(0, cut));
        CHECK((passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n")));
        CHECK(stream.starts_with(passed));
        passed += buffer.take(stream.substr(cut));
        CHECK(passed == stream);
        CHECK(buffer.lastEventId() == "333");
        CHECK(buffer.takeRest().empty());
    }
}

// Guards against a stream that is taken up again behind an event of which the last byte is missing.
TEST_CASE("An event is returned with its whole line end")
{
    const auto lineEnd = GENERATE(values<std::string>({ "\n", "\r\n", "\r" }));
    const std::string stream = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
    EventStreamBuffer buffer;
    CHECK(buffer.take(stream.substr(0, stream.size() - 1)).empty());
    CHECK(buffer.lastEventId().empty());
    CHECK(buffer.take(stream.substr(stream.size() - 1)) == stream);
    CHECK(buffer.lastEventId() == "1");
}

TEST_CASE("The part of an incomplete event can be discarded")
{
    EventStreamBuffer buffer;
    CHECK(buffer.take("id: 1\n\nid: 2\nda") == "id: 1\n\n");
    buffer.dropPartial();
    CHECK(buffer.take("id: 2\n\n") == "id: 2\n\n");
    CHECK(buffer.lastEventId() == "2");
}
