#pragma once

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/membership/MembershipManager.h>
#include <catkinwell/store/StoreCallIds.h>

namespace Catkinwell {

// Polls the platform's lists of hosts and of leaving endpoints, each with at most one outstanding call. The last
// lists read stay in use while the store is unreachable. Not thread safe.
class PlatformListReader {
public:
    // The reference must stay valid.
    explicit PlatformListReader(RandomGenerator& random);

    void tick(MonotonicTime now, EffectList& effects);
    void handle(const StoreReply& reply, MonotonicTime now, EffectList& effects);
    // Returns a newly read list of hosts, once.
    std::optional<std::vector<PlatformHost>> takeHosts();
    // Returns the newly read leaving endpoints, once.
    std::optional<std::set<EndpointId>> takeLeaving();

private:
    struct Poll {
        std::string prefix;
        std::optional<StoreCallId> call {};
        MonotonicTime lostAt {};
        MonotonicTime nextAt {};
        RetryBackoff backoff;
        bool failed = false;
    };

    void tickPoll(Poll& poll, MonotonicTime now, EffectList& effects);
    // Returns whether the reply answered the poll and its entries can be used.
    bool finish(Poll& poll, const StoreReply& reply, MonotonicTime now, EffectList& effects);
    void noteReadable(Poll& poll, bool readable, const std::string& reason, EffectList& effects);

    RandomGenerator& m_random;
    StoreCallIds m_ids { StoreUser::Membership };
    Poll m_hostPoll;
    Poll m_leavingPoll;
    std::optional<std::vector<PlatformHost>> m_hosts;
    std::optional<std::set<EndpointId>> m_leaving;
    bool m_hadHosts = false;
};

} // namespace Catkinwell
