#include "gateway/GatewayFixture.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The log entries that end a request.
std::vector<LogEntry> endsIn(const EffectList& effects)
{
    std::vector<LogEntry> ends;
    for (const LogEntry& entry : effectsOf<LogEntry>(effects)) {
        if (entry.event == LogEvent::GatewayRequestFinished || entry.event == LogEvent::GatewayRequestRefused
            || entry.event == LogEvent::GatewayRequestFailed)
            ends.push_back(entry);
    }
    return ends;
}

std::string fieldOf(const LogEntry& entry, const std::string& name)
{
    const auto found = std::find_if(
        entry.fields.begin(), entry.fields.end(), [&name](const auto& field) { return field.first == name; });
    return found == entry.fields.end() ? "" : found->second;
}

struct EndCase {
    const char* what;
    // What happens to a request that runs, and to which route it belongs.
    const char* path;
    void (*end)(RequestsFixture&, RequestId, AttemptId);
    RequestEnd expected;
    LogEvent event;
    // The field "answer" of a failure.
    const char* answer;
};

void beginStream(RequestsFixture& fixture, AttemptId attempt)
{
    fixture.requests.handle(AttemptHead { attempt, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
}

void breakAttempt(RequestsFixture& fixture, AttemptId attempt)
{
    fixture.requests.handle(AttemptFailed { attempt, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken },
        fixture.now, fixture.effects);
}

} // namespace

// Guards against a request that ends without being logged, or is logged twice.
TEST_CASE("Each request is counted and logged with one end")
{
    const auto test = GENERATE(values<EndCase>({
        { "answered", "/order/", [](RequestsFixture& fixture, RequestId, AttemptId id) { fixture.answer(id, 200); },
            RequestEnd::Finished, LogEvent::GatewayRequestFinished, "" },
        { "rejected by every endpoint", "/order/",
            [](RequestsFixture& fixture, RequestId, AttemptId id) {
                fixture.answer(id, 503, { { "not-executed", "1" } });
                for (auto next = fixture.takeAttempts(); !next.empty(); next = fixture.takeAttempts())
                    fixture.answer(next[0].id, 503, { { "not-executed", "1" } });
            },
            RequestEnd::Refused, LogEvent::GatewayRequestRefused, "" },
        { "broken before its answer", "/order/",
            [](RequestsFixture& fixture, RequestId, AttemptId id) { breakAttempt(fixture, id); }, RequestEnd::Failed,
            LogEvent::GatewayRequestFailed, "complete" },
        { "broken within its answer", "/note/",
            [](RequestsFixture& fixture, RequestId, AttemptId id) {
                beginStream(fixture, id);
                breakAttempt(fixture, id);
            },
            RequestEnd::Aborted, LogEvent::GatewayRequestFailed, "broken_off" },
        { "the caller leaves", "/note/",
            [](RequestsFixture& fixture, RequestId request, AttemptId) {
                fixture.requests.handle(CallerLeft { request }, fixture.now, fixture.effects);
            },
            RequestEnd::CallerLeft, LogEvent::GatewayRequestFailed, "none" },
        { "the host ends", "/order/",
            [](RequestsFixture& fixture, RequestId, AttemptId) {
                fixture.requests.endAll(fixture.now, fixture.effects);
            },
            RequestEnd::Failed, LogEvent::GatewayRequestFailed, "complete" },
        { "the host ends within the answer", "/note/",
            [](RequestsFixture& fixture, RequestId, AttemptId id) {
                beginStream(fixture, id);
                fixture.requests.endAll(fixture.now, fixture.effects);
            },
            RequestEnd::Aborted, LogEvent::GatewayRequestFailed, "broken_off" },
    }));
    INFO(test.what);
    RequestsFixture fixture;
    fixture.directory.put(sampleEndpoint("o1", "orders"), fixture.now, fixture.effects);
    fixture.directory.put(sampleEndpoint("e1", "notes", { { ModelId("m1"), {} } }), fixture.now, fixture.effects);
    const RequestId request = fixture.arrive(test.path);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    CHECK(fixture.requests.ends().open() == 1);
    test.end(fixture, request, attempts[0].id);
    const RequestEnds& ends = fixture.requests.ends();
    CHECK(ends.accepted == 1);
    CHECK(ends.open() == 0);
    CHECK(ends.endedBy(test.expected) == 1);
    const auto entries = endsIn(fixture.effects);
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].event == test.event);
    CHECK(fieldOf(entries[0], "answer") == test.answer);
}

// Guards against a failure of which the log does not tell whether it came beside a change.
TEST_CASE("A failure tells how long ago the configuration and the settings changed")
{
    RequestsFixture fixture;
    fixture.directory.put(sampleEndpoint("o1", "orders"), fixture.now, fixture.effects);
    const auto failOne = [&fixture] {
        fixture.effects.clear();
        fixture.arrive("/order/");
        breakAttempt(fixture, fixture.takeAttempts().at(0).id);
        return endsIn(fixture.effects).at(0);
    };
    const LogEntry before = failOne();
    // The fixture's configuration is 5 s old.
    CHECK(fieldOf(before, "configured_ms_ago") == "5000");
    CHECK(fieldOf(before, "reloaded_ms_ago") == "never");
    CHECK(fieldOf(before, "stopping") == "no");
    fixture.requests.configure(sampleConfiguration(2), fixture.now);
    fixture.advance(200ms);
    fixture.requests.noteReloaded(fixture.now);
    fixture.requests.noteStopRequested(fixture.now);
    fixture.advance(100ms);
    const LogEntry after = failOne();
    CHECK(fieldOf(after, "configured_ms_ago") == "300");
    CHECK(fieldOf(after, "reloaded_ms_ago") == "100");
    CHECK(fieldOf(after, "stopping") == "yes");
}
