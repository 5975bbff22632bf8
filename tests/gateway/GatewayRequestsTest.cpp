#include "gateway/GatewayFixture.h"
#include "http/HeaderText.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

void addEndpoints(RequestsFixture& fixture, const std::string& service, int count, const LoadedModels& models = {})
{
    for (int i = 0; i < count; ++i)
        fixture.directory.put(
            sampleEndpoint(service + std::to_string(i), service, models), fixture.now, fixture.effects);
}

const LoadedModels withM1 { { ModelId("m1"), {} } };

struct RefusalCase {
    const char* path;
    const char* key;
    int expectedStatus;
};

} // namespace

TEST_CASE("A request without a route or a valid key is refused immediately")
{
    const auto test = GENERATE(values<RefusalCase>({
        { "/order/1", "key-a", 0 },
        { "/order/1", "", 401 },
        { "/order/1", "key-c", 401 },
        { "/open/1", "", 0 },
        { "/nothing/1", "key-a", 404 },
        { "/orders/1", "key-a", 404 },
    }));
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 1);
    fixture.arrive(test.path, test.key);
    const auto answers = fixture.takeAnswers();
    INFO(test.path << " with key \"" << test.key << "\"");
    CHECK((answers.empty() ? 0 : answers.front().status) == test.expectedStatus);
    CHECK(fixture.takeAttempts().size() == (test.expectedStatus == 0 ? 1 : 0));
}

// Guards against an endpoint that runs a request for a different account than that of the request's key.
TEST_CASE("Each attempt names the account of the request's own key")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 2);
    for (int i = 0; i < 40; ++i) {
        const std::string account = i % 3 == 0 ? "b" : "a";
        fixture.arrive("/order/1", "key-" + account);
        const auto attempts = fixture.takeAttempts();
        REQUIRE(attempts.size() == 1);
        CHECK(*findHeader(attempts.front().headers, "account") == account);
        fixture.answer(attempts.front().id, 200);
        fixture.now += std::chrono::milliseconds(100);
    }
}

namespace {

struct FailureCase {
    const char* path;
    // Status of the first attempt; 0 for a broken connection.
    int firstStatus;
    bool isNotExecuted;
    // Whether a second attempt is expected.
    bool expectedRepeat;
    // Final status, 0 if a second attempt is expected.
    int expectedStatus;
};

} // namespace

// Guards against non-repeatable requests that run twice, and against refusals that state "not run" for a request that
// may have run.
TEST_CASE("Only safe requests are repeated, and an unknown outcome is never reported as a refusal")
{
    const auto test = GENERATE(values<FailureCase>({
        { "/order/1", 0, false, false, 502 },
        { "/order/1", 500, false, false, 500 },
        { "/order/1", 503, false, false, 502 },
        { "/order/1", 503, true, true, 0 },
        { "/order/1", 421, true, true, 0 },
        { "/read/1", 0, false, true, 0 },
        { "/read/1", 500, false, true, 0 },
        { "/read/1", 503, true, true, 0 },
    }));
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 3);
    fixture.arrive(test.path);
    const auto first = fixture.takeAttempts();
    REQUIRE(first.size() == 1);
    if (test.firstStatus == 0)
        fixture.requests.handle(AttemptFailed { first[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
            fixture.now, fixture.effects);
    else
        fixture.answer(first[0].id, test.firstStatus,
            test.isNotExecuted ? HeaderList { { "not-executed", "1" } } : HeaderList { { "sealed", "1" } });
    const auto second = fixture.takeAttempts();
    const auto answers = fixture.takeAnswers();
    INFO(test.path << " first " << test.firstStatus);
    CHECK(second.size() == (test.expectedRepeat ? 1 : 0));
    if (!second.empty())
        CHECK(second[0].endpoint != first[0].endpoint);
    CHECK((answers.empty() ? 0 : answers[0].status) == test.expectedStatus);
}

// Guards against a successful answer that the endpoint did not make itself.
TEST_CASE("A success without the endpoint's seal is not forwarded")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 1);
    fixture.arrive("/order/1");
    fixture.answer(fixture.takeAttempts().at(0).id, 200, {});
    CHECK(fixture.takeAnswers().at(0).status == 502);
}

