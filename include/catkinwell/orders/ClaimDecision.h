#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <string>
#include <string_view>
#include <variant>

namespace Catkinwell {

// The store has confirmed the claim. The caller may send the request once, now.
struct ClaimRun { };

// An earlier request used the key; this is its recorded outcome.
struct ClaimRepeat {
    int status = 0;
    HeaderList headers;
    std::string body;
    // False when the first response body was too large to store; bodyDigest identifies it instead.
    bool bodyKept = true;
    // Hexadecimal SHA-256 of the first response body; empty when the body is stored.
    std::string bodyDigest;
};

// The first request with the key is running or has not been sent yet.
struct ClaimInProgress { };

// The first request with the key may have run; its outcome is unknown.
struct ClaimUnknownOutcome { };

// An earlier request used the key with a different body. This request was not run.
struct ClaimBodyMismatch { };

enum class NotRunReason {
    // The store is unreachable.
    StoreUnavailable,
    // The store did not confirm the claim before the deadline.
    Deadline,
    // The shard's value has reached its size limit.
    ShardFull,
    // The shard's value has a format that this version cannot read.
    ShardUnreadable,
    // This host has reached its limit of unsettled claims.
    TooManyClaims,
    // The host is shutting down.
    ShuttingDown,
};

// Returns the stable lower-case name of the reason.
std::string_view nameOf(NotRunReason);

// This host has not sent the request and will not send it. An earlier request with the
// same key may have run.
struct ClaimNotRun {
    NotRunReason reason = NotRunReason::StoreUnavailable;
    Duration retryAfter {};
};

using ClaimVerdict
    = std::variant<ClaimRun, ClaimRepeat, ClaimInProgress, ClaimUnknownOutcome, ClaimBodyMismatch, ClaimNotRun>;

// Returns the stable lower-case name of the verdict's kind, for logs and metrics.
std::string_view nameOf(const ClaimVerdict&);

struct ClaimDecision {
    RequestId request;
    ClaimVerdict verdict;
};

} // namespace Catkinwell
