#include <catkinwell/gateway/GatewayRequests.h>

// The bytes of answers: what is kept of them, forwarded to callers, and given up.
namespace Catkinwell {

namespace {

    constexpr std::size_t maximumCollectedBytes = 8 * 1024 * 1024;
    constexpr std::size_t maximumEventBytes = 1024 * 1024;
    constexpr std::string_view endlessAnswer = "the answer, or one event of it, is too long";
    constexpr std::string_view largestAnswer = "this host keeps too many bytes of answers, and of this one the most";

} // namespace

void GatewayRequests::handle(const AttemptData& data, MonotonicTime now, EffectList& effects)
{
    Request* request = requestOf(data.id);
    if (!request)
        return;
    noteReached(*request, false, now, effects);
    request->attempt->lastDataAt = now;
    request->attempt->receivedBytes += data.data.size();
    if (request->attempt->isForwarded) {
        request->attempt->position.feed(data.data);
        if (request->attempt->position.events() > 0) {
            noteAnswerGoesOn(*request, now);
            noteStreamBegun(*request, now);
        }
        noteProgress(*request->attempt, now);
        if (request->attempt->position.openBytes() > maximumEventBytes)
            return abandonAnswer(*request, endlessAnswer, now, effects);
        forwardData(*request, data.data, effects);
    } else {
        if (request->attempt->body.size() + data.data.size() > maximumCollectedBytes)
            return abandonAnswer(*request, endlessAnswer, now, effects);
        request->attempt->body += data.data;
    }
    noteBuffered(*request, now, effects);
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
