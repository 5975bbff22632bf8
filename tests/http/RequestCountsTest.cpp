#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <catkinwell/metrics/RequestMetrics.h>
#include <optional>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using Catch::Matchers::Contains;

namespace {

// More than the sockets of both sides buffer.
constexpr std::size_t largeBody = 32 * 1024 * 1024;

// A listener that answers /whole and /large, breaks off the answer to /broken, and never answers anything else.
class CountingFixture {
public:
    CountingFixture()
        : listener(loop, settings(), 0)
    {
        REQUIRE_FALSE(isError(listener.start()));
        listener.signalRequest().connect([this](const RequestArrived& request) { answer(request); });
        listener.signalAnswerCut().connect([this](const AnswerCut& cut) { cuts.push_back(cut); });
    }

    void runBriefly(Duration duration = std::chrono::milliseconds(50))
    {
        loop.callLater(duration, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    CallerListener listener;
    std::vector<AnswerCut> cuts;

private:
    static ListenerSettings settings()
    {
        ListenerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.forwardsUnchanged = true;
        settings.requestIdHeader = "Request-Id";
        settings.idleTimeout = std::chrono::milliseconds(300);
        return settings;
    }

    void answer(const RequestArrived& request)
    {
        if (request.target == "/whole")
            listener.execute(SendWholeResponse { request.id, 200, {}, "whole" });
        if (request.target == "/large")
            listener.execute(SendWholeResponse { request.id, 200, {}, std::string(largeBody, 'x') });
        if (request.target == "/broken") {
            listener.execute(SendResponseHead { request.id, 200, {} });
            listener.execute(AbortResponse { request.id });
        }
    }
};

std::string requestTo(const std::string& path, const std::string& id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n";
}

enum class Leaving {
    Never,
    BeforeItIsRead,
    AfterItWasRead,
};

struct EndCase {
    const char* what;
    std::string sent;
    Leaving leaving;
    // Whether the idle timeout passes, and whether the process ends afterwards.
    bool waits;
    bool endsProcess;
    std::uint64_t read;
    std::uint64_t rejected;
    // How the last request ended; nullopt if it is open.
    std::optional<AnswerEnd> end;
    // Whether it was delivered and answered, if its answer was cut off.
    bool wasDelivered;
    bool wasAnswered;
};

} // namespace

// Guards against a request that was read whole and ends without being counted, or is counted twice.
TEST_CASE("Each request that was read whole is counted with one end")
{
    const auto test = GENERATE(values<EndCase>({
        { "answered", requestTo("/whole", "r"), Leaving::Never, false, false, 1, 0, AnswerEnd::Written, true, true },
        { "two pipelined ones answered", requestTo("/whole", "q") + requestTo("/whole", "r"), Leaving::Never, false,
            false, 2, 0, AnswerEnd::Written, true, true },
        { "answered, and the connection idle", requestTo("/whole", "r"), Leaving::Never, true, true, 1, 0,
            AnswerEnd::Written, true, true },
        { "answered, and the caller leaves", requestTo("/whole", "r"), Leaving::AfterItWasRead, false, true, 1, 0,
            AnswerEnd::Written, true, true },
        { "not answered yet", requestTo("/never", "r"), Leaving::Never, false, false, 1, 0, std::nullopt, true, false },
        { "not answered for longer than the idle timeout", requestTo("/never", "r"), Leaving::Never, true, false, 1, 0,
            std::nullopt, true, false },
        { "broken off", requestTo("/broken", "r"), Leaving::Never, false, false, 1, 0, AnswerEnd::Aborted, true,
            false },
        { "the caller leaves before the request is read", requestTo("/whole", "r"), Leaving::BeforeItIsRead, false,
            false, 1, 0, AnswerEnd::CallerLeft, false, false },
        { "the caller leaves before the answer", requestTo("/never", "r"), Leaving::AfterItWasRead, false, true, 1, 0,
            AnswerEnd::CallerLeft, true, false },
        { "the caller does not take the answer", requestTo("/large", "r"), Leaving::Never, true, true, 1, 0,
            AnswerEnd::Idle, true, true },
        { "the process ends before the answer", requestTo("/never", "r"), Leaving::Never, false, true, 1, 0,
            AnswerEnd::ProcessEnd, true, false },
        { "the process ends before the answer is written", requestTo("/large", "r"), Leaving::Never, false, true, 1, 0,
            AnswerEnd::ProcessEnd, true, true },
        { "rejected while it is read", "GET /whole HTTP/9\r\n\r\n", Leaving::Never, false, true, 0, 1, std::nullopt,
            false, false },
        { "half a request", "GET /whole HTTP/1.1\r\nHo", Leaving::AfterItWasRead, false, true, 0, 0, std::nullopt,
            false, false },
    }));
    INFO(test.what);
    CountingFixture fixture;
    BlockingCaller caller(fixture.listener.port());
    caller.send(test.sent);
    if (test.leaving == Leaving::BeforeItIsRead)
        caller.leave();
    fixture.runBriefly();
    if (test.leaving == Leaving::AfterItWasRead)
        caller.leave();
    fixture.runBriefly(std::chrono::milliseconds(test.waits ? 600 : 50));
    if (test.endsProcess)
        fixture.listener.endAtProcessEnd();

    const RequestCounts& counts = fixture.listener.counts();
    CHECK(counts.read == test.read);
    CHECK(counts.rejected == test.rejected);
    CHECK(counts.open() == (test.read > 0 && !test.end ? 1 : 0));
    const bool isCut = test.end && *test.end != AnswerEnd::Written;
    REQUIRE(fixture.cuts.size() == (isCut ? 1 : 0));
    if (test.end)
        CHECK(counts.endedBy(*test.end) == test.read);
    if (!isCut)
        return;
    CHECK(fixture.cuts[0].callerRequestId == "r");
    CHECK(fixture.cuts[0].end == *test.end);
    CHECK(fixture.cuts[0].wasDelivered == test.wasDelivered);
    CHECK(fixture.cuts[0].wasAnswered == test.wasAnswered);
}

// Guards against metrics that count a request again at each question.
TEST_CASE("Metrics show the counts of a listener")
{
    RequestCounts first;
    first.read = 3;
    first.endedBy(AnswerEnd::Written) = 2;
    RequestCounts second = first;
    second.read = 5;
    second.endedBy(AnswerEnd::CallerLeft) = 1;
    second.rejected = 4;
    MetricsRegistry registry;
    for (const RecordMetric& metric : metricsOf({}, first))
        registry.record(metric);
    for (const RecordMetric& metric : metricsOf(first, second))
        registry.record(metric);
    const std::string text = registry.renderText();
    CHECK_THAT(text, Contains("catkinwell_requests_read_total{listener=\"callers\"} 5\n"));
    CHECK_THAT(text, Contains("catkinwell_answers_ended_total{end=\"written\"} 2\n"));
    CHECK_THAT(text, Contains("catkinwell_answers_ended_total{end=\"caller_left\"} 1\n"));
    CHECK_THAT(text, Contains("catkinwell_requests_rejected_total{listener=\"callers\"} 4\n"));
    CHECK_THAT(text, Contains("catkinwell_requests_open{listener=\"callers\"} 2\n"));
}
