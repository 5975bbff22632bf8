#include <catkinwell/routing/RetryBudget.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
{
}

void RetryBudget::setSettings(RetryBudgetSettings settings)
{
    m_settings = settings;
    if (settings.requestMemory == Duration::zero())
        m_recentRequests = 0;
    m_available = std::min(m_available, capacity());
}

void RetryBudget::refill(MonotonicTime now)
{
    if (m_refilledAt != MonotonicTime {} && now > m_refilledAt) {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_available += seconds * m_settings.constantPerSecond;
        if (m_settings.requestMemory > Duration::zero())
            m_recentRequests *= std::exp(-seconds / secondsOf(m_settings.requestMemory));
    }
    m_available = std::min(m_available, capacity());
    m_refilledAt = std::max(m_refilledAt, now);
}

void RetryBudget::requestStarted(MonotonicTime now)
{
    refill(now);
    if (m_settings.requestMemory > Duration::zero())
        m_recentRequests += 1;
    m_available = std::min(m_available + m_settings.fraction, capacity());
}

bool RetryBudget::hasRetry(MonotonicTime now)
{
    refill(now);
    return m_available >= 1;
}

bool RetryBudget::tryRetry(MonotonicTime now)
{
    if (!hasRetry(now))
        return false;
    m_available -= 1;
    return true;
}

} // namespace Catkinwell
