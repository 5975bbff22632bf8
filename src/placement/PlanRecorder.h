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
//
// The plan is the head value applied to a base value. A change writes the head alone, whose size follows
// the changes since the base; the compare-and-swap of the head is what fences predecessors off. When the
// head has grown, the confirmed plan is written as the next base, and a later head refers to it.
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
    // The size of the whole plan when it was last written as a base.
    std::size_t lastEncodedBytes() const { return m_lastEncodedBytes; }
    // True if the whole plan does not fit into one value; the owner decides no further loads then.
    bool isTooLarge() const { return m_tooLarge; }

    bool handle(const StoreReply&, MonotonicTime now);
    // Precondition of any effect: the host's lease is valid.
    void tick(MonotonicTime now, EffectList&);

private:
    enum class CallKind {
        ReadHead,
        ReadBase,
        WriteHead,
        ReadNextBase,
        WriteNextBase,
    };

    void noteFailure(MonotonicTime now);
    void acceptHead(const StoreReply&);
    void acceptBase(const StoreReply&);
    void join(const PlanChange& head);
    void acceptHeadWrite(const StoreReply&);
    void acceptNextBase(CallKind, const StoreReply&, MonotonicTime now);
    void write(MonotonicTime now, EffectList&);
    void compact(MonotonicTime now, EffectList&);
    void call(std::optional<std::pair<StoreCallId, CallKind>>&, CallKind, StoreOperation, EffectList&);

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
    std::size_t m_headBytes = 0;
    // The head's version. Not known before the first read, after a write whose version was not told
    // and after a lost reply.
    std::optional<StoreVersion> m_storeVersion;
    // The base that the stored head refers to, and the one that was written to replace it.
    PlacementPlan m_base;
    std::optional<PlacementPlan> m_nextBase;
    bool m_writtenOnNextBase = false;
    // A head whose base must still be read.
    std::optional<PlanChange> m_pendingHead;
    std::uint32_t m_baseFailures = 0;
    // One call for the head and its base, and one for the next base beside it.
    std::optional<std::pair<StoreCallId, CallKind>> m_call;
    std::optional<std::pair<StoreCallId, CallKind>> m_compactionCall;
    PlacementPlan m_compacted;
    std::optional<StoreVersion> m_compactedSlotVersion;
    MonotonicTime m_notBefore {};
    MonotonicTime m_compactNotBefore {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
