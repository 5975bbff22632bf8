#include "gateway/GatewayFixture.h"
#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/StreamVersionRecords.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const WallTime wallStart { std::chrono::hours(500000) };

// The records of one host with a store that answers each call after one step.
struct RecordsFixture {
    void run(Duration duration, StoreStatus failure = StoreStatus::Ok)
    {
        for (const MonotonicTime end = now + duration; now < end; now += 20ms) {
            EffectList effects;
            records.tick(wallNow(), now, effects);
            answer(effects, failure);
        }
    }

    void answer(const EffectList& effects, StoreStatus failure = StoreStatus::Ok)
    {
        for (const StoreCall& call : effectsOf<StoreCall>(effects)) {
            writes += std::holds_alternative<StoreCompareAndSwap>(call.operation);
            // A lost answer: the call takes effect.
            StoreReply reply = failure == StoreStatus::Unavailable ? StoreReply() : *store.answer(call, now);
            if (failure != StoreStatus::Ok)
                reply.status = failure;
            reply.id = call.id;
            if (auto read = records.handle(reply, wallNow()))
                found = std::move(*read);
        }
    }

    std::vector<StreamBeginning> read()
    {
        EffectList effects;
        CHECK(records.read(now, effects));
        answer(effects);
        return found;
    }

    void add(StreamKey first, std::size_t count, const std::string& version)
    {
        for (std::size_t i = 0; i < count; ++i)
            records.add({ first + i, version, 30000 }, now);
    }

    WallTime wallNow() const { return wallStart + (now - MonotonicTime(1h)); }

    SimulatedStore store;
    StreamVersionRecords records { HostId("a"), 7 };
    MonotonicTime now { 1h };
    std::size_t writes = 0;
    std::vector<StreamBeginning> found;
};

} // namespace

// Guards against a store call for each stream.
TEST_CASE("The streams of an interval are written with one call")
{
    RecordsFixture fixture;
    for (StreamKey stream = 0; stream < 100; ++stream) {
        fixture.add(stream, 1, stream % 2 == 0 ? "v1" : "v2");
        fixture.run(40ms);
    }
    fixture.run(1s);
    CHECK(fixture.writes <= 11);
    const auto read = fixture.read();
    REQUIRE(read.size() == 100);
    for (const StreamBeginning& beginning : read)
        CHECK(beginning.softwareVersion == (beginning.stream % 2 == 0 ? "v1" : "v2"));
}

namespace {

struct FailureCase {
    const char* name;
    StoreStatus status;
};

} // namespace

// Guards against streams that are lost because one call failed, or its answer was lost.
TEST_CASE("Streams are written again after a failed call")
{
    const auto test = GENERATE(values<FailureCase>({
        { "the store is away", StoreStatus::Unavailable },
        { "answers are lost", StoreStatus::Unknown },
        { "the rate limit rejects calls", StoreStatus::RateLimited },
    }));
    INFO(test.name);
    RecordsFixture fixture;
    fixture.add(1, 1, "v1");
    fixture.run(1s);
    fixture.add(2, 5, "v1");
    fixture.run(2s, test.status);
    fixture.add(7, 1, "v1");
    fixture.run(3s);
    std::set<StreamKey> streams;
    for (const StreamBeginning& beginning : fixture.read())
        streams.insert(beginning.stream);
    CHECK(streams.size() == 7);
}

// Guards against records that stay for ever, and against streams that are known for longer than their callers wait.
TEST_CASE("Records and their streams expire")
{
    RecordsFixture fixture;
    fixture.add(1, 3, "v1");
    fixture.run(1s);
    CHECK(fixture.read().size() == 3);
    fixture.now += 20s;
    CHECK(fixture.read().size() == 3);
    fixture.now += 20s;
    CHECK(fixture.read().empty());
    fixture.now += 180s;
    fixture.store.expireLeases(fixture.now);
    CHECK(fixture.store.keys("catkinwell-streams/").empty());
}

// Guards against records that a restore of the store lost.
TEST_CASE("Records that a restore lost are written again")
{
    RecordsFixture fixture;
    fixture.store.saveCopy();
    fixture.add(1, 3, "v1");
    fixture.run(1s);
    fixture.store.restore(fixture.now);
    fixture.records.noteRestored(fixture.now);
    fixture.run(2s);
    CHECK(fixture.read().size() == 3);
}

// Guards against a planned stop that loses what was not written yet.
TEST_CASE("What waits is written when the process ends")
{
    RecordsFixture fixture;
    fixture.add(1, 1, "v1");
    fixture.run(1s);
    fixture.add(2, 1, "v1");
    EffectList effects;
    fixture.records.flush(fixture.wallNow(), fixture.now, effects);
    fixture.answer(effects);
    CHECK(fixture.read().size() == 2);
}

// Guards against reads of the store for each stream that nobody knows.
TEST_CASE("The records are read once a second at most, also by several questions")
{
    RecordsFixture fixture;
    std::size_t reads = 0;
    for (const MonotonicTime end = fixture.now + 5s; fixture.now < end; fixture.now += 20ms) {
        EffectList effects;
        fixture.records.read(fixture.now, effects);
        reads += effects.size();
        fixture.answer(effects);
    }
    CHECK(reads <= 5);
    CHECK(reads >= 4);
}

// Guards against a record of another release, or a damaged one, that ends the process.
TEST_CASE("Unreadable records are left out")
{
    RecordsFixture fixture;
    fixture.add(1, 2, "v1");
    fixture.run(1s);
    const std::string good = fixture.store.value(fixture.store.keys("catkinwell-streams/").at(0));
    for (std::size_t length = 0; length < good.size(); ++length)
        fixture.store.put("catkinwell-streams/b/1/" + std::to_string(length), good.substr(0, length));
    fixture.store.put("catkinwell-streams/b/1/x", "\x83\x01\x80\x81\x83\x01\x05\x19\x75\x30");
    CHECK(fixture.read().size() == 2);
}
