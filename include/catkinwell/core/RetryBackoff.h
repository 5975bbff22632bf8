#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>
#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell {

// The wait before a failed call is made again: doubles with each failure up to a maximum, with a random
// factor between one half and one so that hosts which failed together do not call together. Not thread safe.
class RetryBackoff {
public:
    RetryBackoff(Duration first, Duration maximum)
        : m_first(first)
        , m_maximum(maximum)
    {
    }

    // Returns the wait after one more failure.
    Duration next(RandomGenerator& random)
    {
        const Duration full = std::min(m_maximum, m_first * (std::int64_t { 1 } << std::min(m_failures, 20U)));
        ++m_failures;
        return Duration(static_cast<Duration::rep>((0.5 + 0.5 * random.unit()) * static_cast<double>(full.count())));
    }
    void reset() { m_failures = 0; }
    // The number of failures since the last success.
    unsigned failures() const { return m_failures; }

private:
    Duration m_first;
    Duration m_maximum;
    unsigned m_failures = 0;
};

} // namespace Catkinwell
