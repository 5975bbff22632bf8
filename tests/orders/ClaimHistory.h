#pragma once

#include <catkinwell/orders/ClaimDecision.h>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// What happened in a run of several hosts; the checkers read nothing else.
struct ClaimRecord {
    enum class Kind { Asked, Decided, Sent, OutcomeRecorded, HostPaused, HostDied };
    Kind kind;
    MonotonicTime at;
    std::string host;
    std::uint64_t request = 0;
    std::string key {};
    // For Asked the first tick after the deadline, for HostPaused the first tick after the pause.
    MonotonicTime latestDecision {};
    std::optional<ClaimVerdict> verdict {};
    // The body of a recorded outcome.
    std::string body {};
    // Asked after all faults ended and everything had time to settle.
    bool isFinalProbe = false;
};

using ClaimHistory = std::vector<ClaimRecord>;

// Each returns a description of the first violation, or nothing.
std::string checkAtMostOneRun(const ClaimHistory&);
std::string checkNotRunIsTrue(const ClaimHistory&);
std::string checkRepeatsAreExact(const ClaimHistory&);
std::string checkEveryRequestIsDecided(const ClaimHistory&, MonotonicTime end);

} // namespace Catkinwell
