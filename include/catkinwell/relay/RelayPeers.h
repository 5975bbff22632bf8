#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// The other hosts that may serve requests which this host cannot have served itself. Pure; not thread safe.
class RelayPeers {
public:
    struct Choice {
        HostId host;
        std::string address;
    };

    RelayPeers(DataCentreId own, std::uint64_t seed);

    // The host accepts relayed requests at this address; none if it is empty.
    void setAddress(const HostId&, const DataCentreId&, const std::string& address);
    // Hosts that take part in the fleet. One that is leaving completes what it has accepted, and accepts nothing new.
    void setLive(const std::set<HostId>&);
    // The host was heard and cannot reach the endpoints of these services.
    void noteHeard(const HostId&, std::set<std::string> unreachableServices, MonotonicTime now);
    // No connection to the host could be opened, or it did not accept a request for the service.
    void noteFailure(const HostId&, MonotonicTime now);
    // This host read no messages for this time until now.
    void excludePause(Duration, MonotonicTime now);
    // Whether nothing was heard from the host for longer than its reports take, so that it does not answer either.
    bool isSilent(const HostId&, MonotonicTime now) const;

    // Returns a host that reaches the service, preferably one in the same data centre; nullopt if there is none.
    std::optional<Choice> choose(const std::string& service, const std::set<HostId>& excluded, MonotonicTime now);
    // Whether choose() would return a host.
    bool hasChoice(const std::string& service, const std::set<HostId>& excluded, MonotonicTime now) const;
    // Whether a live host reaches the service.
    bool isReachedBySome(const std::string& service, MonotonicTime now) const;

private:
    struct Peer {
        DataCentreId dataCentre;
        std::string address;
        std::set<std::string> unreachableServices;
        MonotonicTime heardAt {};
        MonotonicTime avoidedUntil {};
    };

    bool isUsable(const HostId&, const Peer&, const std::string& service, MonotonicTime now) const;

    DataCentreId m_ownDataCentre;
    RandomGenerator m_random;
    std::map<HostId, Peer> m_peers;
    std::set<HostId> m_live;
};

} // namespace Catkinwell
