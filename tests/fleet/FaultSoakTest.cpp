#include "fleet/FaultSoak.h"
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Catkinwell::Testing;

namespace {

// Returns the value of an environment variable, which allows longer runs by hand.
std::uint64_t numberFrom(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Seeds that have found a fault, each with a comment on the cause.
const std::vector<std::uint64_t> regressionSeeds {
    // A check took a refusal that a broken link had swallowed for one that its host had seen.
    24,
};

std::vector<std::uint64_t> seeds()
{
    const std::uint64_t first = numberFrom("CATKINWELL_SOAK_FIRST", 1);
    const std::uint64_t count = numberFrom("CATKINWELL_SOAK_COUNT", 2);
    std::vector<std::uint64_t> list = regressionSeeds;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        list.push_back(seed);
    return list;
}

} // namespace

// Guards against faults in the interaction of processes. CATKINWELL_SOAK_FIRST and CATKINWELL_SOAK_COUNT choose the
// seeds, CATKINWELL_SOAK_SECONDS the length of each run.
TEST_CASE("The promises hold under random faults")
{
    const std::uint64_t seed = GENERATE(from_range(seeds()));
    const std::chrono::seconds duration(numberFrom("CATKINWELL_SOAK_SECONDS", 12));
    const SoakReport report = FaultSoak(seed).run(duration);
    std::string faults;
    for (const std::string& fault : report.faults)
        faults += fault + "\n";
    INFO("seed " << seed << ", " << report.requests << " requests, " << report.served << " served\n" << faults);
    CHECK(report.broken == std::vector<std::string> {});
    CHECK(report.served > 0);
}
