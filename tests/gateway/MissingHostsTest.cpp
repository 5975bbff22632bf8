#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

int missingAt(SimulatedFleet& fleet, std::size_t host) { return fleet.status(host).value("missing_hosts", -1); }

} // namespace

// Guards against a host that starts while another one serves behind a cut, does not know of it and spends its part of
// each rate.
TEST_CASE("A host that starts during a cut learns from its peers which host is behind it")
{
    const std::size_t restarted = GENERATE(0U, 1U);
    const std::size_t witness = 1 - restarted;
    SimulatedFleet fleet(3);
    fleet.run(5s);
    CHECK(missingAt(fleet, restarted) == 0);
    fleet.setIsolated(2, true);
    fleet.run(8s);
    CHECK(missingAt(fleet, restarted) == 1);
    fleet.kill(restarted);
    fleet.run(8s);
    CHECK(missingAt(fleet, witness) == 2);
    fleet.start(restarted);
    fleet.run(5s);
    CHECK(missingAt(fleet, restarted) == 1);
    CHECK(missingAt(fleet, witness) == 1);
    fleet.setIsolated(2, false);
    fleet.run(8s);
    for (std::size_t host = 0; host < 3; ++host)
        CHECK(missingAt(fleet, host) == 0);
}
