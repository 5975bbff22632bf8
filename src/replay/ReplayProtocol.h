#pragma once

#include <catkinwell/gateway/ForwardingProtocol.h>

namespace Catkinwell {

// Reads the terms of requests from plain headers, so that replays and tests of decisions do not depend on the
// platform's protocol. It parses no configuration documents and no endpoint records.
class ReplayProtocol : public ForwardingProtocol {
public:
    RequestTerms termsOf(const RequestArrived&) const override;
    HeaderList attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms&) const override;
    AnswerTerms termsOf(int status, const HeaderList&) const override;
    HeaderList answerHeaders(const HeaderList& headers) const override { return headers; }
    StatusCheck statusCheckOf(const GatewayService& service, const EndpointId&) const override
    {
        return { service.healthPath, {} };
    }
    std::string echoHeader() const override { return "id"; }
    std::string operatorPrefix() const override { return ""; }
    std::string configurationKey() const override { return ""; }
    std::string endpointPrefix() const override { return ""; }
    std::optional<DataCentreId> evacuatedDataCentre(std::string_view) const override { return std::nullopt; }
    Result<GatewayConfiguration> readConfiguration(std::string_view document) const override;
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override;
};

} // namespace Catkinwell
