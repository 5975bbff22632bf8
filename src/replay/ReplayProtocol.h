#pragma once

#include <catkinwell/gateway/ForwardingProtocol.h>

namespace Catkinwell {

// Carries the terms of requests in plain headers, so that replays and tests of decisions need no platform. It has no
// documents.
class ReplayProtocol : public ForwardingProtocol {
public:
    RequestTerms termsOf(const RequestArrived&) const override;
    HeaderList attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms&) const override;
    AnswerTerms termsOf(int status, const HeaderList&) const override;
    HeaderList answerHeaders(const HeaderList& headers) const override { return headers; }
    std::string echoHeader() const override { return "id"; }
    std::string configurationKey() const override { return ""; }
    std::string endpointPrefix() const override { return ""; }
    Result<GatewayConfiguration> readConfiguration(std::string_view document) const override;
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override;
};

} // namespace Catkinwell
