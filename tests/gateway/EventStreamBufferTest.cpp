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

namespace {

struct RepeatCase {
    const char* name;
    std::string before;
    std::string rest;
    std::string expectedRest;
};

} // namespace

// Guards against an event that comes twice because the stream broke behind it and an endpoint begins with it again.
TEST_CASE("A stream that goes on does not repeat the last event")
{
    const auto test = GENERATE(values<RepeatCase>({
        { "the last event again", "id: 1\n\nid: 2\ndata: b\n\n", "id: 2\ndata: b\n\n", "" },
        { "and others", "id: 1\n\n", "id: 1\n\nid: 2\n\nid: 3\n\n", "id: 2\n\nid: 3\n\n" },
        { "CRLF", "id: 1\r\n\r\n", "id: 1\r\n\r\nid: 2\r\n\r\n", "id: 2\r\n\r\n" },
        { "CR", "id: 1\r\r", "id: 1\r\rid: 2\r\r", "id: 2\r\r" },
        { "only others", "id: 1\n\n", "id: 2\n\nid: 1\n\n", "id: 2\n\nid: 1\n\n" },
        { "no identifiers", "data: a\n\n", "data: a\n\n", "data: a\n\n" },
        { "events without an identifier", "id: 1\n\n", "data: a\n\nid: 2\n\n", "data: a\n\nid: 2\n\n" },
        { "twice the same in one stream", "id: 1\n\nid: 1\n\n", "id: 2\n\nid: 2\n\n", "id: 2\n\nid: 2\n\n" },
    }));
    for (std::size_t cut = 0; cut <= test.rest.size(); ++cut) {
        INFO(test.name << ", cut at byte " << cut);
        EventStreamBuffer buffer;
        CHECK(buffer.take(test.before) == test.before);
        buffer.dropPartial();
        std::string passed = buffer.take(test.rest.substr(0, cut));
        passed += buffer.take(test.rest.substr(cut));
        CHECK(passed + buffer.takeRest() == test.expectedRest);
    }
}
