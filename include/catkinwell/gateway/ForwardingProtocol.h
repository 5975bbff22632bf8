#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// Parameters that a request states in addition to its target and body.
struct RequestTerms {
    // The caller's identifier for this request; empty if there is none.
    std::string callerRequestId;
    // How long the caller still waits; absent if unstated.
    std::optional<Duration> timeLeft;
    ModelVariant variant;
    // Prompt tokens plus the maximum number of output tokens; 0 if unstated.
    double tokens = 0;
    // Identifiers of the parts of the prompt, in order. Requests with a common prefix can share its processing.
    std::vector<std::string> promptParts;
    // The event after which the caller wants a stream to resume; empty for the beginning.
    std::string lastEventId;
    // The caller's identifier of the request that brought the first event of the stream to resume; empty if unstated.
    std::string resumedRequestId;
};

// Parameters of one attempt that the gateway sends to the endpoint.
struct AttemptTerms {
    Duration timeLeft {};
    EndpointId endpoint;
    // Empty if the request has no account.
    AccountId account;
    // 0 to 9, 0 is the most urgent; absent for the endpoint's default.
    std::optional<int> priority;
    // The event after which a stream resumes; empty for the beginning.
    std::string lastEventId;
};

// Properties of an endpoint's answer, from its status and headers.
struct AnswerTerms {
    // The endpoint states that it did not and will not run the request.
    bool isNotExecuted = false;
    // Another endpoint now has this address.
    bool isMisdirected = false;
    // The answer carries the endpoint's seal, which shows that the endpoint itself made it.
    bool isSealed = false;
    // The body has a content encoding that was not requested.
    bool isEncoded = false;
    // Requests per second that the endpoint accepts from all hosts together, until an answer states none.
    std::optional<double> requestsPerSecond;
    // Rejections for want of room that the endpoint bears in a second; with more it falls over. Absent unless stated.
    std::optional<double> rejectionsPerSecond;
    EndpointNotice notice;
};

// A request by which an endpoint shows that it is running. It has no effect at the endpoint.
struct StatusCheck {
    std::string target;
    HeaderList headers;
};

// Defines the headers, store keys and documents of one platform. Pure; implementations are thread safe.
class ForwardingProtocol {
public:
    virtual ~ForwardingProtocol() = default;

    virtual RequestTerms termsOf(const RequestArrived&) const = 0;
    // Returns the headers of an attempt, made from those of the request. Headers reserved to the system are never
    // copied from the caller.
    virtual HeaderList attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms&) const = 0;
    virtual AnswerTerms termsOf(int status, const HeaderList&) const = 0;
    // Returns the headers of an answer that are forwarded to the caller.
    virtual HeaderList answerHeaders(const HeaderList&) const = 0;
    // Returns the cheapest request to which an endpoint of the service answers. Another endpoint at its address answers
    // that it is misdirected.
    virtual StatusCheck statusCheckOf(const GatewayService&, const EndpointId&) const = 0;
    // Name of the header that an endpoint echoes in its answer.
    virtual std::string echoHeader() const = 0;

    // The prefix of what operators write to the store, the key of the configuration under it, and the prefix of the
    // endpoints' records.
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string endpointPrefix() const = 0;

    // Returns the data centre that is under evacuation while the key exists; nullopt for other keys.
    virtual std::optional<DataCentreId> evacuatedDataCentre(std::string_view key) const = 0;

    // Errors: InvalidConfiguration that names the invalid field.
    virtual Result<GatewayConfiguration> readConfiguration(std::string_view document) const = 0;
    // Errors: InvalidMessage for a record that does not describe a usable endpoint.
    virtual Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const = 0;
};

} // namespace Catkinwell
