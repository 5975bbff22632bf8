#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/VersionMixRecords.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const std::string prefix = "catkinwell/versions/";
const WallTime wallNow { std::chrono::hours(500000) };

std::string expiryAfter(std::chrono::seconds time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::seconds>((wallNow + time).time_since_epoch()).count());
}

struct TickCase {
    const char* what;
    std::vector<std::string> services;
    std::vector<StoreEntry> entries;
    bool isOwner;
    Duration duration;
    std::size_t writes;
    std::size_t deletes;
};

} // namespace

// Guards against a record that is missing after a restart of all hosts, and against hosts that all write it.
TEST_CASE("A service with several versions is recorded by the owner, or by others after a while")
{
    const auto test = GENERATE(values<TickCase>({
        { "the owner writes at once", { "s" }, {}, true, 100ms, 1, 0 },
        { "others leave it to the owner", { "s" }, {}, false, 600ms, 0, 0 },
        { "others write what stays missing", { "s" }, {}, false, 1s, 1, 0 },
        { "a fresh record is left alone", { "s" }, { { prefix + "s", expiryAfter(150s), 4 } }, true, 1s, 0, 0 },
        { "an old one is renewed", { "s" }, { { prefix + "s", expiryAfter(60s), 4 } }, true, 100ms, 1, 0 },
        { "an expired one is deleted", {}, { { prefix + "s", expiryAfter(-1s), 4 } }, true, 100ms, 0, 1 },
        { "an unreadable one is deleted", {}, { { prefix + "s", "x", 4 } }, true, 100ms, 0, 1 },
        { "only the owner deletes", {}, { { prefix + "s", expiryAfter(-1s), 4 } }, false, 2s, 0, 0 },
    }));
    INFO(test.what);
    VersionMixRecords records(prefix);
    EffectList effects;
    const PrefixMirror mirror = mirrorOf(test.entries);
    for (MonotonicTime now { 1h }; now < MonotonicTime(1h) + test.duration; now += 20ms)
        records.tick(test.services, mirror, test.isOwner, wallNow, now, effects);
    std::size_t writes = 0;
    std::size_t deletes = 0;
    for (const StoreCall& call : effectsOf<StoreCall>(effects)) {
        writes += std::holds_alternative<StoreCompareAndSwap>(call.operation);
        deletes += std::holds_alternative<StoreDelete>(call.operation);
    }
    CHECK(writes == test.writes);
    CHECK(deletes == test.deletes);
}

TEST_CASE("Records that have not expired name their services")
{
    const PrefixMirror mirror = mirrorOf({ { prefix + "s", expiryAfter(10s), 4 },
        { prefix + "t", expiryAfter(-10s), 5 }, { "catkinwell/owner", expiryAfter(10s), 6 } });
    const VersionMixRecords records(prefix);
    CHECK(records.services(mirror, wallNow) == std::set<std::string> { "s" });
    CHECK_FALSE(records.services(PrefixMirror(StoreUser::Shares, { "catkinwell/" }, 1), wallNow));
}
