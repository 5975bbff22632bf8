#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// Learns how many loads the weight store serves at full speed from how long loads take. With more of them each takes
// longer in proportion, so that all end late and none is ready sooner. Pure; not thread safe.
class WeightStoreSpeed {
public:
    // What a load needs to remember of its start.
    struct Start {
        MonotonicTime at {};
        // Loads that ran, added up over time, in load seconds.
        double loadSeconds = 0;
    };

    // Precondition: assumed is positive. It is the number of loads until something was learnt.
    explicit WeightStoreSpeed(unsigned assumed)
        : m_estimate(assumed)
    {
    }

    // Tells how many loads run from now on.
    void setRunning(unsigned running, MonotonicTime now);
    Start started(MonotonicTime now);
    // A load that would have taken the stated time alone has ended.
    void finished(const Start&, Duration stated, MonotonicTime now);

    // Loads that run at full speed together, 1 at least.
    unsigned concurrency() const;

private:
    void advance(MonotonicTime now);

    double m_estimate;
    unsigned m_running = 0;
    double m_loadSeconds = 0;
    MonotonicTime m_advancedAt {};
};

} // namespace Catkinwell
