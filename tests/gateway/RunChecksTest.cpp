#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/RunChecks.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const EndpointId engine("x0");
const std::string address = "127.0.0.1:9";
constexpr MonotonicTime start { 1h };

SilentStream streamOf(const std::string& request, MonotonicTime silentSince, std::optional<std::uint64_t> events = 1)
{
    return { engine, request, silentSince, events };
}

// Asks and returns the question, which must go out.
FetchRuns askAt(RunChecks& checks, MonotonicTime now)
{
    EffectList effects;
    checks.ask(engine, address, now, effects);
    return effectsOf<FetchRuns>(effects).at(0);
}

bool isAskedAt(RunChecks& checks, MonotonicTime now)
{
    EffectList effects;
    checks.ask(engine, address, now, effects);
    return !effects.empty();
}

} // namespace

// Guards against a probe for each stream that an endpoint's pause stalls.
TEST_CASE("One question serves all silent streams of an endpoint")
{
    RunChecks checks;
    const FetchRuns question = askAt(checks, start);
    CHECK_FALSE(isAskedAt(checks, start + 100ms));
    checks.handle(RunReport { engine, question.requestedAt, { { { "a", 1 }, { "b", 1 } } } });
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 10ms) == RunState::Running);
    CHECK(checks.stateOf(streamOf("b", start - 400ms), start + 10ms) == RunState::Running);
    CHECK_FALSE(isAskedAt(checks, start + 400ms));
    CHECK(isAskedAt(checks, start + 600ms));
}

// Guards against a decision on an answer that says nothing about the present silence.
TEST_CASE("An answer counts only if it was asked for after the latest bytes")
{
    RunChecks checks;
    const FetchRuns question = askAt(checks, start);
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 10ms) == RunState::Unknown);
    checks.handle(RunReport { engine, question.requestedAt, { { { "b", 1 } } } });
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 10ms) == RunState::Ended);
    CHECK(checks.stateOf(streamOf("a", start + 5ms), start + 2s) == RunState::Unknown);
}

// Guards against an endpoint that is waited for although it answers nothing, and against a late answer to an earlier
// question that hides this.
TEST_CASE("An endpoint that does not answer in time cannot be reached")
{
    RunChecks checks;
    const FetchRuns first = askAt(checks, start);
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 900ms) == RunState::Unknown);
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 1s) == RunState::Unreachable);
    const FetchRuns second = askAt(checks, start + 1s);
    checks.handle(RunReportFailed { engine, second.requestedAt, AttemptFailure::Connect });
    checks.handle(RunReport { engine, first.requestedAt, { { { "a", 1 } } } });
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 1100ms) == RunState::Unreachable);
}

// Guards against a stream that moves, and runs twice, because a full endpoint reset the connection of a question.
TEST_CASE("One reset connection does not show that an endpoint is gone")
{
    RunChecks checks;
    const FetchRuns first = askAt(checks, start);
    checks.handle(RunReportFailed { engine, first.requestedAt, AttemptFailure::Broken });
    CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 10ms) == RunState::Unknown);
    CHECK_FALSE(isAskedAt(checks, start + 400ms));
    const FetchRuns second = askAt(checks, start + 500ms);
    SECTION("an answer follows")
    {
        checks.handle(RunReport { engine, second.requestedAt, { { { "a", 1 } } } });
        CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 510ms) == RunState::Running);
    }
    SECTION("another reset follows")
    {
        checks.handle(RunReportFailed { engine, second.requestedAt, AttemptFailure::Broken });
        CHECK(checks.stateOf(streamOf("a", start - 500ms), start + 510ms) == RunState::Unreachable);
    }
}

// Guards against the endpoint's count of another start that passes for events that got lost.
TEST_CASE("Events are compared only where both count from the same start")
{
    RunChecks checks;
    const FetchRuns question = askAt(checks, start);
    checks.handle(RunReport { engine, question.requestedAt, { { { "a", 8 } } } });
    CHECK(checks.stateOf(streamOf("a", start - 500ms, 3), start + 10ms) == RunState::Undelivered);
    CHECK(checks.stateOf(streamOf("a", start - 500ms, std::nullopt), start + 10ms) == RunState::Running);
}
