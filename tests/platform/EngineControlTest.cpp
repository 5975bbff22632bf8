#include "platform/EngineControl.h"
#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <optional>

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

// The control of engines and an engine with one answer, on one loop.
class EngineControlFixture {
public:
    explicit EngineControlFixture(const std::string& answer)
        : m_server(m_loop, { { answer } })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    MonotonicTime now() const { return m_clock.monotonicNow(); }

    // Runs the loop until the signal is emitted, and returns what it told.
    template <typename Event, typename Effect> Event wait(sigc::signal<void(Event)>& signal, const Effect& effect)
    {
        std::optional<Event> received;
        signal.connect([&](const Event& event) {
            received = event;
            m_loop.stop();
        });
        control.execute(effect);
        m_loop.callLater(std::chrono::seconds(5), [this] { m_loop.stop(); });
        m_loop.run();
        REQUIRE(received);
        return *received;
    }

private:
    EventLoop m_loop;
    SystemClock m_clock;
    HttpClient m_http { m_loop };
    ScriptedServer m_server;

public:
    EngineControl control { m_http, m_clock };
};

} // namespace

// Guards against a broken answer of an engine that settles an order or states what the engine holds.
TEST_CASE("Nothing is learned from an invalid answer of an engine")
{
    const auto test = GENERATE(from_range(invalidAnswers()));
    INFO(test.name);
    EngineControlFixture fixture(test.answer);
    EngineControl& control = fixture.control;
    const EngineStatusFailed status
        = fixture.wait(control.signalStatusFailed(), FetchEngineStatus { EndpointId("e"), fixture.address() });
    CHECK(status.failure == AttemptFailure::Garbage);
    FetchRuns fetch { EndpointId("e"), fixture.address(), fixture.now(), std::chrono::seconds(2) };
    CHECK(fixture.wait(control.signalRunsFailed(), fetch).failure == AttemptFailure::Garbage);
    EngineOrder order;
    order.endpoint = EndpointId("e");
    order.address = fixture.address();
    order.validUntil = fixture.now() + std::chrono::seconds(5);
    const EngineOrderFinished finished = fixture.wait(control.signalOrderFinished(), order);
    CHECK((finished.outcome == EngineOrderOutcome::Unknown));
}
