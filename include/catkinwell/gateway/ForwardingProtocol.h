#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// What a request says beside its target and body.
struct RequestTerms {
    // The caller's identifier of this request; empty if there is none.
    std::string callerRequestId;
    // How long the caller waits from now on.
    std::optional<Duration> timeLeft;
    ModelVariant variant;
    // Prompt tokens and the largest number of output tokens together; 0 if unstated.
    double tokens = 0;
    // Identifiers of the parts of the prompt, in order. Requests with a common beginning share the work on it.
    std::vector<std::string> promptParts;
    // Where the caller wants a stream to go on.
    std::string lastEventId;
};

// What the gateway tells an endpoint about one attempt.
struct AttemptTerms {
    Duration timeLeft {};
    EndpointId endpoint;
    // Empty if the request has no account.
    AccountId account;
    // 0 to 9, 0 is the most urgent; absent for the endpoint's default.
    std::optional<int> priority;
    // Where a resumed stream goes on; empty for a first attempt.
    std::string lastEventId;
};

// What the head of an endpoint's answer says.
struct AnswerTerms {
    // The endpoint states that it did not run the request and never will.
    bool isNotExecuted = false;
    // Another endpoint has this address now.
    bool isMisdirected = false;
    // The endpoint vouches for the answer.
    bool isSealed = false;
    // The body is in an encoding that nobody asked for.
    bool isEncoded = false;
};

// How callers, endpoints and the operators' documents speak on one platform. Pure; implementations are thread safe.
class ForwardingProtocol {
public:
    virtual ~ForwardingProtocol() = default;

    virtual RequestTerms termsOf(const RequestArrived&) const = 0;
    // The headers of an attempt, made from those of the request. What only the system may say is never taken over
    // from the caller.
    virtual HeaderList attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms&) const = 0;
    virtual AnswerTerms termsOf(int status, const HeaderList&) const = 0;
    // The headers of an answer that go to the caller.
    virtual HeaderList answerHeaders(const HeaderList&) const = 0;
    // The header that an endpoint repeats in its answer.
    virtual std::string echoHeader() const = 0;

    // Where the operators' configuration and the endpoints' records lie in the store.
    virtual std::string configurationKey() const = 0;
    virtual std::string endpointPrefix() const = 0;

    // Errors: InvalidConfiguration with the field that is wrong.
    virtual Result<GatewayConfiguration> readConfiguration(std::string_view document) const = 0;
    // Errors: InvalidMessage for a record that does not name an endpoint to use.
    virtual Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const = 0;
};

} // namespace Catkinwell
