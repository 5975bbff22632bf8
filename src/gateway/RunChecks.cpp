#include <catkinwell/gateway/RunChecks.h>

#include <array>
#include <utility>

namespace Catkinwell {

namespace {

    // Time between two questions to one endpoint.
    constexpr Duration questionInterval = std::chrono::milliseconds(500);
    // A sound endpoint may fall silent for about this time, also for questions.
    constexpr Duration answerTimeout = std::chrono::seconds(1);
    constexpr Duration memoryTime = std::chrono::seconds(30);

    constexpr std::array<std::string_view, 6> stateNames { "unknown", "running", "queued", "undelivered", "ended",
        "unreachable" };

} // namespace

std::string_view nameOf(RunState state) { return stateNames.at(static_cast<std::size_t>(state)); }

void RunChecks::ask(const EndpointId& id, const std::string& address, MonotonicTime now, EffectList& effects)
{
    Endpoint& endpoint = m_endpoints[id];
    const bool wasAsked = endpoint.askedAt != MonotonicTime();
    const Duration interval = endpoint.isAnswerOut ? answerTimeout : questionInterval;
    if (wasAsked && now - endpoint.askedAt < interval)
        return;
    if (endpoint.isAnswerOut)
        noteAnswer(id, endpoint.askedAt, std::nullopt);
    endpoint.askedAt = now;
    endpoint.isAnswerOut = true;
    effects.push_back(FetchRuns { id, address, now, answerTimeout });
}

void RunChecks::handle(const RunReport& report) { noteAnswer(report.endpoint, report.requestedAt, report); }

void RunChecks::handle(const RunReportFailed& failed)
{
    const auto found = m_endpoints.find(failed.endpoint);
    if (found == m_endpoints.end())
        return;
    Endpoint& endpoint = found->second;
    const bool isReset = failed.failure == AttemptFailure::Broken;
    // An endpoint with too many connections resets new ones, and an idle one may have been dropped.
    if (isReset && !std::exchange(endpoint.wasReset, true) && failed.requestedAt == endpoint.askedAt)
        endpoint.isAnswerOut = false;
    else
        noteAnswer(failed.endpoint, failed.requestedAt, std::nullopt);
}

void RunChecks::noteAnswer(const EndpointId& id, MonotonicTime requestedAt, std::optional<RunReport> report)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || requestedAt < found->second.answeredQuestionAt)
        return;
    Endpoint& endpoint = found->second;
    endpoint.isAnswerOut = endpoint.isAnswerOut && requestedAt < endpoint.askedAt;
    endpoint.answeredQuestionAt = requestedAt;
    endpoint.wasReset = endpoint.wasReset && !report;
    endpoint.report = std::move(report);
}

RunState RunChecks::stateOf(const SilentStream& stream, MonotonicTime now) const
{
    const auto found = m_endpoints.find(stream.endpoint);
    if (found == m_endpoints.end())
        return RunState::Unknown;
    const Endpoint& endpoint = found->second;
    if (endpoint.answeredQuestionAt > stream.silentSince)
        return endpoint.report ? stateOf(*endpoint.report, stream) : RunState::Unreachable;
    const bool isOverdue
        = endpoint.isAnswerOut && endpoint.askedAt > stream.silentSince && now - endpoint.askedAt >= answerTimeout;
    return isOverdue ? RunState::Unreachable : RunState::Unknown;
}

RunState RunChecks::stateOf(const RunReport& report, const SilentStream& stream)
{
    // An endpoint that lists no requests has at least shown that it runs.
    if (!report.events)
        return RunState::Queued;
    const auto run = report.events->find(stream.requestId);
    if (run == report.events->end())
        return report.waiting > 0 ? RunState::Queued : RunState::Ended;
    return stream.events && run->second > *stream.events ? RunState::Undelivered : RunState::Running;
}

void RunChecks::tick(MonotonicTime now)
{
    std::erase_if(m_endpoints, [now](const auto& entry) { return now - entry.second.askedAt >= memoryTime; });
}

} // namespace Catkinwell
