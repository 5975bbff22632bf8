#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The platform's shortest time between orders of two hosts to one engine.
constexpr Duration shortestHandover = 3s;

std::string endpointDocument(std::uint64_t heartbeat, bool isLeaving = false)
{
    return nlohmann::json { { "service", "orders" }, { "heartbeat", heartbeat }, { "leaving", isLeaving } }.dump();
}

// Advances the store's version without a change that concerns the hosts.
void advanceVersion(SimulatedFleet& fleet, int changes)
{
    for (int i = 0; i < changes; ++i)
        fleet.store.put("unrelated", "");
}

std::size_t answersOfStatus(const SimulatedFleet& fleet, int status)
{
    return static_cast<std::size_t>(std::count_if(fleet.answers.begin(), fleet.answers.end(),
        [status](const SendWholeResponse& answer) { return answer.status == status; }));
}

// Returns the first two orders to an engine that break the rules for orders of different hosts; empty if there are
// none.
std::string conflictOf(const std::vector<SimulatedFleet::Order>& orders)
{
    std::map<EndpointId, SimulatedFleet::Order> last;
    for (const SimulatedFleet::Order& order : orders) {
        const auto known = last.find(order.engine);
        if (known != last.end() && known->second.host != order.host) {
            const Duration gap = order.at - known->second.at;
            if (gap < shortestHandover || order.token <= known->second.token)
                return order.engine.value + ": host " + std::to_string(known->second.host) + " with token "
                    + std::to_string(known->second.token) + ", then host " + std::to_string(order.host) + " with token "
                    + std::to_string(order.token) + " after " + std::to_string(millisecondsOf(gap)) + " ms";
        }
        if (known != last.end() && order.token < known->second.token)
            return order.engine.value + ": token " + std::to_string(order.token) + " after "
                + std::to_string(known->second.token);
        last[order.engine] = order;
    }
    return "";
}

} // namespace

// Guards against hosts that list their prefixes without end, because their watches ask for a version of before the
// restore.
TEST_CASE("Hosts list a restored store only once or twice")
{
    SimulatedFleet fleet(3);
    fleet.run(2s);
    fleet.store.saveCopy();
    advanceVersion(fleet, 200);
    fleet.store.put("configuration", "2");
    fleet.store.put("endpoints/o1", endpointDocument(1));
    fleet.store.put("catkinwell/other", "");
    fleet.run(2s);
    fleet.restoreStore();
    fleet.lists = 0;
    fleet.run(10s);
    constexpr std::size_t prefixes = 3;
    CHECK(fleet.lists <= 2 * prefixes * fleet.hostCount());
}

// Guards against changes that are missed because the restored store reached the old version before the host called it.
TEST_CASE("A host that was away during a restore sees what was written after it")
{
    SimulatedFleet fleet(2);
    fleet.run(2s);
    fleet.store.saveCopy();
    fleet.store.put("endpoints/o1", endpointDocument(1));
    fleet.run(1s);
    fleet.setConnected(1, false);
    fleet.run(1s);
    fleet.restoreStore();
    fleet.store.put("endpoints/o1", endpointDocument(2));
    fleet.store.put("endpoints/o2", endpointDocument(1));
    advanceVersion(fleet, 200);
    fleet.setConnected(1, true);
    fleet.run(4s);
    CHECK(fleet.status(1)["endpoints"] == 2);
}

// Guards against an absent record of a refusal that is taken for the release of the refusal.
TEST_CASE("A refusal of a prompt part outlasts a restore and is recorded again")
{
    SimulatedFleet fleet(3);
    fleet.store.put("endpoints/o1", endpointDocument(1));
    fleet.run(1s);
    fleet.store.saveCopy();
    const std::string key = "catkinwell/quarantine/7";
    const auto refusedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::hours(500000) + fleet.now.time_since_epoch());
    fleet.store.put(
        key, nlohmann::json { { "parts", { stableHash("part") } }, { "refused_at_ms", refusedAt.count() } }.dump());
    fleet.run(3s);
    const auto refusals = [&fleet] {
        fleet.answers.clear();
        for (std::size_t i = 0; i < fleet.hostCount(); ++i)
            fleet.arrive(i, "/note/1", "m1", "part");
        return answersOfStatus(fleet, 500);
    };
    REQUIRE(refusals() == 3);
    SECTION("restored")
    {
        fleet.restoreStore();
        fleet.run(1s);
        CHECK(refusals() == 3);
        fleet.run(3s);
        CHECK(refusals() == 3);
        CHECK_FALSE(fleet.store.value(key).empty());
    }
    SECTION("restored twice")
    {
        fleet.restoreStore();
        fleet.run(200ms);
        fleet.restoreStore();
        fleet.run(4s);
        CHECK(refusals() == 3);
        CHECK_FALSE(fleet.store.value(key).empty());
    }
    SECTION("released by its deletion, also after a restore")
    {
        fleet.restoreStore();
        fleet.run(3s);
        fleet.store.erase(key);
        fleet.run(3s);
        CHECK(refusals() == 0);
        CHECK(fleet.store.value(key).empty());
    }
    SECTION("released before a restore that brings the record back")
    {
        fleet.store.saveCopy();
        fleet.store.erase(key);
        fleet.run(3s);
        fleet.restoreStore();
        fleet.run(3s);
        CHECK(refusals() == 0);
        CHECK(fleet.store.value(key).empty());
    }
}

