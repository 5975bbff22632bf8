#include "fleet/GatewayFleet.h"
#include "http/UnfinishedCallers.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// A quarter of it is for requests; the group sends 70 to 240 MB. Requests that become complete take up to three times
// their size while they are forwarded, and the process itself 17 MB.
constexpr unsigned memoryMb = 80;
constexpr std::size_t freeDescriptors = 16;
constexpr auto longestSending = 60s;
constexpr auto longestAnswer = 5s;
constexpr auto longestLeaving = 10s;
constexpr std::size_t wholeBody = 3'900'000;

} // namespace

// Guards against callers who make a gateway end for its memory, or keep its memory and descriptors, with requests that
// they do not finish.
TEST_CASE("Unfinished requests leave a gateway within its memory and answering")
{
    const auto load = GENERATE(values<UnfinishedLoad>({
        { "large chunks", BodyShape::LargeChunks, wholeBody },
        { "one-byte chunks", BodyShape::OneByteChunks, 1'200'000 },
        { "declared length", BodyShape::DeclaredLength, wholeBody },
        { "declared far over the limit", BodyShape::DeclaredTooLong, 40'000'000 },
        { "sent far over the limit", BodyShape::SentTooLong, 40'000'000 },
        { "ten reconnections", BodyShape::LargeChunks, wholeBody, 40, 10 },
        { "half of the callers finish", BodyShape::DeclaredLength, wholeBody, 60, 1, true },
    }));
    GatewayFleet fleet({ 1, 1, 0 });
    fleet.process(0).signal(SIGKILL);
    fleet.writeSettings(0, { { "memory_mb", memoryMb } });
    fleet.start(0);
    fleet.waitUntilReady();
    HttpCall call { fleet.callerPort(0), "POST", "/read/1",
        { { "Host", "test.example" }, { "Authorization", "Bearer key-a" } }, "body", longestAnswer };
    REQUIRE(eventually([&] { return send(call).status == 200; }, longestAnswer));
    const std::size_t descriptorsBefore = fleet.process(0).openDescriptors();
    UnfinishedCallers callers(load, { fleet.callerPort(0) },
        "POST /read/2 HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key-a\r\n");
    std::size_t descriptors = 0;
    for (std::size_t round = 0; round < load.rounds; ++round) {
        callers.disconnect();
        callers.send(longestSending);
        descriptors = std::max(descriptors, fleet.process(0).openDescriptors());
    }
    if (load.finishesHalf)
        callers.finishHalf(longestAnswer);
    const int status = send(call).status;
    const std::size_t peakMb = fleet.process(0).settledPeakMemoryMb();
    callers.disconnect();
    const bool areClosed = eventually(
        [&] { return fleet.process(0).openDescriptors() <= descriptorsBefore + freeDescriptors; }, longestLeaving);
    std::cout << "gateway, " << load.what << ": " << peakMb << " MB at most, " << descriptors << " descriptors, status "
              << status << ", " << fleet.process(0).state() << '\n';
    INFO(load.what);
    CHECK(fleet.process(0).isRunning());
    CHECK(peakMb <= memoryMb);
    CHECK(descriptors <= descriptorsBefore + load.connections + freeDescriptors);
    CHECK(areClosed);
    CHECK(status == 200);
}
