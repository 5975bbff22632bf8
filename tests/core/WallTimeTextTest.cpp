#include <catch2/catch.hpp>
#include <catkinwell/core/WallTimeText.h>

using namespace Catkinwell;

// Guards against times outside the range of the clock's type, which overflowed to a different time.
TEST_CASE("Only times that the clock can hold are read")
{
    const auto [text, isValid] = GENERATE(table<std::string, bool>({
        { "2027-01-31T18:00:00Z", true },
        { "1969-12-31T23:59:59Z", true },
        { "2262-01-01T00:00:00Z", true },
        { "2263-01-01T00:00:00Z", false },
        { "8026-12-04T00:00:00Z", false },
        { "2027-02-31T18:00:00Z", false },
        { "soon", false },
    }));
    INFO(text);
    const auto time = parseWallTime(text);
    CHECK(time.has_value() == isValid);
    if (time)
        CHECK(formatWallTime(*time) == text);
}