// Guards against a stream with a missing, repeated or truncated event after its endpoint failed.
TEST_CASE("A resumable stream resumes after its last complete event")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 2, withM1);
    fixture.arrive("/dossier/1");
    const auto first = fixture.takeAttempts().at(0);
    fixture.requests.handle(AttemptHead { first.id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(
        AttemptData { first.id, "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first.id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    CHECK(*findHeader(second[0].headers, "after") == "2");
    fixture.requests.handle(AttemptHead { second[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { second[0].id, "id: 3\ndata: z\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { second[0].id }, fixture.now, fixture.effects);
    std::string received;
    for (const auto& data : effectsOf<SendResponseData>(fixture.effects))
        received += data.data;
    CHECK(received == "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n");
    CHECK(effectsOf<SendResponseHead>(fixture.effects).size() == 1);
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
}

// Guards against a broken stream that looks complete.
TEST_CASE("A stream that is not resumable is aborted when its endpoint fails")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 2, withM1);
    fixture.arrive("/note/1");
    const auto first = fixture.takeAttempts().at(0);
    fixture.requests.handle(AttemptHead { first.id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first.id, "id: 1\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first.id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    CHECK(fixture.takeAttempts().empty());
    CHECK(effectsOf<AbortResponse>(fixture.effects).size() == 1);
    CHECK(effectsOf<FinishResponse>(fixture.effects).empty());
}

// Guards against endpoints that work for disconnected callers.
TEST_CASE("The attempt of a caller that disconnects is cancelled immediately")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 1, withM1);
    const RequestId id = fixture.arrive("/note/1");
    const auto attempt = fixture.takeAttempts().at(0);
    fixture.requests.handle(CallerLeft { id }, fixture.now, fixture.effects);
    const auto cancelled = effectsOf<CancelAttempt>(fixture.effects);
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled[0].id == attempt.id);
    CHECK(fixture.requests.activeRequests() == 0);
}

namespace {

struct WaitCase {
    const char* path;
    double timeLeftMs;
    // Latest time of the refusal after the arrival.
    Duration expectedBy;
};

} // namespace

// Guards against requests that wait until their caller gives up without an answer.
TEST_CASE("A request without a replica is refused before its caller gives up")
{
    const auto test = GENERATE(values<WaitCase>({
        { "/order/1", 1000, std::chrono::milliseconds(300) },
        // The caller abandons a stream after the larger of two seconds and four times its latency goal.
        { "/note/1", 10000, std::chrono::milliseconds(1980) },
        { "/dossier/1", 1000, std::chrono::milliseconds(750) },
    }));
    RequestsFixture fixture;
    const MonotonicTime arrivedAt = fixture.now;
    fixture.arrive(test.path, "key-a", test.timeLeftMs);
    while (fixture.requests.activeRequests() > 0 && fixture.now - arrivedAt < std::chrono::seconds(11))
        fixture.advance(std::chrono::milliseconds(20));
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    INFO(test.path << " refused after "
                   << std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now - arrivedAt).count() << " ms");
    CHECK(fixture.now - arrivedAt <= test.expectedBy);
    CHECK(findHeader(answers[0].headers, "retry-after"));
}

// Guards against a waiting request that is not sent when its replica becomes ready.
TEST_CASE("A waiting request is sent as soon as a replica is ready")
{
    RequestsFixture fixture;
    // The weights are on disk, so that a replica can be ready in time.
    EndpointRecord record = sampleEndpoint("notes0", "notes");
    record.onDisk.insert(ModelId("m1"));
    fixture.directory.put(record, fixture.now, fixture.effects);
    fixture.arrive("/note/1");
    CHECK(fixture.takeAttempts().empty());
    CHECK(fixture.requests.demand().report(true, fixture.now).entries.at(0).waiting == 1);
    PlacementUpdate update { 1, 1, { { EndpointId("notes0"), 1, withM1, {} } } };
    fixture.directory.handle(update, fixture.now);
    fixture.requests.dispatchWaiting(fixture.now, fixture.effects);
    CHECK(fixture.takeAttempts().size() == 1);
    CHECK(fixture.requests.demand().report(true, fixture.now).entries.at(0).waiting == 0);
}

namespace {

struct TooLateCase {
    const char* what;
    bool isOnDisk;
    // Time until an ordered replica is ready; 0 if none was ordered.
    std::uint32_t readyInMs;
    bool isRefused;
};

} // namespace

// Guards against requests that wait although their model cannot be ready before their callers give up.
TEST_CASE("A request whose model cannot be ready in time is refused immediately with a Retry-After")
{
    const auto test = GENERATE(values<TooLateCase>({
        { "weights in the store only, six seconds", false, 0, true },
        { "weights on a disk, 1.6 seconds", true, 0, false },
        { "a replica that is ready in a second", false, 1000, false },
        { "a replica that is ready too late", true, 5000, true },
    }));
    RequestsFixture fixture;
    EndpointRecord record = sampleEndpoint("notes0", "notes");
    if (test.isOnDisk)
        record.onDisk.insert(ModelId("m1"));
    fixture.directory.put(record, fixture.now, fixture.effects);
    if (test.readyInMs > 0)
        fixture.directory.handle(
            PlacementUpdate {
                1, 1, { { EndpointId("notes0"), 1, {}, { { { ModelId("m1"), "" }, test.readyInMs } } } } },
            fixture.now);
    fixture.arrive("/note/1");
    INFO(test.what);
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.empty() != test.isRefused);
    // The model stays in demand, so that it is ready when the caller returns.
    CHECK(fixture.requests.demand().report(true, fixture.now).entries.at(0).waiting == 1);
    if (!test.isRefused)
        return;
    CHECK(answers.front().status == 503);
    const std::string* retryAfter = findHeader(answers.front().headers, "retry-after");
    REQUIRE(retryAfter);
    CHECK(std::stod(*retryAfter) > 1);
    fixture.advance(std::chrono::seconds(3));
    CHECK(fixture.requests.demand().report(true, fixture.now).entries.at(0).waiting == 0);
}

namespace {

struct SuspectedHolderCase {
    const char* what;
    // Attempts in a row that did not reach the endpoint that holds the model.
    int failures;
    // Whether the endpoint rejected a request for the model.
    bool hasRejected;
    // Time until the replica ordered elsewhere is ready; 0 if none was ordered.
    std::uint32_t readyInMs;
    bool isRefused;
};

} // namespace

// Guards against a request refused, or a stream ended, over an endpoint that is out of reach for a moment only.
TEST_CASE("A model is waited for at the endpoint that holds it, although it is loaded elsewhere")
{
    const auto test = GENERATE(values<SuspectedHolderCase>({
        { "a short suspicion", 1, false, 6000, false },
        { "a rejection", 0, true, 6000, false },
        { "a long suspicion and a load that takes longer than the caller waits", 5, false, 6000, true },
        { "a long suspicion and a load that ends in time", 5, false, 1000, false },
        { "a long suspicion and no load", 5, false, 0, false },
    }));
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 1, withM1);
    fixture.directory.put(sampleEndpoint("notes1", "notes"), fixture.now, fixture.effects);
    if (test.readyInMs > 0)
        fixture.directory.handle(
            PlacementUpdate {
                1, 1, { { EndpointId("notes1"), 1, {}, { { { ModelId("m1"), "" }, test.readyInMs } } } } },
            fixture.now);
    for (int i = 0; i < test.failures; ++i)
        fixture.directory.attemptEnded(
            EndpointId("notes0"), { ModelId("m1"), "" }, AttemptVerdict::Unreachable, fixture.now, fixture.effects);
    if (test.hasRejected)
        fixture.directory.noteMissing(EndpointId("notes0"), { ModelId("m1"), "" }, fixture.now);
    fixture.arrive("/note/1");
    INFO(test.what);
    CHECK(fixture.takeAnswers().empty() != test.isRefused);
    fixture.advance(std::chrono::milliseconds(500));
    CHECK(fixture.takeAttempts().size() == (test.failures <= 1 ? 1 : 0));
}

// Guards against a stream that waits for an endpoint to which it may not return.
TEST_CASE("A model is not waited for at an endpoint that failed the stream")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 1, withM1);
    fixture.directory.put(sampleEndpoint("notes1", "notes"), fixture.now, fixture.effects);
    fixture.directory.handle(
        PlacementUpdate { 1, 1, { { EndpointId("notes1"), 1, {}, { { { ModelId("m1"), "" }, 6000 } } } } },
        fixture.now);
    const ModelVariant variant { ModelId("m1"), "" };
    fixture.directory.attemptEnded(
        EndpointId("notes0"), variant, AttemptVerdict::Unreachable, fixture.now, fixture.effects);
    const auto timeWithout = [&](const std::set<EndpointId>& excluded) {
        return fixture.directory.shortestTimeToReplica("notes", variant, {}, std::nullopt, excluded, fixture.now);
    };
    CHECK(timeWithout({}) < std::chrono::seconds(1));
    CHECK(timeWithout({ EndpointId("notes0") }) == std::chrono::seconds(6));
}

