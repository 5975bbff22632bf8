#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/FleetDemand.h>

using namespace Catkinwell;

namespace {

const ServiceVariant first("notes", { ModelId("m1"), "" });
const ServiceVariant second("notes", { ModelId("m1"), "a" });

constexpr Duration step = std::chrono::milliseconds(100);

} // namespace

// Guards against a host's demand that is counted twice, or that remains after the host's requests have ended.
TEST_CASE("The demand of the fleet is the sum over its hosts, for whole and partial reports")
{
    const std::uint64_t seed = GENERATE(range(1, 21));
    INFO("seed " << seed);
    RandomGenerator random(seed);
    constexpr std::size_t hostCount = 5;
    std::vector<HostDemand> hosts(hostCount);
    std::vector<std::map<ServiceVariant, unsigned>> waiting(hostCount);
    HostDemand everything;
    FleetDemand fleet;
    MonotonicTime now { std::chrono::hours(1) };
    for (int i = 0; i < 2000; ++i) {
        now += step * static_cast<std::int64_t>(random.below(3));
        const std::size_t host = random.below(hostCount);
        const ServiceVariant& variant = random.unit() < 0.5 ? first : second;
        unsigned& ownWaiting = waiting[host][variant];
        if (random.unit() < 0.5) {
            hosts[host].arrived(variant, now);
            everything.arrived(variant, now);
        } else if (ownWaiting > 0) {
            --ownWaiting;
            hosts[host].waitEnded(variant, now);
        } else {
            ++ownWaiting;
            hosts[host].waitBegan(variant, now);
        }
        fleet.handle(HostId("h" + std::to_string(host)), hosts[host].report(random.unit() < 0.2, now), now);
    }
    now += step;
    fleet.update(now);
    for (const ServiceVariant& variant : { first, second }) {
        unsigned expectedWaiting = 0;
        for (auto& host : waiting)
            expectedWaiting += host[variant];
        double expectedRate = 0;
        for (const VariantDemand& entry : everything.report(true, now).entries) {
            if (ServiceVariant(entry.service, entry.variant) == variant)
                expectedRate = entry.rate;
        }
        const auto found = fleet.entries().find(variant);
        REQUIRE(found != fleet.entries().end());
        CHECK(found->second.waiting == expectedWaiting);
        CHECK(found->second.rate == Approx(expectedRate).epsilon(0.02));
    }
}

// Guards against an owner that keeps loading models for the requests of a removed host.
TEST_CASE("A removed host has no waiting requests")
{
    HostDemand host;
    FleetDemand fleet;
    MonotonicTime now { std::chrono::hours(1) };
    host.arrived(first, now);
    host.waitBegan(first, now);
    fleet.handle(HostId("h"), host.report(false, now), now);
    REQUIRE(fleet.entries().at(first).waiting == 1);
    fleet.removeHost(HostId("h"));
    CHECK(fleet.entries().at(first).waiting == 0);
    now += std::chrono::minutes(5);
    fleet.update(now);
    CHECK(fleet.entries().empty());
}

// Guards against demand that stays wrong after a report of changes was lost.
TEST_CASE("A whole report ends the demand that it does not list")
{
    HostDemand host;
    FleetDemand fleet;
    MonotonicTime now { std::chrono::hours(1) };
    host.arrived(first, now);
    host.waitBegan(first, now);
    fleet.handle(HostId("h"), host.report(true, now), now);
    host.waitEnded(first, now);
    host.report(false, now);
    fleet.handle(HostId("h"), host.report(true, now), now);
    CHECK(fleet.entries().at(first).waiting == 0);
    CHECK(fleet.entries().at(first).rate == Approx(1.0 / 12));
    fleet.handle(HostId("h"), { true, {} }, now);
    CHECK(fleet.entries().at(first).rate == Approx(0).margin(1e-9));
}
