#include <catch2/catch.hpp>
#include <catkinwell/admission/WaitEstimator.h>
#include <tuple>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start { 1h };
const ModelId model("notes");

// Serves 100 tokens a second for the given time while requests wait.
WaitEstimator estimatorAfter(Duration busy)
{
    WaitEstimator estimator;
    estimator.setBacklogged(model, true, start - busy);
    for (auto time = start - busy; time < start; time += 100ms)
        estimator.served(model, 10, time + 100ms);
    return estimator;
}

} // namespace

// Guards against refusals without evidence, which count as false rejections.
TEST_CASE("a request is refused only when its deadline is known to be missed")
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
        // A load that is late may end at any moment.
        { 0s, -5s, 0, 1ms, false },
    }));
    auto estimator = estimatorAfter(busy);
    if (load != 0s)
        estimator.loadExpected(model, start + load, start);
    const auto judgement = estimator.judge(model, tokensAhead, start + deadline, start);
    INFO("busy " << busy.count() << " load " << load.count() << " tokens " << tokensAhead);
    CHECK(judgement.refuseRetryAfter.has_value() == isRefused);
}

// Guards against an idle model that looks slow, and against a load that counts as slow service.
TEST_CASE("the service rate counts only the time in which requests waited for a loaded model")
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