// Guards against a drain that leaves a request without an answer or accepts requests that it cannot finish.
TEST_CASE("A stopping host answers all requests that it can no longer serve")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 1);
    fixture.arrive("/order/1");
    const auto running = fixture.takeAttempts();
    fixture.arrive("/note/1");
    fixture.requests.stopAccepting(fixture.now, fixture.effects);
    fixture.arrive("/order/2");
    auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 503);
    CHECK(answers[1].status == 503);
    CHECK(fixture.takeAttempts().empty());
    fixture.requests.endAll(fixture.now, fixture.effects);
    answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 504);
    CHECK(running.size() == 1);
    CHECK(fixture.requests.activeRequests() == 0);
}

// Guards against a request that crashes one endpoint after another.
TEST_CASE("A request that crashed its endpoints is not sent again")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "orders", 6);
    int attempts = 0;
    for (int i = 0; i < 6; ++i) {
        RequestArrived request;
        request.id = RequestId(100 + static_cast<std::uint64_t>(i));
        request.method = "POST";
        request.body = "the same";
        request.headers = { { "Host", "h" }, { "id", std::to_string(i) } };
        request.target = "/open/poison";
        fixture.requests.handle(request, fixture.now, fixture.effects);
        for (const auto& attempt : fixture.takeAttempts()) {
            ++attempts;
            fixture.requests.handle(
                AttemptFailed { attempt.id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken }, fixture.now,
                fixture.effects);
            fixture.requests.endpointDied(attempt.endpoint, fixture.now);
        }
        fixture.now += std::chrono::seconds(1);
    }
    CHECK(attempts <= 3);
}

