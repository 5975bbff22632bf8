#include <catkinwell/core/Clock.h>

#include <ctime>

namespace Catkinwell {

MonotonicTime SystemClock::monotonicNow() const
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return MonotonicTime(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

WallTime SystemClock::wallNow() const { return std::chrono::system_clock::now(); }

void ManualClock::advance(Duration step)
{
    m_now += step;
    m_wall += std::chrono::duration_cast<WallTime::duration>(step);
}

void ManualClock::jumpWallClock(Duration step) { m_wall += std::chrono::duration_cast<WallTime::duration>(step); }

} // namespace Catkinwell
