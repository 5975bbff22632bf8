#include "LeaseObserver.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // 20 crashes and 380 restarts a day leave at most 20 absent leases in 66 minutes; the loss of a data centre
    // adds 60.
    constexpr std::size_t maxGone = 1024;

} // namespace

bool LeaseObserver::noteAbsent(const LeaseId& lease, MonotonicTime now)
{
    if (const auto known = m_gone.find(lease); known != m_gone.end()) {
        known->second.last = now;
        return false;
    }
    if (m_gone.size() >= maxGone) {
        const auto oldest = std::min_element(m_gone.begin(), m_gone.end(),
            [](const auto& left, const auto& right) { return left.second.first < right.second.first; });
        m_gone.erase(oldest);
    }
    m_gone.emplace(lease, Absence { now, now });
    return true;
}

void LeaseObserver::notePresent(const LeaseId& lease) { m_gone.erase(lease); }

bool LeaseObserver::isGoneForStanding(const LeaseId& lease) const
{
    const auto known = m_gone.find(lease);
    return known != m_gone.end() && known->second.last - known->second.first >= m_standingReclaimAfter;
}

bool LeaseObserver::isWorthReading(const LeaseId& lease, MonotonicTime now) const
{
    const auto known = m_gone.find(lease);
    if (known == m_gone.end())
        return true;
    return now - known->second.first >= m_standingReclaimAfter && !isGoneForStanding(lease);
}

} // namespace Catkinwell
