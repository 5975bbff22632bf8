#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

const LoadedModels withM1 { { ModelId("m1"), {} } };

// How the endpoint delimits its answer.
enum class Framing {
    LengthOrChunks,
    Connection,
};

// A request at an endpoint that ends, or not, when its answer has ended.
class AnswerFixture : public RequestsFixture {
public:
    explicit AnswerFixture(const std::string& path, int endpoints = 1)
    {
        const bool isStream = path.starts_with("/note/") || path.starts_with("/dossier/");
        const std::string service = isStream ? "notes" : "orders";
        for (int i = 0; i < endpoints; ++i)
            directory.put(sampleEndpoint(service + std::to_string(i), service, withM1), now, effects);
        arrive(path);
    }

    // Sends an answer whose connection then ends in order.
    void sendAnswer(AttemptId id, const std::string& type, const std::string& body, Framing framing)
    {
        requests.handle(AttemptHead { id, 200, { { "sealed", "1" }, { "Content-Type", type } } }, now, effects);
        if (!body.empty())
            requests.handle(AttemptData { id, body }, now, effects);
        requests.handle(AttemptFinished { id, framing == Framing::Connection }, now, effects);
    }

    // Answers all checks whether the endpoint runs. Returns their number.
    std::size_t answerChecks(bool isRunning)
    {
        std::size_t checks = 0;
        for (const StartAttempt& check : takeAttempts()) {
            if (check.method != "GET")
                continue;
            ++checks;
            if (isRunning)
                answer(check.id, 200);
            else
                requests.handle(AttemptFailed { check.id, AttemptOutcome::NotSent, "refused", AttemptFailure::Connect },
                    now, effects);
        }
        return checks;
    }

    std::string received() const
    {
        std::string body;
        for (const SendResponseData& data : effectsOf<SendResponseData>(effects))
            body += data.data;
        for (const SendWholeResponse& whole : effectsOf<SendWholeResponse>(effects))
            body += whole.status == 200 ? whole.body : "";
        return body;
    }

    bool looksComplete() const
    {
        const auto whole = effectsOf<SendWholeResponse>(effects);
        return !effectsOf<FinishResponse>(effects).empty() || (!whole.empty() && whole.back().status == 200);
    }
};

// An answer as its endpoint meant to send it, and the byte at which it ended.
struct SentAnswer {
    std::string path;
    std::string type;
    std::string body;
    std::size_t sentBytes;

    bool isWhole() const { return sentBytes == body.size(); }
};

// Returns what is wrong with what the caller took for the answer; empty if nothing is.
std::string faultOf(const SentAnswer& answer, bool looksComplete, const std::string& received)
{
    if (!answer.body.starts_with(received))
        return "the caller received bytes that the endpoint did not send";
    if (looksComplete && received != answer.body)
        return "a broken answer looks complete";
    if (answer.isWhole() && !looksComplete)
        return "a whole answer does not look complete";
    return "";
}

std::string eventsOf(const std::string& lineEnd, const std::vector<bool>& hasComment)
{
    std::string body;
    for (std::size_t i = 0; i < hasComment.size(); ++i) {
        if (hasComment[i])
            body += ": waiting" + lineEnd + lineEnd;
        body += "id: " + std::to_string(i + 1) + lineEnd + "data: x" + lineEnd + lineEnd;
    }
    return body;
}

SentAnswer drawAnswer()
{
    SentAnswer answer;
    answer.path = *rc::gen::element<std::string>("/note/1", "/dossier/1", "/order/1");
    const bool isStream = answer.path != "/order/1";
    answer.type = isStream ? *rc::gen::element<std::string>("text/event-stream", "Text/Event-Stream; charset=utf-8", "")
                           : *rc::gen::element<std::string>("application/json", "application/octet-stream");
    const auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const auto hasComment = *rc::gen::nonEmpty(rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>()));
    answer.body = isStream ? eventsOf(lineEnd, hasComment) : R"({"note":"a long text","parts":[1,2,3]})";
    answer.sentBytes = *rc::gen::inRange<std::size_t>(0, answer.body.size() + 1);
    return answer;
}

} // namespace

// Guards against an answer without a length that breaks off when its endpoint ends and reaches the caller as complete.
TEST_CASE("An answer that breaks off at any byte never looks complete")
{
    CHECK(rc::check("broken answers", [] {
        const SentAnswer answer = drawAnswer();
        AnswerFixture fixture(answer.path);
        const AttemptId attempt = fixture.takeAttempts().at(0).id;
        fixture.sendAnswer(attempt, answer.type, answer.body.substr(0, answer.sentBytes), Framing::Connection);
        // An endpoint that ended does not answer any more; one that has sent all goes on.
        fixture.answerChecks(answer.isWhole());
        const std::string fault = faultOf(answer, fixture.looksComplete(), fixture.received());
        RC_ASSERT(fault == "");
    }));
}

