#include <catkinwell/gateway/GatewayRequests.h>

#include "http/HeaderText.h"
#include <nlohmann/json.hpp>

// Whether an answer that ended in order is whole. One that ends with its connection looks whole wherever its endpoint
// stopped, and its caller could not tell either, since it gets chunks.
namespace Catkinwell {

namespace {

    constexpr Duration checkConnectTimeout = std::chrono::milliseconds(400);
    // Less than callers and hosts wait for the next event of a stream.
    constexpr Duration checkSilenceTimeout = std::chrono::seconds(1);

    // Returns the media type in lower case, without its parameters.
    std::string mediaTypeOf(const HeaderList& headers)
    {
        const std::string value = headerValue(headers, "content-type");
        return toLowerCase(trimmedSpaces(std::string_view(value).substr(0, value.find(';'))));
    }

    bool isJson(const std::string& mediaType)
    {
        return mediaType == "application/json" || mediaType.ends_with("+json");
    }

} // namespace

bool GatewayRequests::continuesStream(const Request& request)
{
    const Attempt& attempt = *request.attempt;
    return attempt.status == request.sentStatus && mediaTypeOf(attempt.headers) == request.sentMediaType;
}

void GatewayRequests::sendHead(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    request.isHeadSent = true;
    request.mayHaveRun = true;
    request.sentStatus = attempt.status;
    request.sentMediaType = mediaTypeOf(attempt.headers);
    effects.push_back(RecordMetric { Metric::FirstByteSeconds, request.service, secondsOf(now - request.arrivedAt) });
    HeaderList headers = m_protocol.answerHeaders(attempt.headers);
    stateRelayAnswer(request, headers, RelayOutcome::Answered);
    effects.push_back(SendResponseHead { request.arrived.id, attempt.status, std::move(headers) });
}

std::string_view GatewayRequests::faultOfStream(const Request& request)
{
    const Attempt& attempt = *request.attempt;
    const std::string type = mediaTypeOf(attempt.headers);
    if (!type.empty() && type != "text/event-stream")
        return {};
    if (attempt.position.isInsideEvent())
        return "the stream ended inside an event";
    // A stream that is taken up after its last event is whole without another, if its endpoint says where it ends.
    const bool mayBeEmpty = attempt.isRest && !attempt.endsWithConnection;
    if (attempt.position.events() == 0 && !mayBeEmpty)
        return "the stream ended before its first event";
    return {};
}

std::string_view GatewayRequests::faultOfAnswer(const Request& request)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.relayedTo && attempt.endsWithConnection)
        return "the other host's answer has no end";
    if (attempt.isForwarded && request.route.isStream)
        return faultOfStream(request);
    if (attempt.endsWithConnection && isJson(mediaTypeOf(attempt.headers)) && !nlohmann::json::accept(attempt.body))
        return "the answer ended inside its JSON document";
    return {};
}

void GatewayRequests::handleBrokenAnswer(Request& request, std::string reason, MonotonicTime now, EffectList& effects)
{
    request.mayHaveRun = true;
    noteBrokenAttempt(request, now);
    handleFailedAttempt(request, std::move(reason), AttemptVerdict::Bad, now, effects);
}

void GatewayRequests::checkEndpointRuns(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (m_directory.isPaused(attempt.endpoint, now)) {
        handleBrokenAnswer(request, "the endpoint cannot be asked whether it ran when its answer ended", now, effects);
        return;
    }
    if (!request.checkedService) {
        handleBrokenAnswer(request, "the endpoint's service is not known", now, effects);
        return;
    }
    if (!request.checkedService->engine && !m_directory.cold().isAvailable(attempt.endpoint, now)) {
        m_delayedChecks.insert(attempt.id);
        return;
    }
    noteHealthCheck(*request.checkedService, attempt.endpoint, now);
    StatusCheck check = m_protocol.statusCheckOf(*request.checkedService, attempt.endpoint);
    StartAttempt start;
    start.id = AttemptId(++m_lastAttempt);
    start.endpoint = attempt.endpoint;
    start.address = attempt.address;
    start.method = "GET";
    start.target = std::move(check.target);
    start.headers = std::move(check.headers);
    start.connectTimeout = checkConnectTimeout;
    start.silenceTimeout = checkSilenceTimeout;
    m_endpointChecks[start.id] = attempt.id;
    effects.push_back(std::move(start));
}

// The deadline of the request bounds the delay.
void GatewayRequests::startDelayedChecks(MonotonicTime now, EffectList& effects)
{
    for (const AttemptId id : std::exchange(m_delayedChecks, {})) {
        if (Request* request = requestOf(id))
            checkEndpointRuns(*request, now, effects);
    }
}

bool GatewayRequests::handleCheck(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    const auto check = m_endpointChecks.find(head.id);
    if (check == m_endpointChecks.end())
        return false;
    Request* request = requestOf(check->second);
    m_endpointChecks.erase(check);
    if (!request)
        return true;
    const AnswerTerms terms = m_protocol.termsOf(head.status, head.headers);
    if (!terms.isMisdirected)
        m_directory.noteNotice(request->attempt->endpoint, terms.notice, now, effects);
    if (terms.isMisdirected)
        handleBrokenAnswer(*request, "another endpoint had the address when the answer ended", now, effects);
    else
        deliverAnswer(*request, now, effects);
    return true;
}

bool GatewayRequests::handleCheck(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    const auto check = m_endpointChecks.find(failed.id);
    if (check == m_endpointChecks.end())
        return false;
    Request* request = requestOf(check->second);
    m_endpointChecks.erase(check);
    if (!request)
        return true;
    // Bytes that are no answer come from a running process as well.
    if (failed.failure == AttemptFailure::Garbage)
        deliverAnswer(*request, now, effects);
    else
        handleBrokenAnswer(
            *request, "the endpoint did not show that it ran when its answer ended: " + failed.reason, now, effects);
    return true;
}

} // namespace Catkinwell
