#include "LeaseObserver.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // 20 crashes and 380 restarts a day leave at most 20 absent leases in 66 minutes; the loss of a data centre
    // adds 60.
    constexpr std::size_t maxAbsences = 1024;

} // namespace

bool LeaseObserver::recordAbsent(const LeaseId& lease, MonotonicTime now)
{
    if (const auto known = m_absences.find(lease); known != m_absences.end()) {
        known->second.last = now;
        return false;
    }
    if (m_absences.size() >= maxAbsences) {
        const auto oldest = std::min_element(m_absences.begin(), m_absences.end(),
            [](const auto& left, const auto& right) { return left.second.first < right.second.first; });
        m_absences.erase(oldest);
    }
    m_absences.emplace(lease, Absence { now, now });
    return true;
}

void LeaseObserver::recordPresent(const LeaseId& lease) { m_absences.erase(lease); }

bool LeaseObserver::mayReclaimStanding(const LeaseId& lease) const
{
    const auto known = m_absences.find(lease);
    return known != m_absences.end() && known->second.last - known->second.first >= m_standingReclaimAfter;
}

bool LeaseObserver::isWorthReading(const LeaseId& lease, MonotonicTime now) const
{
    const auto known = m_absences.find(lease);
    if (known == m_absences.end())
        return true;
    return now - known->second.first >= m_standingReclaimAfter && !mayReclaimStanding(lease);
}

} // namespace Catkinwell
