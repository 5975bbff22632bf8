#pragma once

#include <algorithm>
#include <catkinwell/core/Clock.h>
#include <catkinwell/core/TokenAmount.h>
#include <vector>

namespace Catkinwell {

struct Admission {
    MonotonicTime at;
    TokenCount tokens = 0;
};

// From this time on, the hosts together must not use more than this rate (tokens per second).
struct RateFrom {
    MonotonicTime at;
    double rate = 0;
};

// Returns the largest number of tokens by which the admissions in any time window exceed rate × time + burst; negative
// if no window exceeds it. Uses only the recorded admissions. The rates must be in order of time, and the first must
// not be later than the first admission.
inline double largestExcess(std::vector<Admission> record, const std::vector<RateFrom>& rates, double burst)
{
    std::stable_sort(record.begin(), record.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    double filled = 0;
    double worst = 0;
    std::size_t current = 0;
    MonotonicTime last = rates.front().at;
    const auto drainUntil = [&](MonotonicTime until) {
        filled = std::max(0.0, filled - rates[current].rate * std::chrono::duration<double>(until - last).count());
        last = until;
    };
    for (const Admission& admission : record) {
        for (; current + 1 < rates.size() && rates[current + 1].at <= admission.at; ++current)
            drainUntil(rates[current + 1].at);
        drainUntil(admission.at);
        filled += static_cast<double>(admission.tokens);
        worst = std::max(worst, filled);
    }
    return worst - burst;
}

} // namespace Catkinwell
