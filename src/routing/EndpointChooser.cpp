#include <catkinwell/routing/EndpointChooser.h>

#include <algorithm>
#include <catkinwell/core/EnumNames.h>
#include <cmath>
#include <numbers>

namespace Catkinwell {

namespace {

    // An endpoint with a larger failure share is used only if there is no other, and occasionally to probe it.
    constexpr double tolerableFailureShare = 0.35;
    constexpr double unreliableProbeShare = 0.02;
    // Costs, as fractions of an endpoint's capacity.
    constexpr double failureCost = 1.0;
    constexpr double otherDataCentreCost = 0.03;
    // An endpoint that limits its requests is in need; others are preferred.
    constexpr double limitedCost = 0.5;
    // Breaks ties at random, so that the hosts do not all choose the same endpoint.
    constexpr double tieBreaker = 0.001;
    // Until the next reports an endpoint that rejected a request counts as full.
    constexpr Duration shortestFullTime = std::chrono::milliseconds(100);

    // Half a place: reports that are new still miss requests under way.
    constexpr double smallestVariance = 0.25;
    // Keeps a choice possible where all candidates are far beyond their slots.
    constexpr double smallestRoom = 1e-6;
    // A bonus of 0.1 gives seven times the probability, which saved the processing of one prompt part in ten in the
    // comparison (experiments/EndpointChoice) without more rejections; with three times it saved one in thirty.
    constexpr double promptWeight = 60;

    constexpr EnumNames<ChoiceRule, 2> ruleNames { {
        { ChoiceRule::LeastLoad, "least_load" },
        { ChoiceRule::Spread, "spread" },
    } };

    CandidateScore scoreOf(const EndpointCandidate& candidate, std::size_t index)
    {
        CandidateScore score;
        score.index = index;
        score.load = (candidate.reported + candidate.own + 1.0) / candidate.slots;
        score.distanceCost = candidate.isSameDataCentre ? 0 : otherDataCentreCost;
        score.failureCost = candidate.failureShare * failureCost;
        score.limitCost = candidate.isLimited ? limitedCost : 0;
        score.isEstimatedFull = EndpointChooser::isEstimatedFull(candidate);
        return score;
    }

    void sumUp(CandidateScore& score)
    {
        score.score = score.load + score.distanceCost + score.failureCost + score.limitCost - score.promptBonus;
    }

    std::optional<std::size_t> leastOf(const std::vector<CandidateScore>& scores, bool isLastResort)
    {
        std::optional<std::size_t> least;
        for (const CandidateScore& score : scores) {
            if (score.isLastResort == isLastResort && (!least || score.score < scores[*least].score))
                least = score.index;
        }
        return least;
    }

    void chooseLeast(std::span<const EndpointCandidate> candidates, RandomGenerator& random, CandidateChoice& choice)
    {
        for (CandidateScore& score : choice.scores) {
            const EndpointCandidate& candidate = candidates[score.index];
            score.promptBonus = candidate.promptBonus;
            sumUp(score);
            score.score += random.unit() * tieBreaker;
            score.isLastResort
                = candidate.failureShare > tolerableFailureShare && random.unit() >= unreliableProbeShare;
        }
        choice.chosen = leastOf(choice.scores, false);
        if (!choice.chosen)
            choice.chosen = leastOf(choice.scores, true);
        if (choice.chosen)
            choice.scores[*choice.chosen].probability = 1;
    }

    // What the candidates run together, and for how long a request runs there.
    struct FleetLoad {
        double slots = 0;
        double running = 0;
        double startsPerSecond = 0;

        // A load moves towards the mean while its requests end and others start elsewhere.
        double keptAfter(Duration age) const
        {
            return std::exp(-secondsOf(age) * startsPerSecond / std::max(1.0, running));
        }
    };

