#include "AccountShare.h"

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    // Demand varies by about a tenth within the averaging time, so a host plans for a fifth more than the average.
    constexpr double demandHeadroom = 1.2;
    // Limits the published demand to this multiple of the account's rate, so that retries of refused requests do not
    // displace other hosts entirely.
    constexpr double maxDemand = 5;
    // A loan leaves the lender enough tokens for its own demand over this time.
    constexpr double lenderReserveSeconds = 1;
    constexpr auto shortestRetry = std::chrono::seconds(1);
    constexpr auto longestRetry = std::chrono::seconds(60);

} // namespace

AccountShare::AccountShare(const ClientAccount& account, const ShareOptions& options, MonotonicTime now)
    : m_account(account)
    , m_options(options)
    , m_bucket(now)
    , m_updater(account.id, options.standingValidity)
{
}

void AccountShare::configure(const ClientAccount& account, MonotonicTime now)
{
    refresh(now);
    m_account = account;
    applyUnits(m_floating, m_standing, now);
    setLending(m_lends, now);
}

void AccountShare::setLease(const LeaseStatus& status, MonotonicTime now)
{
    refresh(now);
    m_updater.held().setLease(status);
    refresh(now);
}

void AccountShare::setLending(bool mayLend, MonotonicTime now)
{
    refresh(now);
    const double window = std::chrono::duration<double>(m_options.loanWindow).count();
    // With a small burst, the reduction for lending would take most of the capacity.
    m_lends = mayLend && static_cast<double>(m_account.burst) > 2 * static_cast<double>(m_account.rate) * window;
    applyUnits(m_floating, m_standing, now);
}

void AccountShare::refresh(MonotonicTime now)
{
    const HeldAllocation& held = m_updater.held();
    const MonotonicTime floatingUntil = held.floatingUntil();
    const MonotonicTime standingUntil = held.standingUntil();
    if (m_floating > 0 && floatingUntil <= now)
        applyUnits(0, m_standing, std::max(floatingUntil, MonotonicTime {}));
    if (m_standing > 0 && standingUntil <= now)
        applyUnits(m_floating, 0, std::max(standingUntil, MonotonicTime {}));
    const std::uint32_t floating = now < floatingUntil ? held.floating() : 0;
    const std::uint32_t standing = now < standingUntil ? held.standing() : 0;
    if (floating != m_floating || standing != m_standing)
        applyUnits(floating, standing, now);
}

void AccountShare::applyUnits(std::uint32_t floating, std::uint32_t standing, MonotonicTime at)
{
    m_floating = floating;
    m_standing = standing;
    const std::uint32_t units = floating + standing;
    m_bucket.setLimits(MicroTokens { units } * ppmPerUnit * m_account.rate, microCapacity(units), at);
}

MicroTokens AccountShare::microCapacity(std::uint32_t units) const
{
    const MicroTokens whole = MicroTokens { units } * ppmPerUnit * m_account.burst;
    if (!m_lends)
        return whole;
    const double window = std::chrono::duration<double>(m_options.loanWindow).count();
    const double reduction = static_cast<double>(units) * ppmPerUnit * static_cast<double>(m_account.rate) * window;
    return std::max<MicroTokens>(0, whole - static_cast<MicroTokens>(std::ceil(reduction)));
}

TokenCount AccountShare::capacityOf(std::uint32_t units) const { return microCapacity(units) / 1'000'000; }

double AccountShare::demandUnits(MonotonicTime now) const
{
    const double forRate
        = demandHeadroom * m_demand.rate(now) / static_cast<double>(std::max<TokenCount>(1, m_account.rate));
    const double whole = std::max(1.0, static_cast<double>(capacityOf(totalUnits)));
    double forSize = demandHeadroom * m_demand.largest(now) / whole;
    // Targets are proportional to demand, so a reservation larger than the bucket counts with twice its size.
    if (!m_waiting.empty() && m_waiting.front().tokens > capacityOf(m_floating + m_standing))
        forSize = std::max(forSize, 2 * demandHeadroom * static_cast<double>(m_waiting.front().tokens) / whole);
    return totalUnits * std::min(maxDemand, std::max(forRate, forSize));
}

TokenCount AccountShare::spare(MonotonicTime now)
{
    if (!m_waiting.empty())
        return 0;
    const double reserve = std::min(
        m_demand.rate(now) * lenderReserveSeconds, static_cast<double>(capacityOf(m_floating + m_standing)) / 2);
    return std::max<TokenCount>(0, m_bucket.available(now) - static_cast<TokenCount>(reserve));
}

Duration AccountShare::retryAfter(TokenCount tokens, MonotonicTime now)
{
    const double rate = std::max(static_cast<double>(m_bucket.ratePerSecond()) / 1e6, 1.0);
    const double shortage = static_cast<double>(tokens - m_bucket.available(now));
    const double seconds = std::min(shortage / rate, std::chrono::duration<double>(longestRetry).count());
    return std::max<Duration>(
        shortestRetry, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

ShareStatus AccountShare::status(MonotonicTime now)
{
    refresh(now);
    const AllocationTable& table = m_updater.table();
    const std::uint32_t assigned = table.floatingSum() + table.standingSum();
    return { .account = m_account.id,
        .floatingPpm = m_floating * ppmPerUnit,
        .standingPpm = m_standing * ppmPerUnit,
        .ratePerSecond = static_cast<double>(m_bucket.ratePerSecond()) / 1e6,
        .level = m_bucket.available(now),
        .capacity = m_bucket.capacity() / 1'000'000,
        .demandPerSecond = m_demand.rate(now),
        .waiting = m_waiting.size(),
        .holders = table.allocations.size(),
        .unassignedPpm = (totalUnits - assigned) * ppmPerUnit,
        .age = m_updater.seenAt() == MonotonicTime::min() ? Duration(-1) : now - m_updater.seenAt() };
}

} // namespace Catkinwell
