#include <catch2/catch.hpp>
#include <shares/AllocationTable.h>
#include <shares/HeldAllocation.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

AllocationTable fullTable(std::uint32_t holders)
{
    AllocationTable table;
    for (std::uint32_t i = 0; i < holders; ++i)
        table.allocations.push_back({ "0123abcd-4567-89ef-0000-" + std::to_string(100'000'000'000 + i),
            totalUnits * 8 / 10 / holders, totalUnits * 2 / 10 / holders, static_cast<std::uint8_t>(i) });
    return table;
}

const MonotonicTime start { 1h };

} // namespace

// The value must stay within the traffic limit: about 20 bytes of content per holder.
TEST_CASE("A table of 400 holders is encoded compactly and decoded exactly")
{
    const AllocationTable table = fullTable(400);
    const std::string value = encodeAllocationTable(table);
    const auto decoded = decodeAllocationTable(value);
    REQUIRE(decoded);
    CHECK(*decoded == table);
    CHECK(value.size() <= 400 * 23 + 32);
}

// A value that is damaged or allocates more than the total must not be adopted.
TEST_CASE("Malformed tables are refused")
{
    AllocationTable tooMuch = fullTable(4);
    tooMuch.allocations[0].floating += totalUnits / 10;
    auto [name, value] = GENERATE_COPY(table<std::string, std::string>({
        { "no CBOR", "shares" },
        { "truncated", encodeAllocationTable(fullTable(4)).substr(0, 40) },
        { "sum above the total", encodeAllocationTable(tooMuch) },
    }));
    INFO(name);
    CHECK_FALSE(decodeAllocationTable(value));
}

// An allocation must not be used while its write may not have taken effect, or a late write may still undo it.
TEST_CASE("After a write with an unknown result the smaller allocation counts until the version has risen")
{
    HeldAllocation held(60min);
    held.setLease({ "lease", start, start + 9s });
    held.beginWrite({ "lease", 100, 50, 0 }, 3);
    CHECK(held.floating() == 0);
    held.confirmWrite();
    CHECK(held.floating() == 100);
    CHECK(held.floatingUntil() == start + 9s);
    CHECK(held.standingUntil() == start + 60min);
    held.beginWrite({ "lease", 40, 80, 0 }, 4);
    held.recordUnknownWrite();
    CHECK(held.floating() == 40);
    CHECK(held.standing() == 50);
    CHECK_FALSE(held.observe({ { { "lease", 100, 50, 0 } } }, 4));
    CHECK(held.floating() == 40);
    CHECK(held.observe({ { { "lease", 100, 50, 0 } } }, 6));
    CHECK(held.floating() == 100);
}

// A renewal of another lease than the one in the entry must not extend the validity of standing units.
TEST_CASE("A new lease does not extend an allocation under the old one")
{
    HeldAllocation held(60min);
    held.setLease({ "old", start, start + 9s });
    held.beginWrite({ "old", 100, 50, 0 }, 0);
    held.confirmWrite();
    held.setLease({ "new", start + 30s, start + 39s });
    CHECK(held.floatingUntil() < start);
    CHECK(held.standingUntil() == start + 60min);
    held.beginWrite({ "new", 100, 50, 0 }, 1);
    held.confirmWrite();
    CHECK(held.floatingUntil() == start + 39s);
    CHECK(held.standingUntil() == start + 30s + 60min);
}
