#include "fleet/CallerLoad.h"
#include "fleet/FaultChecks.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The platform's time limit for a configuration to take effect after the store has acknowledged it.
constexpr auto configurationBound = 2s;
// The maximum time until the fleet serves again after all its processes were killed.
constexpr auto recoveryBound = 12s;
// The time after which a leaving endpoint must get no new request.
constexpr auto leavingBound = 3s;
// The time after which an endpoint of an evacuated data centre must get no new request.
constexpr auto evacuationBound = 5s;

std::vector<std::uint64_t> versions(GatewayFleet& fleet)
{
    std::vector<std::uint64_t> list;
    for (std::size_t i = 0; i < fleet.hostCount(); ++i)
        list.push_back(fleet.status(i).value("configuration", std::uint64_t { 0 }));
    return list;
}

std::size_t countOf(const std::vector<CallerRequest>& requests, int status)
{
    return static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [status](const auto& request) { return request.answer.status == status; }));
}

std::size_t hostNamed(const std::string& name) { return static_cast<std::size_t>(std::stoul(name.substr(5))); }

} // namespace

// Guards against requests that run for another account, answers that reach another caller, and orders that run twice,
// under many callers at several hosts and endpoints that refuse requests, lose them or break off answers.
TEST_CASE("Many callers at several hosts each get their own answers")
{
    GatewayFleet fleet;
    fleet.onLoop([&fleet] {
        for (std::size_t i = 0; i < fleet.endpointCount(); ++i)
            fleet.endpoint(i).faults = { 0.05, 0.05, 0.1, 0.03 };
    });
    CallerLoad load(fleet, 24, 5);
    std::this_thread::sleep_for(6s);
    const auto requests = load.stop();
    const auto broken = findViolations(requests, fleet.records(), fleet);
    CHECK(broken == std::vector<std::string> {});
    INFO(requests.size() << " requests");
    CHECK(countOf(requests, 200) * 2 > requests.size());
}

// Guards against a configuration that reaches a host late. A host that cannot reach the store gets the configuration
// from the other hosts.
TEST_CASE("A configuration takes effect on all hosts in time, also where the store is unreachable")
{
    GatewayFleet fleet;
    fleet.waitUntilConnected();
    fleet.onLoop([&fleet] { fleet.storeLink(1).setState(LinkState::Silent); });
    std::this_thread::sleep_for(500ms);
    fleet.configure(2);
    const std::vector<std::uint64_t> expected(fleet.hostCount(), 2);
    CHECK(eventually([&] { return versions(fleet) == expected; }, configurationBound));
    CHECK(versions(fleet) == expected);
    fleet.onLoop([&fleet] { fleet.storeLink(1).setState(LinkState::Open); });
    fleet.configure(3);
    CHECK(eventually(
        [&] { return versions(fleet) == std::vector<std::uint64_t>(fleet.hostCount(), 3); }, configurationBound));
}

// Guards against state that is kept only in the memory of the processes.
TEST_CASE("The fleet recovers in time after all its processes were killed")
{
    GatewayFleet fleet;
    fleet.configure(2);
    for (std::size_t i = 0; i < fleet.hostCount(); ++i)
        fleet.process(i).signal(SIGKILL);
    const auto killedAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < fleet.hostCount(); ++i)
        fleet.start(i);
    CHECK_NOTHROW(fleet.waitUntilReady(recoveryBound));
    const HttpCall call { fleet.callerPort(0), "POST", "/note/x",
        { { "Host", "test.example" }, { "Authorization", "Bearer key-a" }, { "Catkinwell-Model", "m1" },
            { "Catkinwell-Request-Id", "after" } } };
    CHECK(eventually([&] { return send(call).status == 200; }, recoveryBound));
    CHECK(std::chrono::steady_clock::now() - killedAt < recoveryBound);
    CHECK(versions(fleet) == std::vector<std::uint64_t>(fleet.hostCount(), 2));
}