namespace {

// Sends a stream with the part to a fresh endpoint. Returns the number of attempts; each crashes or is answered.
std::size_t sendPart(RequestsFixture& fixture, const char* path, const std::string& part, bool crashes)
{
    fixture.arrive(path, "key-a", 10000, "m1", part);
    std::size_t count = 0;
    for (auto attempts = fixture.takeAttempts(); !attempts.empty(); attempts = fixture.takeAttempts()) {
        for (const StartAttempt& attempt : attempts) {
            ++count;
            if (crashes)
                fixture.crash(attempt.id);
            else
                fixture.answer(attempt.id, 200, { { "sealed", "1" } }, "id: 1\n\n");
        }
    }
    return count;
}

} // namespace

// Guards against endpoints that crash one after the other under different requests with a common part in their prompts.
TEST_CASE("Requests with a prompt part that crashes endpoints stop reaching them, and others go on")
{
    const char* path = GENERATE("/note/1", "/dossier/1");
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 6, withM1);
    std::size_t crashes = 0;
    for (int i = 0; i < 20; ++i) {
        crashes += sendPart(fixture, path, "deadly", true);
        for (int j = 0; j < 3; ++j)
            CHECK(sendPart(fixture, path, "sound", false) == 1);
        fixture.advance(std::chrono::seconds(1));
    }
    INFO(path);
    CHECK(crashes <= 4);
    CHECK(fixture.takeAnswers().back().status == 500);
    SECTION("until the refusal expires")
    {
        fixture.now += std::chrono::minutes(10);
        CHECK(sendPart(fixture, path, "deadly", true) > 0);
    }
}

