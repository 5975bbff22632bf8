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
            for (auto& host : m_hosts)
                step(*host);
        }
    }

    // A time at which a host could have sent an order.
    struct Use {
        HostId host;
        std::uint64_t token = 0;
        MonotonicTime at {};
    };
    const std::vector<Use>& uses() const { return m_uses; }

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
        MonotonicTime cutUntil {};
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
            host.cutUntil = m_now + std::chrono::milliseconds(500 + m_random.below(6000));
        const bool isCut = m_now < host.cutUntil;
        if (!isCut)
            renew(host);
        else if (m_now >= host.lease.validUntil)
            host.lease = LeaseStatus();
        EffectList effects;
        host.mirror.tick(m_now, effects);
        host.ownership.tick(host.lease, host.mirror, m_now, effects);
        for (const StoreCall& call : effectsOf<StoreCall>(effects))
            perform(host, call, isCut);
        if (const auto permission = host.ownership.permission(host.lease, m_now);
            permission && m_now >= permission->from)
            m_uses.push_back({ host.id, permission->fencingToken, m_now });
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

    void perform(Host& host, const StoreCall& call, bool isCut)
    {
        StoreReply reply;
        reply.id = call.id;
        reply.status = StoreStatus::Unknown;
        // A write may succeed although its answer is lost.
        const bool isLost = isCut || m_random.unit() < 0.1;
        if (!isCut)
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
            if (version != swap->expectedVersion) {
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

    struct Item {
        StoreEntry entry;
        LeaseId lease;
    };

    RandomGenerator m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, Item> m_items;
    StoreVersion m_version = 1;
    std::vector<Use> m_uses;
};

} // namespace

// Guards against orders of two hosts that are closer together than the silence, and against an older fencing token
// after a newer one, under lost connections to the store, frozen hosts and lost answers.
TEST_CASE("Orders of two hosts are always separated by the silence")
{
    const std::uint64_t seed = GENERATE(range(1, 25));
    OwnershipSimulation simulation(seed);
    simulation.run(6000);
    const auto& uses = simulation.uses();
    INFO("seed " << seed);
    REQUIRE(uses.size() > 500);
    for (std::size_t i = 1; i < uses.size(); ++i) {
        if (uses[i].host == uses[i - 1].host)
            continue;
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(uses[i].at - uses[i - 1].at).count();
        if (gap < 3000 || uses[i].token <= uses[i - 1].token)
            FAIL(uses[i - 1].host.value << " with token " << uses[i - 1].token << " was followed by "
                                        << uses[i].host.value << " with token " << uses[i].token << " after " << gap
                                        << " ms");
    }
}
