#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>
#include <utility>

namespace Catkinwell {

// Measures for how long this process stood still or was behind. What others sent meanwhile may be unread, so that time
// says nothing about them. Not thread safe.
class OwnPause {
public:
    // Returns by how much the time since the last tick exceeds what a process in time needs; 0 at the first tick.
    Duration beforeTick(MonotonicTime now)
    {
        const MonotonicTime lastTick = std::exchange(m_lastTickAt, now);
        const Duration gap = lastTick == MonotonicTime() ? Duration::zero() : now - lastTick;
        return std::max<Duration>(Duration::zero(), gap - longestTickGap);
    }

private:
    // Several times the interval of the ticks.
    static constexpr Duration longestTickGap = std::chrono::milliseconds(100);

    MonotonicTime m_lastTickAt {};
};

} // namespace Catkinwell