// Guards against a host that takes the restored entry of an earlier lease for its own and loses it with that lease.
TEST_CASE("Hosts stay registered after a restore that brings back an earlier lease")
{
    SimulatedFleet fleet(3);
    fleet.run(2s);
    fleet.store.saveCopy();
    fleet.setConnected(0, false);
    fleet.run(3s);
    fleet.setConnected(0, true);
    fleet.run(3s);
    fleet.restoreStore();
    fleet.run(8s);
    for (std::size_t i = 0; i < fleet.hostCount(); ++i) {
        INFO("host " << i);
        CHECK_FALSE(fleet.store.keys("catkinwell/hosts/host" + std::to_string(i) + "/").empty());
        for (std::size_t other = 0; other < fleet.hostCount(); ++other) {
            if (other != i)
                CHECK(fleet.status(other)["peers"]["host" + std::to_string(i)]["registered"] == true);
        }
    }
}

// Guards against leases of before the restore whose identifiers were given to other hosts.
TEST_CASE("A host does not renew the lease that another host got after a restore")
{
    SimulatedFleet fleet(2);
    fleet.store.saveCopy();
    fleet.run(2s);
    fleet.setConnected(0, false);
    fleet.restoreStore();
    fleet.run(500ms);
    fleet.setConnected(0, true);
    fleet.run(4s);
    fleet.kill(1);
    fleet.run(4s);
    CHECK(fleet.store.keys("catkinwell/hosts/host1/").empty());
    CHECK_FALSE(fleet.store.keys("catkinwell/hosts/host0/").empty());
}

// Guards against a host that counts as live for ever because a deletion does not repeat the deleted value.
TEST_CASE("A host whose entry was deleted is no longer registered")
{
    SimulatedFleet fleet(3);
    fleet.run(2s);
    REQUIRE(fleet.status(0)["peers"]["host2"]["registered"] == true);
    fleet.kill(2);
    fleet.run(6s);
    CHECK(fleet.status(0)["peers"]["host2"]["registered"] == false);
}

// Guards against a restarted host whose messages are dropped as old ones until they outnumber those of its earlier run.
TEST_CASE("A restarted host is heard although its entry arrives before its first message")
{
    SimulatedFleet fleet(3);
    fleet.run(20s);
    fleet.kill(2);
    fleet.run(3s);
    fleet.start(2);
    fleet.run(3s);
    for (std::size_t i = 0; i < 2; ++i)
        CHECK(fleet.status(i)["peers"]["host2"]["silent_ms"] < 1000);
}

// Guards against orders of two hosts too close together, and against fencing tokens that go back with the store's
// version.
TEST_CASE("Orders of two hosts stay apart and their tokens increase when the store is restored")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    INFO("seed " << seed);
    RandomGenerator random(seed);
    SimulatedFleet fleet(3, 3);
    fleet.runWithDemand(6s);
    fleet.store.saveCopy();
    for (int i = 0; i < 14; ++i) {
        const std::size_t host = random.below(4) == 0 ? random.below(3) : fleet.orderingHost();
        switch (random.below(6)) {
        case 0:
            fleet.setFrozen(host, true);
            fleet.runWithDemand(std::chrono::milliseconds(500 + random.below(8000)));
            fleet.setFrozen(host, false);
            break;
        case 1:
            fleet.setConnected(host, false);
            fleet.runWithDemand(std::chrono::milliseconds(500 + random.below(8000)));
            fleet.setConnected(host, true);
            break;
        case 2:
            fleet.kill(host);
            fleet.runWithDemand(std::chrono::milliseconds(500 + random.below(4000)));
            fleet.start(host);
            break;
        case 3:
            fleet.store.saveCopy();
            fleet.runWithDemand(std::chrono::milliseconds(500 + random.below(8000)));
            break;
        default:
            fleet.restoreStore();
            fleet.runWithDemand(std::chrono::milliseconds(200 + random.below(5000)));
        }
    }
    const std::size_t before = fleet.orders.size();
    fleet.runWithDemand(15s);
    CHECK(conflictOf(fleet.orders) == "");
    CHECK(fleet.orders.size() > before);
}

