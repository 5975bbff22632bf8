#pragma once

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/gateway/HostDemand.h>

namespace Catkinwell {

// The demand of all hosts together for each model and adapter, from their reports. A report changes the sums by its
// difference to the host's former one, so that its cost does not depend on the number of hosts.
// Pure; not thread safe.
class FleetDemand {
public:
    struct Entry {
        // Requests that wait, over all hosts.
        std::uint32_t waiting = 0;
        // Requests a second, as of the last update().
        double rate = 0;
        MonotonicTime lastArrivalAt {};
    };

    using Entries = std::map<ServiceVariant, Entry>;

    void handle(const HostId&, const DemandReport&, MonotonicTime now);
    // The host is gone; nothing waits there any more.
    void removeHost(const HostId&);
    // Lets the rates fall with time and forgets what nobody asks for.
    void update(MonotonicTime now);

    const Entries& entries() const { return m_entries; }

private:
    // What a host reported of one variant, and when.
    struct Reported {
        std::uint32_t waiting = 0;
        double rate = 0;
        MonotonicTime at {};
    };

    using HostEntries = std::map<ServiceVariant, Reported>;

    void replace(HostEntries&, const ServiceVariant&, const Reported&);

    Entries m_entries;
    std::map<HostId, HostEntries> m_hosts;
    MonotonicTime m_updatedAt {};
};

} // namespace Catkinwell
