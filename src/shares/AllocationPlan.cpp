#include "AllocationPlan.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace Catkinwell {

namespace {

    // Fraction of the total that is divided evenly regardless of demand, so that an idle host can serve its first
    // request.
    constexpr double evenFraction = 0.1;
    // A holder needs more units only below this fraction of its target. Demand estimates fluctuate by
    // about this much, and moving units discards the tokens in their bucket.
    constexpr double shortageThreshold = 0.85;
    // Smallest change of the published demand that is worth a write: 6 steps of 5% (about a third).
    constexpr int demandChangeSteps = 6;

    // Maximum number of hosts without an entry for which units are reserved. A larger fleet needs longer to
    // register within its write limit; until then, the first hosts hold more than their part, so that the
    // rate does not go unused.
    constexpr std::uint32_t maxExpectedHosts = 25;

    class Planner {
    public:
        Planner(const AllocationTable& table, const PlanInput& input)
            : m_input(input)
            , m_before(table)
        {
            m_plan.table = table;
        }

        AllocationPlan run()
        {
            reclaim();
            if (m_input.leaving) {
                leave();
                return std::move(m_plan);
            }
            registerOwn();
            countHolders();
            planStanding();
            planFloating();
            publishDemand();
            return std::move(m_plan);
        }

    private:
        Allocation& own() { return m_plan.table.allocations[m_own]; }
        bool isOwn(const Allocation& allocation) const
        {
            return allocation.lease == m_input.lease || allocation.lease == m_input.ownEntry;
        }

        void reclaim()
        {
            auto& allocations = m_plan.table.allocations;
            for (Allocation& allocation : allocations) {
                if (isOwn(allocation) || !m_input.mayReclaimFloating(allocation.lease))
                    continue;
                const bool standingToo = m_input.mayReclaimStanding(allocation.lease);
                m_plan.reclaimed += allocation.floating + (standingToo ? allocation.standing : 0);
                allocation.floating = 0;
                allocation.demandCode = 0;
                if (standingToo)
                    allocation.standing = 0;
            }
            std::erase_if(allocations, [&](const Allocation& allocation) {
                return !isOwn(allocation) && allocation.floating == 0 && allocation.standing == 0
                    && m_input.mayReclaimFloating(allocation.lease);
            });
            m_plan.changed = m_plan.reclaimed > 0 || allocations.size() != m_before.allocations.size();
        }

        void leave()
        {
            if (std::erase_if(m_plan.table.allocations, [&](const Allocation& allocation) { return isOwn(allocation); })
                > 0)
                m_plan.changed = true;
        }

        void registerOwn()
        {
            auto& allocations = m_plan.table.allocations;
            const auto found = std::find_if(allocations.begin(), allocations.end(),
                [&](const Allocation& allocation) { return isOwn(allocation); });
            m_own = static_cast<std::size_t>(found - allocations.begin());
            if (found == allocations.end()) {
                allocations.push_back({ m_input.lease, 0, 0, 0 });
                m_plan.changed = true;
            } else if (found->lease != m_input.lease) {
                found->lease = m_input.lease;
                m_plan.changed = true;
            }
            m_oldDemandCode = own().demandCode;
            own().demandCode = encodeDemand(m_input.demandUnits);
        }

        void countHolders()
        {
            const double even = evenFraction * totalUnits / m_input.liveHosts;
            double weights = 0;
            for (const Allocation& allocation : m_plan.table.allocations) {
                m_isLive.push_back(isOwn(allocation) || !m_input.mayReclaimFloating(allocation.lease));
                m_liveHolders += m_isLive.back() ? 1 : 0;
                m_weights.push_back(m_isLive.back() ? decodeDemand(allocation.demandCode) + even : 0);
                weights += m_weights.back();
            }
            // Hosts without an entry are assumed to need as much as this one.
            m_missing = m_input.liveHosts - std::min(m_input.liveHosts, m_liveHolders);
            m_expected = std::min(m_missing, maxExpectedHosts);
            m_weightSum = weights + m_expected * m_weights[m_own];
        }

