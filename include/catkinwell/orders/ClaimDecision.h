#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <string>
#include <string_view>
#include <variant>

namespace Catkinwell {

// The claim is confirmed in the store. The request may be sent once, now.
struct ClaimRun { };

// The key was used before; this is the recorded first outcome.
struct ClaimRepeat {
    int status = 0;
    HeaderList headers;
    std::string body;
    // False when the first body was too large to keep; the digest identifies it then.
    bool bodyKept = true;
    // SHA-256 of the first body in hexadecimal digits; empty when the body is kept.
    std::string bodyDigest;
};

// The first request with the key is still running, or waiting to run.
struct ClaimInProgress { };

// The first request with the key may have run and its outcome is not known.
struct ClaimUnknownOutcome { };

// The key was used before with another body. This request was not run.
struct ClaimBodyMismatch { };

enum class NotRunReason {
    // The store cannot be reached.
    StoreUnavailable,
    // The claim was not confirmed by the deadline.
    Deadline,
    // The shard's value has no room for another entry.
    ShardFull,
    // The shard's value has a format that this version cannot read.
    ShardUnreadable,
    // This host has as many unsettled claims as it may hold.
    TooManyClaims,
    // The host is shutting down.
    ShuttingDown,
};

// Returns the stable lower-case name of the reason.
std::string_view nameOf(NotRunReason);

// This request was not sent and will not be sent by this host. It does not say
// whether an earlier request with the same key ran.
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
