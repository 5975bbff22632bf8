#include "gateway/GatewayFixture.h"
#include "http/HeaderText.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

constexpr std::size_t partBytes = 64 * 1024;
constexpr std::size_t maximumAnswerBytes = 1024 * 1024;
constexpr std::size_t requestCount = 24;

struct KeptCase {
    const char* name;
    const char* path;
    const char* start;
};

} // namespace

// Guards against a host that runs out of memory because each of many answers without end stays within its own bound.
TEST_CASE("The bytes kept of all answers together are bounded and the small answer is delivered")
{
    const auto test = GENERATE(values<KeptCase>({
        { "collected answers of orders", "/order/1", "" },
        { "collected answers of idempotent requests", "/read/1", "" },
        { "open events of resumable streams", "/dossier/1", "data: " },
    }));
    INFO(test.name);
    GatewayRequestSettings settings;
    settings.maximumAnswerBytes = maximumAnswerBytes;
    settings.retryConstant = 1000;
    RequestsFixture fixture;
    fixture.requests.setSettings(settings);
    const LoadedModels withM1 { { ModelId("m1"), {} } };
    for (const char* service : { "orders", "notes" }) {
        EndpointRecord endpoint = sampleEndpoint(service, service, withM1);
        endpoint.slots = 1000;
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
        endpoint.id = EndpointId(std::string(service) + "-2");
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
    }
    const RequestId plain = fixture.arrive("/order/1");
    const AttemptId plainAttempt = fixture.takeAttempts().at(0).id;
    const HeaderList head { { "sealed", "1" } };
    fixture.requests.handle(AttemptHead { plainAttempt, 200, head }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { plainAttempt, "whole " }, fixture.now, fixture.effects);
    for (std::size_t i = 0; i < requestCount; ++i)
        fixture.arrive(test.path);
    const std::string part(partBytes, 'x');
    std::size_t largestSum = 0;
    for (auto attempts = fixture.takeAttempts(); !attempts.empty(); attempts = fixture.takeAttempts()) {
        for (const StartAttempt& attempt : attempts) {
            fixture.requests.handle(AttemptHead { attempt.id, 200, head }, fixture.now, fixture.effects);
            fixture.requests.handle(AttemptData { attempt.id, test.start }, fixture.now, fixture.effects);
        }
        for (std::size_t sent = 0; sent < maximumAnswerBytes; sent += partBytes) {
            for (const StartAttempt& attempt : attempts) {
                fixture.requests.handle(AttemptData { attempt.id, part }, fixture.now, fixture.effects);
                largestSum = std::max(largestSum, fixture.requests.bufferedBytes());
            }
        }
    }
    CHECK(largestSum <= maximumAnswerBytes + partBytes);
    fixture.requests.handle(AttemptData { plainAttempt, "answer" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { plainAttempt }, fixture.now, fixture.effects);
    std::size_t delivered = 0;
    for (const SendWholeResponse& answer : fixture.takeAnswers()) {
        // Nothing here may say that a request has not run.
        CHECK((answer.id == plain ? answer.status == 200 : answer.status == 502));
        delivered += answer.id == plain && answer.body == "whole answer" ? 1 : 0;
    }
    CHECK(delivered == 1);
}

namespace {

struct PassedOnCase {
    const char* name;
    const char* path;
    HeaderList headers;
    int status;
    bool expectedPassedOn;
};

const std::string largePart(64 * 1024, 'x');

// A host with a bound of 1 MiB on collected answers and of 4 MiB on all that it keeps.
class FullHostFixture : public RequestsFixture {
public:
    FullHostFixture()
    {
        GatewayRequestSettings settings;
        settings.maximumAnswerBytes = maximumAnswerBytes;
        settings.maximumKeptBytes = 4 * maximumAnswerBytes;
        requests.setSettings(settings);
        for (const char* id : { "x0", "x1" })
            directory.put(sampleEndpoint(id, "orders"), now, effects);
    }

    void keep(std::size_t unreadBytes) { requests.handle(OutputBuffered { unreadBytes }); }
};

} // namespace

// Guards against a host whose memory fills with whole answers that callers on slow links read for long.
TEST_CASE("A large answer is passed on as it arrives while callers leave much unread")
{
    const auto test = GENERATE(values<PassedOnCase>({
        { "an order", "/order/1", { { "sealed", "1" }, { "Content-Length", "131072" } }, 200, true },
        { "an idempotent request", "/read/1", { { "sealed", "1" }, { "Content-Length", "131072" } }, 200, true },
        { "a length that is not stated", "/read/1", { { "sealed", "1" }, { "Transfer-Encoding", "chunked" } }, 200,
            false },
        { "a length that no host would collect", "/read/1", { { "sealed", "1" }, { "Content-Length", "8388609" } }, 200,
            false },
        { "an answer that ends with its connection", "/order/1", { { "sealed", "1" } }, 200, false },
        { "no seal", "/order/1", { { "Content-Length", "131072" } }, 200, false },
        { "an error", "/order/1", { { "sealed", "1" }, { "Content-Length", "131072" } }, 500, false },
        { "a status that would say that it did not run", "/order/1",
            { { "sealed", "1" }, { "Content-Length", "131072" } }, 503, false },
    }));
    INFO(test.name);
    FullHostFixture fixture;
    const RequestId id = fixture.arrive(test.path);
    const AttemptId attempt = fixture.takeAttempts().at(0).id;
    fixture.keep(2 * maximumAnswerBytes);
    fixture.requests.handle(AttemptHead { attempt, test.status, test.headers }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { attempt, largePart }, fixture.now, fixture.effects);
    CHECK(effectsOf<SendResponseHead>(fixture.effects).size() == (test.expectedPassedOn ? 1 : 0));
    if (!test.expectedPassedOn)
        return;
    CHECK(fixture.requests.bufferedBytes() == 0);
    SECTION("a caller that does not read holds up its endpoint")
    {
        fixture.requests.handle(CallerBackpressure { id, true }, fixture.effects);
        CHECK(effectsOf<ThrottleAttempt>(fixture.effects).size() == 1);
    }
    SECTION("the answer is whole")
    {
        fixture.requests.handle(AttemptData { attempt, largePart }, fixture.now, fixture.effects);
        fixture.requests.handle(AttemptFinished { attempt }, fixture.now, fixture.effects);
        std::string received;
        for (const SendResponseData& data : effectsOf<SendResponseData>(fixture.effects))
            received += data.data;
        CHECK(received == largePart + largePart);
        CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
    }
    SECTION("an answer that breaks off neither looks whole nor goes on with another one")
    {
        fixture.requests.handle(AttemptFailed { attempt, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken },
            fixture.now, fixture.effects);
        CHECK(effectsOf<AbortResponse>(fixture.effects).size() == 1);
        CHECK(fixture.takeAttempts().empty());
    }
}

// Guards against answers that need not be passed on before they are whole, since there is memory for them.
TEST_CASE("A large answer is collected while there is memory for it")
{
    FullHostFixture fixture;
    fixture.arrive("/read/1");
    const AttemptId attempt = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { attempt, 200, { { "sealed", "1" }, { "Content-Length", "131072" } } },
        fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { attempt, largePart }, fixture.now, fixture.effects);
    CHECK(effectsOf<SendResponseHead>(fixture.effects).empty());
}