TEST_CASE("The checker of broken answers finds each fault")
{
    const SentAnswer whole { "/note/1", "", "id: 1\n\nid: 2\n\n", 14 };
    const SentAnswer broken { "/note/1", "", "id: 1\n\nid: 2\n\n", 7 };
    CHECK(faultOf(whole, true, "id: 1\n\nid: 2\n\n").empty());
    CHECK(faultOf(broken, false, "id: 1\n\n").empty());
    CHECK(faultOf(broken, true, "id: 1\n\n") == "a broken answer looks complete");
    CHECK(faultOf(whole, false, "id: 1\n\nid: 2\n\n") == "a whole answer does not look complete");
    CHECK(faultOf(whole, true, "id: 3\n\n") == "the caller received bytes that the endpoint did not send");
}

namespace {

struct EndCase {
    const char* name;
    const char* path;
    const char* type;
    const char* body;
    Framing framing;
    bool isEndpointRunning;
    bool expectedComplete;
    std::size_t expectedChecks;
};

} // namespace

// Guards against checks of endpoints where the framing already tells that an answer is whole.
TEST_CASE("Only an answer that ends with its connection makes the host ask whether the endpoint runs")
{
    const char* const events = "id: 1\ndata: a\n\n";
    const auto test = GENERATE_COPY(values<EndCase>({
        { "chunks", "/note/1", "text/event-stream", events, Framing::LengthOrChunks, false, true, 0 },
        { "endpoint ended between events", "/note/1", "text/event-stream", events, Framing::Connection, false, false,
            1 },
        { "endpoint runs", "/note/1", "text/event-stream", events, Framing::Connection, true, true, 1 },
        { "other type, endpoint ended", "/note/1", "text/plain", "a", Framing::Connection, false, false, 1 },
        { "inside an event", "/note/1", "TEXT/event-stream", "data: a", Framing::Connection, true, false, 0 },
        { "order, length", "/order/1", "text/plain", "a", Framing::LengthOrChunks, false, true, 0 },
        { "order, endpoint ended", "/order/1", "text/plain", "a", Framing::Connection, false, false, 1 },
        { "order, endpoint runs", "/order/1", "text/plain", "a", Framing::Connection, true, true, 1 },
        { "order, broken JSON", "/order/1", "application/json", "{\"a\":", Framing::Connection, true, false, 0 },
    }));
    AnswerFixture fixture(test.path);
    fixture.sendAnswer(fixture.takeAttempts().at(0).id, test.type, test.body, test.framing);
    INFO(test.name);
    CHECK(fixture.answerChecks(test.isEndpointRunning) == test.expectedChecks);
    CHECK(fixture.looksComplete() == test.expectedComplete);
}

// Guards against the rest of a resumed stream that breaks off before its first event and makes the whole look complete.
TEST_CASE("The rest of a stream that ends with its connection is not complete without an event")
{
    const auto framing = GENERATE(Framing::LengthOrChunks, Framing::Connection);
    AnswerFixture fixture("/dossier/1", 2);
    const AttemptId first = fixture.takeAttempts().at(0).id;
    fixture.sendAnswer(first, "text/event-stream", "id: 1\n\nid: 2\nda", Framing::Connection);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    fixture.sendAnswer(second[0].id, "text/event-stream", "", framing);
    CHECK(fixture.looksComplete() == (framing == Framing::LengthOrChunks));
}

// Guards against another endpoint at the same address that vouches for the one that ended.
TEST_CASE("An endpoint that took over the address does not confirm an answer")
{
    AnswerFixture fixture("/note/1");
    fixture.sendAnswer(fixture.takeAttempts().at(0).id, "text/event-stream", "id: 1\n\n", Framing::Connection);
    const auto checks = fixture.takeAttempts();
    REQUIRE(checks.size() == 1);
    fixture.answer(checks[0].id, 421);
    CHECK_FALSE(fixture.looksComplete());
    CHECK(effectsOf<AbortResponse>(fixture.effects).size() == 1);
}

namespace {

struct CheckCase {
    AttemptOutcome outcome;
    AttemptFailure failure;
    bool expectedComplete;
};

} // namespace

// Guards against whole answers of running endpoints that count as broken, and against the opposite.
TEST_CASE("Only a process that runs can spoil the answer to a check")
{
    const auto test = GENERATE(values<CheckCase>({
        { AttemptOutcome::NotSent, AttemptFailure::Connect, false },
        { AttemptOutcome::Unknown, AttemptFailure::Broken, false },
        { AttemptOutcome::Unknown, AttemptFailure::Silence, false },
        { AttemptOutcome::Unknown, AttemptFailure::Garbage, true },
    }));
    AnswerFixture fixture("/note/1");
    fixture.sendAnswer(fixture.takeAttempts().at(0).id, "text/event-stream", "id: 1\n\n", Framing::Connection);
    const AttemptId check = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptFailed { check, test.outcome, "", test.failure }, fixture.now, fixture.effects);
    CHECK(fixture.looksComplete() == test.expectedComplete);
}

