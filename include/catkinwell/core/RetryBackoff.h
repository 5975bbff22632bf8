#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>
#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell {

// Exponential backoff: the delay before a retry doubles with each failure up to a maximum. A random factor between
// one half and one keeps hosts that failed together from retrying together. Not thread safe.
class RetryBackoff {
public:
    RetryBackoff(Duration first, Duration maximum)
        : m_first(first)
        , m_maximum(maximum)
    {
    }

    // Counts a failure and returns the delay before the retry.
    Duration next(RandomGenerator& random)
    {
        const Duration full = std::min(m_maximum, m_first * (std::int64_t { 1 } << std::min(m_failures, 20U)));
        ++m_failures;
        return Duration(static_cast<Duration::rep>((0.5 + 0.5 * random.unit()) * static_cast<double>(full.count())));
    }
    void reset() { m_failures = 0; }
    // Returns the number of failures since the last reset().
    unsigned failures() const { return m_failures; }

private:
    Duration m_first;
    Duration m_maximum;
    unsigned m_failures = 0;
};

} // namespace Catkinwell
