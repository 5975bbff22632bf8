#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// Estimates from load times how many loads the weight store serves concurrently at full speed. With more loads each one
// takes proportionally longer, so that all are ready late and none earlier. Rounds of loads at full speed make the
// estimate grow until one shows the limit. Pure; not thread safe.
class StoreConcurrencyEstimator {
public:
    // State recorded at the start of a load.
    struct Start {
        MonotonicTime at {};
        // Integral of the number of running loads over time, in load seconds.
        double loadSeconds = 0;
    };

    // Precondition: assumed is positive. It is the estimate before the first measurement.
    explicit StoreConcurrencyEstimator(unsigned assumed)
        : m_estimate(assumed)
    {
    }

    // Sets the number of loads that run from now on.
    void setRunning(unsigned running, MonotonicTime now);
    Start started(MonotonicTime now);
    // Records the end of a load that would have taken the stated time at full speed.
    void finished(const Start&, Duration stated, MonotonicTime now);

    // Returns the number of loads to run at the same time, at least 1: the estimated number at full speed, or more up
    // to the given number before the limit is known.
    unsigned concurrency(unsigned mostTried) const;

private:
    void advance(MonotonicTime now);

    double m_estimate;
    // Factor by which the next round of loads may exceed the estimate.
    double m_growth = 1;
    // Whether a load was slowed down by the others.
    bool m_isLimitSeen = false;
    unsigned m_running = 0;
    double m_loadSeconds = 0;
    MonotonicTime m_advancedAt {};
};

} // namespace Catkinwell
