#include <catch2/catch.hpp>
#include <catkinwell/gateway/EventStreamPosition.h>

using namespace Catkinwell;

namespace {

struct PositionCase {
    std::string stream;
    std::size_t expectedEvents;
    bool expectedInside;
};

} // namespace

// Guards against streams that end inside an event and count as complete, wherever they are split into chunks.
TEST_CASE("The position tells whether a stream ends inside an event")
{
    const auto test = GENERATE(values<PositionCase>({
        { "", 0, false },
        { "id: 1\ndata: a\n\n", 1, false },
        { "id: 1\ndata: a\n", 0, true },
        { "id: 1\ndata: a", 0, true },
        { "id: 1\ndata: a\n\ni", 1, true },
        { "id: 1\r\ndata: a\r\n\r\n", 1, false },
        { "id: 1\r\ndata: a\r\n", 0, true },
        { "data: a\r\rdata: b\r\r", 2, false },
        { ": comment\n\ndata: a\n\n", 1, false },
        { "data: a\n\n: comment", 1, true },
        { "data: a\n\n: comment\n", 1, false },
        { "data: a\r\n\r", 0, true },
        { "data: a\r\n\r\n: comment\r", 1, true },
        { "data: a\r\rdata: b\r", 1, true },
        { "data: a\n\n\n\n", 1, false },
    }));
    for (std::size_t cut = 0; cut <= test.stream.size(); ++cut) {
        EventStreamPosition position;
        position.feed(std::string_view(test.stream).substr(0, cut));
        position.feed(std::string_view(test.stream).substr(cut));
        INFO(test.stream << " cut at " << cut);
        CHECK(position.events() == test.expectedEvents);
        CHECK(position.isInsideEvent() == test.expectedInside);
    }
}
