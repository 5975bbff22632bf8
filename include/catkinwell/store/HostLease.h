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
    // Address on which this host accepts peer messages.
    std::string peerAddress;
    // Address on which it accepts relayed requests; empty if it accepts none.
    std::string relayAddress {};
};

struct HostLeaseSettings {
    // Short enough to free the rate shares of a crashed host within 20 s, although the store may take twice this time
    // to expire a lease.
    Duration ttl = std::chrono::seconds(10);
    // Allows three renewal attempts within the validity.
    Duration renewalInterval = std::chrono::seconds(3);
    // Prefix of the key of the host's entry.
    std::string keyPrefix = "hosts/";
    // Whether the key ends with the incarnation and, after a restore of the store, with its epoch, so that neither a
    // restarted host nor one whose earlier entry was restored need wait until the lease of that entry expires.
    bool isKeyPerIncarnation = false;
    // Shortest and longest delay after a failed call.
    Duration shortestRetry = std::chrono::milliseconds(500);
    Duration longestRetry = std::chrono::seconds(5);
    Duration callTimeout = std::chrono::seconds(1);
};

// Maintains this host's lease in the store and, under this lease, the host's entry in the list of hosts (by default
// hosts/<host>). Pure; not thread safe.
class HostLease {
public:
    HostLease(HostRegistration, std::uint64_t seed, HostLeaseSettings settings = {});

    void tick(MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);

    // Gives up the lease, which the restored store may lack or have given to another host, and requests a new one after
    // the delay.
    void noteRestored(StoreEpoch, Duration delay, MonotonicTime now, EffectList&);
    // Has the host's entry written again with the leaving flag at the next tick.
    void announceLeaving(MonotonicTime now);
    // Revokes the lease, so that everything held under it is released at once.
    void revoke(EffectList&);
    // Whether the store call of revoke() has ended, with or without success, or there was no lease.
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
        ReadEntry,
        Revoke,
    };

    void start(Call, StoreOperation, EffectList&);
    void handleRegistration(StoreStatus, MonotonicTime now);
    void updateReachability(bool reachable, EffectList&);
    void dropLease(EffectList&);
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
    // Whether the version of the host's entry has to be read before the entry is written.
    bool m_mustReadEntry = false;
    // The version that the next write of the entry replaces.
    StoreVersion m_entryVersion = 0;
    bool m_leaving = false;
    bool m_revoked = false;
    bool m_storeReachable = true;
    // The store's epoch if it was restored since the start, otherwise 0.
    StoreEpoch m_restoredEpoch = 0;
};

} // namespace Catkinwell
