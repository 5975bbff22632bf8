#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// A budget of calls or bytes a second that may be overdrawn once. Not thread safe.
class Pace {
public:
    Pace(double perSecond, double burst, MonotonicTime start)
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

    bool isOpen(MonotonicTime now)
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
