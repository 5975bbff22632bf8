#pragma once

#include <catkinwell/reducer/Effect.h>
#include <memory>
#include <set>

namespace Catkinwell {

// One entry of the platform's list of hosts.
struct PlatformHost {
    HostId host;
    // 0 if the list does not tell.
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    // "ip:port" of the host's peer listener.
    std::string address;
    bool leaving = false;
};

// What this host believes of one host.
struct HostView {
    HostId host;
    Incarnation incarnation = 0;
    // Empty while the platform's list does not show the host.
    DataCentreId dataCentre;
    std::string address;
    HostState state = HostState::Alive;
    // Time since the host's heartbeat was last seen to advance.
    Duration age {};
};

// How long a heartbeat may stall. The number of hosts whose entries share the digests determines it.
struct SuspicionRule {
    // Added to the dissemination time of a heartbeat.
    Duration base = std::chrono::seconds(4);
    // Multiplies the mean time between two entries for the same host, because a heartbeat takes several hops.
    double spreadFactor = 4;
    // A host that is silent for half of that time is asked directly, and suspected only after so many unanswered
    // questions. Without them, random gaps between entries alone made 64 hosts suspect each other (experiments).
    unsigned questions = 2;
    // Observers that must miss a host before it is dead, this host included.
    std::size_t observers = 2;
};

struct MembershipSettings {
    HostId self;
    Incarnation incarnation = 0;
    DataCentreId dataCentre;
    std::uint64_t seed = 0;
    SuspicionRule suspicion {};
};

// Keeps the live and leaving hosts and the leaving endpoints, from the platform's list, from heartbeats that hosts
// pass on in digests, and from the host's own attempts. A silent host is suspected, and dead once another host misses
// it too or the platform's list has dropped it. Leaving is final for an incarnation; a dead host whose heartbeat
// advances is alive again. Not thread safe; all calls come from the reducer with a clock that does not go back.
class MembershipManager {
public:
    explicit MembershipManager(MembershipSettings settings);
    ~MembershipManager();

    // Sends digests, polls the platform's lists and judges silent hosts.
    void tick(MonotonicTime now, EffectList& effects);
    // Takes replies whose identifier belongs to StoreUser::Membership; others and late ones are ignored.
    void handle(const StoreReply& reply, MonotonicTime now, EffectList& effects);
    // Takes the digest of an authenticated host. The configuration and the suspect fingerprints in it are for other
    // modules; the caller passes them on.
    void handle(const HostId& from, const MembershipDigest& digest, MonotonicTime now, EffectList& effects);
    // Replaces the platform's list, as a poll does. For tests and hosts without a store.
    void setPlatformList(const std::vector<PlatformHost>& hosts, MonotonicTime now, EffectList& effects);

    // What the next digests carry for other modules. Revoked keys and fingerprints come most important first; long
    // lists are spread over several digests.
    void setConfigurationState(ConfigurationVersion version, std::vector<std::string> revokedKeys);
    void setSuspectFingerprints(std::vector<std::pair<std::uint64_t, std::uint32_t>> fingerprints);
    // Notes that this host's attempts found the endpoint unresponsive. It is forgotten after 10 s without a new note.
    void noteSuspicion(const EndpointId& endpoint, MonotonicTime now);
    // Makes this host leaving in its own digests. It cannot be undone.
    void announceLeaving();

    // Every known host except this one, in the order of the names.
    std::vector<HostView> hosts(MonotonicTime now) const;
    // Hosts that are neither leaving nor dead, without this one.
    std::vector<HostView> liveHosts(MonotonicTime now) const;
    std::vector<HostView> liveHosts(const DataCentreId& dataCentre, MonotonicTime now) const;
    // Dead for an unknown host.
    HostState stateOf(const HostId& host) const;
    // Whether the platform's list or announceLeaving() says that this host leaves.
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
    std::optional<HostId> chooseSilentHost(MonotonicTime now);
    MembershipDigest buildDigest(MonotonicTime now);

    MembershipSettings m_settings;
    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell
