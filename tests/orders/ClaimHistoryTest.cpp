#include "orders/ClaimSimulation.h"

#include <catch2/catch.hpp>
#include <tuple>

using namespace Catkinwell;

namespace {

std::string firstViolation(const ClaimSimulation& simulation)
{
    const auto& history = simulation.history();
    for (const auto& violation : { checkAtMostOneRun(history), checkNotRunIsTrue(history),
             checkRepeatsAreExact(history), checkEveryRequestIsDecided(history, simulation.now()) }) {
        if (!violation.empty())
            return violation;
    }
    return {};
}

} // namespace

// Guards against every way in which lost answers, late writes, outages, pauses, deaths and
// duplicated or late forwards could make a request run twice or lose its outcome.
TEST_CASE("keyed requests run at most once and repeats get the first outcome, under faults")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        ClaimSimulation simulation(seed, Breakage::None);
        simulation.run();
        runs += simulation.runs();
        const std::string violation = firstViolation(simulation);
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
    }
    // A history in which nothing runs would satisfy every checker.
    CHECK(runs > 1000 * 3);
}

// Guards against checkers that cannot fail.
TEST_CASE("each checker finds the broken variant that it guards against")
{
    using Checker = std::string (*)(const ClaimHistory&);
    auto [name, breakage, checker] = GENERATE(table<std::string, Breakage, Checker>({
        { "an unknown write taken as done", Breakage::UnknownWriteAsDone, checkAtMostOneRun },
        { "sending before the confirmation", Breakage::SendBeforeConfirmation, checkAtMostOneRun },
        { "sending before the confirmation", Breakage::SendBeforeConfirmation, checkNotRunIsTrue },
        { "an incarnation used twice", Breakage::SameIncarnation, checkAtMostOneRun },
        { "an unknown outcome recorded as not sent", Breakage::UnknownAsNotSent, checkAtMostOneRun },
        { "a store that loses writes", Breakage::LostWrites, checkRepeatsAreExact },
        { "no ticks", Breakage::NoTicks,
            [](const ClaimHistory& history) { return checkEveryRequestIsDecided(history, MonotonicTime::max()); } },
    }));
    std::string violation;
    for (std::uint64_t seed = 1; seed <= 40 && violation.empty(); ++seed) {
        ClaimSimulation simulation(seed, breakage);
        simulation.run();
        violation = checker(simulation.history());
    }
    INFO(name);
    CHECK_FALSE(violation.empty());
}
