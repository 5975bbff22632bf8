#include "HeldAllocation.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Number of leases whose renewal time is kept. A host replaces its lease only after it has expired,
    // so entries with older leases have been reclaimed.
    constexpr std::size_t maxOwnLeases = 16;

} // namespace

void HeldAllocation::setLease(const LeaseStatus& status)
{
    m_status = status;
    if (status.id.empty())
        return;
    const auto known = std::find_if(
        m_ownLeases.begin(), m_ownLeases.end(), [&](const auto& entry) { return entry.first == status.id; });
    if (known != m_ownLeases.end()) {
        known->second = status.lastRenewalSentAt;
        return;
    }
    if (m_ownLeases.size() == maxOwnLeases)
        m_ownLeases.erase(m_ownLeases.begin());
    m_ownLeases.emplace_back(status.id, status.lastRenewalSentAt);
}

MonotonicTime HeldAllocation::lastRenewalOf(const LeaseId& lease) const
{
    const auto known
        = std::find_if(m_ownLeases.begin(), m_ownLeases.end(), [&](const auto& entry) { return entry.first == lease; });
    return known == m_ownLeases.end() ? MonotonicTime::min() : known->second;
}

MonotonicTime HeldAllocation::floatingUntil() const
{
    return !m_entry.empty() && m_status.id == m_entry ? m_status.validUntil : MonotonicTime::min();
}

MonotonicTime HeldAllocation::standingUntil() const
{
    const MonotonicTime renewal = m_entry.empty() ? MonotonicTime::min() : lastRenewalOf(m_entry);
    return renewal == MonotonicTime::min() ? renewal : renewal + m_standingValidity;
}

void HeldAllocation::beginWrite(const Allocation& intended, StoreVersion expected)
{
    m_intended = intended;
    m_expected = expected;
    m_floating = std::min(m_floating, intended.floating);
    m_standing = std::min(m_standing, intended.standing);
}

void HeldAllocation::confirmWrite()
{
    m_candidates.clear();
    adopt(m_intended);
}

void HeldAllocation::recordUnknownWrite()
{
    if (std::find(m_candidates.begin(), m_candidates.end(), m_intended.lease) == m_candidates.end())
        m_candidates.push_back(m_intended.lease);
}

bool HeldAllocation::observe(const AllocationTable& table, StoreVersion version)
{
    if (isUncertain() && version <= m_expected)
        return false;
    m_candidates.push_back(m_entry);
    const Allocation* stored = nullptr;
    for (const LeaseId& lease : m_candidates) {
        if (stored == nullptr && !lease.empty())
            stored = table.find(lease);
    }
    adopt(stored == nullptr ? Allocation {} : *stored);
    m_candidates.clear();
    return true;
}

void HeldAllocation::adopt(const Allocation& allocation)
{
    m_entry = allocation.lease;
    m_floating = allocation.floating;
    m_standing = allocation.standing;
}

} // namespace Catkinwell
