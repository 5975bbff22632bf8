#pragma once

#include <catkinwell/core/Clock.h>
#include <sys/time.h>

namespace Catkinwell {

// Converts a duration to a timeval for libevent, in whole microseconds. Thread safe.
inline timeval toTimeval(Duration duration)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return { microseconds / 1'000'000, microseconds % 1'000'000 };
}

} // namespace Catkinwell
