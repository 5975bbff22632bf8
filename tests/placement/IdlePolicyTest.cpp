#include <catch2/catch.hpp>
#include <catkinwell/placement/IdlePolicy.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const ModelId modelId("notes");

IdlePolicy policyWith(double idleHourCost, double coldStartCost)
{
    FleetConfiguration fleet;
    fleet.defaults.idleHourCost = idleHourCost;
    fleet.defaults.coldStartCost = coldStartCost;
    fleet.models[modelId].id = modelId;
    IdlePolicy policy;
    policy.configure(fleet);
    return policy;
}

} // namespace

// Guards against a keep-alive time that ignores the cost weights or the observed gaps.
TEST_CASE("the keep-alive time follows cost weights and gaps")
{
    // Gaps alternate between the two values. The bounds follow from the costs of bridging one or both of them.
    auto [idleCost, coldCost, shortGap, longGap, atLeast, atMost]
        = GENERATE(table<double, double, Duration, Duration, Duration, Duration>({
            // An idle hour costs as much as a cold start: bridging ten minutes is cheaper, ten hours are not.
            { 1, 1, 10min, 10h, 10min, 2h },
            { 10, 0.1, 10min, 10h, 0s, 1min },
            // An idle hour costs a ten-thousandth of a cold start: the longest keep-alive time is cheapest.
            { 0.001, 10, 10min, 10h, 10h, 72h },
        }));
    IdlePolicy policy = policyWith(idleCost, coldCost);
    MonotonicTime now { 1h };
    for (int count = 0; count < 100; ++count) {
        policy.noteArrivals(modelId, 1, now);
        now += count % 2 == 0 ? shortGap : longGap;
    }
    CAPTURE(idleCost, coldCost);
    CHECK(policy.keepAlive(modelId) >= atLeast);
    CHECK(policy.keepAlive(modelId) <= atMost);
}

// Guards against a regularly used model that stays loaded for the whole period or is loaded after its predicted use.
TEST_CASE("a regularly used model is unloaded and prefetched before its next use")
{
    IdlePolicy policy = policyWith(1, 1);
    MonotonicTime now { 1h };
    for (int count = 0; count < 10; ++count, now += 30min)
        policy.noteArrivals(modelId, 1, now);
    const MonotonicTime last = now - 30min;
    CHECK(policy.shouldBeLoaded(modelId, last, last + 30s));
    CHECK_FALSE(policy.shouldBeLoaded(modelId, last, last + 15min));
    CHECK(policy.shouldBeLoaded(modelId, last, now - 21s));
    CHECK_FALSE(policy.shouldBeLoaded(modelId, last, now + 5min));
    CHECK(policy.evictionCost(modelId, now - 10s) > policy.evictionCost(modelId, last + 2min));
}
