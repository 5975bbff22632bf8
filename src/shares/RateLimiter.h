#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// Limits the rate of calls or bytes. Any amount may be spent while credit is left, so the credit may become
// negative. Not thread-safe.
class RateLimiter {
public:
    RateLimiter(double perSecond, double burst, MonotonicTime start)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_credit(burst)
        , m_at(start)
    {
    }

    void setLimits(double perSecond, double burst)
    {
        m_perSecond = perSecond;
        m_burst = burst;
        m_credit = std::min(m_credit, burst);
    }

    bool hasCredit(MonotonicTime now)
    {
        if (now > m_at) {
            m_credit = std::min(m_burst, m_credit + m_perSecond * std::chrono::duration<double>(now - m_at).count());
            m_at = now;
        }
        return m_credit > 0;
    }

    void spend(double amount) { m_credit -= amount; }

private:
    double m_perSecond;
    double m_burst;
    double m_credit;
    MonotonicTime m_at;
};

} // namespace Catkinwell
