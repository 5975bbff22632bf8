#include <catch2/catch.hpp>
#include <catkinwell/admission/WaitEstimator.h>
#include <tuple>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start { 1h };
const ModelId model("notes");

// Returns an estimator that has served 100 tokens per second for the given time while requests waited.
WaitEstimator estimatorAfter(Duration busy)
{
    WaitEstimator estimator;
    estimator.setBacklogged(model, true, start - busy);
    for (auto time = start - busy; time < start; time += 100ms)
        estimator.served(model, 10, time + 100ms);
    return estimator;
}

} // namespace

// Guards against refusals without enough data, which count as false rejections.
TEST_CASE("a request is refused only if it is expected to miss its deadline")
{
    auto [busy, load, tokensAhead, deadline, isRefused] = GENERATE(table<Duration, Duration, double, Duration, bool>({
        { 0s, 0s, 1e9, 1s, false },
        { 500ms, 0s, 1e9, 1s, false },
        { 30s, 0s, 500, 6s, false },
        { 30s, 0s, 500, 4s, true },
        { 0s, 20s, 0, 19s, true },
        { 0s, 20s, 0, 21s, false },
        { 30s, 20s, 500, 24s, true },
        { 30s, 20s, 500, 26s, false },
        // An overdue load may complete at any time.
        { 0s, -5s, 0, 1ms, false },
    }));
    auto estimator = estimatorAfter(busy);
    if (load != 0s)
        estimator.loadExpected(model, start + load, start);
    const auto estimate = estimator.estimate(model, tokensAhead, start + deadline, start);
    INFO("busy " << busy.count() << " load " << load.count() << " tokens " << tokensAhead);
    CHECK(estimate.refuseRetryAfter.has_value() == isRefused);
}

// Guards against an idle model that appears slow, and against load time that is counted as slow service.
TEST_CASE("the service rate only covers the time in which requests waited for a loaded model")
{
    auto estimator = estimatorAfter(30s);
    estimator.setBacklogged(model, false, start);
    estimator.setBacklogged(model, true, start + 1h);
    estimator.loadExpected(model, start + 1h + 20s, start + 1h);
    estimator.loaded(model, start + 1h + 20s);
    CHECK(*estimator.serviceRate(model) == Approx(100).epsilon(0.02));
    estimator.setBacklogged(model, true, start + 1h + 40s);
    CHECK(*estimator.serviceRate(model) < 50);
}
