#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const LoadedModels withM1 { { ModelId("m1"), {} } };
const HeaderList eventHeaders { { "sealed", "1" }, { "Content-Type", "text/event-stream" } };
constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* lastEvent = "id: 2\ndata: b\n\n";

struct RequestKind {
    const char* name;
    const char* path;
    // Whether the caller has the first event of the answer.
    bool hasBegun;
};

const RequestKind readRequest { "a repeatable request", "/read/1", false };
const RequestKind newStream { "a stream before its first event", "/dossier/1", false };
const RequestKind openStream { "a stream after its first event", "/dossier/1", true };

// A request at one of two endpoints, which falls silent.
class SilenceFixture : public RequestsFixture {
public:
    explicit SilenceFixture(const RequestKind& kind)
        : m_kind(kind)
        , m_service(std::string(kind.path).starts_with("/dossier/") ? "notes" : "orders")
    {
        for (const char* id : { "x0", "x1" })
            directory.put(endpoint(id), now, effects);
        arrive(kind.path);
        const StartAttempt start = takeAttempts().at(0);
        first = start.id;
        silent = start.endpoint;
        other = EndpointId(start.endpoint.value == "x0" ? "x1" : "x0");
        if (kind.hasBegun) {
            requests.handle(AttemptHead { first, 200, eventHeaders }, now, effects);
            requests.handle(AttemptData { first, firstEvent }, now, effects);
        }
    }

    EndpointRecord endpoint(const std::string& id) const { return sampleEndpoint(id, m_service, withM1); }

    // The rest of the answer.
    void goOn(AttemptId id)
    {
        if (!m_kind.hasBegun)
            requests.handle(AttemptHead { id, 200, eventHeaders }, now, effects);
        requests.handle(AttemptData { id, lastEvent }, now, effects);
        requests.handle(AttemptFinished { id }, now, effects);
    }

    bool isAnswered() const
    {
        const auto whole = effectsOf<SendWholeResponse>(effects);
        return effectsOf<FinishResponse>(effects).size() == 1 || (whole.size() == 1 && whole[0].status == 200);
    }

    AttemptId first;
    EndpointId silent;
    EndpointId other;

private:
    const RequestKind& m_kind;
    std::string m_service;
};

struct ObstacleCase {
    const char* name;
    // Keeps a second attempt from beginning.
    void (*arise)(SilenceFixture&);
};

void leave(SilenceFixture& fixture)
{
    EndpointRecord record = fixture.endpoint(fixture.other.value);
    record.isLeaving = true;
    fixture.directory.put(record, fixture.now, fixture.effects);
}

void useUpRetries(SilenceFixture& fixture) { fixture.requests.setSettings({ 0, 0, 10s }); }

void askForPause(SilenceFixture& fixture)
{
    fixture.directory.noteNotice(fixture.other, { false, Duration(30s) }, fixture.now, fixture.effects);
}

void failConnections(SilenceFixture& fixture)
{
    for (int i = 0; i < 6; ++i)
        fixture.directory.attemptEnded(
            fixture.other, { ModelId("m1"), "" }, AttemptVerdict::Unreachable, fixture.now, fixture.effects);
}

} // namespace

// Guards against an answer that is cut although its endpoint would have gone on and nobody else could.
TEST_CASE("A silent endpoint keeps its request while no other attempt can begin")
{
    const RequestKind& kind = GENERATE(readRequest, newStream, openStream);
    const auto obstacle = GENERATE(values<ObstacleCase>({
        { "no other endpoint", leave },
        { "no retry is left", useUpRetries },
        { "the other endpoint asked for a pause", askForPause },
        { "the other endpoint could not be reached", failConnections },
    }));
    INFO(kind.name << ", " << obstacle.name);
    SilenceFixture fixture(kind);
    obstacle.arise(fixture);
    fixture.advance(1900ms);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    CHECK(fixture.directory.isUsable(fixture.silent, fixture.now));
    fixture.goOn(fixture.first);
    CHECK(fixture.isAnswered());
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}

// Guards against a caller that waits for an endpoint that is gone although another one is free, and against a request
// that runs at both.
TEST_CASE("A silent endpoint's request moves to another one that is free")
{
    const RequestKind& kind = GENERATE(readRequest, newStream, openStream);
    INFO(kind.name);
    SilenceFixture fixture(kind);
    fixture.advance(1700ms);
    REQUIRE(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
    CHECK(effectsOf<CancelAttempt>(fixture.effects)[0].id == fixture.first);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].endpoint == fixture.other);
    fixture.requests.handle(AttemptHead { second[0].id, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { second[0].id, lastEvent }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { second[0].id }, fixture.now, fixture.effects);
    CHECK(fixture.isAnswered());
}

// Guards against a request that stays at a silent endpoint after another one has become free.
TEST_CASE("A silent endpoint's request moves once another one is free")
{
    SilenceFixture fixture(openStream);
    leave(fixture);
    fixture.advance(1600ms);
    REQUIRE(fixture.takeAttempts().empty());
    fixture.directory.put(fixture.endpoint("x2"), fixture.now, fixture.effects);
    fixture.advance(200ms);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    CHECK(second[0].endpoint == EndpointId("x2"));
}

