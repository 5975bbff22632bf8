#pragma once

#include <catkinwell/orders/ClaimDecision.h>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// An event in a simulation of several hosts. The checkers use nothing but these records.
struct ClaimRecord {
    enum class Kind { Requested, Decided, Sent, OutcomeRecorded, HostPaused, HostCrashed };
    Kind kind;
    MonotonicTime at;
    std::string host;
    std::uint64_t request = 0;
    std::string key {};
    // For Requested, the first tick after the deadline; for HostPaused, the first tick after the pause.
    MonotonicTime latestDecision {};
    std::optional<ClaimVerdict> verdict {};
    // For OutcomeRecorded.
    std::string body {};
    // Sent after all faults have ended and all claims had time to settle.
    bool isFinalProbe = false;
};

using ClaimHistory = std::vector<ClaimRecord>;

// Each checker returns a description of the first violation, or an empty string.
std::string checkAtMostOneRun(const ClaimHistory&);
std::string checkOnlyRunIsSent(const ClaimHistory&);
std::string checkRepeatsReturnFirstOutcome(const ClaimHistory&);
std::string checkEveryRequestIsDecided(const ClaimHistory&, MonotonicTime end);

} // namespace Catkinwell