// Guards against requests that are lost when the host that accepted them shuts down.
TEST_CASE("A host completes its requests before it shuts down")
{
    GatewayFleet fleet;
    CallerLoad load(fleet, 12, 6);
    std::this_thread::sleep_for(1s);
    const MonotonicTime stoppedAt = SystemClock().monotonicNow();
    fleet.process(1).signal(SIGTERM);
    CHECK(fleet.process(1).waitForExit(8s) == 0);
    const MonotonicTime leftAt = SystemClock().monotonicNow();
    const auto requests = load.stop();
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    const auto accounts = fleet.accountsAtEnd(1);
    REQUIRE(accounts);
    CHECK(accounts->read > 0);
    CHECK(findOpenRequests({ *accounts }) == std::vector<std::string> {});
    for (const CallerRequest& request : requests) {
        // A load balancer sends no more requests once the host has reported for some time that it is not ready.
        if (request.host != 1 || request.sentAt > leftAt - 200ms)
            continue;
        INFO(request.path << request.id << " sent "
                          << std::chrono::duration_cast<std::chrono::milliseconds>(request.sentAt - stoppedAt).count()
                          << " ms after the signal");
        CHECK(request.answer.status != 0);
        CHECK(request.answer.complete);
    }
}

// Guards against a process that ends before its last store calls are sent, so that the fleet takes it for live, and for
// the owner of the placement, until its lease lapses.
TEST_CASE("A host without callers gives up its lease and the ownership before it exits")
{
    GatewayFleet fleet({ 1, 1, 1 });
    const auto hasKey = [&fleet](const std::string& prefix) {
        bool found = false;
        fleet.onLoop([&] { found = fleet.store().hasKey(prefix); });
        return found;
    };
    REQUIRE(eventually([&] { return hasKey("catkinwell/owner"); }, 10s));
    REQUIRE(hasKey("catkinwell/hosts/host-0/"));
    fleet.process(0).signal(SIGTERM);
    REQUIRE(fleet.process(0).waitForExit(8s) == 0);
    CHECK_FALSE(hasKey("catkinwell/owner"));
    CHECK_FALSE(hasKey("catkinwell/hosts/host-0/"));
}

// Guards against a request that gets no answer because the configuration changes or the settings are read again.
TEST_CASE("No request is lost beside changes of the configuration and reloads")
{
    GatewayFleet fleet;
    CallerLoad load(fleet, 12, 8);
    std::uint64_t version = 1;
    for (int i = 0; i < 25; ++i) {
        std::this_thread::sleep_for(200ms);
        const bool isNarrow = i % 2 == 0;
        fleet.configure(++version,
            { { "limits",
                { { "max_header_bytes", isNarrow ? 2048 : 32768 }, { "max_body_bytes", isNarrow ? 4096 : 1048576 },
                    { "header_timeout_ms", isNarrow ? 1000 : 9000 },
                    { "idle_timeout_ms", isNarrow ? 1000 : 9000 } } } });
        const std::size_t host = static_cast<std::size_t>(i) % fleet.hostCount();
        fleet.writeSettings(host, { { "placement", { { "busy_share", isNarrow ? 0.2 : 0.6 } } } });
        fleet.process(host).signal(SIGHUP);
    }
    const auto requests = load.stop();
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    CHECK(findUnansweredRequests(requests, CallerLoad::usualPatience, {}) == std::vector<std::string> {});
    // The rest is refused while the engines load.
    std::map<int, std::size_t> statuses;
    for (const CallerRequest& request : requests)
        ++statuses[request.answer.status];
    INFO(Catch::Detail::stringify(statuses));
    CHECK(statuses[200] + statuses[503] == requests.size());
    CHECK(statuses[200] * 2 > requests.size());
    std::vector<RequestAccounts> accounts;
    for (std::size_t i = 0; i < fleet.hostCount(); ++i) {
        accounts.push_back(fleet.accounts(i, "after " + std::to_string(version) + " versions"));
        CHECK(accounts.back().read > 0);
    }
    CHECK(findOpenRequests(accounts) == std::vector<std::string> {});
}