// Guards against an endpoint that gets nothing for seconds because one pause stalled many of its streams.
TEST_CASE("One silence of an endpoint counts once, however many requests it stalls")
{
    SilenceFixture fixture(openStream);
    std::vector<AttemptId> atOther;
    for (int i = 2; i < 8; ++i) {
        fixture.arrive("/dossier/" + std::to_string(i));
        const StartAttempt start = fixture.takeAttempts().at(0);
        fixture.requests.handle(AttemptHead { start.id, 200, eventHeaders }, fixture.now, fixture.effects);
        fixture.requests.handle(AttemptData { start.id, firstEvent }, fixture.now, fixture.effects);
        if (start.endpoint == fixture.other)
            atOther.push_back(start.id);
    }
    fixture.advance(1000ms);
    for (const AttemptId id : atOther)
        fixture.requests.handle(AttemptData { id, lastEvent }, fixture.now, fixture.effects);
    fixture.advance(540ms);
    REQUIRE(effectsOf<CancelAttempt>(fixture.effects).size() > 2);
    CHECK_FALSE(fixture.directory.isUsable(fixture.silent, fixture.now));
    fixture.advance(400ms);
    CHECK(fixture.directory.isUsable(fixture.silent, fixture.now));
}

namespace {

struct PauseCase {
    const char* name;
    // How long this host stands still, and how long after that the endpoint's next bytes are read.
    Duration pause;
    Duration readAfter;
    bool expectedMoved;
};

} // namespace

// Guards against a host that was behind and takes the time in which it read nothing for the silence of its endpoints,
// and against silence that goes unnoticed from then on.
TEST_CASE("A host's own pause does not count as the silence of its endpoints")
{
    const RequestKind& kind = GENERATE(readRequest, newStream, openStream);
    const auto test = GENERATE(values<PauseCase>({
        { "bytes that lay unread", 2s, 0ms, false },
        { "bytes that follow soon", 2s, 200ms, false },
        { "a long pause", 5s, 200ms, false },
        { "none for long", 2s, 1600ms, true },
        { "no pause, none for long", 0s, 1600ms, true },
    }));
    INFO(kind.name << ", " << test.name);
    SilenceFixture fixture(kind);
    fixture.advance(20ms);
    fixture.now += test.pause;
    fixture.requests.tick(fixture.now, fixture.effects);
    fixture.advance(test.readAfter);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == (test.expectedMoved ? 1 : 0));
    if (test.expectedMoved)
        return;
    fixture.goOn(fixture.first);
    CHECK(fixture.isAnswered());
}

// Guards against a sound endpoint whose stream is cut because its caller reads slowly.
TEST_CASE("An answer that this host does not read does not count as silence")
{
    SilenceFixture fixture(openStream);
    const RequestId request = effectsOf<SendResponseHead>(fixture.effects).at(0).id;
    fixture.requests.handle(CallerBackpressure { request, true }, fixture.effects);
    fixture.advance(6s);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    fixture.requests.handle(CallerBackpressure { request, false }, fixture.effects);
    fixture.advance(1400ms);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    fixture.advance(200ms);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
}

// Guards against a host that gives up a silent attempt during its planned stop, when it may not start another one.
TEST_CASE("A stopping host keeps a silent endpoint's request")
{
    const RequestKind& kind = GENERATE(readRequest, newStream);
    INFO(kind.name);
    SilenceFixture fixture(kind);
    fixture.requests.setStop({ fixture.now + 2900ms, fixture.now + 7s });
    fixture.advance(1900ms);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    CHECK(effectsOf<SendWholeResponse>(fixture.effects).empty());
}

namespace {

struct ReportCase {
    const char* name;
    // What the endpoint says of the stream, of which one event has arrived.
    std::optional<std::map<std::string, std::uint64_t>> events;
    unsigned waiting;
    bool expectedMoved;
};

// Answers the questions that are out.
void report(SilenceFixture& fixture, const ReportCase& test)
{
    for (const FetchRuns& fetch : effectsOf<FetchRuns>(fixture.effects))
        fixture.requests.handle(
            RunReport { fetch.endpoint, fetch.requestedAt, test.events, test.waiting }, fixture.now, fixture.effects);
    std::erase_if(fixture.effects, [](const Effect& effect) { return std::holds_alternative<FetchRuns>(effect); });
}

} // namespace

// Guards against a stream that runs at two endpoints, or is cut off, because its endpoint paused.
TEST_CASE("A stream that pauses stays where its endpoint says that it runs")
{
    const auto test = GENERATE(values<ReportCase>({
        { "it runs", { { { "r1", 1 } } }, 0, false },
        { "it runs, and this host has more than the report", { { { "r1", 0 } } }, 0, false },
        { "it may have been put back into the queue", { { { "r7", 3 } } }, 2, false },
        { "the endpoint does not list its requests", std::nullopt, 0, false },
        { "it does not run", { { { "r7", 3 } } }, 0, true },
        { "its events do not arrive", { { { "r1", 3 } } }, 0, true },
    }));
    INFO(test.name);
    SilenceFixture fixture(openStream);
    for (int i = 0; i < 65; ++i) {
        fixture.advance(20ms);
        report(fixture, test);
    }
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == (test.expectedMoved ? 1 : 0));
    if (test.expectedMoved)
        return;
    for (int i = 0; i < 200; ++i) {
        fixture.advance(20ms);
        report(fixture, test);
    }
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    fixture.goOn(fixture.first);
    CHECK(fixture.isAnswered());
}