// Guards against a host that takes requests until it is killed for its memory, and against running ones that are cut.
TEST_CASE("A host that keeps too many bytes refuses new requests and completes those that run")
{
    FullHostFixture fixture;
    fixture.arrive("/order/1");
    const AttemptId attempt = fixture.takeAttempts().at(0).id;
    fixture.keep(5 * maximumAnswerBytes);
    const RequestId refused = fixture.arrive("/order/2");
    CHECK(fixture.takeAttempts().empty());
    const auto refusals = fixture.takeAnswers();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].id == refused);
    CHECK(refusals[0].status == 503);
    CHECK(refusals[0].body.find("\"outcome\":\"not_run\"") != std::string::npos);
    CHECK(findHeader(refusals[0].headers, "retry-after"));
    fixture.answer(attempt, 200);
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    fixture.keep(0);
    fixture.arrive("/order/3");
    CHECK(fixture.takeAttempts().size() == 1);
}

// Guards against bodies of requests that no bound counts, and against a count that does not go back.
TEST_CASE("The bodies of requests count until their requests end")
{
    FullHostFixture fixture;
    fixture.arrive("/order/1");
    const AttemptId attempt = fixture.takeAttempts().at(0).id;
    CHECK(fixture.requests.keptBytes() == std::string("body 1").size());
    fixture.answer(attempt, 200, { { "sealed", "1" } }, "");
    CHECK(fixture.requests.keptBytes() == 0);
}