// Guards against a process that does not apply changed settings, or that exits because of them.
TEST_CASE("Changed settings are applied at SIGHUP")
{
    GatewayFleet fleet({ 1, 1, 0 });
    fleet.writeSettings(0, { { "owner_silence_ms", 3500 }, { "status_address", "127.0.0.1:1" } });
    fleet.process(0).signal(SIGHUP);
    CHECK(eventually(
        [&] { return fleet.process(0).output().find(R"("need_restart":"status_address")") != std::string::npos; }, 2s));
    fleet.writeSettings(0, { { "owner_silence_ms", "long" } });
    fleet.process(0).signal(SIGHUP);
    CHECK(
        eventually([&] { return fleet.process(0).output().find(R"("outcome":"rejected")") != std::string::npos; }, 2s));
    CHECK(fleet.isReady(0));
}

// Guards against two hosts that give orders to one engine at the same time, and against a fleet without an owner.
TEST_CASE("Another host takes over the placement when its owner dies or freezes")
{
    const int signalNumber = GENERATE(SIGKILL, SIGSTOP);
    GatewayFleet fleet({ 3, 1, 2, 3 });
    REQUIRE(eventually([&] { return !fleet.status(0).value("owner", "").empty(); }, 10s));
    const std::string owner = fleet.status(0).value("owner", "");
    CallerLoad load(fleet, 8, 7);
    std::this_thread::sleep_for(5s);
    fleet.process(hostNamed(owner)).signal(signalNumber);
    const std::size_t observer = hostNamed(owner) == 0 ? 1 : 0;
    CHECK(eventually(
        [&] {
            const std::string now = fleet.status(observer).value("owner", "");
            return !now.empty() && now != owner;
        },
        6s));
    // With all models loaded no order is needed, until an engine starts again without its models.
    fleet.onLoop([&fleet] { fleet.endpoint(1).restart(); });
    std::this_thread::sleep_for(6s);
    fleet.process(hostNamed(owner)).signal(SIGCONT);
    std::this_thread::sleep_for(1s);
    const auto requests = load.stop();
    const EndpointHistory records = fleet.records();
    CHECK(findViolations(requests, records, fleet) == std::vector<std::string> {});
    const bool hasNewHolder = std::any_of(
        records.orders.begin(), records.orders.end(), [&](const auto& order) { return order.holder != owner; });
    CHECK(hasNewHolder);
}

// Guards against new requests to an endpoint that is about to exit.
TEST_CASE("A leaving endpoint gets no new request after 3 s")
{
    const bool isAnnounced = GENERATE(true, false);
    GatewayFleet fleet({ 3, 3, 0, 4 });
    CallerLoad load(fleet, 8, 8);
    std::this_thread::sleep_for(1s);
    MonotonicTime leftAt;
    fleet.onLoop([&] {
        if (isAnnounced) {
            fleet.endpoint(0).setLeaving(true);
            fleet.writeRecord(0);
        } else {
            fleet.setListed(0, false);
        }
        leftAt = SystemClock().monotonicNow();
    });
    std::this_thread::sleep_for(leavingBound + 2s);
    const auto requests = load.stop();
    std::size_t later = 0;
    for (const Execution& execution : fleet.records().executions)
        later += execution.endpoint == "o-0" && execution.at > leftAt + leavingBound ? 1 : 0;
    CHECK(later == 0);
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
}

