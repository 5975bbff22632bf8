#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/LeaseStatus.h>
#include <catkinwell/store/StoreCallIds.h>
#include <optional>
#include <string>

namespace Catkinwell {

// Leader election by means of one key that is bound to the host's lease. Not thread safe.
class OwnerElection {
public:
    // The call identifiers and the random generator must outlive this object.
    OwnerElection(std::string key, HostId self, Incarnation, StoreCallIds&, RandomGenerator&);

    void setLease(const LeaseStatus& lease) { m_lease = lease; }
    // True while this host holds the key under a lease that is valid at now.
    bool isHolder(MonotonicTime now) const { return m_holding && m_lease.isValidAt(now) && m_lease.id == m_heldLease; }
    // The holder that was last read from the store; empty if there was none.
    const HostId& holder() const { return m_holder; }

    // Stops treating this host as the holder until a read of the key confirms it.
    void recheck() { m_holding = false; }
    // Stops competing, and deletes the key if this host holds it.
    void beginRelease() { m_releasing = true; }
    bool isReleased() const { return m_releasing && !m_holding && !m_call; }

    bool handle(const StoreReply&, MonotonicTime now);
    void tick(MonotonicTime now, EffectList&);

private:
    enum class CallKind {
        Read,
        Wait,
        Write,
        Remove,
    };

    std::string ownValue() const;
    void call(CallKind, StoreOperation, EffectList&, Duration timeout = std::chrono::seconds(2));
    void acceptValue(const StoreReply&, MonotonicTime now);

    std::string m_key;
    HostId m_self;
    Incarnation m_incarnation;
    StoreCallIds& m_callIds;
    RandomGenerator& m_random;
    LeaseStatus m_lease;
    LeaseId m_heldLease;
    bool m_holding = false;
    bool m_releasing = false;
    HostId m_holder;
    // The key's version; 0 if the key does not exist; empty if the version is unknown: before the first read, after a
    // write or a failed call, and after the lease ended.
    std::optional<StoreVersion> m_version;
    std::optional<std::pair<StoreCallId, CallKind>> m_call;
    MonotonicTime m_notBefore {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
