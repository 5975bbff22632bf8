#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <optional>

namespace Catkinwell {

// Records which holders' leases this host has read as absent, and when. The store never reuses a
// lease identifier, so an absent lease stays absent. Not thread-safe.
class LeaseObserver {
public:
    // A lease must have been absent for this long before its standing units may be reclaimed.
    explicit LeaseObserver(Duration standingReclaimAfter)
        : m_standingReclaimAfter(standingReclaimAfter)
    {
    }

    // Returns whether this is the first observation of the lease's absence.
    bool recordAbsent(const LeaseId&, MonotonicTime now);
    void recordPresent(const LeaseId&);

    bool isAbsent(const LeaseId& lease) const { return m_absences.contains(lease); }
    // True after a further observation at or after the end of the period.
    bool mayReclaimStanding(const LeaseId&) const;
    // Returns whether a read of this lease can change the results of the functions above.
    bool isWorthReading(const LeaseId&, MonotonicTime now) const;

private:
    struct Absence {
        MonotonicTime first;
        MonotonicTime last;
    };

    Duration m_standingReclaimAfter;
    std::map<LeaseId, Absence> m_absences;
};

} // namespace Catkinwell
