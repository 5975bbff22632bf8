#pragma once

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/gateway/HostDemand.h>

namespace Catkinwell {

// Sums the reported demand of all hosts for each model and adapter. A report changes the sums by its difference from
// the host's previous report, so its cost does not depend on the number of hosts.
// Pure; not thread safe.
class FleetDemand {
public:
    struct Entry {
        // Waiting requests over all hosts.
        std::uint32_t waiting = 0;
        // Requests per second, as of the last update().
        double rate = 0;
        MonotonicTime lastArrivalAt {};
    };

    using Entries = std::map<ServiceVariant, Entry>;

    void handle(const HostId&, const DemandReport&, MonotonicTime now);
    // The host is gone; its waiting requests no longer count.
    void removeHost(const HostId&);
    // Decays the rates and drops entries without demand.
    void update(MonotonicTime now);

    const Entries& entries() const { return m_entries; }

private:
    // A host's latest report on one variant, and when it arrived.
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
