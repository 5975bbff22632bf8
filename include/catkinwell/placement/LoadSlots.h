#pragma once

#include <catkinwell/placement/PlacementCommand.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// Limits the concurrent loads of one kind across the fleet. The slots are stored in one value
// of the store (slots/weights or slots/adapters), which only changes by compare-and-swap.
//
// An entry belongs to a data centre, not to a host or a lease. It survives a crash of the owner
// that acquired it, stays occupied while its data centre is partitioned, and is released only by
// the current owner of that data centre once the outcome of the command is known.
// Used by the owner of a data centre. Performs no I/O; not thread safe.
class LoadSlots {
public:
    // callIds must outlive this object.
    LoadSlots(std::string key, DataCentreId dataCentre, StoreCallIds& callIds);

    // Sets the number of slots and the minimum time from the start of a load to the reuse of its slot.
    void configure(std::uint32_t capacity, Duration minimumHold);

    // Starts operation as the owner and adopts the stored entries of this data centre. Entries whose command is
    // not in unsettled are released after minimumHold, because the previous owner can no longer send the command.
    void start(const std::set<CommandId>& unsettled, MonotonicTime now);
    // Stops calling the store. Stored entries are kept.
    void stop();

    // Requests a slot. The store is called from a later tick(); repeated requests are ignored.
    void request(CommandId, const EndpointId&);
    // Restarts the minimum hold of the command's slot: the command was passed to the adapter, or the adapter
    // may have sent it only now.
    void noteStarted(CommandId, MonotonicTime now);
    // Cancels a request or releases a slot, but not before minimumHold has passed since the start of the load.
    // Precondition: the outcome of the command is known, or the command was never sent.
    void release(CommandId, MonotonicTime now);

    // Returns whether the store has confirmed that the command holds a slot.
    bool isHeld(CommandId command) const { return m_held.contains(command); }
    std::size_t heldCount() const { return m_held.size(); }
    std::size_t waitingCount() const { return m_requested.size(); }

    // Returns whether the reply belongs to this object.
    bool handle(const StoreReply&, MonotonicTime now);
    // Has at most one read or write and one watch in progress.
    // Effects must only be executed while the host's lease is valid.
    void tick(MonotonicTime now, EffectList&);

private:
    struct Entry {
        std::string dataCentre;
        std::string endpoint;
        std::uint64_t command = 0;
    };
    struct Held {
        EndpointId endpoint;
        MonotonicTime releaseAfter {};
        bool released = false;
    };
    enum class CallKind {
        Read,
        Write,
    };

    void acceptEntries(const StoreReply&, MonotonicTime now);
    void syncHeldSlots(MonotonicTime now);
    std::vector<Entry> entriesAfterChanges(MonotonicTime now) const;
    bool hasReleaseDue(MonotonicTime now) const;
    static std::string encode(const std::vector<Entry>&);
    static std::vector<Entry> decode(const std::string&);

    std::string m_key;
    DataCentreId m_dataCentre;
    StoreCallIds& m_callIds;
    std::uint32_t m_capacity = 4;
    Duration m_minimumHold = std::chrono::milliseconds(1334);
    bool m_active = false;
    std::set<CommandId> m_inheritedUnsettled;
    // Ordered by command identifier, which is the order of the decisions.
    std::map<CommandId, EndpointId> m_requested;
    std::map<CommandId, Held> m_held;
    // The stored entries at m_version; empty until they have been read.
    std::optional<std::vector<Entry>> m_entries;
    StoreVersion m_version = 0;
    std::optional<std::pair<StoreCallId, CallKind>> m_call;
    // Set while a request waits for a slot to become free. A change only triggers a read.
    std::optional<StoreCallId> m_watch;
    MonotonicTime m_notBefore {};
    MonotonicTime m_lastRead {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
