#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Catkinwell {

// A model or adapter of one service.
using ServiceVariant = std::pair<std::string, ModelVariant>;

// One host's demand for one model or adapter.
struct VariantDemand {
    ModelVariant variant;
    std::string service;
    // Requests waiting for a replica.
    std::uint32_t waiting = 0;
    // Moving average of requests per second.
    double rate = 0;
    // Time since the last request.
    std::uint32_t idleMilliseconds = 0;
};

// A model or adapter for which streams wait that must go on at one software version.
struct VersionWait {
    std::string service;
    ModelVariant variant;
    std::string softwareVersion;

    auto operator<=>(const VersionWait&) const = default;
};

// The demand at one host: the changes since its last report, or all of it.
struct DemandReport {
    bool isWhole = false;
    std::vector<VariantDemand> entries;
    // All of the host's waits, also in a report of changes.
    std::set<VersionWait> versionWaits {};
};

// Returns the factor by which a moving average of arrivals decays over the time. All hosts use the same averaging time,
// so that their averages can be added.
double demandDecay(Duration);

// Counts the requests of one host for each model and adapter. Variants without recent requests are dropped.
// Pure; not thread safe.
class HostDemand {
public:
    void arrived(const ServiceVariant&, MonotonicTime now);
    void waitBegan(const ServiceVariant&, MonotonicTime now);
    // Precondition: a wait for the variant began and has not ended.
    void waitEnded(const ServiceVariant&, MonotonicTime now);

    // Returns the whole demand, or the changes since the last call.
    DemandReport report(bool isWhole, MonotonicTime now);

private:
    struct Entry {
        std::uint32_t waiting = 0;
        double rate = 0;
        MonotonicTime updatedAt {};
        MonotonicTime lastArrivalAt {};
        bool isChanged = true;
    };

    Entry& updated(const ServiceVariant&, MonotonicTime now);

    std::map<ServiceVariant, Entry> m_entries;
};

} // namespace Catkinwell
