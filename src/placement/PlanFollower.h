#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/PlacementPlan.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Maintains a copy of the data centre's plan from the owner's announcements, and
// reads the stored plan if an announcement was missed. Not thread safe.
class PlanFollower {
public:
    // The call identifiers and the random generator must outlive this object.
    PlanFollower(std::string key, StoreCallIds&, RandomGenerator&);

    const PlacementPlan& plan() const { return m_plan; }
    // Replaces the copy. Used by an owner when it steps down.
    void replace(const PlacementPlan& plan) { m_plan = plan; }

    void handle(const PlanAnnounced&, EffectList&);
    bool handle(const StoreReply&, MonotonicTime now);
    void tick(MonotonicTime now, EffectList&);

private:
    void acceptHead(const StoreReply&);
    void acceptBase(const StoreReply&);
    void adoptPlan(const PlanChange& head, PlacementPlan base);

    std::string m_key;
    StoreCallIds& m_callIds;
    RandomGenerator& m_random;
    PlacementPlan m_plan;
    // A head whose base has not been read yet.
    std::optional<PlanChange> m_pendingHead;
    // Set initially and after a missed announcement.
    bool m_needsRead = true;
    std::optional<StoreCallId> m_read;
    MonotonicTime m_notBefore {};
};

} // namespace Catkinwell
