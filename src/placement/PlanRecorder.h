#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/placement/PlacementPlan.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Takes over a data centre's plan with a higher fencing token and stores every
// later change by compare-and-swap, one write at a time. Not thread safe.
//
// The stored plan consists of a base value and a head value with the changes since the base. A change only
// writes the head; its compare-and-swap fences previous owners off. When the head exceeds a size limit, the
// confirmed plan is written as the next base, and later heads refer to that.
class PlanRecorder {
public:
    enum class State {
        // This host is not the owner; the working and confirmed plans are not valid.
        Idle,
        TakingOver,
        Ready,
        // Another owner wrote a head with the same or a higher fencing token.
        Superseded,
    };

    // Larger values are not written. The store rejects values above 1 MB.
    static constexpr std::size_t maximumEncodedBytes = 900 * 1000;

    // The call identifiers and the random generator must outlive this object.
    PlanRecorder(std::string key, HostId self, Incarnation, StoreCallIds&, RandomGenerator&);

    // Reads the plan and writes it back with a fencing token above both the stored one and highestKnownToken.
    void beginTakeover(FencingToken highestKnownToken, MonotonicTime now);
    void stop();

    State state() const { return m_state; }
    FencingToken token() const { return m_token; }

    // The plan that the owner modifies. markChanged() must be called after a change. Precondition: state() is Ready.
    PlacementPlan& working() { return m_working; }
    const PlacementPlan& working() const { return m_working; }
    void markChanged() { m_changed = true; }
    // The latest plan that the store is known to hold.
    const PlacementPlan& confirmed() const { return m_confirmed; }
    // The stored plan before the takeover, for the first announcement.
    const PlacementPlan& inherited() const { return m_inherited; }
    // The size of the whole plan when it was last encoded as a base.
    std::size_t lastEncodedBytes() const { return m_lastEncodedBytes; }
    // True if the plan exceeds maximumEncodedBytes. The owner then plans no further loads.
    bool isTooLarge() const { return m_tooLarge; }

    bool handle(const StoreReply&, MonotonicTime now);
    // Effects must only be executed while the host's lease is valid.
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
    void adoptStoredPlan(const PlanChange& head);
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
    FencingToken m_highestKnownToken = 0;
    PlacementPlan m_working;
    PlacementPlan m_confirmed;
    PlacementPlan m_inherited;
    PlacementPlan m_written;
    std::uint64_t m_nextVersion = 0;
    bool m_changed = false;
    bool m_tooLarge = false;
    std::size_t m_lastEncodedBytes = 0;
    std::size_t m_headBytes = 0;
    // The head's store version. Empty before the first read, and after a write that failed or whose reply
    // did not contain the version.
    std::optional<StoreVersion> m_storeVersion;
    // The base that the stored head refers to, and the base that was written to replace it.
    PlacementPlan m_base;
    std::optional<PlacementPlan> m_nextBase;
    bool m_writtenOnNextBase = false;
    // A head whose base has not been read yet.
    std::optional<PlanChange> m_pendingHead;
    std::uint32_t m_baseFailures = 0;
    // The call for the head and its base, and the concurrent call for the next base.
    std::optional<std::pair<StoreCallId, CallKind>> m_call;
    std::optional<std::pair<StoreCallId, CallKind>> m_compactionCall;
    PlacementPlan m_compacted;
    std::optional<StoreVersion> m_nextBaseStoreVersion;
    MonotonicTime m_notBefore {};
    MonotonicTime m_compactNotBefore {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
