#pragma once

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <map>
#include <set>
#include <string>

namespace Catkinwell {

// Endpoints that operators take out of service. A drain is in force on this host at once
// and is written to the store under leaving/<endpoint>, where every host reads it with the
// platform's own marks. Pure; not thread safe.
class EndpointDrains {
public:
    explicit EndpointDrains(std::uint64_t seed);

    // Starts or ends a drain. It is repeated until the store has taken it.
    void set(const EndpointId&, bool draining, const std::string& reason, MonotonicTime now);

    void tick(MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);

    // Applies this host's unwritten changes to the marks that were read from the store.
    std::set<EndpointId> withLocalChanges(std::set<EndpointId> marks) const;
    // Whether every change has reached the store.
    bool isWritten() const { return m_changes.empty(); }

private:
    struct Change {
        bool draining = false;
        std::string reason;
        // Whether the current version of the key is known, so that it can be written.
        bool versionKnown = false;
        StoreVersion version = 0;
        MonotonicTime nextAt {};
        RetryBackoff backoff { std::chrono::milliseconds(400), std::chrono::milliseconds(6400) };
    };

    struct Written {
        bool draining = false;
        MonotonicTime until {};
    };

    void applyReply(const EndpointId&, Change&, const StoreReply&, MonotonicTime now);

    RandomGenerator m_random;
    StoreCallIds m_callIds { StoreUser::Administration };
    std::map<EndpointId, Change> m_changes;
    // Written, but perhaps not yet part of the marks that membership has read.
    std::map<EndpointId, Written> m_written;
    StoreCallId m_pending;
    EndpointId m_pendingEndpoint;
    bool m_hasPending = false;
    bool m_pendingWrite = false;
};

} // namespace Catkinwell
