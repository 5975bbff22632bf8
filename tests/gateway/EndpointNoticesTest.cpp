#include "gateway/GatewayFixture.h"
#include "http/HeaderText.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/EndpointNotices.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const LoadedModels withM1 { { ModelId("m1"), {} } };
const HeaderList leaving { { "sealed", "1" }, { "leaving", "1" } };
const HeaderList pauseOfTwoSeconds { { "not-executed", "1" }, { "pause", "2" } };
// By when a pause of two seconds is over at every host.
constexpr Duration longestPause = 2300ms;

// Two plain endpoints, "orders0" and "orders1".
class NoticeFixture : public RequestsFixture {
public:
    explicit NoticeFixture(int endpoints = 2)
    {
        for (int i = 0; i < endpoints; ++i)
            put(i);
    }

    void put(int i, std::uint64_t incarnation = 1)
    {
        EndpointRecord record = sampleEndpoint("orders" + std::to_string(i), "orders");
        record.incarnation = incarnation;
        directory.put(record, now, effects);
    }

    // Sends requests and answers each. Returns the endpoints that they reached.
    std::multiset<EndpointId> reached(int count, const char* path = "/read/1")
    {
        std::multiset<EndpointId> endpoints;
        for (int i = 0; i < count; ++i) {
            now += 20ms;
            arrive(path);
            for (const StartAttempt& attempt : takeAttempts()) {
                endpoints.insert(attempt.endpoint);
                answer(attempt.id, 200);
            }
        }
        return endpoints;
    }

    // Sends one request and has its endpoint answer with these headers. Returns that endpoint.
    EndpointId answerOne(int status, const HeaderList& headers)
    {
        arrive("/read/1");
        const auto attempts = takeAttempts();
        REQUIRE(attempts.size() == 1);
        requests.handle(AttemptHead { attempts[0].id, status, headers }, now, effects);
        requests.handle(AttemptFinished { attempts[0].id }, now, effects);
        // A refused request is tried at another endpoint.
        for (const StartAttempt& attempt : takeAttempts()) {
            CHECK(attempt.endpoint != attempts[0].endpoint);
            answer(attempt.id, 200);
        }
        return attempts[0].endpoint;
    }
};

} // namespace

// Guards against requests to an endpoint that said it leaves, whatever the store's list says and for how long.
TEST_CASE("An endpoint that said that it leaves gets no more requests until another run of it begins")
{
    NoticeFixture fixture;
    const EndpointId endpoint = fixture.answerOne(200, leaving);
    const int number = endpoint == EndpointId("orders0") ? 0 : 1;
    CHECK(fixture.reached(20).count(endpoint) == 0);
    SECTION("a later record of the same run says nothing of it")
    {
        fixture.put(number);
        CHECK(fixture.reached(20).count(endpoint) == 0);
    }
    SECTION("the record was gone for a while")
    {
        fixture.directory.remove(endpoint, fixture.now, fixture.now, fixture.effects);
        fixture.directory.tick(fixture.now);
        fixture.put(number);
        CHECK(fixture.reached(20).count(endpoint) == 0);
    }
    SECTION("a new run")
    {
        fixture.put(number, 2);
        CHECK(fixture.reached(20).count(endpoint) > 0);
    }
}

// Guards against requests that reach an endpoint within the pause that it asked for.
TEST_CASE("An endpoint that asks for a pause gets nothing until the pause ends, and then not all at once")
{
    NoticeFixture fixture;
    const EndpointId endpoint = fixture.answerOne(503, pauseOfTwoSeconds);
    for (const MonotonicTime end = fixture.now + 1900ms; fixture.now < end;)
        CHECK(fixture.reached(1).count(endpoint) == 0);
    fixture.now += longestPause - 1900ms;
    // Many requests at once after the pause.
    std::size_t returned = 0;
    for (int i = 0; i < 20; ++i)
        fixture.arrive("/read/1");
    for (const StartAttempt& attempt : fixture.takeAttempts())
        returned += attempt.endpoint == endpoint ? 1 : 0;
    CHECK(returned == 1);
}

// Guards against probes, checks of answers and the placement's status reads within a pause.
TEST_CASE("Within a pause the endpoint gets no probes and no checks")
{
    NoticeFixture fixture(1);
    fixture.arrive("/order/1");
    const AttemptId unframed = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { unframed, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.answerOne(503, pauseOfTwoSeconds);
    fixture.requests.handle(AttemptFinished { unframed, true }, fixture.now, fixture.effects);
    CHECK(fixture.takeAttempts().empty());
    CHECK(fixture.directory.isPaused(EndpointId("orders0"), fixture.now));
    CHECK_FALSE(fixture.directory.chooseForProbe(
        "orders", [](const EndpointId&) { return false; }, fixture.now));
    CHECK_FALSE(fixture.directory.isUsable(EndpointId("orders0"), fixture.now));
}

// Guards against callers that wait in vain while it is known that no endpoint wants requests.
TEST_CASE("If all endpoints ask for a pause, requests are refused at once until the first of them ends")
{
    const auto path = GENERATE(values<const char*>({ "/order/1", "/read/1", "/open/1" }));
    NoticeFixture fixture(1);
    fixture.answerOne(503, pauseOfTwoSeconds);
    fixture.takeAnswers();
    fixture.now += 500ms;
    fixture.arrive(path);
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    const std::string* retryAfter = findHeader(answers[0].headers, "Retry-After");
    REQUIRE(retryAfter);
    CHECK(std::stod(*retryAfter) >= 1.5);
    CHECK(std::stod(*retryAfter) <= 1.8);
    fixture.now += longestPause;
    fixture.arrive(path);
    CHECK(fixture.takeAttempts().size() == 1);
}

// Guards against a stream that is resumed at an endpoint within its pause.
TEST_CASE("A broken stream goes on at an endpoint that did not ask for a pause")
{
    RequestsFixture fixture;
    for (const char* id : { "e0", "e1", "e2" })
        fixture.directory.put(sampleEndpoint(id, "notes", withM1), fixture.now, fixture.effects);
    fixture.arrive("/dossier/1");
    const StartAttempt first = fixture.takeAttempts().at(0);
    const EndpointId paused(first.endpoint == EndpointId("e0") ? "e1" : "e0");
    fixture.directory.noteNotice(paused, { false, Duration(2s) }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptHead { first.id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first.id, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first.id, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto resumed = fixture.takeAttempts();
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].endpoint != paused);
    CHECK(resumed[0].endpoint != first.endpoint);
}

TEST_CASE("Notices are bounded and expire")
{
    constexpr int endpoints = 3000;
    const MonotonicTime start { std::chrono::hours(1) };
    EndpointNotices notices(1);
    EffectList effects;
    for (int i = 0; i < endpoints; ++i)
        notices.note(EndpointId(std::to_string(i)), 1, { true, Duration(1h) }, start + i * 1ms, effects);
    int kept = 0;
    for (int i = 0; i < endpoints; ++i)
        kept += notices.isLeaving(EndpointId(std::to_string(i)), 1) ? 1 : 0;
    CHECK(kept == 1024);
    CHECK(notices.isLeaving(EndpointId(std::to_string(endpoints - 1)), 1));
    CHECK(notices.isPaused(EndpointId(std::to_string(endpoints - 1)), start + 4min));
    CHECK_FALSE(notices.isPaused(EndpointId(std::to_string(endpoints - 1)), start + 6min));
    notices.tick(start + 11min);
    CHECK_FALSE(notices.isLeaving(EndpointId(std::to_string(endpoints - 1)), 1));
}
