#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/reducer/Effect.h>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Catkinwell {

// Keeps the requests of all hosts together within the room of endpoints whose service states that they fall over if
// they have to reject too many. Each host knows with some delay what the others run, so in that time it starts no more
// than its part of the room that is free, in proportion to what it runs; what finds no room waits in the hosts. After a
// rejection the host leaves the endpoint alone for a while. A service counts as brittle until an answer does not say
// so, or none came for long. Pure; not thread safe.
class EndpointRoom {
public:
    explicit EndpointRoom(std::uint64_t seed);

    // What is known of the use of an endpoint.
    struct Use {
        unsigned slots = 0;
        // Requests of all hosts that run on the endpoint.
        unsigned running = 0;
        // Requests of this host, and of all, that run on endpoints of the service.
        unsigned ownOfService = 0;
        unsigned allOfService = 0;
    };

    // Number of hosts that share the endpoints, including this one, and the time between their reports.
    void setHosts(std::size_t count) { m_hostCount = std::max<std::size_t>(1, count); }
    void setReportInterval(Duration interval) { m_reportInterval = interval; }

    // An endpoint of the service answered and stated how many rejections a second it bears; nullopt if it stated none.
    void noteAnswer(
        const std::string& service, std::optional<double> rejectionsPerSecond, MonotonicTime now, EffectList&);
    // Another host reports what endpoints stated.
    void merge(const std::map<std::string, double>& brittleServices, MonotonicTime now, EffectList&);
    // Returns the services that this host knows from endpoints, for its reports.
    std::map<std::string, double> report(MonotonicTime now) const;
    bool isBrittle(const std::string& service, MonotonicTime now) const;

    // Whether this host may send a request to the endpoint.
    bool hasRoom(const std::string& service, const EndpointId&, const Use&, MonotonicTime now);
    void attemptStarted(const std::string& service, const EndpointId&, MonotonicTime now);
    void noteRejected(const std::string& service, const EndpointId&, MonotonicTime now);
    void remove(const EndpointId& id) { m_endpoints.erase(id); }

private:
    struct Service {
        double rejectionsPerSecond = 0;
        MonotonicTime statedAt {};
        bool isStatedHere = false;
    };

    struct Endpoint {
        // Requests that this host may start in the current window, and has started.
        unsigned allowed = 0;
        unsigned started = 0;
        MonotonicTime windowEnds {};
        MonotonicTime closedUntil {};
    };

    void put(const std::string& service, double rejectionsPerSecond, bool isStatedHere, MonotonicTime now, EffectList&);
    Duration pauseAfterRejection(const Service&) const;
    double shareOf(const Use&) const;

    RandomGenerator m_random;
    std::size_t m_hostCount = 1;
    Duration m_reportInterval = std::chrono::milliseconds(200);
    std::map<std::string, Service> m_services;
    std::unordered_map<EndpointId, Endpoint> m_endpoints;
};

} // namespace Catkinwell
