#pragma once

#include <chrono>
#include <cstdint>

namespace Catkinwell {

using Duration = std::chrono::nanoseconds;
// Time for deadlines, leases and rates. SystemClock reads it from CLOCK_BOOTTIME, so it is
// monotonic and includes the time during which the machine was suspended.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Time for logs and for expiry dates set by operators. It may jump.
using WallTime = std::chrono::system_clock::time_point;

// Returns the duration in seconds with its fraction. Thread safe.
inline double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns the duration in whole milliseconds. Thread safe.
inline std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Thread safe. Precondition: the result fits into a Duration, whose maximum is 292 years.
inline Duration durationOfMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

// Thread safe. Precondition: as durationOfMilliseconds().
inline Duration durationOfSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Source of time. Production code uses SystemClock, which may be read from any thread; tests use ManualClock.
class Clock {
public:
    virtual ~Clock() = default;
    virtual MonotonicTime monotonicNow() const = 0;
    virtual WallTime wallNow() const = 0;
};

class SystemClock final : public Clock {
public:
    MonotonicTime monotonicNow() const override;
    WallTime wallNow() const override;
};

// A clock for tests that advances only on request. Not thread safe.
class ManualClock final : public Clock {
public:
    MonotonicTime monotonicNow() const override { return m_now; }
    WallTime wallNow() const override { return m_wall; }

    // Advances both times. Precondition: step is not negative.
    void advance(Duration step);
    // Moves only the wall clock, in either direction.
    void jumpWallClock(Duration step);

private:
    MonotonicTime m_now { std::chrono::hours(1) };
    WallTime m_wall { std::chrono::hours(24 * 365 * 50) };
};

} // namespace Catkinwell
