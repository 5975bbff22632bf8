#include <algorithm>
#include <catch2/catch.hpp>
#include <catkinwell/gateway/StoreConcurrencyEstimator.h>
#include <vector>

using namespace Catkinwell;

namespace {

struct SpeedCase {
    unsigned assumed;
    // Loads that the store serves at full speed.
    unsigned actual;
    unsigned expectedLeast;
    unsigned expectedMost;
};

struct Load {
    StoreConcurrencyEstimator::Start start;
    double secondsLeft;
};

} // namespace

// Guards against loads that slow each other down because the store serves fewer at full speed than assumed.
TEST_CASE("The number of loads at full speed is estimated from their times")
{
    const auto test = GENERATE(values<SpeedCase>({
        { 4, 2, 2, 2 },
        { 4, 3, 3, 3 },
        { 4, 1, 1, 1 },
        { 4, 4, 4, 4 },
        { 4, 8, 4, 8 },
        { 1, 4, 1, 4 },
        { 4, 18, 16, 18 },
        { 4, 60, 50, 60 },
    }));
    constexpr unsigned mostTried = 1000;
    constexpr double loadSeconds = 6;
    constexpr double step = 0.1;
    StoreConcurrencyEstimator speed(test.assumed);
    MonotonicTime now { std::chrono::hours(1) };
    std::vector<Load> loads;
    for (int i = 0; i < 1200; ++i) {
        now += std::chrono::milliseconds(100);
        const double part = std::min(1.0, static_cast<double>(test.actual) / std::max<std::size_t>(1, loads.size()));
        for (Load& load : loads)
            load.secondsLeft -= step * part;
        for (const Load& load : loads) {
            if (load.secondsLeft <= 0)
                speed.finished(load.start, std::chrono::seconds(6), now);
        }
        std::erase_if(loads, [](const Load& load) { return load.secondsLeft <= 0; });
        while (loads.size() < speed.concurrency(mostTried))
            loads.push_back({ speed.started(now), loadSeconds });
        speed.setRunning(static_cast<unsigned>(loads.size()), now);
    }
    INFO("assumed " << test.assumed << ", actual " << test.actual);
    CHECK(speed.concurrency(mostTried) >= test.expectedLeast);
    CHECK(speed.concurrency(mostTried) <= test.expectedMost);
}

// Guards against slow loads, and blocked engines, in a small fleet that tries how much its store bears.
TEST_CASE("No more loads than allowed are tried at the same time")
{
    StoreConcurrencyEstimator speed(4);
    MonotonicTime now { std::chrono::hours(1) };
    for (int round = 0; round < 5; ++round) {
        speed.setRunning(4, now);
        const StoreConcurrencyEstimator::Start start = speed.started(now);
        now += std::chrono::seconds(6);
        speed.finished(start, std::chrono::seconds(6), now);
    }
    CHECK(speed.concurrency(0) == 4);
    CHECK(speed.concurrency(5) == 5);
    CHECK(speed.concurrency(100) == 6);
}
