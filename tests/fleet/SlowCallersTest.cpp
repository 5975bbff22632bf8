#include "fleet/SlowCallers.h"
#include "fleet/FaultChecks.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t callers = 6;
constexpr std::size_t fewestRequests = 100;
constexpr auto timeUnderLoad = 1500ms;
constexpr auto grace = 9s;

struct EndCase {
    const char* what;
    int signalNumber;
    int exitCode;
    bool losesRequests;
    std::optional<SlowHabits> habits {};
};

// Most answers wait in the socket of the host, and the caller sends on without having seen that the host ends the
// connection.
const SlowHabits farBehind { 72, 60, 1024, true };

} // namespace

// Guards against a planned stop that cuts the answers which callers on slow links have not read yet, though their
// requests have run, and against callers that do not notice it.
TEST_CASE("Callers on slow links get the answers to all that a stopped host has passed on")
{
    const auto test = GENERATE(values<EndCase>({
        { "a planned stop", SIGTERM, 0, false },
        { "a planned stop, with callers who are far behind", SIGTERM, 0, false, farBehind },
        { "a killed host", SIGKILL, -1, true },
    }));
    INFO(test.what);
    GatewayFleet fleet({ 2, 2, 4 });
    SlowCallers slow(fleet, callers, 1, CallerLoad::usualPatience, test.habits);
    std::this_thread::sleep_for(timeUnderLoad);
    const std::vector<PlannedStop> stops { { 0, SystemClock().monotonicNow() } };
    fleet.process(0).signal(test.signalNumber);
    CHECK(fleet.process(0).waitForExit(grace) == test.exitCode);
    const auto requests = slow.stop();
    CHECK(requests.size() > fewestRequests);
    const auto lost = findLostRequests(requests, fleet.records(), stops, {}, {});
    CAPTURE(lost);
    CHECK(lost.empty() != test.losesRequests);
}
