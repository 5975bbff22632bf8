#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/PrefixMirror.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

class MirrorFixture {
public:
    // Advances the clock until the next call, at most one second, and returns the call.
    std::optional<StoreCall> nextCall()
    {
        for (int i = 0; i < 100; ++i) {
            EffectList effects;
            mirror.tick(now, effects);
            const auto calls = effectsOf<StoreCall>(effects);
            if (!calls.empty())
                return calls.front();
            now += std::chrono::milliseconds(10);
        }
        return std::nullopt;
    }

    std::vector<StoreEntry> reply(
        const StoreCall& call, StoreStatus status, StoreVersion version = 0, std::vector<StoreEntry> entries = {})
    {
        StoreReply reply;
        reply.id = call.id;
        reply.status = status;
        reply.version = version;
        reply.entries = std::move(entries);
        EffectList effects;
        return mirror.handle(reply, now, effects);
    }

    // When the next watch is sent after one that was sent to a connection which went silent.
    Duration timeToNextWatch()
    {
        const auto list = *nextCall();
        reply(list, StoreStatus::Ok, 5);
        const auto lost = *nextCall();
        const MonotonicTime sentAt = now;
        now += std::get<StoreWatchPrefix>(lost.operation).wait + lost.timeout;
        reply(lost, StoreStatus::Unknown);
        nextCall();
        return now - sentAt;
    }

    MonotonicTime now { std::chrono::hours(1) };
    PrefixMirror mirror { StoreUser::Configuration, { "p/" }, 1 };
};

} // namespace

TEST_CASE("A mirror lists once and then watches for changes")
{
    MirrorFixture fixture;
    const auto list = *fixture.nextCall();
    CHECK(std::holds_alternative<StoreList>(list.operation));
    CHECK(fixture.reply(list, StoreStatus::Ok, 5, { { "p/a", "1", 3 }, { "p/b", "2", 4 } }).size() == 2);
    CHECK(fixture.mirror.isRead());
    const auto watch = *fixture.nextCall();
    REQUIRE(std::holds_alternative<StoreWatchPrefix>(watch.operation));
    CHECK(std::get<StoreWatchPrefix>(watch.operation).afterVersion == 5);
    const auto changes
        = fixture.reply(watch, StoreStatus::Ok, 8, { { "p/a", "3", 7 }, { "p/b", "", 8, true }, { "p/a", "old", 2 } });
    CHECK(changes.size() == 2);
    CHECK(fixture.mirror.find("p/a")->value == "3");
    CHECK_FALSE(fixture.mirror.find("p/b"));
}

// Guards against changes that are missed because the store dropped its history.
TEST_CASE("A lost history leads to a new list, which also reveals deletions")
{
    MirrorFixture fixture;
    fixture.reply(*fixture.nextCall(), StoreStatus::Ok, 5, { { "p/a", "1", 3 }, { "p/b", "2", 4 } });
    fixture.reply(*fixture.nextCall(), StoreStatus::HistoryLost);
    const auto list = *fixture.nextCall();
    REQUIRE(std::holds_alternative<StoreList>(list.operation));
    const auto changes = fixture.reply(list, StoreStatus::Ok, 30, { { "p/a", "9", 20 } });
    REQUIRE(changes.size() == 2);
    CHECK(fixture.mirror.find("p/a")->value == "9");
    CHECK_FALSE(fixture.mirror.find("p/b"));
}

// Guards against a host that never reads a long list because each attempt has the same short timeout.
TEST_CASE("A list without an answer in time is repeated with a longer timeout")
{
    MirrorFixture fixture;
    Duration previous {};
    for (int i = 0; i < 4; ++i) {
        const auto list = *fixture.nextCall();
        REQUIRE(std::holds_alternative<StoreList>(list.operation));
        CHECK(list.timeout > previous);
        previous = list.timeout;
        fixture.reply(list, StoreStatus::Unknown);
    }
    fixture.reply(*fixture.nextCall(), StoreStatus::Ok, 5, { { "p/a", "1", 3 } });
    fixture.reply(*fixture.nextCall(), StoreStatus::HistoryLost);
    CHECK((*fixture.nextCall()).timeout < previous);
}

