#include <catkinwell/gateway/GatewayRequests.h>

#include "http/HeaderText.h"
#include <charconv>

// The bytes of answers: what is kept of them, forwarded to callers, and given up.
namespace Catkinwell {

namespace {

    constexpr std::size_t maximumCollectedBytes = 8 * 1024 * 1024;
    constexpr std::size_t maximumEventBytes = 1024 * 1024;
    // A shorter answer takes hardly more memory whole than while it is passed on.
    constexpr std::size_t smallestPassedOnBytes = 64 * 1024;
    constexpr std::string_view endlessAnswer = "the answer, or one event of it, is too long";
    constexpr std::string_view largestAnswer = "this host keeps too many bytes of answers, and of this one the most";

    std::optional<std::size_t> statedLength(const HeaderList& headers)
    {
        const std::string* text = findHeader(headers, "content-length");
        std::size_t length = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc())
            return std::nullopt;
        return length;
    }

} // namespace

void GatewayRequests::handle(const AttemptData& data, MonotonicTime now, EffectList& effects)
{
    Request* request = requestOf(data.id);
    if (!request)
        return;
    noteReached(*request, false, now, effects);
    noteFirstByte(*request, now);
    request->attempt->lastDataAt = now;
    request->attempt->receivedBytes += data.data.size();
    if (request->attempt->isForwarded) {
        if (request->route.isStream && !followStream(*request, data.data, now))
            return abandonAnswer(*request, endlessAnswer, now, effects);
        forwardData(*request, data.data, effects);
    } else {
        if (request->attempt->body.size() + data.data.size() > maximumCollectedBytes)
            return abandonAnswer(*request, endlessAnswer, now, effects);
        request->attempt->body += data.data;
        if (mayPassOn(*request))
            passOn(*request, now, effects);
    }
    noteBuffered(*request, now, effects);
}

// The rest of a stream begins as fast as its endpoint can repeat it.
void GatewayRequests::noteFirstByte(const Request& request, MonotonicTime now)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.receivedBytes == 0 && !attempt.relayedTo && !attempt.isRest && attempt.terms.isSealed
        && attempt.status < 300)
        m_directory.noteFirstByte(attempt.endpoint, now - attempt.startedAt);
}

bool GatewayRequests::followStream(Request& request, std::string_view data, MonotonicTime now)
{
    Attempt& attempt = *request.attempt;
    attempt.position.feed(data);
    if (attempt.position.events() > 0) {
        noteAnswerGoesOn(request, now);
        noteStreamBegun(request, now);
    }
    noteProgress(attempt, now);
    return attempt.position.openBytes() <= maximumEventBytes;
}

// An answer that does not state its length may have no end, or one that only its endpoint can vouch for; it is better
// given up, and tried elsewhere, than passed on.
bool GatewayRequests::mayPassOn(const Request& request) const
{
    const Attempt& attempt = *request.attempt;
    const bool isAcceptable = attempt.terms.isSealed && !attempt.terms.isEncoded && !attempt.terms.isNotExecuted
        && attempt.status < 500 && !impliesNotRun(attempt.status)
        && attempt.relayAnswer.outcome == RelayOutcome::Answered;
    const auto length = statedLength(attempt.headers);
    const bool hasStatedEnd = length && *length <= maximumCollectedBytes;
    return isAcceptable && hasStatedEnd && !request.isHeadSent && attempt.body.size() >= smallestPassedOnBytes
        && keptBytes() > m_settings.maximumAnswerBytes;
}

void GatewayRequests::passOn(Request& request, MonotonicTime now, EffectList& effects)
{
    Attempt& attempt = *request.attempt;
    attempt.isForwarded = true;
    sendHead(request, now, effects);
    m_outputBytes += attempt.body.size();
    effects.push_back(SendResponseData { request.arrived.id, std::exchange(attempt.body, {}) });
}

std::optional<GatewayRequests::Refusal> GatewayRequests::refusalIfMemoryFull() const
{
    if (keptBytes() <= m_settings.maximumKeptBytes)
        return std::nullopt;
    return Refusal { 503, "memory_full", "this host keeps too many bytes for callers that read slowly; retry later",
        shortRetryAfter };
}

void GatewayRequests::noteMemory(EffectList& effects)
{
    const bool isFull = keptBytes() > m_settings.maximumKeptBytes;
    if (isFull == m_isMemoryFull)
        return;
    m_isMemoryFull = isFull;
    effects.push_back(LogEntry { LogEvent::GatewayMemoryFullChanged,
        { { "full", isFull ? "yes" : "no" }, { "request_bytes", std::to_string(m_bodyBytes) },
            { "collected_bytes", std::to_string(m_buffers.bytes()) }, { "unread_bytes", std::to_string(m_outputBytes) },
            { "maximum_bytes", std::to_string(m_settings.maximumKeptBytes) } } });
}

void GatewayRequests::noteBuffered(const Request& request, MonotonicTime now, EffectList& effects)
{
    m_buffers.setBytes(request.attempt->id, request.attempt->body.size() + request.eventBuffer.bufferedBytes());
    while (const auto largest = m_buffers.excess()) {
        effects.push_back(LogEntry { LogEvent::GatewayBuffersFull,
            { { "kept_bytes", std::to_string(m_buffers.bytes()) },
                { "maximum_bytes", std::to_string(m_settings.maximumAnswerBytes) },
                { "active_requests", std::to_string(m_requests.size()) } } });
        abandonAnswer(m_requests.at(m_attempts.at(*largest)), largestAnswer, now, effects);
    }
}

// What was read of the answer must not pass for one.
void GatewayRequests::abandonAnswer(Request& request, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    request.mayHaveRun = true;
    effects.push_back(CancelAttempt { request.attempt->id });
    handleFailedAttempt(request, std::string(reason), AttemptVerdict::Bad, now, effects);
}

void GatewayRequests::forwardData(Request& request, std::string_view data, EffectList& effects)
{
    std::string complete = request.route.isResumable ? request.eventBuffer.take(data) : std::string(data);
    if (!complete.empty())
        effects.push_back(SendResponseData { request.arrived.id, std::move(complete) });
}

} // namespace Catkinwell