// Guards against a begun stream that waits at an endpoint which another one has replaced, or which refuses connections.
TEST_CASE("A stream moves as soon as its endpoint is known to be gone")
{
    const auto failure = GENERATE(values<std::optional<AttemptFailure>>({ std::nullopt, AttemptFailure::Connect }));
    SilenceFixture fixture(openStream);
    fixture.advance(540ms);
    const auto questions = effectsOf<FetchRuns>(fixture.effects);
    REQUIRE(questions.size() == 1);
    fixture.requests.handle(
        RunReportFailed { fixture.silent, questions[0].requestedAt, failure }, fixture.now, fixture.effects);
    fixture.advance(120ms);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
}

// Guards against an answer that is broken off because the endpoint that should go on with it is full.
TEST_CASE("A begun stream that every endpoint rejects waits for room")
{
    SilenceFixture fixture(openStream);
    fixture.advance(1600ms);
    for (int i = 0; i < 12; ++i) {
        for (const StartAttempt& start : fixture.takeAttempts())
            fixture.answer(start.id, 503, { { "not-executed", "1" } });
        fixture.advance(100ms);
    }
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
    fixture.advance(1500ms);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.requests.handle(AttemptHead { attempts[0].id, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { attempts[0].id, lastEvent }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { attempts[0].id }, fixture.now, fixture.effects);
    CHECK(fixture.isAnswered());
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}

namespace {

struct DepartureCase {
    const char* name;
    // Tells the host why the stream moves away from its endpoint, which goes on working meanwhile.
    void (*mislead)(SilenceFixture&, const FetchRuns&);
};

void omitRun(SilenceFixture& fixture, const FetchRuns& fetch)
{
    fixture.requests.handle(RunReport { fetch.endpoint, fetch.requestedAt, std::map<std::string, std::uint64_t> {}, 0 },
        fixture.now, fixture.effects);
}

void leaveUnanswered(SilenceFixture& fixture, const FetchRuns& fetch)
{
    fixture.requests.handle(
        RunReportFailed { fetch.endpoint, fetch.requestedAt, std::nullopt }, fixture.now, fixture.effects);
}

} // namespace

// Guards against a begun stream that is cut off at the end of a planned stop: its endpoint was sound but listed it late
// or not at all, and the only other one is full for longer than the host runs on.
TEST_CASE("A begun stream returns to the endpoint that it left if the others stay full")
{
    const auto test = GENERATE(values<DepartureCase>({
        { "the endpoint does not list the run", omitRun },
        { "the endpoint does not answer the question", leaveUnanswered },
    }));
    INFO(test.name);
    SilenceFixture fixture(openStream);
    fixture.advance(540ms);
    const auto questions = effectsOf<FetchRuns>(fixture.effects);
    REQUIRE(questions.size() == 1);
    test.mislead(fixture, questions[0]);
    fixture.advance(120ms);
    std::optional<AttemptId> resumed;
    for (int i = 0; i < 30 && !resumed; ++i) {
        for (const StartAttempt& start : fixture.takeAttempts()) {
            if (start.endpoint == fixture.silent)
                resumed = start.id;
            else
                fixture.answer(start.id, 503, { { "not-executed", "1" } });
        }
        fixture.advance(100ms);
    }
    REQUIRE(resumed);
    fixture.requests.handle(AttemptHead { *resumed, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { *resumed, lastEvent }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { *resumed }, fixture.now, fixture.effects);
    CHECK(fixture.isAnswered());
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}

namespace {

struct UnsentCase {
    const char* name;
    AttemptFailure failure;
};

} // namespace

// Guards against a begun stream that waits until its deadline although the endpoint that could not be connected to once
// accepts connections again.
TEST_CASE("A begun stream goes on at an endpoint that could not be connected to before")
{
    const auto test = GENERATE(values<UnsentCase>({
        { "no connection in time", AttemptFailure::Connect },
        { "a connection that was reset at once", AttemptFailure::Broken },
    }));
    INFO(test.name);
    SilenceFixture fixture(openStream);
    fixture.requests.handle(AttemptFailed { fixture.first, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].endpoint == fixture.other);
    fixture.requests.handle(
        AttemptFailed { second[0].id, AttemptOutcome::NotSent, "refused", test.failure }, fixture.now, fixture.effects);
    CHECK(fixture.takeAttempts().empty());
    fixture.advance(4s);
    const auto third = fixture.takeAttempts();
    REQUIRE(third.size() == 1);
    CHECK(third[0].endpoint == fixture.other);
    fixture.requests.handle(AttemptHead { third[0].id, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { third[0].id, lastEvent }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { third[0].id }, fixture.now, fixture.effects);
    CHECK(fixture.isAnswered());
}
