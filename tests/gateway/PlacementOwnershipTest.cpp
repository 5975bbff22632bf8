#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/PlacementOwnership.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

constexpr Duration ttl = std::chrono::seconds(2);
constexpr Duration silence = std::chrono::milliseconds(3300);

// Simulates the two store keys and the lease of each host. Hosts lose the connection to the store or freeze at random.
class OwnershipSimulation {
public:
    explicit OwnershipSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            m_hosts.push_back(std::make_unique<Host>("host" + std::to_string(i), seed + static_cast<unsigned>(i)));
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_now += std::chrono::milliseconds(20);
            expireLeases();
            carryOutLateWrites();
            for (auto& host : m_hosts)
                step(*host);
        }
    }

    // A time at which a host could have sent an order.
    struct OrderOpportunity {
        HostId host;
        std::uint64_t token = 0;
        MonotonicTime at {};
    };
    const std::vector<OrderOpportunity>& opportunities() const { return m_opportunities; }

private:
    struct Host {
        Host(std::string name, std::uint64_t seed)
            : id(std::move(name))
            , mirror(StoreUser::Shares, { "k/" }, seed)
            , ownership({ id, 1, "k/", std::chrono::milliseconds(500), silence }, seed)
        {
        }

        HostId id;
        PrefixMirror mirror;
        PlacementOwnership ownership;
        LeaseStatus lease;
        LeaseId storeLease;
        MonotonicTime storeLeaseEnds {};
        MonotonicTime disconnectedUntil {};
        MonotonicTime frozenUntil {};
        unsigned leases = 0;
    };

    void expireLeases()
    {
        for (auto& host : m_hosts) {
            if (host->storeLeaseEnds != MonotonicTime() && m_now >= host->storeLeaseEnds) {
                host->storeLeaseEnds = MonotonicTime();
                std::erase_if(m_items, [&](const auto& item) { return item.second.lease == host->storeLease; });
            }
        }
    }

    void step(Host& host)
    {
        if (m_now < host.frozenUntil)
            return;
        if (m_random.unit() < 0.0008)
            host.frozenUntil = m_now + std::chrono::milliseconds(500 + m_random.below(5000));
        if (m_random.unit() < 0.0008)
            host.disconnectedUntil = m_now + std::chrono::milliseconds(500 + m_random.below(6000));
        const bool isDisconnected = m_now < host.disconnectedUntil;
        if (!isDisconnected)
            renew(host);
        else if (m_now >= host.lease.validUntil)
            host.lease = LeaseStatus();
        EffectList effects;
        host.mirror.tick(m_now, effects);
        host.ownership.tick(host.lease, host.mirror, m_now, effects);
        for (const StoreCall& call : effectsOf<StoreCall>(effects))
            perform(host, call, isDisconnected);
        if (const auto permission = host.ownership.permission(host.lease, m_now);
            permission && m_now >= permission->from)
            m_opportunities.push_back({ host.id, permission->fencingToken, m_now });
    }

    void renew(Host& host)
    {
        if (host.storeLeaseEnds == MonotonicTime()) {
            host.lease = LeaseStatus();
            host.lease.id = host.id.value + "-" + std::to_string(++host.leases);
            host.storeLease = host.lease.id;
        }
        if (host.lease.id.empty())
            host.lease.id = host.storeLease;
        host.storeLeaseEnds = m_now + ttl;
        host.lease.validUntil = m_now + ttl - ttl / 10;
    }

    void perform(Host& host, const StoreCall& call, bool isDisconnected)
    {
        StoreReply reply;
        reply.id = call.id;
        reply.status = StoreStatus::Unknown;
        // A write may succeed although its answer is lost, also seconds later.
        const bool isLost = isDisconnected || m_random.unit() < 0.1;
        const bool isLate
            = isLost && std::holds_alternative<StoreCompareAndSwap>(call.operation) && m_random.unit() < 0.5;
        if (isLate)
            m_lateWrites.emplace_back(m_now + std::chrono::milliseconds(200 + m_random.below(6000)), call);
        else if (!isDisconnected)
            answer(call, reply);
        if (isLost)
            reply = StoreReply { call.id, StoreStatus::Unknown };
        EffectList effects;
        host.mirror.handle(reply, m_now, effects);
        host.ownership.handle(reply, m_now, effects);
    }

    void answer(const StoreCall& call, StoreReply& reply)
    {
        reply.status = StoreStatus::Ok;
        if (const auto* swap = std::get_if<StoreCompareAndSwap>(&call.operation)) {
            const auto item = m_items.find(swap->key);
            const StoreVersion version = item == m_items.end() ? 0 : item->second.entry.version;
            if (version != swap->expectedVersion || (!swap->lease.empty() && !isLive(swap->lease))) {
                reply.status = StoreStatus::Conflict;
                return;
            }
            m_items[swap->key] = { { swap->key, swap->value, ++m_version }, swap->lease };
            reply.version = m_version;
            return;
        }
        // Lists and watches both return all entries.
        for (const auto& [key, item] : m_items)
            reply.entries.push_back(item.entry);
        reply.version = m_version;
        reply.isWholeList = true;
    }

    bool isLive(const LeaseId& lease) const
    {
        return std::any_of(m_hosts.begin(), m_hosts.end(), [&lease](const auto& host) {
            return host->storeLease == lease && host->storeLeaseEnds != MonotonicTime();
        });
    }

    void carryOutLateWrites()
    {
        const auto due = std::exchange(m_lateWrites, {});
        for (const auto& [at, call] : due) {
            StoreReply ignored;
            if (m_now >= at)
                answer(call, ignored);
            else
                m_lateWrites.emplace_back(at, call);
        }
    }

    struct Item {
        StoreEntry entry;
        LeaseId lease;
    };

    RandomGenerator m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<MonotonicTime, StoreCall>> m_lateWrites;
    StoreVersion m_version = 1;
    std::vector<OrderOpportunity> m_opportunities;
};

} // namespace

// Guards against orders of two hosts that are closer together than the silence, and against an older fencing token
// after a newer one, under lost connections to the store, frozen hosts, lost answers and writes that are carried out
// late.
TEST_CASE("Orders of two hosts are always separated by the silence")
{
    const std::uint64_t seed = GENERATE(range(1, 25));
    OwnershipSimulation simulation(seed);
    simulation.run(6000);
    const auto& opportunities = simulation.opportunities();
    INFO("seed " << seed);
    REQUIRE(opportunities.size() > 500);
    for (std::size_t i = 1; i < opportunities.size(); ++i) {
        if (opportunities[i].host == opportunities[i - 1].host)
            continue;
        const auto gap
            = std::chrono::duration_cast<std::chrono::milliseconds>(opportunities[i].at - opportunities[i - 1].at)
                  .count();
        if (gap < 3000 || opportunities[i].token <= opportunities[i - 1].token)
            FAIL(opportunities[i - 1].host.value << " with token " << opportunities[i - 1].token << " was followed by "
                                                 << opportunities[i].host.value << " with token "
                                                 << opportunities[i].token << " after " << gap << " ms");
    }
}
