#include "orders/ClaimSimulation.h"

#include <catch2/catch.hpp>
#include <tuple>

using namespace Catkinwell;

namespace {

std::string firstViolation(const ClaimSimulation& simulation)
{
    const auto& history = simulation.history();
    for (const auto& violation : { checkAtMostOneRun(history), checkOnlyRunIsSent(history),
             checkRepeatsReturnFirstOutcome(history), checkEveryRequestIsDecided(history, simulation.now()) }) {
        if (!violation.empty())
            return violation;
    }
    return {};
}

} // namespace

// Lost replies, late writes, outages, host pauses and crashes, and duplicated or late forwarded claims
// must neither run a request twice nor lose its outcome.
TEST_CASE("keyed requests run at most once and repeats get the first outcome, under faults")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        ClaimSimulation simulation(seed, Defect::None);
        simulation.run();
        runs += simulation.runs();
        const std::string violation = firstViolation(simulation);
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
    }
    // A simulation in which nothing runs would satisfy every checker.
    CHECK(runs > 1000 * 3);
}

// Verifies that each checker can fail.
TEST_CASE("each checker detects the defects that it is meant to find")
{
    using Checker = std::string (*)(const ClaimHistory&);
    auto [name, defect, checker] = GENERATE(table<std::string, Defect, Checker>({
        { "an unknown write reported as done", Defect::UnknownWriteAsDone, checkAtMostOneRun },
        { "sending before the confirmation", Defect::SendBeforeConfirmation, checkAtMostOneRun },
        { "sending before the confirmation", Defect::SendBeforeConfirmation, checkOnlyRunIsSent },
        { "a reused incarnation", Defect::SameIncarnation, checkAtMostOneRun },
        { "an unknown outcome recorded as not sent", Defect::UnknownAsNotSent, checkAtMostOneRun },
        { "a store that loses writes", Defect::LostWrites, checkRepeatsReturnFirstOutcome },
        { "no ticks", Defect::NoTicks,
            [](const ClaimHistory& history) { return checkEveryRequestIsDecided(history, MonotonicTime::max()); } },
    }));
    std::string violation;
    for (std::uint64_t seed = 1; seed <= 40 && violation.empty(); ++seed) {
        ClaimSimulation simulation(seed, defect);
        simulation.run();
        violation = checker(simulation.history());
    }
    INFO(name);
    CHECK_FALSE(violation.empty());
}
