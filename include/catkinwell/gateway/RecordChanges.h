#pragma once

#include <catkinwell/gateway/ForwardingProtocol.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// Tells which of the changed records of endpoints differ in more than their heartbeat number. The others are most of
// what a watch returns, and a host that knows the record needs nothing of them. Pure; not thread safe.
class RecordChanges {
public:
    // Precondition: the protocol outlives this object.
    explicit RecordChanges(const ForwardingProtocol&);

    // Begins anew with all records of a mirror, as of a version of the store.
    void reset(const std::map<std::string, StoreEntry>& entries, StoreVersion);
    // Returns the entries that are new or deleted, differ in more than the heartbeat, or cannot be read. A deletion
    // follows the latest state of its record, by whose heartbeat an older one of a restored store is rejected.
    std::vector<StoreEntry> note(const std::vector<StoreEntry>& changes);
    // Returns the last state of each record that changed after the version; nullopt if that is no longer known.
    std::optional<std::vector<StoreEntry>> since(StoreVersion) const;
    // Whether a key changed after the version that is not among these entries. Those who knew only the states before
    // and after may have seen no change of it.
    bool hasOtherChangeSince(StoreVersion, const std::vector<StoreEntry>&) const;

private:
    struct Known {
        StoreEntry latest;
        EndpointRecord record;
        bool isReadable = false;
    };

    Known read(const StoreEntry&) const;
    void noteChange(const StoreEntry&);

    const ForwardingProtocol& m_protocol;
    std::map<std::string, Known> m_known;
    // The versions of the last changes, at most as many as maximumChanges; those up to m_forgottenUntil are unknown.
    std::multimap<StoreVersion, std::string> m_changes;
    StoreVersion m_forgottenUntil = 0;
};

} // namespace Catkinwell
