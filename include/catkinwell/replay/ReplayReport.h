#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Catkinwell {

// The outcomes of the requests of one kind.
struct KindReport {
    std::string name;
    unsigned asked = 0;
    // The first piece arrived within the latency goal, and the answer within the time limit.
    unsigned inGoal = 0;
    unsigned late = 0;
    unsigned refused = 0;
    unsigned failed = 0;
    // Time to the first piece of the served requests: median and 95th percentile.
    double medianFirstPieceMs = 0;
    double p95FirstPieceMs = 0;
    // The mean time from a request to its final refusal.
    double meanRefusalMs = 0;
};

// The result of a replay.
struct ReplayReport {
    std::string pattern;
    std::uint64_t seed = 0;
    std::vector<KindReport> kinds;
    // The number of refusals by reason.
    std::vector<std::pair<std::string, unsigned>> refusals;
    unsigned loadsFromStore = 0;
    unsigned loadsFromDisk = 0;
    unsigned orders = 0;
    unsigned refusedOrders = 0;
    unsigned preemptions = 0;
    unsigned overfills = 0;
    // Requests refused for the account's rate limit although a fleet-wide bucket that is updated without delay had
    // enough tokens.
    unsigned refusedBelowLimit = 0;
    // Fractions of the time: how long the weight store ran at least as many loads as it serves at full speed, and the
    // mean and the highest use of the engines' slots.
    double storeBusyShare = 0;
    double meanSlotUse = 0;
    double busiestSlotUse = 0;

    double inGoalShare() const;
    // The fraction of requests that were served, within the goal or late.
    double servedShare() const;
    // Describes the resource that limited the service most.
    std::string bound() const;
};

// Formats the report as a text table. Thread safe.
std::string replayReportText(const ReplayReport&);
// Formats the report as JSON. Thread safe.
std::string replayReportJson(const ReplayReport&);

} // namespace Catkinwell
