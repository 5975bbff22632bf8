#pragma once

#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/store/LeaseStatus.h>

namespace Catkinwell {

// Competes for the one key that makes a host the owner of the placement. The key hangs on the host's lease. A second
// key without a lease names the host that gave orders last: another host stays silent for a while before its first
// order, so that two hosts never take turns at an engine. Pure; not thread safe.
class PlacementOwnership {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation = 0;
        // The keys begin with this.
        std::string keyPrefix;
        // Longest time between a check of the permission and the moment at which an order leaves the host.
        Duration sendMargin = std::chrono::milliseconds(500);
        // Silence of a new owner that is not the host which gave orders last.
        Duration silence = std::chrono::milliseconds(3300);
    };

    PlacementOwnership(Settings, std::uint64_t seed);

    // Precondition: the mirror covers the keys.
    void tick(const LeaseStatus&, const PrefixMirror&, MonotonicTime now, EffectList&);
    void handle(const StoreReply&, MonotonicTime now, EffectList&);
    // Keeps the ownership if this host has it, but does not compete for it any more.
    void stopCompeting() { m_isStopping = true; }
    // Gives the ownership up and does not compete again.
    void release(EffectList&);

    // The permission to give orders; nothing while another host has it or the lease is not valid.
    std::optional<PlacementPermission> permission(const LeaseStatus&, MonotonicTime now) const;
    // Takes effect for a silence that has not ended, too.
    void setSilence(Duration silence) { m_settings.silence = silence; }
    // The owner named in the store; empty if there is none.
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
    // The version at which this host holds the owner's key, 0 if it does not.
    StoreVersion m_heldVersion = 0;
    LeaseId m_heldLease;
    // Whether the key of the last owner names this host.
    bool m_isRecorded = false;
    MonotonicTime m_acquiredAt {};
    MonotonicTime m_ordersFrom {};
    LeaseId m_competingLease;
    bool m_isStopping = false;
    bool m_isReleased = false;
};

} // namespace Catkinwell
