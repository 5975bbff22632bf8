#include "orders/ShardValue.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;

namespace {

struct OutcomeCase {
    const char* name;
    int status;
    HeaderList headers;
    bool expectedKept;
};

} // namespace

// Guards against a broken answer that a host of an earlier release recorded and that is repeated to callers.
TEST_CASE("A recorded outcome that is no valid response is unknown")
{
    const auto test = GENERATE(values<OutcomeCase>({
        { "sound", 201, { { "X-Even", "1" }, { "X-Empty", "" } }, true },
        { "no headers", 599, {}, true },
        { "status 000", 0, {}, false },
        { "interim status", 103, {}, false },
        { "status 600", 600, {}, false },
        { "blank in a name", 200, { { "X-Even", "1" }, { "X Odd", "1" } }, false },
        { "blank at the end of a name", 200, { { "X-Odd ", "1" } }, false },
        { "control byte in a name", 200, { { "X\x01Odd", "1" } }, false },
        { "empty name", 200, { { "", "1" } }, false },
        { "control byte in a value", 200, { { "X-Odd", "\x01" } }, false },
        { "line end in a value", 200, { { "X-Odd", "a\r\nX-Other: b" } }, false },
    }));
    INFO(test.name);
    const StoredOutcome outcome { test.status, test.headers, "body", BodyStorage::Inline, {} };
    CHECK(decodeOutcome(encodeOutcome(outcome)).has_value() == test.expectedKept);

    ClaimEntry entry;
    entry.key = shortDigestOf("key");
    entry.state = EntryState::Done;
    entry.outcome = outcome;
    const auto empty = ShardValue::decode("");
    REQUIRE(empty);
    const auto found = empty->edited({ { entry.key, entry } }, 0).find(entry.key);
    REQUIRE(found);
    CHECK((found->state == (test.expectedKept ? EntryState::Done : EntryState::Unknown)));
}