// Guards against an attempt that is left to crash its endpoint although the prompt's part is known by then.
TEST_CASE("Attempts that no endpoint has begun to answer are cancelled when their part is refused")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 6, withM1);
    // It waits in the queue of its endpoint while others with its part run.
    fixture.arrive("/note/1", "key-a", 10000, "m1", "deadly");
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    for (int i = 0; i < 3; ++i) {
        CHECK(sendPart(fixture, "/note/1", "deadly", true) == 1);
        for (int j = 0; j < 3; ++j)
            sendPart(fixture, "/note/1", "sound", false);
        fixture.advance(std::chrono::seconds(1));
    }
    fixture.requests.endQuarantined(fixture.now, fixture.effects);
    REQUIRE(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).front().id == attempts.front().id);
    // The attempt may have run.
    CHECK(fixture.takeAnswers().back().status == 502);
}

namespace {

struct StreamEndCase {
    const char* path;
    std::string contentType;
    std::string body;
    bool expectedComplete;
};

} // namespace

// Guards against a stream whose connection closes in order inside an event and that is passed on as complete.
TEST_CASE("A stream that ends inside an event is broken off")
{
    const auto test = GENERATE(values<StreamEndCase>({
        { "/note/1", "text/event-stream", "id: 1\ndata: a\n\n", true },
        { "/note/1", "text/event-stream; charset=utf-8", "id: 1\ndata: a\n\nid: 2\nda", false },
        { "/note/1", "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n", false },
        { "/note/1", "text/event-stream", "", false },
        { "/note/1", "application/json", "{}", true },
        { "/dossier/1", "text/event-stream", "id: 1\ndata: a\n\n", true },
        { "/dossier/1", "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", false },
    }));
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 1, withM1);
    fixture.arrive(test.path);
    fixture.answer(
        fixture.takeAttempts().at(0).id, 200, { { "sealed", "1" }, { "Content-Type", test.contentType } }, test.body);
    fixture.advance(std::chrono::seconds(11));
    INFO(test.path << ' ' << test.body);
    const EffectList effects = fixture.takeEffects();
    CHECK(effectsOf<FinishResponse>(effects).size() == (test.expectedComplete ? 1 : 0));
    CHECK(effectsOf<AbortResponse>(effects).size() == (test.expectedComplete ? 0 : 1));
}

namespace {

struct EndlessCase {
    const char* path;
    // Sent again and again as the body of the answer.
    std::string piece;
    int expectedStatus;
};

} // namespace

// Guards against an answer without an end that is cut off somewhere and passed on as complete, or read for ever.
TEST_CASE("An answer without an end is given up and never passed on as complete")
{
    const auto test = GENERATE(values<EndlessCase>({
        { "/order/1", std::string(1 << 20, 'x'), 502 },
        { "/note/1", std::string(1 << 18, 'x'), 0 },
        { "/dossier/1", std::string(1 << 18, 'x'), 0 },
    }));
    RequestsFixture fixture;
    const std::string service = test.expectedStatus == 0 ? "notes" : "orders";
    addEndpoints(fixture, service, 1, withM1);
    fixture.arrive(test.path);
    const AttemptId attempt = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { attempt, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    for (int i = 0; i < 12; ++i)
        fixture.requests.handle(AttemptData { attempt, test.piece }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { attempt }, fixture.now, fixture.effects);
    fixture.advance(std::chrono::seconds(11));
    INFO(test.path);
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
    CHECK(effectsOf<FinishResponse>(fixture.effects).empty());
    CHECK(effectsOf<AbortResponse>(fixture.effects).size() == (test.expectedStatus == 0 ? 1 : 0));
    const auto answers = fixture.takeAnswers();
    CHECK((answers.empty() ? 0 : answers.back().status) == test.expectedStatus);
}

// Guards against a stream that was complete before it broke and resumes behind its last event.
TEST_CASE("A stream that resumes after its last event is complete without another event")
{
    RequestsFixture fixture;
    addEndpoints(fixture, "notes", 2, withM1);
    fixture.arrive("/dossier/1");
    const AttemptId first = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { first, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first, "id: 1\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    fixture.answer(fixture.takeAttempts().at(0).id, 200, { { "sealed", "1" } }, "");
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
}
