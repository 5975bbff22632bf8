#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/GatewayMessage.h>
#include <catkinwell/gateway/RecordChanges.h>
#include <catkinwell/gateway/SharedReading.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

using std::chrono::milliseconds;
using Role = SharedReading::Role;

constexpr Duration interval = milliseconds(1200);

std::map<HostId, SharedReading::Candidate> others(
    const ReadingFitness& first, const ReadingFitness& rest = { 0.1, true })
{
    std::map<HostId, SharedReading::Candidate> hosts;
    for (const char* name : { "b", "c", "d" })
        hosts[HostId(name)] = { 1, rest };
    hosts[HostId("a")] = { 1, first };
    return hosts;
}

StoreEntry record(StoreVersion version, int heartbeat, const std::string& softwareVersion, const std::string& key = "x")
{
    return { "endpoints/" + key,
        R"({"service":"notes","heartbeat":)" + std::to_string(heartbeat) + R"(,"version":")" + softwareVersion + "\"}",
        version };
}

} // namespace

// Guards against a small or late host that reads for all.
TEST_CASE("Fit and strong hosts read before others")
{
    const auto [own, first, expected] = GENERATE(table<ReadingFitness, ReadingFitness, Role>({
        { { 0.4, true }, { 0.1, true }, Role::Reader },
        { { 0.2, true }, { 0.4, true }, Role::Standby },
        { { 0.2, true }, { 0.4, false }, Role::Reader },
        { { 0.4, false }, { 0.1, true }, Role::Follower },
        { { 0.05, true }, { 0.4, true }, Role::Follower },
    }));
    SharedReading reading({ HostId("self"), 1, 5 }, 1);
    reading.update(1, interval, own, others(first));
    CHECK(nameOf(reading.role()) == nameOf(expected));
    reading.setFromHosts(6);
    reading.update(1, interval, own, others(first));
    CHECK(reading.role() == Role::Alone);
}

// Guards against followers whose copy is older than that of a host that reads by itself, and against all of them
// reading at the same moment.
TEST_CASE("The standby reads before the followers, and these read at different times within the interval")
{
    const MonotonicTime start { std::chrono::hours(1) };
    SharedReading standby({ HostId("self"), 1, 5 }, 1);
    standby.update(1, interval, { 0.2, true }, others({ 0.4, true }));
    standby.noteFresh(start);
    std::set<Duration> times;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        SharedReading follower({ HostId("self"), 1, 5 }, seed);
        follower.update(1, interval, { 0.05, true }, others({ 0.4, true }));
        follower.noteFresh(start);
        times.insert(follower.longestAge());
        CHECK_FALSE(follower.mayRead(start + standby.longestAge() + milliseconds(100)));
        CHECK(follower.mayRead(start + interval - milliseconds(100)));
        CHECK_FALSE(follower.isSending(start + interval));
    }
    CHECK(times.size() > 10);
    CHECK(standby.isSending(start + standby.longestAge()));
    CHECK_FALSE(standby.isSending(start + standby.readingInterval()));
}

// Guards against a batch that lay in a queue and counts as fresh.
TEST_CASE("A batch that took longer than others of its host is older by that time")
{
    const auto delay = GENERATE(milliseconds(0), milliseconds(300), milliseconds(5000));
    SharedReading reading({ HostId("self"), 1, 5 }, 1);
    MonotonicTime now { std::chrono::hours(1) };
    RecordBatch batch;
    batch.sentAt = std::chrono::microseconds(77);
    batch.age = milliseconds(40);
    CHECK(reading.timeOf(HostId("a"), 1, batch, now) == now - milliseconds(40));
    batch.sentAt += milliseconds(600);
    now += milliseconds(600) + delay;
    CHECK(reading.timeOf(HostId("a"), 1, batch, now) <= now - milliseconds(40) - delay + milliseconds(1));
}

