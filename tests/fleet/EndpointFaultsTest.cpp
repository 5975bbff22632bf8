#include "fleet/FaultChecks.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The answer to a request that is suspected of ending endpoints.
constexpr int quarantined = 500;

MonotonicTime now() { return SystemClock().monotonicNow(); }

std::size_t countOf(const std::vector<CallerRequest>& requests, int status)
{
    return static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [status](const auto& request) { return request.answer.status == status; }));
}

struct PathCase {
    const char* name;
    LinkState state;
    std::set<std::size_t> hosts;
};

struct CrashCase {
    const char* name;
    const char* path;
};

struct BrittleCase {
    const char* name;
    unsigned rejections;
    std::size_t callers;
};

} // namespace

// Guards against callers that are refused because their host cannot reach endpoints that other hosts reach.
TEST_CASE("Callers of hosts without a path to endpoints are served by way of other hosts")
{
    const auto test = GENERATE(values<PathCase>({
        { "connections fall silent", LinkState::Silent, { 0 } },
        { "connections are reset", LinkState::Refused, { 0, 1 } },
        { "only new connections fall silent", LinkState::SilentWhenNew, { 0 } },
        { "only new connections are reset", LinkState::RefusedWhenNew, { 1 } },
    }));
    INFO(test.name);
    GatewayFleet fleet;
    fleet.waitUntilConnected();
    CallerLoad load(fleet, 24, 21, 1500ms);
    std::this_thread::sleep_for(1s);
    PathLoss loss { test.hosts, now(), {} };
    for (const std::size_t host : test.hosts)
        fleet.setPath(host, test.state);
    std::this_thread::sleep_for(reactionTime + 3s);
    loss.until = now();
    for (const std::size_t host : test.hosts)
        fleet.setPath(host, std::nullopt);
    std::this_thread::sleep_for(1s);
    const auto requests = load.stop();
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    CHECK(findUnservedCallers(requests, { loss }, {}) == std::vector<std::string> {});
    CHECK(countOf(requests, quarantined) == 0);
}

// Guards against a request that ends one endpoint after the other, and against sound requests that are condemned with
// it.
TEST_CASE("A request that ends endpoints is hardly tried again after the third")
{
    const auto test = GENERATE(values<CrashCase>({
        { "a stream", "/note/deadly" },
        { "a plain request", "/read/deadly" },
    }));
    INFO(test.name);
    GatewayFleet fleet({ 3, 6, 6, 2 });
    fleet.waitUntilConnected();
    CallerLoad load(fleet, 8, 22);
    RepeatingCaller deadly(fleet, test.path, 60ms, 22);
    std::this_thread::sleep_for(9s);
    const auto tries = deadly.stop();
    const auto requests = load.stop();
    const EndpointHistory records = fleet.records();
    INFO(records.crashes.size() << " endpoints ended, " << tries.size() << " requests");
    CHECK(records.crashes.size() >= 2);
    CHECK(findRepeatedCrashes(tries, records, {}) == std::vector<std::string> {});
    CHECK(findViolations(requests, records, fleet) == std::vector<std::string> {});
    CHECK(countOf(requests, quarantined) == 0);
}

// Guards against endpoints that fall over because all hosts together send them more than they have room for.
TEST_CASE("Brittle endpoints of running hosts seldom fall over")
{
    const auto test = GENERATE(values<BrittleCase>({
        { "hardly any rejection allowed", 1, 40 },
        { "a few rejections allowed", 4, 60 },
    }));
    INFO(test.name);
    GatewayFleet fleet({ 3, 3, 2, 2 });
    fleet.waitUntilConnected();
    BrittleTime brittle { now(), {}, 3 };
    fleet.onLoop([&fleet, &test] {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.endpoint(i).setCapacity(4, 150ms);
            fleet.endpoint(i).setBrittle(test.rejections);
        }
    });
    CallerLoad load(fleet, test.callers, 23);
    std::this_thread::sleep_for(reactionTime + 6s);
    brittle.until = now();
    const auto requests = load.stop();
    const EndpointHistory records = fleet.records();
    INFO(records.falls.size() << " falls, " << countOf(requests, 200) << " of " << requests.size() << " served");
    CHECK(findFalls(requests, records, { brittle }, {}) == std::vector<std::string> {});
    CHECK(findViolations(requests, records, fleet) == std::vector<std::string> {});
    CHECK(countOf(requests, 200) * 2 > requests.size());
}

namespace {

struct NoticeCase {
    const char* name;
    // Zero if the endpoints leave.
    Duration pause;
    std::size_t endpoints;
};

} // namespace

// Guards against requests to endpoints that want none, while the store's list says that they are ready.
TEST_CASE("Endpoints that leave or asked for a pause are left alone and the others serve")
{
    const auto test = GENERATE(values<NoticeCase>({
        { "one asks for a pause", 3s, 1 },
        { "two leave", 0s, 2 },
    }));
    INFO(test.name);
    GatewayFleet fleet;
    fleet.waitUntilConnected();
    CallerLoad load(fleet, 12, 24);
    std::this_thread::sleep_for(1s);
    fleet.onLoop([&fleet, &test] {
        for (std::size_t i = 0; i < test.endpoints; ++i) {
            if (test.pause > Duration::zero())
                fleet.endpoint(i).setPause(test.pause);
            else
                fleet.endpoint(i).announceLeaving();
        }
    });
    std::this_thread::sleep_for(6s);
    const auto requests = load.stop();
    const EndpointHistory records = fleet.records();
    INFO(records.notices.size() << " notices, " << countOf(requests, 200) << " of " << requests.size() << " served");
    CHECK(records.notices.size() > 0);
    CHECK(findUnwantedRequests(requests, records, {}, {}) == std::vector<std::string> {});
    CHECK(findViolations(requests, records, fleet) == std::vector<std::string> {});
    CHECK(countOf(requests, 200) * 10 > requests.size() * 9);
}
