#include "endpoint/EffectRunner.h"
#include <catkinwell/endpoint/EngineClient.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct InvalidCase {
    const char* name;
    std::string answer;
    // What of the body came before the fault.
    const char* expectedData = "";
};

std::vector<InvalidCase> invalidAnswers()
{
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n{}" },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\n{}" },
        { "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}" },
        { "a broken interim answer",
            "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n{}" },
        { "a chunk that is longer than its size", chunkedHead + "2\r\n{}XX0\r\n\r\n", "{}" },
        { "blank in the name of a trailer", chunkedHead + "2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n", "{}" },
    };
}

} // namespace

// Guards against a broken answer of an endpoint, or of a host that relays one, that is passed on.
TEST_CASE("An attempt with an invalid answer fails, and nothing of its head is told")
{
    const auto test = GENERATE(from_range(invalidAnswers()));
    INFO(test.name);
    EffectRunner runner(test.answer);
    EngineClient client(runner.loop, runner.http, runner.clock);
    std::string data;
    std::size_t heads = 0;
    client.signalHead().connect([&](const AttemptHead&) { ++heads; });
    client.signalData().connect([&](const AttemptData& part) { data += part.data; });
    StartAttempt attempt;
    attempt.id = AttemptId(1);
    attempt.address = runner.address();
    attempt.method = "POST";
    attempt.target = "/v1/completions";
    const AttemptFailed failed = runner.wait(client.signalFailed(), client, attempt);
    CHECK(nameOf(failed.failure) == nameOf(AttemptFailure::Garbage));
    CHECK(nameOf(failed.outcome) == nameOf(AttemptOutcome::Unknown));
    CHECK(data == test.expectedData);
    CHECK(heads == (data.empty() ? 0 : 1));
}

// Guards against a report that is not the engine's.
TEST_CASE("A report in an invalid answer is not read")
{
    const auto test = GENERATE(from_range(invalidAnswers()));
    INFO(test.name);
    EffectRunner runner(test.answer);
    EngineClient client(runner.loop, runner.http, runner.clock);
    const EndpointReportFailed failed
        = runner.wait(client.signalReportFailed(), client, FetchEndpointReport { EndpointId("e"), runner.address() });
    CHECK(failed.reason.find("invalid HTTP response") != std::string::npos);
}
