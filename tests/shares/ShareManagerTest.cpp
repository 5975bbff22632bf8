#include "../../experiments/FleetSimulation.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const AccountId account("notes");
const ClientAccount settings { account, 1000, 10000, 1 };
const MonotonicTime start { 1h };

struct Fleet {
    explicit Fleet(int hosts, int dataCentres = 3, const SimulationOptions& options = {})
        : simulation(options)
    {
        simulation.configure(settings, 0s);
        for (int i = 0; i < hosts; ++i)
            simulation.addHost(i % dataCentres, "host" + std::to_string(i));
        simulation.onDecision = [this](RequestId request, bool granted, ShareRefusal reason) {
            outcomes[request.value] = granted ? "granted" : std::string(nameOf(reason));
        };
    }

    void run(Duration time) { simulation.runUntil(simulation.now() + time); }
    ShareStatus status(std::size_t host) { return simulation.manager(host).status(simulation.now()).front(); }
    std::uint32_t heldPpm()
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < simulation.hostCount(); ++i)
            sum += simulation.isAlive(i) ? status(i).floatingPpm + status(i).standingPpm : 0;
        return sum;
    }
    std::string outcome(RequestId request)
    {
        return outcomes.contains(request.value) ? outcomes[request.value] : "pending";
    }
    RequestId reserve(std::size_t host, TokenCount tokens, Duration timeout)
    {
        return simulation.reserve(host, account, tokens, timeout);
    }

    FleetSimulation simulation;
    std::map<std::uint64_t, std::string> outcomes;
};

} // namespace

