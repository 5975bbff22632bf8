#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/TokenAmount.h>

namespace Catkinwell {

// Estimates an account's demand on this host from all requested reservations, including refused ones. Not
// thread-safe.
class DemandMeter {
public:
    void record(TokenCount tokens, MonotonicTime now);
    // Tokens a second; an exponential average with a time constant of 5 s.
    double rate(MonotonicTime now) const;
    // Size of the largest recent reservation; decays with a time constant of 30 s.
    double largest(MonotonicTime now) const;

private:
    double m_rate = 0;
    double m_largest = 0;
    MonotonicTime m_at {};
};

} // namespace Catkinwell
