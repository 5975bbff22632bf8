#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/TokenAmount.h>

namespace Catkinwell {

// Estimates an account's demand on this host from the reservations asked for, refused ones included. Not thread safe.
class DemandMeter {
public:
    void record(TokenCount tokens, MonotonicTime now);
    // Tokens a second, an exponential average over about 5 s.
    double rate(MonotonicTime now) const;
    // The largest reservation lately; forgotten over about 30 s.
    double largest(MonotonicTime now) const;

private:
    double m_rate = 0;
    double m_largest = 0;
    MonotonicTime m_at {};
};

} // namespace Catkinwell