// Guards against hosts that overload a store with failing calls, and against a copy that is dropped during an outage.
TEST_CASE("Failed calls are repeated with increasing pauses and the copy is kept")
{
    const auto status = GENERATE(values({ StoreStatus::Unavailable, StoreStatus::RateLimited, StoreStatus::Unknown,
        StoreStatus::NotFound, StoreStatus::Conflict }));
    MirrorFixture fixture;
    fixture.reply(*fixture.nextCall(), StoreStatus::Ok, 5, { { "p/a", "1", 3 } });
    const MonotonicTime start = fixture.now;
    int calls = 0;
    while (fixture.now - start < std::chrono::seconds(10)) {
        if (const auto call = fixture.nextCall()) {
            ++calls;
            fixture.reply(*call, status);
        }
    }
    INFO(nameOf(status) << ": " << calls << " calls in 10 s");
    CHECK(calls <= 25);
    CHECK(calls >= 8);
    CHECK(fixture.mirror.find("p/a"));
    CHECK(fixture.mirror.failingSince() != MonotonicTime());
}

// Guards against a lost connection that shows only after the long wait of a watch.
TEST_CASE("A watch is renewed at once, and what the former one brings is ignored")
{
    MirrorFixture fixture;
    fixture.reply(*fixture.nextCall(), StoreStatus::Ok, 5, { { "p/a", "1", 3 } });
    const auto former = *fixture.nextCall();
    const MonotonicTime before = fixture.now;
    fixture.mirror.renewWatch(fixture.now);
    const auto renewed = fixture.nextCall();
    REQUIRE(renewed);
    CHECK(fixture.now == before);
    CHECK(std::get<StoreWatchPrefix>(renewed->operation).afterVersion == 5);
    CHECK(fixture.reply(former, StoreStatus::Ok, 8, { { "p/a", "2", 8 } }).empty());
    CHECK(fixture.reply(*renewed, StoreStatus::Ok, 8, { { "p/a", "2", 8 } }).size() == 1);
}

// Guards against a host that acts on an old copy for longer than its deployment allows, and against calls that tell
// nothing.
TEST_CASE("A watch waits as long as a silent connection may go unnoticed")
{
    const Duration reconnect = GENERATE(as<Duration>(), std::chrono::seconds(2), std::chrono::seconds(3),
        std::chrono::seconds(5), std::chrono::seconds(10));
    MirrorFixture fixture;
    fixture.mirror.setReconnect(reconnect);
    const Duration time = fixture.timeToNextWatch();
    CHECK(time <= reconnect);
    CHECK(time >= reconnect - std::chrono::seconds(1));
}

// Guards against a host with a slow link that reads each document which it missed, and times out before the last one.
TEST_CASE("After a failure, a mirror of large values reads the newest ones only")
{
    const bool listsAfterFailure = GENERATE(false, true);
    MirrorFixture fixture;
    PrefixMirrorSettings settings { "p/" };
    settings.listsAfterFailure = listsAfterFailure;
    fixture.mirror = PrefixMirror(StoreUser::Configuration, settings, 1);
    fixture.reply(*fixture.nextCall(), StoreStatus::Ok, 5, { { "p/a", "1", 4 } });
    fixture.reply(*fixture.nextCall(), StoreStatus::Unavailable);
    const auto call = *fixture.nextCall();
    CHECK(std::holds_alternative<StoreList>(call.operation) == listsAfterFailure);
    const auto changes = fixture.reply(call, StoreStatus::Ok, 9, { { "p/a", "3", 8 } });
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].value == "3");
    CHECK(fixture.mirror.version() == 9);
    CHECK(std::holds_alternative<StoreWatchPrefix>(fixture.nextCall()->operation));
}