    // Returns the free places to be expected at a candidate, as a fraction of its slots. Since the report, requests
    // have started and ended there; the load is taken as normally distributed.
    double expectedRoom(const EndpointCandidate& candidate, const CandidateScore& score, const FleetLoad& fleet)
    {
        const double mean = fleet.running / fleet.slots * candidate.slots;
        const double known = candidate.reported + candidate.own;
        const double load = mean + (known - mean) * fleet.keptAfter(candidate.reportAge)
            + (score.distanceCost + score.failureCost + score.limitCost) * candidate.slots;
        const double changes
            = 2 * fleet.startsPerSecond * secondsOf(candidate.reportAge) * candidate.slots / fleet.slots;
        const double deviation = std::sqrt(changes + smallestVariance);
        const double distance = (candidate.slots - load) / deviation;
        const double density = std::exp(-distance * distance / 2) / std::sqrt(2 * std::numbers::pi);
        const double isBelow = std::erfc(-distance / std::numbers::sqrt2) / 2;
        return deviation * (density + distance * isBelow) / candidate.slots;
    }

    // Draws a candidate in proportion to the weights.
    std::size_t draw(const std::vector<CandidateScore>& scores, RandomGenerator& random)
    {
        double left = random.unit();
        std::size_t drawn = 0;
        for (const CandidateScore& score : scores) {
            if (score.probability <= 0)
                continue;
            drawn = score.index;
            left -= score.probability;
            if (left < 0)
                break;
        }
        return drawn;
    }

    void markLastResorts(
        std::span<const EndpointCandidate> candidates, RandomGenerator& random, std::vector<CandidateScore>& scores)
    {
        for (CandidateScore& score : scores) {
            const EndpointCandidate& candidate = candidates[score.index];
            const bool isUnreliable
                = candidate.failureShare > tolerableFailureShare && random.unit() >= unreliableProbeShare;
            score.isLastResort = isUnreliable || EndpointChooser::hasJustRejected(candidate);
        }
        const bool areAll
            = std::all_of(scores.begin(), scores.end(), [](const auto& score) { return score.isLastResort; });
        for (CandidateScore& score : scores)
            score.isLastResort = score.isLastResort && !areAll;
    }

    void chooseSpread(std::span<const EndpointCandidate> candidates, const ChoiceSituation& situation,
        RandomGenerator& random, CandidateChoice& choice)
    {
        FleetLoad fleet;
        fleet.startsPerSecond = situation.startsPerSecond;
        for (const EndpointCandidate& candidate : candidates) {
            fleet.slots += candidate.slots;
            fleet.running += candidate.reported + candidate.own;
        }
        markLastResorts(candidates, random, choice.scores);
        double sum = 0;
        for (CandidateScore& score : choice.scores) {
            const EndpointCandidate& candidate = candidates[score.index];
            score.promptBonus = score.isEstimatedFull ? 0 : candidate.promptBonus;
            const double room = std::max(smallestRoom, expectedRoom(candidate, score, fleet));
            const double weight = room * candidate.slots * candidate.speed * (1 + score.promptBonus * promptWeight);
            score.score = 1 - room - score.promptBonus;
            score.probability = score.isLastResort ? 0 : weight;
            sum += score.probability;
        }
        for (CandidateScore& score : choice.scores)
            score.probability /= sum;
        choice.chosen = draw(choice.scores, random);
    }

} // namespace

std::string_view nameOf(ChoiceRule rule) { return ruleNames.nameOf(rule); }

bool EndpointChooser::hasJustRejected(const EndpointCandidate& candidate)
{
    return candidate.rejectedAgo && *candidate.rejectedAgo < std::max(shortestFullTime, candidate.reportAge);
}

bool EndpointChooser::isEstimatedFull(const EndpointCandidate& candidate)
{
    return hasJustRejected(candidate) || candidate.reported + candidate.own >= candidate.slots;
}

CandidateChoice EndpointChooser::choose(
    std::span<const EndpointCandidate> candidates, const ChoiceSituation& situation, RandomGenerator& random) const
{
    CandidateChoice choice;
    choice.scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        choice.scores.push_back(scoreOf(candidates[i], i));
    if (candidates.empty())
        return choice;
    if (situation.rule == ChoiceRule::LeastLoad)
        chooseLeast(candidates, random, choice);
    else
        chooseSpread(candidates, situation, random, choice);
    return choice;
}

} // namespace Catkinwell
