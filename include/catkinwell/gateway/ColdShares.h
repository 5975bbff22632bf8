#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Catkinwell {

// Divides the requests that an endpoint can handle per second among the registered hosts, without messages. For each
// endpoint the hosts are ranked by a hash of host and endpoint; the first ones share the number. A host whose part
// grows because the list of hosts changed uses the larger part only after all hosts must have read the new list; a
// smaller part counts at once. Hosts that vanished without having stopped keep their parts for a while, since they may
// still send. Pure; not thread safe.
class ColdShares {
public:
    explicit ColdShares(HostId self);

    // The hosts of the last complete list, and those that are known to have stopped. Precondition: a list was read.
    void setHosts(const std::set<HostId>& registered, const std::set<HostId>& stopped, MonotonicTime now);
    // Returns this host's part of the number for the endpoint.
    unsigned partOf(const EndpointId&, unsigned number, MonotonicTime now) const;
    // Returns the time until this host has a part of the number if the list does not change; the longest duration if
    // it will have none. Precondition: partOf() is 0.
    Duration timeUntilPart(const EndpointId&, unsigned number, MonotonicTime now) const;
    std::size_t hostCount() const { return m_views.empty() ? 0 : m_views.back().otherHosts.size() + 1; }

private:
    // One list of hosts that was in force, beginning at a time.
    struct View {
        // Hashes of the identifiers of all other hosts.
        std::vector<std::uint64_t> otherHosts;
        MonotonicTime since {};
    };

    unsigned partIn(const View&, const EndpointId&, unsigned number) const;

    HostId m_self;
    std::uint64_t m_selfHash;
    std::set<HostId> m_registered;
    // Hosts that vanished without having stopped, and until when they keep their parts.
    std::map<HostId, MonotonicTime> m_missing;
    // The lists of the last moments, oldest first.
    std::deque<View> m_views;
};

} // namespace Catkinwell
