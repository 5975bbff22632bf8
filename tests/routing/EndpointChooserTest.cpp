#include "../../experiments/ChoiceSimulation.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

ChoiceMethod methodOf(ChoiceRule rule)
{
    return [rule](const ChoiceView& view, RandomGenerator& random) {
        return *EndpointChooser().choose(view.candidates, { rule, view.startsPerSecond }, random).chosen;
    };
}

EndpointCandidate candidate(double running, double slots = 8)
{
    EndpointCandidate made;
    made.slots = slots;
    made.reported = running;
    made.reportAge = 400ms;
    return made;
}

// Share of 10,000 choices that each candidate gets.
std::vector<double> sharesOf(const std::vector<EndpointCandidate>& candidates, double startsPerSecond)
{
    RandomGenerator random(7);
    std::vector<double> shares(candidates.size());
    for (int i = 0; i < 10'000; ++i)
        shares[*EndpointChooser().choose(candidates, { ChoiceRule::Spread, startsPerSecond }, random).chosen] += 1e-4;
    return shares;
}

struct ReplayCase {
    const char* name;
    std::size_t hosts;
    double reportSeconds;
    bool isUneven;
    double load;
    // Bounds for ChoiceRule::Spread: rejected of 100 arrivals, and the busiest endpoint as a multiple of the mean load.
    double rejected;
    double busiest;
};

} // namespace

// Guards against many hosts that all send their requests to the endpoint that was least loaded in the last reports.
TEST_CASE("Hosts with old reports spread their requests over the endpoints")
{
    const auto test = GENERATE(values<ReplayCase>({
        { "25 hosts", 25, 0.3, false, 0.7, 1, 1.55 },
        { "65 hosts", 65, 0.78, false, 0.7, 2, 1.65 },
        { "65 hosts, endpoints of three speeds", 65, 0.78, true, 0.7, 2, 1.7 },
        { "300 hosts", 300, 2, false, 0.6, 3, 1.85 },
        { "300 hosts, endpoints of three speeds", 300, 2, true, 0.6, 3, 1.85 },
    }));
    ChoiceLoad load;
    load.hosts = test.hosts;
    load.reportSeconds = test.reportSeconds;
    load.isUneven = test.isUneven;
    load.load = test.load;
    load.swing = 0.1;
    load.seconds = 30;
    const ChoiceResult least = ChoiceSimulation(load, methodOf(ChoiceRule::LeastLoad)).run();
    const ChoiceResult spread = ChoiceSimulation(load, methodOf(ChoiceRule::Spread)).run();
    INFO(test.name << ": rejected " << least.rejectedArrivals << " -> " << spread.rejectedArrivals << ", busiest "
                   << least.busiest << " -> " << spread.busiest << ", beside idle " << least.waitedBesideIdle << " -> "
                   << spread.waitedBesideIdle);
    CHECK(spread.rejectedArrivals <= test.rejected);
    CHECK(spread.busiest <= test.busiest);
    CHECK(spread.rejectedArrivals < least.rejectedArrivals / 2);
    CHECK(spread.busiest < least.busiest);
    CHECK(spread.waitedBesideIdle < least.waitedBesideIdle * 0.6);
}

// Guards against a change of the choice in small fleets, whose reports are fresh.
TEST_CASE("With the least load rule, the candidate with the lowest score is chosen")
{
    std::vector<EndpointCandidate> candidates { candidate(3), candidate(2), candidate(5) };
    RandomGenerator random(1);
    const ChoiceSituation situation;
    CHECK(EndpointChooser().choose(candidates, situation, random).chosen == 1);
    candidates[0].promptBonus = 0.2;
    CHECK(EndpointChooser().choose(candidates, situation, random).chosen == 0);
    candidates[0].isLimited = true;
    CHECK(EndpointChooser().choose(candidates, situation, random).chosen == 1);
    candidates[1].isSameDataCentre = false;
    candidates[1].failureShare = 0.35;
    CHECK(EndpointChooser().choose(candidates, situation, random).chosen == 2);
    CHECK_FALSE(EndpointChooser().choose({}, situation, random).chosen);
}

// Guards against preferences that overfill an endpoint or keep requests from one that has room.
TEST_CASE("Spread choices follow room, speed and rejections, and affinity stays bounded")
{
    SECTION("in proportion to free places while reports are exact")
    {
        const auto shares = sharesOf({ candidate(0), candidate(4) }, 0);
        CHECK(shares[0] == Approx(2.0 / 3).margin(0.02));
    }
    SECTION("almost evenly when loads may have changed since")
    {
        const auto shares = sharesOf({ candidate(0), candidate(8) }, 200);
        CHECK(shares[1] > 0.3);
    }
    SECTION("an endpoint that just rejected a request gets none")
    {
        std::vector<EndpointCandidate> candidates { candidate(1), candidate(6) };
        candidates[0].rejectedAgo = 300ms;
        CHECK(sharesOf(candidates, 5)[0] == 0);
        candidates[0].rejectedAgo = 500ms;
        CHECK(sharesOf(candidates, 5)[0] > 0.5);
    }
    SECTION("if all just rejected one, the choice is as before")
    {
        std::vector<EndpointCandidate> candidates { candidate(1), candidate(6) };
        candidates[0].rejectedAgo = candidates[1].rejectedAgo = 10ms;
        CHECK(sharesOf(candidates, 5)[0] > 0.5);
    }
    SECTION("a faster endpoint gets more")
    {
        std::vector<EndpointCandidate> candidates { candidate(4), candidate(4) };
        candidates[0].speed = 1.6;
        CHECK(sharesOf(candidates, 5)[0] == Approx(1.6 / 2.6).margin(0.02));
    }
    SECTION("affinity counts only where there is room")
    {
        std::vector<EndpointCandidate> candidates { candidate(4), candidate(4) };
        candidates[0].promptBonus = 0.1;
        CHECK(sharesOf(candidates, 5)[0] > 0.7);
        candidates[0].reported = 8;
        CHECK(sharesOf(candidates, 5)[0] < 0.3);
    }
    SECTION("an unreliable endpoint is only probed")
    {
        std::vector<EndpointCandidate> candidates { candidate(0), candidate(6) };
        candidates[0].failureShare = 0.6;
        CHECK(sharesOf(candidates, 5)[0] < 0.03);
    }
}
