#include "fleet/PipelinedConnection.h"
#include "fleet/FaultChecks.h"
#include "fleet/KeptConnection.h"
#include "http/RawSockets.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int receiveBuffer = 2048;
constexpr std::size_t bytesAtATime = 7;
constexpr std::size_t requests = 3;

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext";
const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ntext";

struct PipelineCase {
    const char* what;
    // What the server sends before it closes the connection.
    std::string answers;
    std::size_t answered;
    // The requests that findLostRequests() and findUnansweredRequests() report.
    std::size_t lost;
    std::size_t unanswered;
};

// Requests that were all passed on to an endpoint.
EndpointHistory arrivalsOf(const std::vector<CallerRequest>& list)
{
    EndpointHistory records;
    for (const CallerRequest& request : list)
        records.arrivals.push_back({ "o-0", request.id, request.sentAt });
    return records;
}

CallerRequest requestTo(std::size_t number)
{
    CallerRequest request;
    request.id = "s" + std::to_string(number);
    request.path = "/read/";
    request.account = "a";
    request.sentAt = SystemClock().monotonicNow();
    return request;
}

// Reads slowly until the server has closed the connection, and returns the requests that have ended.
std::vector<CallerRequest> readSlowly(PipelinedConnection& connection)
{
    std::vector<CallerRequest> ended;
    const auto latest = std::chrono::steady_clock::now() + 5s;
    while (connection.isOpen() && std::chrono::steady_clock::now() < latest) {
        connection.read(bytesAtATime);
        for (CallerRequest& request : connection.takeEnded())
            ended.push_back(std::move(request));
        std::this_thread::sleep_for(1ms);
    }
    return ended;
}

} // namespace

// Guards against callers on slow links that take a cut answer for a whole one, or blame a host for what it need not
// have read.
TEST_CASE("A caller that reads slowly knows which of its requests were lost")
{
    const auto test = GENERATE(values<PipelineCase>({
        { "all answered", whole + whole + last, 3, 0, 0 },
        { "closed without a word after two", whole + whole, 2, 1, 1 },
        { "the first one is cut", whole.substr(0, whole.size() - 1), 0, 3, 0 },
        { "an end is announced after one", last, 1, 2, 0 },
        { "no answer", "", 0, 3, 1 },
        { "no HTTP", "text\r\n\r\n", 0, 3, 1 },
    }));
    INFO(test.what);
    EventLoop loop;
    ScriptedServer server(loop, { { test.answers, {}, {}, true } });
    // The server accepts the connection once its loop runs, when all requests have arrived.
    PipelinedConnection connection(server.port(), receiveBuffer);
    for (std::size_t i = 0; i < requests; ++i)
        connection.write(requestTo(i), callOf(requestTo(i), server.port(), "m1", 1s));
    std::vector<CallerRequest> ended;
    std::thread caller([&] { ended = readSlowly(connection); });
    loop.callLater(800ms, [&loop] { loop.stop(); });
    loop.run();
    caller.join();
    REQUIRE(ended.size() == requests);
    const auto answered = std::count_if(
        ended.begin(), ended.end(), [](const CallerRequest& request) { return request.answer.complete; });
    CHECK(static_cast<std::size_t>(answered) == test.answered);
    CHECK(findLostRequests(ended, arrivalsOf(ended), {}, {}, {}).size() == test.lost);
    CHECK(findUnansweredRequests(ended, 1s, {}).size() == test.unanswered);
}

// Guards against callers that follow an announcement they should ignore, so that the end of a process is never tried.
TEST_CASE("A caller that stays uses its connection after the end was announced")
{
    EventLoop loop;
    ScriptedServer server(loop, { { last }, { whole } });
    std::vector<bool> wasAnnounced;
    std::thread caller([&] {
        KeptConnection connection(server.port(), CloseAnnouncement::Ignored);
        while (connection.isOpen() && wasAnnounced.size() < requests) {
            wasAnnounced.push_back(connection.isCloseAnnounced());
            connection.exchange(callOf(requestTo(0), server.port(), "m1", 1s));
        }
    });
    loop.callLater(500ms, [&loop] { loop.stop(); });
    loop.run();
    caller.join();
    CHECK(wasAnnounced == std::vector<bool> { false, true, true });
}
