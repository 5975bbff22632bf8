#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/relay/RelayMessage.h>
#include <catkinwell/requests/CompletionRequest.h>
#include <catkinwell/requests/StreamFilter.h>
#include <catkinwell/routing/AnswerProof.h>
#include <catkinwell/routing/PromptQuarantine.h>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Catkinwell {

// The stages of a request, in order. A request stays in a stage only while it has something to wait for.
enum class RequestStage {
    AwaitingTokens,
    AwaitingClaim,
    Queued,
    Running,
};

// The state of a request from its arrival to its outcome.
struct ActiveRequest {
    RequestId id;
    AccountId account;
    // Empty on a route that needs no API key.
    std::string keyDigest;
    std::string pool;
    // Empty for a request to a service that is not a model.
    ModelId model;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    std::string idempotencyKey;
    std::uint64_t prefixHash = 0;
    std::uint64_t fingerprint = 0;
    // The parts of the prompt, and the fingerprint.
    PromptParts promptParts;
    int priority = 0;
    // Whether the request may be sent again after an attempt with an unknown outcome.
    bool idempotent = true;
    bool stream = false;
    TokenCount reservedTokens = 0;
    // The part of reservedTokens that is the estimate for the prompt.
    TokenCount promptReservation = 0;
    MonotonicTime arrivedAt {};
    // When the first part of the answer must have been sent to the caller. From then on, only the silence timeout of
    // the attempt applies.
    MonotonicTime deadline {};

    RequestStage stage = RequestStage::AwaitingTokens;
    bool hasReservation = false;
    bool hasClaim = false;
    // Set when an attempt starts, and restored if that attempt did not run. While it is set, no error reports the
    // outcome "not_run".
    bool mayHaveRun = false;
    // The value of mayHaveRun before the current attempt.
    bool mayHaveRunBefore = false;
    bool callerGone = false;
    // The caller has been answered; the attempt goes on only so that the outcome of the claim can be recorded.
    bool answered = false;
    // When the request began to wait because no replica was loaded; for the cold start metric.
    std::optional<MonotonicTime> coldSince;
    std::set<EndpointId> excluded;
    std::uint32_t attempts = 0;
    // Attempts whose connection broke after the request may have been sent. Each may have crashed an endpoint.
    std::uint32_t brokenAttempts = 0;
    // Attempts for which no connection could be opened. They put no load on an endpoint.
    std::uint32_t unsentAttempts = 0;
    AnswerProof proof;
    // Hosts that could not serve the request.
    std::set<HostId> excludedHosts;

    // The current attempt, at an endpoint or by way of another host.
    AttemptId attempt;
    std::optional<HostId> relayedTo;
    RelayAnswer relayAnswer;
    MonotonicTime attemptStartedAt {};
    EndpointId endpoint;
    // Stays known if the endpoint goes away from the configuration.
    std::string endpointAddress;
    int status = 0;
    HeaderList responseHeaders;
    std::string collected;
    bool headSent = false;
    std::unique_ptr<StreamFilter> filter;
};

} // namespace Catkinwell
