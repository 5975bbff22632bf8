#include "replay/ReplayProtocol.h"

#include "http/HeaderText.h"
#include <cstdlib>

namespace Catkinwell {

RequestTerms ReplayProtocol::termsOf(const RequestArrived& request) const
{
    RequestTerms terms;
    terms.callerRequestId = headerValue(request.headers, "id");
    if (const std::string* left = findHeader(request.headers, "left"))
        terms.timeLeft = std::chrono::milliseconds(std::atoll(left->c_str()));
    const std::string model = headerValue(request.headers, "model");
    const std::size_t slash = model.find('/');
    terms.variant.model = ModelId(model.substr(0, slash));
    if (slash != std::string::npos)
        terms.variant.adapter = model.substr(slash + 1);
    terms.tokens = std::atof(headerValue(request.headers, "tokens").c_str());
    terms.lastEventId = headerValue(request.headers, "last-event");
    terms.resumedRequestId = headerValue(request.headers, "resumes");
    const std::string session = headerValue(request.headers, "session");
    if (const std::string* part = findHeader(request.headers, "part"))
        terms.promptParts = { *part, session.empty() ? terms.callerRequestId : session };
    return terms;
}

HeaderList ReplayProtocol::attemptHeaders(const HeaderList& callerHeaders, const AttemptTerms& terms) const
{
    HeaderList headers = callerHeaders;
    headers.emplace_back("account", terms.account.value);
    if (!terms.lastEventId.empty())
        headers.emplace_back("after", terms.lastEventId);
    return headers;
}

AnswerTerms ReplayProtocol::termsOf(int status, const HeaderList& headers) const
{
    AnswerTerms terms;
    terms.isMisdirected = status == 421;
    terms.isNotExecuted = terms.isMisdirected || findHeader(headers, "not-executed");
    terms.isSealed = findHeader(headers, "sealed") != nullptr;
    if (const std::string* limit = findHeader(headers, "limit"))
        terms.requestsPerSecond = std::strtod(limit->c_str(), nullptr);
    if (const std::string* rejections = findHeader(headers, "brittle"))
        terms.rejectionsPerSecond = std::strtod(rejections->c_str(), nullptr);
    terms.notice.isLeaving = findHeader(headers, "leaving") != nullptr;
    if (const std::string* pause = findHeader(headers, "pause"))
        terms.notice.pause = durationOfSeconds(std::strtod(pause->c_str(), nullptr));
    return terms;
}

Result<GatewayConfiguration> ReplayProtocol::readConfiguration(std::string_view) const
{
    return Error { ErrorKind::InvalidConfiguration, "a replay builds its configuration from its settings" };
}

Result<EndpointRecord> ReplayProtocol::readEndpoint(std::string_view, std::string_view) const
{
    return Error { ErrorKind::InvalidMessage, "a replay builds its records from its engines" };
}

} // namespace Catkinwell
