#pragma once

#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/store/LeaseStatus.h>

namespace Catkinwell {

// Competes for the store key that makes a host the placement owner. The key is bound to the host's lease. A second key
// without a lease names the host that last sent orders: any other host waits for a while after it has become the owner
// and before its first order, so that orders of two hosts never interleave at an engine. Pure; not thread safe.
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
    // Keeps the ownership if this host has it, but no longer competes for it.
    void stopCompeting() { m_isStopping = true; }
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
    void call(StoreOperation, EffectList&);
    void compete(const LeaseStatus&, const PrefixMirror&, MonotonicTime now, EffectList&);
    void recordOwner(const PrefixMirror&, MonotonicTime now, EffectList&);
    void acquire(StoreVersion, const LeaseId&, MonotonicTime now);
    void beginOrders(MonotonicTime now, EffectList&);
    void lose(std::string_view reason, EffectList&);

    Settings m_settings;
    StoreCallIds m_callIds { StoreUser::Placement };
    RandomGenerator m_random;
    HostId m_owner;
    StoreCallId m_pending;
    MonotonicTime m_notBefore {};
    // Version of the owner key if this host holds it, otherwise 0.
    StoreVersion m_heldVersion = 0;
    LeaseId m_heldLease;
    // Whether the last-owner key names this host.
    bool m_isRecorded = false;
    MonotonicTime m_acquiredAt {};
    MonotonicTime m_ordersFrom {};
    LeaseId m_competingLease;
    bool m_isStopping = false;
    bool m_isReleased = false;
};

} // namespace Catkinwell
