#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/PromptRefusalRecords.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const std::string prefix = "catkinwell/quarantine/";
const WallTime wallNow { std::chrono::hours(500000) };
const PromptRefusal refusal { 7, { 1, 2 }, 3s };

// Returns the store calls of the ticks in the given time.
std::vector<StoreCall> callsOf(PromptRefusalRecords& records, const std::vector<PromptRefusal>& refusals,
    const PrefixMirror& mirror, bool isOwner, Duration duration)
{
    EffectList effects;
    for (MonotonicTime now { 1h }; now < MonotonicTime(1h) + duration; now += 20ms)
        records.tick(refusals, mirror, isOwner, wallNow, now, effects);
    return effectsOf<StoreCall>(effects);
}

StoreEntry entryWrittenFor(const PromptRefusal& written)
{
    PromptRefusalRecords records(prefix);
    const auto calls = callsOf(records, { written }, mirrorOf({}), true, 20ms);
    const auto& swap = std::get<StoreCompareAndSwap>(calls.at(0).operation);
    return { swap.key, swap.value, 5 };
}

} // namespace

// Guards against refusals that only the memory of the hosts holds.
TEST_CASE("A refusal's record is written once, first by the owner, and can be read after a restart")
{
    PromptRefusalRecords records(prefix);
    CHECK(callsOf(records, { refusal }, mirrorOf({}), true, 100ms).size() == 1);
    PromptRefusalRecords ofOther(prefix);
    CHECK(callsOf(ofOther, { refusal }, mirrorOf({}), false, 600ms).empty());
    CHECK(callsOf(ofOther, { refusal }, mirrorOf({}), false, 1s).size() == 1);
    const StoreEntry entry = entryWrittenFor(refusal);
    PromptRefusalRecords afterRestart(prefix);
    const auto read = afterRestart.read(entry, wallNow + 10s);
    REQUIRE(read);
    CHECK(read->id == refusal.id);
    CHECK(read->parts == refusal.parts);
    CHECK(read->age == 13s);
    CHECK(callsOf(afterRestart, { refusal }, mirrorOf({ entry }), true, 1s).empty());
}

TEST_CASE("A record that lost parts is rewritten, and one that ended or expired is deleted")
{
    const StoreEntry entry = entryWrittenFor(refusal);
    SECTION("parts lost")
    {
        PromptRefusalRecords records(prefix);
        const auto calls = callsOf(records, { { 7, { 2 }, 3s } }, mirrorOf({ entry }), true, 100ms);
        REQUIRE(calls.size() == 1);
        CHECK(std::get<StoreCompareAndSwap>(calls[0].operation).expectedVersion == 5);
    }
    SECTION("ended")
    {
        PromptRefusalRecords records(prefix);
        records.noteChange({ 7, {}, {} }, MonotonicTime(1h));
        const auto calls = callsOf(records, {}, mirrorOf({ entry }), false, 100ms);
        REQUIRE(calls.size() == 1);
        CHECK(std::get<StoreDelete>(calls[0].operation).key == entry.key);
    }
    SECTION("expired")
    {
        PromptRefusalRecords records(prefix);
        EffectList effects;
        records.tick({}, mirrorOf({ entry }), true, wallNow + 11min, MonotonicTime(1h), effects);
        CHECK(effectsOf<StoreCall>(effects).size() == 1);
    }
}

TEST_CASE("Entries that record no refusal are ignored")
{
    const StoreEntry entry = GENERATE(values<StoreEntry>({
        { "catkinwell/owner", "{}", 1 },
        { prefix + "x", "{}", 1 },
        { prefix + "7", "", 1 },
        { prefix + "7", "[]", 1 },
        { prefix + "7", R"({"parts":"x","refused_at_ms":1})", 1 },
        { prefix + "7", R"({"parts":[1]})", 1 },
    }));
    CHECK_FALSE(PromptRefusalRecords(prefix).read(entry, wallNow));
}
