#include "fleet/CallerLoad.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hosts = 12;
// What a host needs to end after its last request, at most.
constexpr auto longestEnd = 1s;
// Idle hosts refuse new requests, and are drained, after this time.
constexpr auto longestAccepting = 3s;

} // namespace

// Guards against stopped processes that stay, with their callers' connections open and nobody reading, because the
// transport between hosts does not close.
TEST_CASE("Stopped hosts with connections to many others end as soon as they are drained")
{
    GatewayFleet fleet({ hosts, 1, 0 });
    fleet.waitUntilConnected();
    for (std::size_t i = 0; i < hosts; ++i)
        fleet.process(i).signal(SIGTERM);
    const auto latestEnd = std::chrono::steady_clock::now() + longestAccepting + longestEnd;
    std::string late;
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(latestEnd - std::chrono::steady_clock::now());
        if (fleet.process(i).waitForExit(std::max(left, 0ms)) != 0)
            late += " " + std::to_string(i) + ": " + fleet.process(i).output();
    }
    CHECK(late == "");
}
