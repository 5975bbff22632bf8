#pragma once

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <map>
#include <set>
#include <string>

namespace Catkinwell {

// Endpoints that operators take out of service. A drain takes effect on this host at once and is written to the store
// under leaving/<endpoint>, where every host reads it together with the platform's own marks. Performs no I/O itself;
// not thread safe.
class EndpointDrains {
public:
    explicit EndpointDrains(std::uint64_t seed);

    // Starts or ends a drain. The write is retried until the store has accepted it.
    void set(const EndpointId&, bool draining, const std::string& reason, MonotonicTime now);

    void tick(MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);

    // Returns the marks that were read from the store, with the changes of this host that they may not contain yet.
    std::set<EndpointId> withLocalChanges(std::set<EndpointId> marks) const;
    // Whether every change has been written to the store.
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
    // Changes that were written, but that the marks which membership has read may not contain yet.
    std::map<EndpointId, Written> m_written;
    StoreCallId m_pending;
    EndpointId m_pendingEndpoint;
    bool m_hasPending = false;
    bool m_pendingWrite = false;
};

} // namespace Catkinwell
