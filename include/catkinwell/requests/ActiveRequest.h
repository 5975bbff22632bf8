#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/requests/CompletionRequest.h>
#include <catkinwell/requests/StreamFilter.h>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Catkinwell {

// The stages of a request, in this order. A stage that has nothing to wait for is passed at once.
enum class RequestStage {
    AwaitingTokens,
    AwaitingClaim,
    Queued,
    Running,
};

// One request between its arrival and its outcome.
struct ActiveRequest {
    RequestId id;
    AccountId account;
    // Empty on an open route.
    std::string keyDigest;
    std::string pool;
    // Empty for a plain service.
    ModelId model;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    std::string idempotencyKey;
    std::uint64_t prefixHash = 0;
    std::uint64_t fingerprint = 0;
    int priority = 0;
    // Whether the request may be sent again after an unknown outcome.
    bool idempotent = true;
    bool stream = false;
    TokenCount reservedTokens = 0;
    // The part of reservedTokens that stands for the prompt.
    TokenCount promptReservation = 0;
    MonotonicTime arrivedAt {};
    // Until then the answer must have begun; later the silence timeout of the attempt applies.
    MonotonicTime deadline {};

    RequestStage stage = RequestStage::AwaitingTokens;
    bool hasReservation = false;
    bool hasClaim = false;
    // Set from the first attempt that may have reached an endpoint; no answer says "not run" from then on.
    bool mayHaveRun = false;
    // The value of mayHaveRun before the current attempt, restored if that attempt was surely not sent.
    bool mayHaveRunBefore = false;
    bool callerGone = false;
    // The caller has got its answer; only the outcome of the claim is still awaited.
    bool answered = false;
    // When the request began to wait because no replica was loaded; for the cold-start measure.
    std::optional<MonotonicTime> coldSince;
    std::set<EndpointId> excluded;
    std::uint32_t attempts = 0;
    // Attempts whose connection broke after the request may have been sent; each may have cost an endpoint.
    std::uint32_t brokenAttempts = 0;

    // The current attempt.
    AttemptId attempt;
    EndpointId endpoint;
    int status = 0;
    HeaderList responseHeaders;
    std::string collected;
    bool headSent = false;
    std::unique_ptr<StreamFilter> filter;
};

} // namespace Catkinwell
