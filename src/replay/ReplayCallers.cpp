#include "replay/ReplayCallers.h"

#include "http/HeaderText.h"
#include "replay/ReplayConfiguration.h"
#include <algorithm>
#include <catkinwell/emulator/LoadGenerator.h>
#include <cstdlib>

namespace Catkinwell {

namespace {

    // The number of retries of a refused caller, and the shortest delay before a retry.
    constexpr unsigned usualRetries = 1;
    constexpr double minimumRetryDelaySeconds = 0.05;
    // Each bucket starts with the tokens of this period, like the buckets of the hosts.
    constexpr double initialSeconds = 0.5;

    unsigned tokensOf(const RequestKind& kind) { return kind.sharedTokens + kind.ownTokens + kind.outputTokens; }

    double millisecondsBetween(MonotonicTime from, MonotonicTime to) { return secondsOf(to - from) * 1000; }

} // namespace

ReplayCallers::ReplayCallers(const ReplaySettings& settings, const ReplayLoad& load, MonotonicTime start)
    : m_settings(settings)
    , m_load(load)
    , m_start(start)
    , m_random(settings.seed + 1)
    , m_outcomes(settings.kinds.size())
{
    for (std::size_t kind = 0; kind < m_outcomes.size(); ++kind)
        m_outcomes[kind].report.name = settings.kinds[kind].name;
    for (unsigned account = 0; account < settings.accounts; ++account)
        m_buckets.push_back({ replayAccountRate(settings, load, account) * initialSeconds, start });
}

RequestId ReplayCallers::ask(const LoadRequest& request, MonotonicTime now)
{
    const RequestId id(++m_lastRequest);
    Caller& caller = m_callers[id];
    caller.request = request;
    caller.askedAt = now;
    caller.host = m_random.below(m_settings.hosts);
    const auto eager = m_load.strengthOf(LoadChange::EagerCallers, now - m_start);
    caller.retriesLeft = usualRetries + static_cast<unsigned>(eager.value_or(0));
    ++m_outcomes[request.kind].report.asked;
    return id;
}

RequestArrived ReplayCallers::message(const RequestId& id, MonotonicTime now) const
{
    const Caller& caller = m_callers.at(id);
    const RequestKind& kind = kindOf(caller);
    RequestArrived arrived;
    arrived.id = id;
    arrived.method = "POST";
    arrived.path = "/" + kind.name + "/" + std::to_string(id.value);
    arrived.target = arrived.path;
    arrived.keyDigest = replayKeyDigest(caller.request.account);
    arrived.headers = { { "host", "replay" }, { "id", std::to_string(id.value) },
        { "left", std::to_string(millisecondsOf(kind.timeLimit - (now - caller.askedAt))) },
        { "model", caller.request.variant.text() }, { "tokens", std::to_string(tokensOf(kind)) },
        { "part", kind.name + "-" + std::to_string(caller.request.account) } };
    return arrived;
}

EngineJob ReplayCallers::job(const RequestId& id) const
{
    const Caller& caller = m_callers.at(id);
    const RequestKind& kind = kindOf(caller);
    EngineJob job;
    job.variant = caller.request.variant;
    job.sharedPart = kind.name + "-" + std::to_string(caller.request.account);
    job.sharedTokens = kind.sharedTokens;
    job.ownTokens = kind.ownTokens;
    job.outputTokens = kind.outputTokens;
    return job;
}

void ReplayCallers::noteLimit(const RequestId& id, bool isRefusedForLimit, MonotonicTime now)
{
    const Caller& caller = m_callers.at(id);
    AccountBucket& bucket = m_buckets[caller.request.account];
    const double rate = replayAccountRate(m_settings, m_load, caller.request.account);
    const double tokens = tokensOf(kindOf(caller));
    bucket.level = std::min(rate, bucket.level + rate * secondsOf(now - bucket.refilledAt));
    bucket.refilledAt = now;
    if (!isRefusedForLimit)
        bucket.level -= tokens;
    else if (bucket.level >= tokens)
        ++m_refusedBelowLimit;
}

void ReplayCallers::noteFirstPiece(const RequestId& id, MonotonicTime now)
{
    if (const auto found = m_callers.find(id); found != m_callers.end() && !found->second.firstPieceAt)
        found->second.firstPieceAt = now;
}

std::optional<ReplayCallers::Retry> ReplayCallers::answer(
    const RequestId& id, int status, const HeaderList& headers, MonotonicTime now)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end())
        return std::nullopt;
    if (status != 429 && status != 503) {
        end(id, false, now);
        return std::nullopt;
    }
    if (auto retry = makeRetry(id, headers, now))
        return retry;
    Outcomes& outcomes = m_outcomes[found->second.request.kind];
    ++outcomes.report.refused;
    outcomes.refusalMs += millisecondsBetween(found->second.askedAt, now);
    m_callers.erase(found);
    return std::nullopt;
}

std::optional<ReplayCallers::Retry> ReplayCallers::makeRetry(
    const RequestId& id, const HeaderList& headers, MonotonicTime now)
{
    Caller caller = m_callers.at(id);
    if (caller.retriesLeft == 0)
        return std::nullopt;
    const bool isEager = m_load.strengthOf(LoadChange::EagerCallers, now - m_start).has_value();
    const std::string* retryAfter = findHeader(headers, "retry-after");
    const double seconds = isEager || !retryAfter ? 0 : std::atof(retryAfter->c_str());
    const Duration wait = durationOfSeconds(std::max(minimumRetryDelaySeconds, seconds));
    if (now + wait >= caller.askedAt + kindOf(caller).timeLimit)
        return std::nullopt;
    --caller.retriesLeft;
    caller.host = m_random.below(m_settings.hosts);
    m_callers.erase(id);
    const RequestId next(++m_lastRequest);
    m_callers.emplace(next, std::move(caller));
    return Retry { next, wait };
}

void ReplayCallers::end(const RequestId& id, bool isServed, MonotonicTime now)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end())
        return;
    const Caller& caller = found->second;
    const RequestKind& kind = kindOf(caller);
    Outcomes& outcomes = m_outcomes[caller.request.kind];
    if (!isServed || !caller.firstPieceAt || now - caller.askedAt > kind.timeLimit) {
        ++outcomes.report.failed;
    } else {
        outcomes.firstPieceMs.push_back(millisecondsBetween(caller.askedAt, *caller.firstPieceAt));
        const bool isInGoal = *caller.firstPieceAt - caller.askedAt <= kind.latencyGoal;
        ++(isInGoal ? outcomes.report.inGoal : outcomes.report.late);
    }
    m_callers.erase(found);
}

void ReplayCallers::fill(ReplayReport& report) const
{
    for (const Outcomes& outcomes : m_outcomes) {
        KindReport kind = outcomes.report;
        kind.medianFirstPieceMs = quantile(outcomes.firstPieceMs, 0.5);
        kind.p95FirstPieceMs = quantile(outcomes.firstPieceMs, 0.95);
        kind.meanRefusalMs = kind.refused == 0 ? 0 : outcomes.refusalMs / kind.refused;
        report.kinds.push_back(std::move(kind));
    }
    for (const auto& [id, caller] : m_callers)
        ++report.kinds[caller.request.kind].failed;
    report.refusedBelowLimit = m_refusedBelowLimit;
}

} // namespace Catkinwell
