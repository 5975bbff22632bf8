#include "http/ScriptedExchanges.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

std::string answerTo(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against a caller that receives the response to another caller's request.
TEST_CASE("Unsolicited bytes never become a response")
{
    const auto extra = GENERATE(values<ScriptedServer::Step>({
        // A second response directly after the first.
        { answerTo("a", "first") + answerTo("x", "wrong") },
        // A second response on the idle connection.
        { answerTo("a", "first"), answerTo("x", "wrong"), std::chrono::milliseconds(20) },
        // Bytes that are not an HTTP response.
        { answerTo("a", "first") + "garbage" },
    }));
    ScriptedExchanges fixture({ extra, { answerTo("b", "second") } });
    CHECK(fixture.request("a").body == "first");
    fixture.pause(std::chrono::milliseconds(80));
    const ExchangeOutcome second = fixture.request("b");
    CHECK(second.isFinished);
    CHECK(second.body == "second");
}

// Guards against a late extra response that is taken for the response to the next request.
TEST_CASE("A response to another request is discarded")
{
    ScriptedExchanges fixture({ { answerTo("x", "wrong") + answerTo("a", "right") } });
    const ExchangeOutcome outcome = fixture.request("a");
    CHECK(outcome.isFinished);
    CHECK(outcome.body == "right");
}

namespace {

struct BodylessCase {
    const char* method;
    const char* statusLine;
    // What the head says about a body that is left out.
    const char* framing;
    // What follows the head.
    std::string rest;
    int expectedStatus;
};

} // namespace

// Guards against waiting for a body that HTTP does not allow, which ends with the caller's request at its timeout.
TEST_CASE("A response without a body is complete after its head, whatever that says of a body")
{
    const auto test = GENERATE(values<BodylessCase>({
        { "GET", "304 Not Modified", "Content-Length: 5\r\n", "", 304 },
        { "GET", "304 Not Modified", "Transfer-Encoding: chunked\r\n", "", 304 },
        { "GET", "304 Not Modified", "", "", 304 },
        { "GET", "204 No Content", "Content-Length: 5\r\n", "", 204 },
        { "GET", "204 No Content", "Transfer-Encoding: chunked\r\n", "", 204 },
        { "GET", "103 Early Hints", "Content-Length: 5\r\n", answerTo("a", "whole"), 200 },
        { "GET", "100 Continue", "Transfer-Encoding: chunked\r\n", answerTo("a", "whole"), 200 },
        { "HEAD", "200 OK", "Content-Length: 5\r\n", "", 200 },
        { "HEAD", "200 OK", "Transfer-Encoding: chunked\r\n", "", 200 },
        { "HEAD", "304 Not Modified", "Content-Length: 5\r\n", "", 304 },
    }));
    const std::string head = std::string("HTTP/1.1 ") + test.statusLine + "\r\nX-Id: a\r\n" + test.framing + "\r\n";
    INFO(test.method << ": " << head);
    ScriptedExchanges fixture({ { head + test.rest }, { answerTo("b", "second") } });
    fixture.method = test.method;
    const ExchangeOutcome first = fixture.request("a");
    INFO(first.reason);
    CHECK(first.isFinished);
    CHECK(first.status == test.expectedStatus);
    CHECK(first.body == (test.rest.empty() ? "" : "whole"));
    fixture.method = "GET";
    // The connection carries the next request.
    CHECK(fixture.request("b").body == "second");
}

// Guards against a stranger's response without a body that swallows the expected one.
TEST_CASE("A response without a body to another request is discarded")
{
    const auto framing
        = GENERATE(values<std::string>({ "", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" }));
    INFO(framing);
    ScriptedExchanges fixture(
        { { "HTTP/1.1 304 Not Modified\r\nX-Id: x\r\n" + framing + "\r\n" + answerTo("a", "right") } });
    const ExchangeOutcome outcome = fixture.request("a");
    CHECK(outcome.isFinished);
    CHECK(outcome.body == "right");
}

namespace {

struct FieldsCase {
    const char* name;
    const char* start;
    std::size_t fields;
    const char* end;
    bool expectedFinished;
};

} // namespace

// Guards against a head of the shortest lines, which takes many times the memory of its bytes.
TEST_CASE("A response with very many header fields is invalid")
{
    const char* const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const auto test = GENERATE_COPY(values<FieldsCase>({
        { "head", "HTTP/1.1 200 OK\r\n", 3000, "Content-Length: 0\r\n\r\n", false },
        { "trailers", chunked, 3000, "\r\n", false },
        { "interim response", "HTTP/1.1 102 Processing\r\n", 3000, "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            false },
        { "long but sound head", "HTTP/1.1 200 OK\r\n", 400, "Content-Length: 0\r\n\r\n", true },
        { "long but sound trailers", chunked, 400, "\r\n", true },
    }));
    INFO(test.name);
    std::string answer = test.start;
    for (std::size_t i = 0; i < test.fields; ++i)
        answer += "a:\r\n";
    ScriptedExchanges fixture({ { answer + test.end } });
    const ExchangeOutcome outcome = fixture.request("a");
    CHECK(outcome.isFinished == test.expectedFinished);
    CHECK((outcome.failure == AttemptFailure::Garbage) == !test.expectedFinished);
}

struct RepeatedRefusalCase {
    const char* statusLine;
    // Whether the peer repeats the identifier of the request.
    bool hasIdentifier;
};

// Guards against a peer that sends a refusal twice: the second copy must not tell that the repeated request, which
// bears the same identifier, did not run.
TEST_CASE("A second copy of a refusal is not taken for the response to the repeated request")
{
    const auto test = GENERATE(values<RepeatedRefusalCase>({
        { "503 Service Unavailable", true },
        { "503 Service Unavailable", false },
        { "429 Too Many Requests", true },
        { "429 Too Many Requests", false },
        { "421 Misdirected Request", true },
        { "421 Misdirected Request", false },
        { "408 Request Timeout", false },
    }));
    const std::string identifier = test.hasIdentifier ? "X-Id: a\r\n" : "";
    const std::string refusal
        = std::string("HTTP/1.1 ") + test.statusLine + "\r\n" + identifier + "Content-Length: 0\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\n" + identifier + "Content-Length: 3\r\n\r\nran";
    ScriptedExchanges fixture(
        { { refusal, refusal, std::chrono::milliseconds(60) }, { "", answer, std::chrono::milliseconds(150) } });
    fixture.echoHeader = test.hasIdentifier ? "X-Id" : "";
    INFO(test.statusLine);
    CHECK(fixture.request("a").status >= 400);
    const ExchangeOutcome second = fixture.request("a");
    CHECK(second.status == 200);
    CHECK(second.body == "ran");
}

struct UnframedCase {
    ScriptedServer::Step step;
    bool expectedFinished;
};

// Guards against a truncated response that is taken for complete, and against a complete one that is reported as
// failed.
TEST_CASE("A response without a length is complete only if the connection closes in order")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n";
    const auto test = GENERATE_COPY(values<UnframedCase>({
        { { head + "whole", {}, {}, true, false }, true },
        { { head + "part", {}, {}, false, true }, false },
        { { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\npart", {}, {}, true, false }, false },
    }));
    ScriptedExchanges fixture({ test.step });
    const ExchangeOutcome outcome = fixture.request("a");
    INFO(test.step.answer);
    CHECK(outcome.isFinished == test.expectedFinished);
    CHECK(outcome.failure.has_value() != test.expectedFinished);
}

// Guards against bytes without an end, which would keep a connection and its request busy for ever. Every case sends
// more than the client should read, and keeps the connection open.
TEST_CASE("Bytes without an end are given up, in a head and in a body")
{
    const std::string endless(6 * 1024 * 1024, 'x');
    std::string interim;
    while (interim.size() < endless.size())
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string bytes = GENERATE_COPY(values<std::string>({
        endless,
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Fill: " + endless,
        "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + endless,
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5000000\r\n" + endless,
        "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n" + endless,
        interim,
    }));
    ScriptedExchanges fixture({ { bytes } });
    const ExchangeOutcome outcome = fixture.request("a");
    INFO(bytes.substr(0, 60) << ": " << outcome.reason);
    REQUIRE(outcome.failure);
    CHECK(*outcome.failure == AttemptFailure::Garbage);
    CHECK(outcome.body.size() <= ScriptedExchanges::longestBody);
}

// Guards against a peer that sends its bytes so slowly that no silence ever ends the exchange.
TEST_CASE("A response that never ends is given up after the total time")
{
    // Without the total time the silence after the second part would end the exchange at 700 ms.
    ScriptedExchanges fixture({ { "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nx", "y", std::chrono::milliseconds(300) } });
    fixture.totalTimeout = std::chrono::milliseconds(500);
    const ExchangeOutcome outcome = fixture.request("a");
    CHECK(outcome.body == "xy");
    CHECK(outcome.failure == AttemptFailure::Silence);
    CHECK(outcome.reason == "the response did not end in time");
}

namespace {

struct CutCase {
    const char* name;
    const char* interim;
    const char* framing;
    const char* body;
    // Whether an earlier response on the same connection was whole.
    bool isConnectionKept;
};

} // namespace

// Guards against a response whose head or body breaks off and that is taken for a short or empty whole one.
TEST_CASE("A response that is cut at any byte never ends in order")
{
    const auto test = GENERATE(values<CutCase>({
        { "length", "", "Content-Length: 4\r\n", "body", false },
        { "chunks", "", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", false },
        { "connection, head only", "", "", "", false },
        { "length on a kept connection", "", "Content-Length: 4\r\n", "body", true },
        { "connection, head only, on a kept connection", "", "", "", true },
        { "length after 100", "HTTP/1.1 100 Continue\r\n\r\n", "Content-Length: 4\r\n", "body", false },
        { "length after 103", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "Content-Length: 4\r\n", "body",
            false },
    }));
    const bool isReset = GENERATE(false, true);
    INFO(test.name << (isReset ? ", reset" : ", closed"));
    const std::string whole
        = std::string(test.interim) + "HTTP/1.1 200 OK\r\nX-Id: b\r\n" + test.framing + "\r\n" + test.body;
    std::vector<ScriptedServer::Step> steps;
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        if (test.isConnectionKept)
            steps.push_back({ answerTo("a", "first") });
        steps.push_back({ whole.substr(0, cut), {}, {}, !isReset, isReset });
    }
    ScriptedExchanges fixture(steps);
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        if (test.isConnectionKept)
            REQUIRE(fixture.request("a").isFinished);
        const ExchangeOutcome outcome = fixture.request("b");
        INFO("cut at byte " << cut);
        CHECK_FALSE(outcome.isFinished);
        CHECK(outcome.failure.has_value());
    }
}

namespace {

struct LateSendCase {
    const char* name;
    bool isConnectionKept;
    Duration validFor;
    Duration pause;
    bool expectedSent;
};

} // namespace

// Guards against a process that stands still and then sends an order whose permission ran out meanwhile.
TEST_CASE("A request is not sent once its time to be sent has passed")
{
    using namespace std::chrono_literals;
    const auto test = GENERATE(values<LateSendCase>({
        { "in time", false, 5s, 0ms, true },
        { "paused, still valid", false, 5s, 60ms, true },
        { "paused while the connection opens", false, 30ms, 60ms, false },
        // The kernel has the request before the pause.
        { "paused after sending on a kept connection", true, 30ms, 60ms, true },
    }));
    INFO(test.name);
    ScriptedExchanges fixture({ { answerTo("a", "first") } });
    if (test.isConnectionKept)
        REQUIRE(fixture.request("a").isFinished);
    const std::size_t before = fixture.server.requests();
    fixture.echoHeader = "";
    fixture.sendBefore = SystemClock().monotonicNow() + test.validFor;
    fixture.pauseAfterStart = test.pause;
    const ExchangeOutcome outcome = fixture.request("b");
    fixture.pause(50ms);
    CHECK(outcome.isFinished == test.expectedSent);
    CHECK(fixture.server.requests() - before == (test.expectedSent ? 1 : 0));
}
