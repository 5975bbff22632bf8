#include <catkinwell/routing/RetryBudget.h>

#include <algorithm>

namespace Catkinwell {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
{
}

void RetryBudget::setSettings(RetryBudgetSettings settings)
{
    m_settings = settings;
    m_available = std::min(m_available, m_settings.capacity);
}

void RetryBudget::refill(MonotonicTime now)
{
    if (m_refilledAt != MonotonicTime {} && now > m_refilledAt)
        m_available += std::chrono::duration<double>(now - m_refilledAt).count() * m_settings.constantPerSecond;
    m_available = std::min(m_available, m_settings.capacity);
    m_refilledAt = std::max(m_refilledAt, now);
}

void RetryBudget::requestStarted(MonotonicTime now)
{
    refill(now);
    m_available = std::min(m_available + m_settings.fraction, m_settings.capacity);
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
