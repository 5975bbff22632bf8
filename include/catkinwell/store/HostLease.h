#pragma once

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/LeaseStatus.h>
#include <catkinwell/store/StoreCallIds.h>

namespace Catkinwell {

struct HostRegistration {
    HostId host;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    // Where other hosts reach this one.
    std::string peerAddress;
};

struct HostLeaseSettings {
    // Short enough that the rate shares of a crashed host are free again within 20 s; the store may double it.
    Duration ttl = std::chrono::seconds(10);
    // Three attempts fit into the validity.
    Duration renewalInterval = std::chrono::seconds(3);
    // The key of the host's entry begins with this.
    std::string keyPrefix = "hosts/";
    // Whether the key ends with the incarnation, so that a restarted host need not wait for its earlier lease.
    bool isKeyPerIncarnation = false;
    // The waits after a failed call.
    Duration shortestRetry = std::chrono::milliseconds(500);
    Duration longestRetry = std::chrono::seconds(5);
    Duration callTimeout = std::chrono::seconds(1);
};

// Keeps this host's lease in the store and, under it, the host's entry hosts/<host> in the
// platform's list. Pure; not thread safe.
class HostLease {
public:
    HostLease(HostRegistration, std::uint64_t seed, HostLeaseSettings settings = {});

    void tick(MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);

    // Marks the host as leaving in the platform's list.
    void announceLeaving(MonotonicTime now);
    // Ends the lease, so that what depends on it becomes free at once.
    void revoke(EffectList&);
    // Whether revoke() was answered or there was no lease.
    bool isRevoked() const { return m_revoked; }

    const LeaseStatus& status() const { return m_status; }
    // Whether status() changed since the last call.
    bool changedSinceLastTake();
    // Whether the last call reached the store.
    bool isStoreReachable() const { return m_storeReachable; }

private:
    enum class Call {
        None,
        Create,
        Renew,
        Register,
        Revoke,
    };

    void start(Call, StoreOperation, EffectList&);
    void noteReachable(bool reachable, EffectList&);
    void lose(EffectList&);
    std::string registrationKey() const;
    std::string registrationValue() const;
    MonotonicTime validityEnd(MonotonicTime sentAt) const;

    HostLeaseSettings m_settings;
    HostRegistration m_registration;
    RandomGenerator m_random;
    StoreCallIds m_callIds { StoreUser::HostLease };
    LeaseStatus m_status;
    bool m_changed = false;
    Call m_pending = Call::None;
    StoreCallId m_pendingId;
    MonotonicTime m_nextAt {};
    RetryBackoff m_backoff;
    bool m_registered = false;
    bool m_leaving = false;
    bool m_revoked = false;
    bool m_storeReachable = true;
};

} // namespace Catkinwell
