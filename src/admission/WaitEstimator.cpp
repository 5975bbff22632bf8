#include <catkinwell/admission/WaitEstimator.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Long enough to average over requests that take a few seconds, short enough to detect the loss of a replica.
    constexpr double halfLifeSeconds = 10;
    // Over a shorter time, single requests dominate the service rate.
    constexpr double minimumBusySeconds = 1;
    constexpr Seconds maximumPrediction = std::chrono::hours(24);

    double secondsBetween(MonotonicTime from, MonotonicTime to) { return Seconds(to - from).count(); }

} // namespace

WaitEstimator::WaitEstimator(std::size_t maximumModels)
    : m_maximumModels(std::max<std::size_t>(1, maximumModels))
{
}

WaitEstimator::ModelState& WaitEstimator::stateOf(const ModelId& model, MonotonicTime now)
{
    if (!m_models.contains(model) && m_models.size() >= m_maximumModels) {
        m_models.erase(std::min_element(m_models.begin(), m_models.end(),
            [](const auto& left, const auto& right) { return left.second.updatedAt < right.second.updatedAt; }));
    }
    const auto [item, isNew] = m_models.try_emplace(model);
    ModelState& state = item->second;
    if (isNew)
        state.updatedAt = now;
    // Time in which no request waits for a loaded model is neither counted nor causes decay.
    if (state.isBacklogged && !state.readyAt && now > state.updatedAt) {
        const double elapsed = secondsBetween(state.updatedAt, now);
        const double decay = std::exp2(-elapsed / halfLifeSeconds);
        state.tokens *= decay;
        state.busySeconds = state.busySeconds * decay + elapsed;
    }
    state.updatedAt = std::max(state.updatedAt, now);
    return state;
}

void WaitEstimator::setBacklogged(const ModelId& model, bool backlogged, MonotonicTime now)
{
    stateOf(model, now).isBacklogged = backlogged;
}

void WaitEstimator::served(const ModelId& model, double tokens, MonotonicTime now)
{
    ModelState& state = stateOf(model, now);
    if (state.isBacklogged && !state.readyAt)
        state.tokens += tokens;
}

void WaitEstimator::loadExpected(const ModelId& model, MonotonicTime readyAt, MonotonicTime now)
{
    stateOf(model, now).readyAt = readyAt;
}

void WaitEstimator::loaded(const ModelId& model, MonotonicTime now) { stateOf(model, now).readyAt.reset(); }

std::optional<double> WaitEstimator::serviceRate(const ModelId& model) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end() || found->second.busySeconds < minimumBusySeconds || found->second.tokens <= 0)
        return std::nullopt;
    return found->second.tokens / found->second.busySeconds;
}

WaitEstimate WaitEstimator::estimate(
    const ModelId& model, double tokensAhead, MonotonicTime deadline, MonotonicTime now) const
{
    WaitEstimate estimate;
    const auto found = m_models.find(model);
    Seconds wait { 0 };
    if (found != m_models.end() && found->second.readyAt) {
        // An overdue load may complete at any time.
        wait = std::max(Seconds(0), Seconds(*found->second.readyAt - now));
        estimate.expectedWait = std::chrono::duration_cast<Duration>(wait);
    }
    if (const auto rate = serviceRate(model)) {
        wait = std::min(maximumPrediction, wait + Seconds(tokensAhead / *rate));
        estimate.expectedWait = std::chrono::duration_cast<Duration>(wait);
    }
    if (estimate.expectedWait && now + *estimate.expectedWait >= deadline) {
        const Duration excess = now + *estimate.expectedWait - deadline;
        estimate.refuseRetryAfter = std::max<Duration>(std::chrono::seconds(1), excess);
    }
    return estimate;
}

} // namespace Catkinwell
