#pragma once

#include <catkinwell/reducer/Effect.h>
#include <memory>
#include <set>

namespace Catkinwell {

// One entry of the platform's list of hosts.
struct PlatformHost {
    HostId host;
    // 0 if the list does not contain it.
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    // "ip:port" of the host's peer listener.
    std::string address;
    bool leaving = false;
    // "ip:port" at which it accepts relayed requests; empty if it accepts none.
    std::string relayAddress {};
};

// The state of another host as known to this one.
struct HostView {
    HostId host;
    Incarnation incarnation = 0;
    // Empty until the platform's list has contained the host.
    DataCentreId dataCentre;
    std::string address;
    HostState state = HostState::Alive;
    // Time since the host's heartbeat last advanced, as far as this host knows.
    Duration age {};
    // Empty if the host accepts no relayed requests, or is not listed.
    std::string relayAddress {};
};

// Decides how long a host's heartbeat may stall before the host is suspected, and when it is declared dead. The time
// grows with the number of hosts, because their entries share the space in the digests.
struct SuspicionRule {
    // Added to the expected dissemination time of a heartbeat.
    Duration base = std::chrono::seconds(4);
    // Factor of the mean time between two entries for the same host, because a heartbeat takes several hops.
    double spreadFactor = 4;
    // A host that has been silent for half of that time is probed directly, and suspected only after this many
    // unanswered probes. In experiments without probes, the random gaps between entries alone made 64 hosts suspect
    // each other. Exceptions: a host that cannot be probed, and one that has been silent for twice that time.
    unsigned unansweredProbes = 2;
    // The number of hosts, this one included, that must suspect a host before it is declared dead.
    std::size_t observers = 2;
};

struct MembershipSettings {
    HostId self;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    std::uint64_t seed = 0;
    SuspicionRule suspicion {};
};

// Tracks the live and leaving hosts, from the platform's list and from heartbeats that hosts forward in digests, and
// the endpoints that are leaving or were found unresponsive. A silent host is suspected; it is declared dead once
// another host suspects it too or the platform's list has dropped it. Leaving is final for an incarnation; a dead host
// whose heartbeat advances is alive again. Not thread safe; all calls come from the reducer with a clock that never
// goes back.
class MembershipManager {
public:
    explicit MembershipManager(MembershipSettings settings);
    ~MembershipManager();

    // Sends digests, polls the platform's lists and detects failed hosts.
    void tick(MonotonicTime now, EffectList& effects);
    // Handles replies whose identifier belongs to StoreUser::Membership. Other and late replies are ignored.
    void handle(const StoreReply& reply, MonotonicTime now, EffectList& effects);
    // Handles a digest from an authenticated host. The caller passes the configuration state and the suspect
    // fingerprints in it to the modules that need them.
    void handle(const HostId& from, const MembershipDigest& digest, MonotonicTime now, EffectList& effects);
    // Adds the hosts that this host's settings name, with their addresses ("ip:port"). Such a host is reached at this
    // address until the platform's list contains it: hosts that start together register only after they have read the
    // list. To be called before the first tick.
    void setSeeds(const std::map<HostId, std::string>& addresses, MonotonicTime now);
    // Replaces the platform's list, as a poll does. For tests.
    void setPlatformList(const std::vector<PlatformHost>& hosts, MonotonicTime now, EffectList& effects);

    // Set what the next digests carry for other modules. The lists begin with the most important element, which is part
    // of every digest; the other elements of a long list are spread over several digests.
    void setConfigurationState(ConfigurationVersion version, std::vector<std::string> revokedKeys);
    void setSuspectFingerprints(std::vector<std::pair<std::uint64_t, std::uint32_t>> fingerprints);
    // Records that an attempt of this host found the endpoint unresponsive. The record expires after 10 s.
    void noteSuspicion(const EndpointId& endpoint, MonotonicTime now);
    // Marks this host as leaving in its own digests. This cannot be undone.
    void announceLeaving();

    // All known hosts except this one, ordered by name.
    std::vector<HostView> hosts(MonotonicTime now) const;
    // The known hosts that are neither leaving nor dead, except this one.
    std::vector<HostView> liveHosts(MonotonicTime now) const;
    std::vector<HostView> liveHosts(const DataCentreId& dataCentre, MonotonicTime now) const;
    // Returns Dead for an unknown host.
    HostState stateOf(const HostId& host) const;
    // Whether this host is leaving, according to the platform's list or after announceLeaving().
    bool isSelfLeaving() const;
    // Endpoints that the platform marked as leaving.
    const std::set<EndpointId>& leavingEndpoints() const;
    // The number of hosts, this one included, that found the endpoint unresponsive in the last 10 s.
    std::size_t suspicionsOf(const EndpointId& endpoint, MonotonicTime now) const;
    // The addresses of all listed hosts except this one, for the peer transport.
    std::map<HostId, std::string> peerAddresses() const;
    // Whether a host, an address or a leaving endpoint has changed since the last call.
    bool changedSinceLastTake();

private:
    struct State;

    void sendDigest(MonotonicTime now, EffectList& effects);
    void answer(const HostId& from, MonotonicTime now, EffectList& effects);
    std::optional<HostId> choosePeer(bool inDataCentre);
    std::optional<HostId> chooseHostToProbe(MonotonicTime now);
    MembershipDigest buildDigest(MonotonicTime now);

    MembershipSettings m_settings;
    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell
