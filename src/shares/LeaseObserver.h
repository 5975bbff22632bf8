#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <optional>

namespace Catkinwell {

// Remembers which holders' leases this host has itself found absent, and since when. The
// store never uses a lease identifier again, so an absent lease stays absent. Not thread safe.
class LeaseObserver {
public:
    // The second period is how long a lease must have been absent before its standing pieces may be reclaimed.
    explicit LeaseObserver(Duration standingReclaimAfter)
        : m_standingReclaimAfter(standingReclaimAfter)
    {
    }

    // Returns whether the lease was not known to be gone before.
    bool noteAbsent(const LeaseId&, MonotonicTime now);
    void notePresent(const LeaseId&);

    bool isGone(const LeaseId& lease) const { return m_gone.contains(lease); }
    // True after a second observation at the end of the period.
    bool isGoneForStanding(const LeaseId&) const;
    // Whether a read of this lease can tell something new.
    bool isWorthReading(const LeaseId&, MonotonicTime now) const;

private:
    struct Absence {
        MonotonicTime first;
        MonotonicTime last;
    };

    Duration m_standingReclaimAfter;
    std::map<LeaseId, Absence> m_gone;
};

} // namespace Catkinwell