TEST_CASE("Only records that differ in more than the heartbeat are passed on")
{
    SimulatedProtocol protocol;
    RecordChanges changes(protocol);
    changes.reset({ { "endpoints/x", record(5, 1, "v1") } }, 5);
    CHECK(changes.note({ record(6, 2, "v1") }).empty());
    CHECK(changes.note({ record(7, 3, "v2") }).size() == 1);
    CHECK(changes.note({ record(8, 4, "v2", "y") }).size() == 1);
    CHECK(changes.note({ record(9, 4, "v2") }).empty());
    const auto deleted = changes.note({ { "endpoints/x", "", 9, true } });
    REQUIRE(deleted.size() == 2);
    CHECK(deleted.front().value == record(9, 4, "v2").value);
    CHECK(changes.note({ { "endpoints/x", "no record", 10 }, { "endpoints/x", "no record", 11 } }).size() == 2);
    // A reader that saw the same record before and after says nothing of a change between.
    CHECK_FALSE(changes.hasOtherChangeSince(11, {}));
    CHECK(changes.hasOtherChangeSince(8, {}));
    CHECK_FALSE(changes.hasOtherChangeSince(8, { record(12, 5, "v1") }));
    CHECK(changes.hasOtherChangeSince(4, { record(12, 5, "v1"), record(12, 5, "v1", "y") }));
}

TEST_CASE("The changes since a version are the last states of the records, as long as they are known")
{
    SimulatedProtocol protocol;
    RecordChanges changes(protocol);
    changes.reset({ { "endpoints/x", record(5, 1, "v1") }, { "endpoints/y", record(4, 1, "v1", "y") } }, 5);
    changes.note({ record(6, 2, "v2"), record(7, 3, "v3"), { "endpoints/y", "", 8, true }, record(9, 4, "v3") });
    CHECK_FALSE(changes.since(4));
    const auto all = changes.since(5);
    REQUIRE(all);
    REQUIRE(all->size() == 2);
    CHECK(all->at(0).value == record(9, 4, "v3").value);
    CHECK(all->at(1).isDeleted);
    CHECK(all->at(1).version == 8);
    // Heartbeats alone are no changes.
    CHECK(changes.since(8)->empty());
    const auto decoded = decodeGatewayMessage(encodeGatewayMessage(RecordsWanted { 3, 17 }));
    REQUIRE_FALSE(isError(decoded));
    CHECK(std::get<RecordsWanted>(valueOf(decoded)).epoch == 3);
    CHECK(std::get<RecordsWanted>(valueOf(decoded)).have == 17);
}

TEST_CASE("Batches and the fitness to read keep their content when they are sent")
{
    RecordBatch batch { 3, 10, 20, std::chrono::microseconds(123456789), milliseconds(15), milliseconds(1700),
        { record(11, 1, "v1"), { "endpoints/y", "", 12, true } } };
    if (GENERATE(false, true))
        batch.recoveredAgo.reset();
    batch.isWhole = GENERATE(false, true);
    const auto decoded = decodeGatewayMessage(encodeGatewayMessage(batch));
    REQUIRE_FALSE(isError(decoded));
    const auto& read = std::get<RecordBatch>(valueOf(decoded));
    CHECK(std::tuple(read.epoch, read.from, read.to, read.sentAt, read.age, read.recoveredAgo)
        == std::tuple(batch.epoch, batch.from, batch.to, batch.sentAt, batch.age, batch.recoveredAgo));
    CHECK(read.isWhole == batch.isWhole);
    REQUIRE(read.entries.size() == 2);
    CHECK(read.entries[0].value == batch.entries[0].value);
    CHECK(read.entries[1].isDeleted);
    HostDigest digest;
    // Inexact in fewer digits: hosts of equal share would rank each other first.
    digest.reading = ReadingFitness { 0.4, false };
    const auto decodedDigest = decodeGatewayMessage(encodeGatewayMessage(digest));
    CHECK(std::get<HostDigest>(valueOf(decodedDigest)).reading == digest.reading);
}