// Guards against requests to a data centre that operators evacuate, and against one that stays out of use when the
// evacuation has ended.
TEST_CASE("An evacuated data centre gets no new request after 5 s")
{
    GatewayFleet fleet({ 3, 3, 0, 5 });
    fleet.onLoop([&] {
        fleet.endpoint(0).setZone("dc2");
        fleet.writeRecord(0);
    });
    CallerLoad load(fleet, 8, 8);
    std::this_thread::sleep_for(2s);
    MonotonicTime acknowledgedAt;
    fleet.onLoop([&] {
        fleet.store().put("op/evacuate/dc2", "\xff not readable");
        acknowledgedAt = SystemClock().monotonicNow();
    });
    std::this_thread::sleep_for(evacuationBound + 3s);
    MonotonicTime endedAt;
    fleet.onLoop([&] {
        fleet.store().erase("op/evacuate/dc2");
        endedAt = SystemClock().monotonicNow();
    });
    std::this_thread::sleep_for(12s);
    const auto requests = load.stop();
    std::size_t before = 0;
    std::size_t later = 0;
    std::size_t after = 0;
    for (const Execution& execution : fleet.records().executions) {
        if (execution.endpoint != "o-0")
            continue;
        before += execution.at < acknowledgedAt ? 1 : 0;
        later += execution.at > acknowledgedAt + evacuationBound && execution.at < endedAt ? 1 : 0;
        after += execution.at > endedAt ? 1 : 0;
    }
    CHECK(before > 0);
    CHECK(later == 0);
    CHECK(after > 0);
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
}

// Guards against a configuration that comes back older, hosts that lose each other, and orders of two hosts, when the
// store is restored from a copy, also twice and while a host starts.
TEST_CASE("The promises hold when the store is restored from a copy")
{
    GatewayFleet fleet;
    fleet.waitUntilConnected();
    CallerLoad load(fleet, 8, 7);
    fleet.onLoop([&fleet] { fleet.store().saveCopy(); });
    fleet.configure(2);
    std::this_thread::sleep_for(2s);
    fleet.configure(3);
    std::this_thread::sleep_for(1s);
    fleet.process(1).signal(SIGKILL);
    fleet.onLoop([&fleet] { fleet.store().restore(); });
    fleet.start(1);
    std::this_thread::sleep_for(500ms);
    fleet.onLoop([&fleet] { fleet.store().restore(); });
    std::this_thread::sleep_for(300ms);
    fleet.configure(3);
    const std::vector<std::uint64_t> expected(fleet.hostCount(), 3);
    CHECK(eventually([&] { return versions(fleet) == expected; }, configurationBound));
    std::this_thread::sleep_for(4s);
    fleet.configure(4);
    CHECK(eventually(
        [&] { return versions(fleet) == std::vector<std::uint64_t>(fleet.hostCount(), 4); }, configurationBound));
    fleet.waitUntilConnected();
    const auto requests = load.stop();
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    CHECK(countOf(requests, 200) * 2 > requests.size());
}

// Guards against streams with events of two software versions, and against refusing all streams that are taken up.
TEST_CASE("Streams of two software versions go on at their own version")
{
    GatewayFleet fleet({ 3, 3, 4, 3, true });
    fleet.waitUntilConnected();
    fleet.onLoop([&fleet] {
        for (std::size_t i = 0; i < fleet.endpointCount(); ++i)
            fleet.endpoint(i).faults.cutAnswers = 0.25;
    });
    CallerLoad load(fleet, 12, 11);
    std::this_thread::sleep_for(4s);
    fleet.process(0).signal(SIGKILL);
    std::this_thread::sleep_for(1s);
    fleet.start(0);
    std::this_thread::sleep_for(4s);
    const auto requests = load.stop();
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    std::size_t begun = 0;
    std::size_t wanted = 0;
    std::size_t resumed = 0;
    std::size_t goneOn = 0;
    for (const CallerRequest& request : requests) {
        if (request.path != "/note/")
            continue;
        const bool hasEvents = request.answer.status == 200 && !request.answer.body.empty();
        (request.resumes.empty() ? wanted : resumed) += 1;
        (request.resumes.empty() ? begun : goneOn) += hasEvents;
    }
    INFO(begun << " of " << wanted << " streams begun, " << goneOn << " of " << resumed << " taken up again");
    CHECK(resumed >= 12);
    // The users' bound: the share that goes on is at least half of the share that begins.
    CHECK(2 * goneOn * wanted >= begun * resumed);
}
