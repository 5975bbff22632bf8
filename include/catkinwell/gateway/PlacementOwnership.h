#pragma once

#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/store/LeaseStatus.h>

namespace Catkinwell {

// Competes for the store key that makes a host the placement owner. The key is bound to the host's lease. A second key
// without a lease names the host that last sent orders, the store's epoch and that host's ownership: any other host
// waits for a while after it has become the owner and before its first order, so that orders of two hosts never
// interleave at an engine. A record of an earlier epoch, or none after a restore, does not tell who sent the last
// orders. Pure; not thread safe.
class PlacementOwnership {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation = 0;
        // Prefix of the keys.
        std::string keyPrefix;
        // Longest time between checking the permission and sending an order.
        Duration sendMargin = std::chrono::milliseconds(500);
        // How long a new owner sends no orders if another host sent the last ones.
        Duration silence = std::chrono::milliseconds(3300);
    };

    PlacementOwnership(Settings, std::uint64_t seed);

    // Precondition: the mirror covers the keys.
    void tick(const LeaseStatus&, const PrefixMirror&, MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    // Gives up the ownership; the restored store may name another owner. A host that was permitted to send orders until
    // now need not wait if it becomes the first owner of the new epoch.
    void noteRestored(StoreEpoch, const LeaseStatus&, MonotonicTime now, EffectList&);
    // Keeps the ownership if this host has it, but no longer competes for it.
    void stopCompeting() { m_isStopping = true; }
    // While another host reaches the engines and this one does not, this host gives up the ownership and does not
    // compete.
    void setYielding(bool isYielding) { m_isYielding = isYielding; }
    // Releases the ownership and does not compete again.
    void release(EffectList&);

    // Returns the permission to send orders; nullopt while this host is not the recorded owner or its lease is invalid.
    std::optional<PlacementPermission> permission(const LeaseStatus&, MonotonicTime now) const;
    // Also applies to a silence that is in progress.
    void setSilence(Duration silence) { m_settings.silence = silence; }
    // Returns the owner named in the store; empty if there is none.
    const HostId& owner() const { return m_owner; }

private:
    std::string ownerKey() const { return m_settings.keyPrefix + "owner"; }
    std::string lastOwnerKey() const { return m_settings.keyPrefix + "last-owner"; }
    std::string ownValue(const LeaseId&) const;
    // Records in the last-owner key: of any ownership of this host in the present epoch, and of the present one.
    std::string recordPrefix() const;
    std::string ownRecord() const;
    bool mustWait(const StoreEntry* lastOwner, MonotonicTime now) const;
    std::uint64_t fencingToken() const;
    void call(StoreOperation, EffectList&);
    void tryAcquire(const LeaseStatus&, const PrefixMirror&, MonotonicTime now, EffectList&);
    void yield(const PrefixMirror&, EffectList&);
    void recordOwner(const PrefixMirror&, MonotonicTime now, EffectList&);
    void acquire(StoreVersion, const LeaseId&, MonotonicTime now);
    void beginOrders(MonotonicTime now, EffectList&);
    void loseOwnership(std::string_view reason, EffectList&);

    Settings m_settings;
    StoreCallIds m_callIds { StoreUser::Placement };
    RandomGenerator m_random;
    HostId m_owner;
    StoreCallId m_pending;
    // Whether the pending call deletes an owner key of this host that is bound to an earlier lease.
    bool m_isClearingOwnKey = false;
    MonotonicTime m_notBefore {};
    // Version of the owner key if this host holds it, otherwise 0.
    StoreVersion m_heldVersion = 0;
    // The store's newest known epoch.
    StoreEpoch m_epoch = 0;
    // Whether this host was permitted to send orders until the last restore.
    bool m_orderedUntilRestore = false;
    LeaseId m_heldLease;
    // Whether the last-owner key names this host.
    bool m_isRecorded = false;
    MonotonicTime m_acquiredAt {};
    MonotonicTime m_ordersFrom {};
    LeaseId m_competingLease;
    bool m_isStopping = false;
    bool m_isYielding = false;
    bool m_isReleased = false;
};

} // namespace Catkinwell
