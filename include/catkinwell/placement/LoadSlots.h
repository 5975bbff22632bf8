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

// The fleet-wide load slots of one kind, kept in one value of the store
// (slots/weights or slots/adapters) and changed by compare-and-swap alone.
//
// An entry belongs to a data centre, not to a host or a lease: it survives the
// death of the owner that took it, stays occupied while that data centre is
// partitioned, and is released only by the data centre's current owner once the
// command is settled. Used by the owner of a data centre; pure; not thread safe.
class LoadSlots {
public:
    // The call identifiers must outlive this object.
    LoadSlots(std::string key, DataCentreId dataCentre, StoreCallIds& callIds);

    // Sets the number of slots and the shortest time from one use of a slot to the next.
    void configure(std::uint32_t capacity, Duration minimumHold);

    // Starts as the owner: entries of this data centre are inherited. Those whose command is not in
    // unsettled are released minimumHold after now, because the predecessor can no longer send them.
    void start(const std::set<CommandId>& unsettled, MonotonicTime now);
    // Stops calling the store; entries in the store stay.
    void stop();

    // Asks for a slot. Takes effect with a later tick; repeated requests are ignored.
    void request(CommandId, const EndpointId&);
    // Tells that the command was handed to the adapter, or may only now have left it.
    void noteStarted(CommandId, MonotonicTime now);
    // Gives up a request or releases a slot, at the earliest minimumHold after its start.
    // Precondition: the command is settled or was never sent.
    void release(CommandId, MonotonicTime now);

    // Tells whether the store has confirmed that the command holds a slot.
    bool isHeld(CommandId command) const { return m_held.contains(command); }
    std::size_t heldCount() const { return m_held.size(); }
    std::size_t waitingCount() const { return m_requested.size(); }

    // Returns whether the reply belongs to this object.
    bool handle(const StoreReply&, MonotonicTime now);
    // Issues at most one read or write at a time, and one watch beside it. Precondition of any effect: the host's lease
    // is valid.
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
    void adoptOwnEntries(MonotonicTime now);
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
    // In the order of the commands' identifiers, which is the order of the decisions.
    std::map<CommandId, EndpointId> m_requested;
    std::map<CommandId, Held> m_held;
    // The stored entries at m_version; not known before the first read.
    std::optional<std::vector<Entry>> m_entries;
    StoreVersion m_version = 0;
    std::optional<std::pair<StoreCallId, CallKind>> m_call;
    // Open beside m_call while the slots are full; its reply only leads to a read.
    std::optional<StoreCallId> m_watch;
    MonotonicTime m_notBefore {};
    MonotonicTime m_lastRead {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
