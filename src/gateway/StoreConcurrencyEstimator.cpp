#include <catkinwell/gateway/StoreConcurrencyEstimator.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    // Both ratios exceed 1 because the end of a load is noticed a few hundred milliseconds late.
    constexpr double slowRatio = 1.2;
    constexpr double fullSpeedRatio = 1.1;
    constexpr double sampleWeight = 0.5;
    constexpr double growthPerRound = 1.5;
    // Loads that ran together, as a fraction of the estimate, from which on they show that the store bears more.
    constexpr double wholeRound = 0.8;

} // namespace

void StoreConcurrencyEstimator::advance(MonotonicTime now)
{
    if (m_advancedAt != MonotonicTime())
        m_loadSeconds += m_running * secondsOf(now - m_advancedAt);
    m_advancedAt = now;
}

void StoreConcurrencyEstimator::setRunning(unsigned running, MonotonicTime now)
{
    advance(now);
    m_running = running;
}

StoreConcurrencyEstimator::Start StoreConcurrencyEstimator::started(MonotonicTime now)
{
    advance(now);
    return { now, m_loadSeconds };
}

void StoreConcurrencyEstimator::finished(const Start& start, Duration stated, MonotonicTime now)
{
    advance(now);
    const double seconds = secondsOf(now - start.at);
    if (seconds <= 0 || stated <= Duration::zero())
        return;
    const double running = std::max(1.0, (m_loadSeconds - start.loadSeconds) / seconds);
    const double ratio = seconds / secondsOf(stated);
    m_isLimitSeen = m_isLimitSeen || ratio >= fullSpeedRatio;
    if (m_isLimitSeen)
        m_growth = 1;
    else if (running >= m_estimate * wholeRound)
        m_growth = growthPerRound;
    if (ratio > slowRatio)
        m_estimate += sampleWeight * (running / ratio - m_estimate);
    else
        m_estimate = std::max(m_estimate, ratio < fullSpeedRatio ? running : running / ratio);
}

unsigned StoreConcurrencyEstimator::concurrency(unsigned mostTried) const
{
    const double tried = std::min(m_estimate * m_growth, static_cast<double>(mostTried));
    return static_cast<unsigned>(std::max(1L, std::lround(std::max(m_estimate, tried))));
}

} // namespace Catkinwell