// Guards against a caller that left while its endpoint was asked.
TEST_CASE("The check of an endpoint ends without effect once the caller has left")
{
    AnswerFixture fixture("/note/1");
    fixture.sendAnswer(fixture.takeAttempts().at(0).id, "text/event-stream", "id: 1\n\n", Framing::Connection);
    fixture.requests.handle(CallerLeft { RequestId(1) }, fixture.now, fixture.effects);
    CHECK(fixture.answerChecks(true) == 1);
    CHECK_FALSE(fixture.looksComplete());
    CHECK(fixture.requests.activeRequests() == 0);
}

namespace {

struct ContinuationCase {
    const char* name;
    int status;
    HeaderList headers;
    const char* body;
    bool expectedComplete;
    // Whether the stream stays open for another endpoint until the request's time is over.
    bool expectedOpen = false;
};

const HeaderList eventHeaders { { "sealed", "1" }, { "Content-Type", "text/event-stream" } };

} // namespace

// Guards against another endpoint's error, or its page, in the middle of a stream, and against its end as the stream's.
TEST_CASE("A stream goes on only with events of an answer like the one that began it")
{
    const auto test = GENERATE_COPY(values<ContinuationCase>({
        { "events", 200, { { "sealed", "1" }, { "Content-Type", "Text/Event-Stream; charset=utf-8" } },
            "id: 2\ndata: b\n\n", true },
        { "JSON error", 200, { { "sealed", "1" }, { "Content-Type", "application/json" } }, "{\"error\":1}\n\n",
            false },
        { "text page", 200, { { "sealed", "1" }, { "Content-Type", "text/html" } }, "<p>sorry\n\n", false },
        { "no type", 200, { { "sealed", "1" } }, "sorry\n\n", false },
        { "part of a document", 206, eventHeaders, "id: 2\ndata: b\n\n", false },
        { "nothing", 204, eventHeaders, "", false },
        { "failure", 500, eventHeaders, "id: 2\ndata: b\n\n", false },
        { "refusal", 503, { { "not-executed", "1" }, { "Content-Type", "application/json" } }, "{\"error\":1}\n\n",
            false, true },
        { "no seal", 200, { { "Content-Type", "text/event-stream" } }, "id: 2\ndata: b\n\n", false },
    }));
    INFO(test.name);
    AnswerFixture fixture("/dossier/1", 2);
    const AttemptId first = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { first, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto rest = fixture.takeAttempts();
    REQUIRE(rest.size() == 1);
    fixture.answer(rest[0].id, test.status, test.headers, test.body);
    CHECK(
        fixture.received() == (test.expectedComplete ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "id: 1\ndata: a\n\n"));
    CHECK(fixture.looksComplete() == test.expectedComplete);
    CHECK(fixture.takeAnswers().empty());
    CHECK(effectsOf<AbortResponse>(fixture.effects).size() == (test.expectedComplete || test.expectedOpen ? 0 : 1));
    fixture.advance(std::chrono::seconds(10));
    CHECK(effectsOf<AbortResponse>(fixture.effects).size() == (test.expectedComplete ? 0 : 1));
    CHECK(fixture.looksComplete() == test.expectedComplete);
}

namespace {

struct StallCase {
    const char* name;
    // Sent every 400 ms after the first event.
    const char* bytes;
    bool expectedMoved;
};

} // namespace

// Guards against stalled streams that never end because a byte arrives now and then, and against sound ones that are
// cut.
TEST_CASE("A stream moves on if only comments or single bytes arrive for long")
{
    const auto test = GENERATE(values<StallCase>({
        { "nothing", "", true },
        { "comments", ": busy\n\n", true },
        { "single bytes", "x", true },
        { "line ends", "\n", true },
        { "events", "data: a\n\n", false },
        { "parts of a large event",
            "data: "
            "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\n",
            false },
    }));
    INFO(test.name);
    AnswerFixture fixture("/dossier/1", 2);
    const AttemptId first = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { first, 200, eventHeaders }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.takeEffects();
    for (int i = 0; i < 18; ++i) {
        fixture.advance(std::chrono::milliseconds(400));
        if (*test.bytes)
            fixture.requests.handle(AttemptData { first, test.bytes }, fixture.now, fixture.effects);
    }
    CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == (test.expectedMoved ? 1 : 0));
}
