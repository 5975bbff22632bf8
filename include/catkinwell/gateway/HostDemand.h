#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Catkinwell {

// A model or adapter of one service.
using ServiceVariant = std::pair<std::string, ModelVariant>;

// What one host knows of the demand for one model or adapter.
struct VariantDemand {
    ModelVariant variant;
    std::string service;
    // Requests that wait for a replica.
    std::uint32_t waiting = 0;
    // Requests a second, averaged over the recent past.
    double rate = 0;
    // The time since the last request.
    std::uint32_t idleMilliseconds = 0;
};

// The demand at one host: what changed since its last report, or everything.
struct DemandReport {
    bool isWhole = false;
    std::vector<VariantDemand> entries;
};

// The part of an average of arrivals that is left after the time. All hosts average alike, so that the averages of
// several hosts can be added up.
double demandDecay(Duration);

// Counts the requests of one host for each model and adapter. What nobody asked for in a while is forgotten.
// Pure; not thread safe.
class HostDemand {
public:
    void arrived(const ServiceVariant&, MonotonicTime now);
    void waitBegan(const ServiceVariant&, MonotonicTime now);
    // Precondition: a wait for it began and has not ended.
    void waitEnded(const ServiceVariant&, MonotonicTime now);

    // Returns the whole demand, or what changed since the last call.
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
