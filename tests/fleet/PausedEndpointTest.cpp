#include "fleet/GatewayFleet.h"
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// Shorter than the gap of two seconds after which the first callers abandon a stream.
constexpr Duration pauseTime = 1500ms;
constexpr std::size_t preemptedRuns = 2;
// How long an endpoint may still work on a request that goes on at another one.
constexpr Duration toleratedOverlap = 400ms;
constexpr auto graceTime = 8s;
constexpr auto streamInterval = 30ms;
constexpr unsigned eventsPerStream = 40;
constexpr Duration eventInterval = 50ms;
// Two of the three engines hold m1; the first endpoint is a plain one.
constexpr std::array<std::size_t, 2> enginesOfModel { 1, 3 };

std::string idOf(std::size_t number) { return "stream-" + std::to_string(number); }

HttpCall streamCall(const GatewayFleet& fleet, const std::string& id)
{
    return { fleet.callerPort(0), "POST", "/note/" + id,
        { { "Host", "test.example" }, { "Catkinwell-Request-Id", id }, { "Catkinwell-Deadline-Ms", "20000" },
            { "Authorization", "Bearer key-a" }, { "Catkinwell-Model", "m1" } },
        "body", 20s };
}

std::string wholeStreamOf(const std::string& id)
{
    std::string events;
    for (unsigned event = 1; event <= eventsPerStream; ++event)
        events += "id: " + std::to_string(event) + "\ndata: " + id + " v1\n\n";
    return events;
}

// One gateway, and two engines that hold the model of all streams.
class StreamsFixture {
public:
    StreamsFixture()
        : fleet({ 1, 1, 3 })
    {
        const nlohmann::json route { { "name", "note" }, { "host", "test.example" }, { "prefix", "/note/" },
            { "route_type", "streaming" }, { "service", "notes" }, { "timeout_ms", 20000 },
            { "target_latency_ms", 4000 }, { "priority", 2 }, { "max_attempts", 2 }, { "resumable", true } };
        fleet.configure(2, { { "routes", { route } } });
        fleet.onLoop([this] {
            for (const std::size_t engine : enginesOfModel)
                fleet.endpoint(engine).setStream(eventsPerStream, eventInterval);
        });
        REQUIRE(eventually([this] { return fleet.status(0).value("configuration", 0) == 2; }, 5s));
    }

    void begin(std::size_t streams)
    {
        for (std::size_t i = 0; i < streams; ++i) {
            m_streams.push_back(
                std::async(std::launch::async, [call = streamCall(fleet, idOf(i))] { return send(call); }));
            std::this_thread::sleep_for(streamInterval);
        }
    }

    // Waits for the streams. Returns those that were not delivered whole.
    std::vector<std::string> broken()
    {
        std::vector<std::string> broken;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            const HttpAnswer answer = m_streams[i].get();
            if (answer.status != 200 || !answer.complete || answer.body != wholeStreamOf(idOf(i)))
                broken.push_back(idOf(i) + ": status " + std::to_string(answer.status)
                    + (answer.complete ? ", complete, " : ", cut, ") + answer.body);
        }
        return broken;
    }

    std::size_t runsOf(std::size_t engine)
    {
        const std::string id = fleet.endpoint(engine).id();
        const std::vector<Execution> runs = fleet.records().executions;
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [&id](const Execution& run) { return run.endpoint == id; }));
    }

    // The requests that ran at an endpoint while the one before still worked on them.
    std::vector<std::string> overlaps()
    {
        std::vector<std::string> overlaps;
        const std::vector<Execution> runs = fleet.records().executions;
        for (const Execution& before : runs) {
            for (const Execution& after : runs) {
                const bool isNext
                    = after.request == before.request && after.endpoint != before.endpoint && after.at > before.at;
                if (isNext && (!before.endedAt || *before.endedAt > after.at + toleratedOverlap))
                    overlaps.push_back(before.request + " at " + before.endpoint + " and " + after.endpoint);
            }
        }
        return overlaps;
    }

    GatewayFleet fleet;

private:
    std::vector<std::future<HttpAnswer>> m_streams;
};

} // namespace

// Guards against a planned stop that takes a preempted stream from its endpoint and cuts it, because no other endpoint
// has room.
TEST_CASE("Streams that full endpoints preempt come whole through a planned stop")
{
    constexpr unsigned slots = 3;
    constexpr unsigned queueLength = 2;
    constexpr std::size_t streams = (slots + queueLength) * enginesOfModel.size();
    StreamsFixture fixture;
    fixture.fleet.onLoop([&fixture] {
        for (const std::size_t engine : enginesOfModel) {
            fixture.fleet.endpoint(engine).setCapacity(slots, 10ms);
            fixture.fleet.endpoint(engine).setQueue(queueLength);
        }
    });
    fixture.begin(streams);
    std::this_thread::sleep_for(100ms);
    fixture.fleet.process(0).signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    REQUIRE(fixture.fleet.records().executions.size() == slots * enginesOfModel.size());
    fixture.fleet.onLoop([&fixture] {
        for (const std::size_t engine : enginesOfModel)
            fixture.fleet.endpoint(engine).preemptNewest(preemptedRuns, pauseTime);
    });
    CHECK(fixture.fleet.process(0).waitForExit(graceTime) == 0);
    CHECK(fixture.broken() == std::vector<std::string> {});
}

// Guards against a stream that goes on at a second endpoint while the first one, which was silent for a while, still
// works on it.
TEST_CASE("A stream that its endpoint preempts runs at one endpoint only")
{
    constexpr std::size_t streams = 6;
    StreamsFixture fixture;
    fixture.fleet.onLoop([&fixture] {
        for (const std::size_t engine : enginesOfModel)
            fixture.fleet.endpoint(engine).setWorkingOn(true);
    });
    fixture.begin(streams);
    std::this_thread::sleep_for(200ms);
    REQUIRE(fixture.runsOf(enginesOfModel[0]) >= preemptedRuns);
    fixture.fleet.onLoop(
        [&fixture] { fixture.fleet.endpoint(enginesOfModel[0]).preemptNewest(preemptedRuns, pauseTime); });
    CHECK(fixture.broken() == std::vector<std::string> {});
    std::this_thread::sleep_for(pauseTime);
    CHECK(fixture.overlaps() == std::vector<std::string> {});
    CHECK(fixture.fleet.records().executions.size() == streams);
}
