#include "platform/EngineControl.h"
#include "endpoint/EffectRunner.h"

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct InvalidCase {
    const char* name;
    std::string answer;
};

std::vector<InvalidCase> invalidAnswers()
{
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n{}" },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\n{}" },
        { "blank in a name, accepted", "HTTP/1.1 202 Accepted\r\nX Odd: 1\r\n" + length + "\r\n{}" },
        { "blank in a name, refused", "HTTP/1.1 412 Fenced\r\nX Odd: 1\r\n" + length + "\r\n{}" },
        { "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}" },
        { "a chunk that is longer than its size", chunkedHead + "2\r\n{}XX0\r\n\r\n" },
        { "blank in the name of a trailer", chunkedHead + "2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n" },
    };
}

} // namespace

// Guards against a broken answer of an engine that settles an order or states what the engine holds.
TEST_CASE("Nothing is learned from an invalid answer of an engine")
{
    const auto test = GENERATE(from_range(invalidAnswers()));
    INFO(test.name);
    EffectRunner runner(test.answer);
    EngineControl control(runner.http, runner.clock);
    const EngineStatusFailed status
        = runner.wait(control.signalStatusFailed(), control, FetchEngineStatus { EndpointId("e"), runner.address() });
    CHECK(status.failure == AttemptFailure::Garbage);
    FetchRuns fetch { EndpointId("e"), runner.address(), runner.clock.monotonicNow(), std::chrono::seconds(2) };
    CHECK(runner.wait(control.signalRunsFailed(), control, fetch).failure == AttemptFailure::Garbage);
    EngineOrder order;
    order.endpoint = EndpointId("e");
    order.address = runner.address();
    order.validUntil = runner.clock.monotonicNow() + std::chrono::seconds(5);
    const EngineOrderFinished finished = runner.wait(control.signalOrderFinished(), control, order);
    CHECK((finished.outcome == EngineOrderOutcome::Unknown));
}