// Guards against hosts that no longer understand each other because the fleet's secret was lost and replaced.
TEST_CASE("All hosts have the same secret after a restore to a time before it was written")
{
    SimulatedFleet fleet(3);
    fleet.store.saveCopy();
    fleet.run(3s);
    const std::string secret = fleet.secretOf(0);
    const bool doesHostStart = GENERATE(false, true);
    if (doesHostStart)
        fleet.kill(2);
    fleet.restoreStore();
    if (doesHostStart)
        fleet.start(2);
    fleet.run(4s);
    CHECK(fleet.store.value("catkinwell/secret") == fleet.secretOf(0));
    for (std::size_t i = 1; i < fleet.hostCount(); ++i) {
        INFO("host " << i);
        CHECK(fleet.secretOf(i) == fleet.secretOf(0));
        CHECK(fleet.status(0)["peers"]["host" + std::to_string(i)]["silent_ms"] < 1000);
    }
    if (!doesHostStart)
        CHECK(fleet.secretOf(0) == secret);
}

// Guards against requests to an endpoint that has left and whose earlier record the restore brings back.
TEST_CASE("An endpoint that left gets no requests because of a restored record")
{
    SimulatedFleet fleet(2);
    fleet.store.put("endpoints/o1", endpointDocument(5));
    fleet.run(1s);
    fleet.store.saveCopy();
    fleet.store.put("endpoints/o1", endpointDocument(6, true));
    fleet.run(1s);
    if (GENERATE(false, true)) {
        fleet.store.erase("endpoints/o1");
        fleet.run(1s);
    }
    fleet.restoreStore();
    fleet.run(2s);
    fleet.arrive(0, "/read/1");
    fleet.run(100ms);
    CHECK(fleet.attempts.empty());
    // A later record is the endpoint's own.
    fleet.store.put("endpoints/o1", endpointDocument(7));
    fleet.run(1s);
    fleet.arrive(0, "/read/2");
    fleet.run(100ms);
    CHECK(fleet.attempts.size() >= 1);
}

// Guards against endpoints that are given up although the store merely lost their records.
TEST_CASE("Endpoints whose records a restore removed stay in use until they can have written them again")
{
    SimulatedFleet fleet(2);
    fleet.run(1s);
    fleet.store.saveCopy();
    fleet.store.put("endpoints/o1", endpointDocument(5));
    fleet.run(1s);
    fleet.restoreStore();
    fleet.run(1s);
    fleet.arrive(0, "/read/1");
    fleet.run(100ms);
    CHECK(fleet.attempts.size() == 1);
    // Records that are still missing two seconds after the restore belong to endpoints that are gone.
    fleet.run(2s);
    fleet.arrive(0, "/read/2");
    fleet.run(100ms);
    CHECK(fleet.attempts.size() == 1);
}

// Guards against a configuration that comes back older, and against one that is ignored because the store gave its
// version out again.
TEST_CASE("A restore does not bring back an older configuration nor hide a new one")
{
    SimulatedFleet fleet(2);
    fleet.store.put("endpoints/o1", endpointDocument(5));
    fleet.run(1s);
    fleet.store.saveCopy();
    fleet.store.put("configuration", "2");
    fleet.run(1s);
    fleet.restoreStore();
    fleet.run(1s);
    for (std::size_t i = 0; i < fleet.hostCount(); ++i)
        CHECK(fleet.status(i)["configuration"] == 2);
    SECTION("the same version with other routes")
    {
        fleet.store.put("configuration", "2 ");
        fleet.run(1s);
        fleet.attempts.clear();
        fleet.arrive(0, "/added/1");
        fleet.arrive(1, "/added/1");
        CHECK(fleet.attempts.size() == 2);
    }
    SECTION("a host that starts before the operator writes again")
    {
        fleet.kill(1);
        fleet.start(1);
        fleet.run(1500ms);
        CHECK(fleet.status(1)["configuration"] == 2);
    }
}

// Guards against hosts that all write to the restored store at the same moment.
TEST_CASE("Many hosts write to a restored store below its rate limit")
{
    SimulatedFleet fleet(60);
    fleet.store.saveCopy();
    fleet.run(4s);
    fleet.restoreStore();
    // The store of a small fleet accepts 400 writes a second.
    constexpr std::size_t writesPer100Ms = 40;
    for (int i = 0; i < 20; ++i) {
        fleet.writes = 0;
        fleet.run(100ms);
        INFO("after " << (i + 1) * 100 << " ms");
        CHECK(fleet.writes <= writesPer100Ms);
    }
    CHECK(fleet.store.keys("catkinwell/hosts/").size() == fleet.hostCount());
}
