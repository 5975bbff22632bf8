#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Catkinwell {

// An endpoint that may get a request, as one host knows it.
struct EndpointCandidate {
    EndpointId endpoint;
    // Requests that it runs concurrently. Precondition: greater than 0.
    double slots = 1;
    // Requests of the other hosts that run there, as they last reported, and the age of these reports.
    double reported = 0;
    Duration reportAge {};
    // Requests of this host that run there now.
    double own = 0;
    // Time since it last rejected a request of this host for want of room; absent if it did not.
    std::optional<Duration> rejectedAgo {};
    // Value of the parts of the prompt that it has processed, as a fraction of its capacity.
    double promptBonus = 0;
    bool isSameDataCentre = true;
    // Moving average of failures among this host's attempts, from 0 to 1.
    double failureShare = 0;
    // Whether it limits the rate of its requests.
    bool isLimited = false;
    // Its speed relative to the other endpoints, as this host's own attempts show it.
    double speed = 1;
};

enum class ChoiceRule {
    // The candidate with the lowest score. Best while the reports are fresh.
    LeastLoad,
    // A random candidate, so that the hosts together fill the candidates evenly. Best where the reports are old.
    Spread,
};

std::string_view nameOf(ChoiceRule);

// What the hosts that choose have in common.
struct ChoiceSituation {
    ChoiceRule rule = ChoiceRule::LeastLoad;
    // Estimate of the requests that all hosts together start at the candidates, per second. Only for
    // ChoiceRule::Spread.
    double startsPerSecond = 0;
};

// The reasons for or against one candidate. Costs and bonuses are fractions of its capacity.
struct CandidateScore {
    // Position in the list of candidates.
    std::size_t index = 0;
    double load = 0;
    double distanceCost = 0;
    double failureCost = 0;
    double limitCost = 0;
    // 0 for a candidate that is estimated to be full.
    double promptBonus = 0;
    // Lower is better. With ChoiceRule::LeastLoad the sum of the parts; with ChoiceRule::Spread the fraction of its
    // slots that is expected to be in use, less the bonus.
    double score = 0;
    bool isEstimatedFull = false;
    // Whether it is used only if there is no other.
    bool isLastResort = false;
    // Probability of the choice. With ChoiceRule::LeastLoad 1 for the chosen candidate.
    double probability = 0;
};

struct CandidateChoice {
    // Positions in the list of candidates; absent if the list is empty.
    std::optional<std::size_t> chosen;
    // One for each candidate, in their order.
    std::vector<CandidateScore> scores;
};

// Chooses an endpoint for a request. Where many hosts choose by old reports, the least loaded endpoint gets the
// requests of all of them until the next report. ChoiceRule::Spread therefore chooses at random, in proportion to speed
// and to the free places that an endpoint is expected to have, given how far loads move within the age of the reports.
// Has no state. Pure; thread safe for distinct random generators.
class EndpointChooser {
public:
    // Precondition: the slots and speeds of all candidates are greater than 0.
    CandidateChoice choose(std::span<const EndpointCandidate>, const ChoiceSituation&, RandomGenerator&) const;
    // Whether the endpoint rejected a request within the age of the reports.
    static bool hasJustRejected(const EndpointCandidate&);
    // Whether it did, or runs as many requests as it has slots by the reports.
    static bool isEstimatedFull(const EndpointCandidate&);
};

} // namespace Catkinwell
