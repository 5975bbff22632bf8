#include "http/RawPeer.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/HttpClient.h>
#include <optional>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

std::string answerTo(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Outcome {
    std::string body;
    bool isFinished = false;
    std::optional<AttemptFailure> failure;
};

class ClientFixture {
public:
    explicit ClientFixture(std::vector<ScriptedServer::Step> steps)
        : server(loop, std::move(steps))
    {
    }

    Outcome request(const std::string& id)
    {
        HttpExchange exchange;
        exchange.address = "127.0.0.1:" + std::to_string(server.port());
        exchange.target = "/";
        exchange.headers = { { "X-Id", id } };
        exchange.echoHeader = "X-Id";
        exchange.silenceTimeout = std::chrono::milliseconds(400);
        Outcome outcome;
        HttpExchangeObserver observer;
        observer.onHead = [](int, const HeaderList&) {};
        observer.onData = [&](const std::string& data) { outcome.body += data; };
        observer.onFinished = [&] {
            outcome.isFinished = true;
            loop.stop();
        };
        observer.onFailed = [&](AttemptOutcome, AttemptFailure failure, const std::string&) {
            outcome.failure = failure;
            loop.stop();
        };
        client.start(exchange, observer);
        loop.run();
        return outcome;
    }

    void pause(Duration duration)
    {
        loop.callLater(duration, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    ScriptedServer server;
    HttpClient client { loop };
};

} // namespace

// Guards against a caller that gets the answer to another caller's request.
TEST_CASE("Bytes that no request asked for never become an answer")
{
    const auto extra = GENERATE(values<ScriptedServer::Step>({
        // A second answer right behind the first.
        { answerTo("a", "first") + answerTo("x", "wrong") },
        // A second answer on the idle connection.
        { answerTo("a", "first"), answerTo("x", "wrong"), std::chrono::milliseconds(20) },
        // Bytes that are no answer.
        { answerTo("a", "first") + "garbage" },
    }));
    ClientFixture fixture({ extra, { answerTo("b", "second") } });
    CHECK(fixture.request("a").body == "first");
    fixture.pause(std::chrono::milliseconds(80));
    const Outcome second = fixture.request("b");
    CHECK(second.isFinished);
    CHECK(second.body == "second");
}

// Guards against a late extra answer that arrives where the answer to the next request is expected.
TEST_CASE("An answer to another request is skipped")
{
    ClientFixture fixture({ { answerTo("x", "wrong") + answerTo("a", "right") } });
    const Outcome outcome = fixture.request("a");
    CHECK(outcome.isFinished);
    CHECK(outcome.body == "right");
}

struct UnframedCase {
    ScriptedServer::Step step;
    bool expectedFinished;
};

// Guards against an answer that was cut off but looks complete, and against the loss of a complete one.
TEST_CASE("An answer without a length is complete only at an orderly end")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n";
    const auto test = GENERATE_COPY(values<UnframedCase>({
        { { head + "whole", {}, {}, true, false }, true },
        { { head + "part", {}, {}, false, true }, false },
        { { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\npart", {}, {}, true, false }, false },
    }));
    ClientFixture fixture({ test.step });
    const Outcome outcome = fixture.request("a");
    INFO(test.step.answer);
    CHECK(outcome.isFinished == test.expectedFinished);
    CHECK(outcome.failure.has_value() != test.expectedFinished);
}
