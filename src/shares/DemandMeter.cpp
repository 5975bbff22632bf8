#include "DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    constexpr double rateSeconds = 5;
    constexpr double largestSeconds = 30;

    double decay(MonotonicTime from, MonotonicTime to, double timeConstant)
    {
        return std::exp(-std::max(0.0, std::chrono::duration<double>(to - from).count()) / timeConstant);
    }

} // namespace

void DemandMeter::record(TokenCount tokens, MonotonicTime now)
{
    m_rate = rate(now) + static_cast<double>(tokens) / rateSeconds;
    m_largest = std::max(largest(now), static_cast<double>(tokens));
    m_at = now;
}

double DemandMeter::rate(MonotonicTime now) const { return m_rate * decay(m_at, now, rateSeconds); }

double DemandMeter::largest(MonotonicTime now) const { return m_largest * decay(m_at, now, largestSeconds); }

} // namespace Catkinwell