// A starting fleet must not wait long for capacity, and a single host must be able to hold the whole rate.
TEST_CASE("A starting fleet holds nearly the whole rate within seconds")
{
    const int hosts = GENERATE(1, 2, 4, 12);
    Fleet fleet(hosts);
    fleet.run(5s);
    INFO(hosts << " hosts");
    CHECK(fleet.heldPpm() >= 950'000);
    CHECK(fleet.heldPpm() <= 1'000'000);
}

// Requests up to the host limit must be able to succeed, and larger ones must be refused with the right reason.
TEST_CASE("Large reservations get more capacity or are refused with a reason")
{
    auto [hosts, tokens, timeout, expected] = GENERATE(table<int, TokenCount, Duration, std::string>({
        { 1, 10000, 15s, "granted" },
        { 1, 10001, 15s, "exceeds_burst" },
        { 4, 4000, 20s, "granted" },
        { 4, 8000, 30s, "granted" },
        // Host 0 has one peer. Lending reduces its capacity by 1%. It can hold 80%, and two quarters of the
        // standing 20%, one of them as a loan.
        { 4, 8900, 30s, "granted" },
        { 4, 8911, 30s, "exceeds_host_limit" },
        { 4, 10001, 30s, "exceeds_burst" },
        { 4, 9000, 2s, "exceeds_host_limit" },
        { 1, 9000, 2s, "rate_exceeded" },
    }));
    Fleet fleet(hosts);
    fleet.run(3s);
    const RequestId request = fleet.reserve(0, tokens, timeout);
    fleet.run(timeout + 1s);
    INFO(hosts << " hosts, " << tokens << " tokens");
    CHECK(fleet.outcome(request) == expected);
}

// If every host can lend, the host limit must be close to the burst.
TEST_CASE("With all hosts as peers nearly the whole burst can be used at once")
{
    SimulationOptions options;
    options.lendsAcrossDataCentres = true;
    Fleet fleet(4, 3, options);
    fleet.run(3s);
    const RequestId request = fleet.reserve(0, 9800, 60s);
    fleet.run(61s);
    CHECK(fleet.outcome(request) == "granted");
}

// Idle hosts must not keep units while another host refuses requests.
TEST_CASE("Allocations follow demand")
{
    Fleet fleet(4);
    for (int i = 0; i < 300; ++i) {
        fleet.run(100ms);
        fleet.reserve(2, 80, 1s);
    }
    CHECK(fleet.status(2).ratePerSecond >= 800);
    CHECK(fleet.heldPpm() <= 1'000'000);
}

// Floating units must expire with their lease, and standing units must stay valid during an outage.
TEST_CASE("Standing units stay valid during a store outage")
{
    Fleet fleet(4);
    fleet.run(10s);
    fleet.simulation.isOut = true;
    fleet.run(59min);
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(fleet.status(i).floatingPpm == 0);
        CHECK(fleet.status(i).standingPpm >= 45'000);
    }
    fleet.run(2min);
    CHECK(fleet.heldPpm() == 0);
    fleet.simulation.isOut = false;
    fleet.run(60s);
    CHECK(fleet.heldPpm() >= 950'000);
}

// A crashed host's floating units must be reclaimed after its lease, and its standing units after 66 min.
TEST_CASE("The allocations of a crashed host are reclaimed")
{
    Fleet fleet(4);
    fleet.run(10s);
    fleet.simulation.crash(1);
    fleet.run(35s);
    CHECK(fleet.heldPpm() >= 930'000);
    CHECK(fleet.heldPpm() <= 950'100);
    fleet.run(68min);
    CHECK(fleet.heldPpm() >= 980'000);
}

// A planned shutdown must not make capacity unavailable until the lease expires.
TEST_CASE("A host that shuts down releases its allocation")
{
    Fleet fleet(4);
    fleet.run(10s);
    const RequestId waiting = fleet.reserve(1, 4000, 20s);
    fleet.simulation.shutDown(1);
    const RequestId late = fleet.reserve(1, 1, 20s);
    CHECK(fleet.outcome(late) == "shutting_down");
    fleet.run(1s);
    CHECK(fleet.simulation.isAlive(1) == (fleet.outcome(waiting) == "pending"));
    fleet.run(25s);
    CHECK(fleet.outcome(waiting) != "pending");
    CHECK_FALSE(fleet.simulation.isAlive(1));
    CHECK(fleet.heldPpm() >= 950'000);
}

// A host must not refuse a request while a peer in its data centre has spare tokens.
TEST_CASE("A host borrows from a peer")
{
    SimulationOptions options;
    options.shares.lending = GENERATE(true, false);
    Fleet fleet(4, 2, options);
    fleet.run(12s);
    const RequestId request = fleet.reserve(0, 3500, 120ms);
    fleet.run(1s);
    CHECK(fleet.outcome(request) == (options.shares.lending ? "granted" : "rate_exceeded"));
}

// Loans must not be used twice, late, for another loan request, or beyond the requested amount.
TEST_CASE("Only the first matching reply within the loan window counts")
{
    auto [name, delay, idOffset, tokens, sender, expectedGranted]
        = GENERATE(table<std::string, Duration, std::uint64_t, TokenCount, std::string, bool>({
            { "in time", 50ms, 0, 100, "peer", true },
            { "late", 100ms, 0, 100, "peer", false },
            { "other loan", 50ms, 1, 100, "peer", false },
            { "more than requested", 50ms, 0, 101, "peer", false },
            { "too few tokens", 50ms, 0, 99, "peer", false },
            { "other sender", 50ms, 0, 100, "other", false },
        }));
    ShareManager manager(HostId("me"), 1, 7, start);
    EffectList effects;
    manager.setPeers({ HostId("peer") }, 2, start);
    manager.configure({ { account, settings } }, start, effects);
    CHECK(
        std::holds_alternative<SharePending>(manager.reserve(RequestId(1), account, 100, start + 3s, start, effects)));
    std::uint64_t loanId = 0;
    for (const Effect& effect : effects) {
        if (const auto* message = std::get_if<SendToPeer>(&effect))
            loanId = std::get<BorrowTokens>(message->message).loanId;
    }
    const LendTokens loan { account, loanId + idOffset, tokens };
    manager.handle(HostId(sender), loan, start + delay, effects);
    INFO(name);
    CHECK(manager.takeDecisions().size() == (expectedGranted ? 1 : 0));
    manager.reserve(RequestId(2), account, 100, start + 3s, start + delay, effects);
    manager.handle(HostId(sender), loan, start + delay, effects);
    CHECK(manager.takeDecisions().empty());
}

// The queue must be bounded and in order, and reservations must end at their deadline.
TEST_CASE("The queue is bounded, in order and ends at the deadlines")
{
    SimulationOptions options;
    options.shares.maxWaitingPerAccount = 3;
    Fleet fleet(1, 1, options);
    fleet.run(20s);
    REQUIRE(fleet.outcome(fleet.reserve(0, 10000, 1s)) == "granted");
    const RequestId first = fleet.reserve(0, 1000, 10s);
    const RequestId cancelled = fleet.reserve(0, 1000, 10s);
    const RequestId third = fleet.reserve(0, 1000, 10s);
    CHECK(fleet.outcome(fleet.reserve(0, 1, 10s)) == "queue_full");
    fleet.simulation.manager(0).cancel(cancelled, fleet.simulation.now());
    const RequestId unmeetable = fleet.reserve(0, 1000, 500ms);
    CHECK(fleet.outcome(unmeetable) == "rate_exceeded");
    fleet.run(1500ms);
    CHECK(fleet.outcome(first) == "granted");
    CHECK(fleet.outcome(third) == "pending");
    fleet.run(1s);
    CHECK(fleet.outcome(third) == "granted");
    CHECK(fleet.outcome(cancelled) == "pending");
}

// A host without an allocation must not keep requests beyond their deadline.
TEST_CASE("Without an allocation a reservation is refused at its deadline")
{
    Fleet fleet(1);
    fleet.simulation.isOut = true;
    const RequestId request = fleet.reserve(0, 100, 500ms);
    fleet.run(490ms);
    CHECK(fleet.outcome(request) == "pending");
    fleet.run(50ms);
    CHECK(fleet.outcome(request) == "no_share");
}
