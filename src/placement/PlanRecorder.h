#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/PlacementPlan.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Takes over a data centre's plan with a higher fencing token and records every
// later change by compare-and-swap, one write at a time. Not thread safe.
class PlanRecorder {
public:
    enum class State {
        // This host is not the owner; working and confirmed plans mean nothing.
        Idle,
        TakingOver,
        Ready,
        // Another owner wrote a higher token.
        Superseded,
    };

    // A plan larger than this is not written; the store refuses values above 1 MB.
    static constexpr std::size_t maximumEncodedBytes = 900 * 1000;

    // The call identifiers and the generator must outlive this object.
    PlanRecorder(std::string key, HostId self, Incarnation, StoreCallIds&, RandomGenerator&);

    // Reads the plan and writes it back with a token above both the stored one and atLeast.
    void beginTakeover(FencingToken atLeast, MonotonicTime now);
    void stop();

    State state() const { return m_state; }
    FencingToken token() const { return m_token; }

    // The plan that the owner changes; a change needs markChanged(). Precondition: state() is Ready.
    PlacementPlan& working() { return m_working; }
    const PlacementPlan& working() const { return m_working; }
    void markChanged() { m_changed = true; }
    // The newest plan that the store surely holds.
    const PlacementPlan& confirmed() const { return m_confirmed; }
    // The plan before the takeover, for the first announcement.
    const PlacementPlan& inherited() const { return m_inherited; }
    std::size_t lastEncodedBytes() const { return m_lastEncodedBytes; }
    // True if the last change did not fit; the owner decides no further loads then.
    bool isTooLarge() const { return m_tooLarge; }

    bool handle(const StoreReply&, MonotonicTime now);
    // Precondition of any effect: the host's lease is valid.
    void tick(MonotonicTime now, EffectList&);

private:
    void acceptStored(const StoreReply&);
    void write(MonotonicTime now, EffectList&);

    std::string m_key;
    HostId m_self;
    Incarnation m_incarnation;
    StoreCallIds& m_callIds;
    RandomGenerator& m_random;
    State m_state = State::Idle;
    FencingToken m_token = 0;
    FencingToken m_atLeast = 0;
    PlacementPlan m_working;
    PlacementPlan m_confirmed;
    PlacementPlan m_inherited;
    PlacementPlan m_written;
    std::uint64_t m_nextVersion = 0;
    bool m_changed = false;
    bool m_tooLarge = false;
    std::size_t m_lastEncodedBytes = 0;
    // Not known before the first read, after a write whose version was not told and after a lost reply.
    std::optional<StoreVersion> m_storeVersion;
    std::optional<StoreCallId> m_read;
    std::optional<StoreCallId> m_write;
    MonotonicTime m_notBefore {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
