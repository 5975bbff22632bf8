#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/PlacementPlan.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Keeps a copy of the data centre's plan from the owner's announcements, and
// reads the stored plan when an announcement is missing. Not thread safe.
class PlanFollower {
public:
    // The call identifiers and the generator must outlive this object.
    PlanFollower(std::string key, StoreCallIds&, RandomGenerator&);

    const PlacementPlan& plan() const { return m_plan; }
    // Replaces the copy; used by the owner itself.
    void replace(const PlacementPlan& plan) { m_plan = plan; }

    void handle(const PlanAnnounced&, EffectList&);
    bool handle(const StoreReply&, MonotonicTime now);
    void tick(MonotonicTime now, EffectList&);

private:
    void acceptHead(const StoreReply&);
    void acceptBase(const StoreReply&);
    void join(const PlanChange& head, PlacementPlan base);

    std::string m_key;
    StoreCallIds& m_callIds;
    RandomGenerator& m_random;
    PlacementPlan m_plan;
    // A head whose base must still be read.
    std::optional<PlanChange> m_pendingHead;
    // Set at the start and after a gap between announcements.
    bool m_needsRead = true;
    std::optional<StoreCallId> m_read;
    MonotonicTime m_notBefore {};
};

} // namespace Catkinwell
