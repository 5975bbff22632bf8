#include "replay/ReplayProtocol.h"

#include "http/HeaderText.h"
#include <cstdlib>

namespace Catkinwell {

namespace {

    std::string valueOf(const HeaderList& headers, std::string_view name)
    {
        const std::string* found = findHeader(headers, name);
        return found ? *found : "";
    }

} // namespace

RequestTerms ReplayProtocol::termsOf(const RequestArrived& request) const
{
    RequestTerms terms;
    terms.callerRequestId = valueOf(request.headers, "id");
    terms.timeLeft = std::chrono::milliseconds(std::atoll(valueOf(request.headers, "left").c_str()));
    const std::string model = valueOf(request.headers, "model");
    const std::size_t slash = model.find('/');
    terms.variant.model = ModelId(model.substr(0, slash));
    if (slash != std::string::npos)
        terms.variant.adapter = model.substr(slash + 1);
    terms.tokens = std::atof(valueOf(request.headers, "tokens").c_str());
    terms.promptParts = { valueOf(request.headers, "part"), terms.callerRequestId };
    return terms;
}

HeaderList ReplayProtocol::attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms& terms) const
{
    HeaderList headers = callerHeaders;
    if (!terms.lastEventId.empty())
        headers.emplace_back("after", terms.lastEventId);
    return headers;
}

AnswerTerms ReplayProtocol::termsOf(int, const HeaderList& headers) const
{
    AnswerTerms terms;
    terms.isNotExecuted = findHeader(headers, "not-executed") != nullptr;
    terms.isSealed = true;
    return terms;
}

Result<GatewayConfiguration> ReplayProtocol::readConfiguration(std::string_view) const
{
    return Error { ErrorKind::InvalidConfiguration, "a replay makes its configuration from its settings" };
}

Result<EndpointRecord> ReplayProtocol::readEndpoint(std::string_view, std::string_view) const
{
    return Error { ErrorKind::InvalidMessage, "a replay makes its records from its engines" };
}

} // namespace Catkinwell