        void planStanding()
        {
            const std::uint32_t even = m_input.standingTotal / std::max(m_input.liveHosts, m_liveHolders);
            const std::uint32_t sum = m_plan.table.standingSum();
            const std::uint32_t pool = m_input.standingTotal - std::min(sum, m_input.standingTotal);
            if (own().standing < even) {
                const std::uint32_t gain = std::min(pool, even - own().standing);
                if (gain > even / 10 || (gain > 0 && own().standing == 0))
                    change(own().standing, own().standing + gain);
                return;
            }
            if (own().standing <= even + even / 10)
                return;
            std::uint32_t missing = m_missing * even;
            for (std::size_t i = 0; i < m_plan.table.allocations.size(); ++i) {
                if (m_isLive[i])
                    missing += even - std::min(even, m_plan.table.allocations[i].standing);
            }
            if (missing > pool)
                change(own().standing, own().standing - std::min(own().standing - even, missing - pool));
        }

        // Units beyond all demand are divided evenly, because the next spike may reach any host.
        double targetOf(std::size_t index) const
        {
            if (m_weightSum >= totalUnits)
                return totalUnits * m_weights[index] / m_weightSum;
            return m_weights[index] + (totalUnits - m_weightSum) / (m_liveHolders + m_expected);
        }

        void planFloating()
        {
            const std::uint32_t total = totalUnits - m_input.standingTotal;
            const std::uint32_t sum = m_plan.table.floatingSum();
            const std::uint32_t pool = total - std::min(sum, total);
            const std::uint32_t held = own().floating;
            const auto target = static_cast<std::uint32_t>(std::max(0.0, targetOf(m_own) - own().standing));
            // Beyond the target, a host takes unassigned units that its demand needs, but at most half of them at a
            // time.
            const auto needed = static_cast<std::uint32_t>(std::max(0.0, m_input.demandUnits - own().standing));
            std::uint32_t desired = std::max(target, std::min(needed, held + pool / 2));
            // Targets depend on published demands that may be outdated, so they may leave units unassigned, which no
            // host could use.
            if (m_missing == 0 && pool > total / 20)
                desired = std::max(desired, held + pool / m_liveHolders);
            if (desired > held && pool > 0) {
                const std::uint32_t gain = std::min(pool, desired - held);
                if (gain > held / 20 || m_input.waiting)
                    change(own().floating, held + gain);
                return;
            }
            const std::uint32_t shortage = shortageOfOthers();
            if (held <= target + target / 10 || shortage <= pool)
                return;
            const std::uint32_t reduction = std::min(held - target, shortage - pool);
            if (reduction > held / 20)
                change(own().floating, held - reduction);
        }

        std::uint32_t shortageOfOthers() const
        {
            double shortage = 0;
            for (std::size_t i = 0; i < m_plan.table.allocations.size(); ++i) {
                const double held = m_plan.table.allocations[i].floating + m_plan.table.allocations[i].standing;
                // A demand above the total means an exceptionally large reservation, or a demand far above the rate.
                const double threshold = m_weights[i] > totalUnits ? 1 : shortageThreshold;
                if (i != m_own && m_isLive[i] && held < threshold * targetOf(i))
                    shortage += targetOf(i) - held;
            }
            return static_cast<std::uint32_t>(shortage);
        }

        // Other hosts release units only for published demand.
        void publishDemand()
        {
            const std::uint32_t total = totalUnits - m_input.standingTotal;
            const bool scarce = total - std::min(total, m_plan.table.floatingSum()) < total / 20;
            if (scarce && std::abs(int { own().demandCode } - int { m_oldDemandCode }) >= demandChangeSteps)
                m_plan.changed = true;
        }

        void change(std::uint32_t& field, std::uint32_t value)
        {
            m_plan.changed = m_plan.changed || field != value;
            field = value;
        }

        const PlanInput& m_input;
        const AllocationTable& m_before;
        AllocationPlan m_plan;
        std::size_t m_own = 0;
        std::uint8_t m_oldDemandCode = 0;
        std::vector<bool> m_isLive;
        std::vector<double> m_weights;
        double m_weightSum = 0;
        std::uint32_t m_liveHolders = 0;
        std::uint32_t m_missing = 0;
        std::uint32_t m_expected = 0;
    };

} // namespace

AllocationPlan planAllocations(const AllocationTable& table, const PlanInput& input)
{
    return Planner(table, input).run();
}

} // namespace Catkinwell
