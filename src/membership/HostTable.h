#pragma once

#include <catkinwell/membership/MembershipManager.h>
#include <map>

namespace Catkinwell {

// The state of the other hosts as known to this one, and the rules by which digests and platform lists change it.
// Not thread safe.
class HostTable {
public:
    struct Host {
        Incarnation incarnation = 0;
        std::uint64_t heartbeat = 0;
        MonotonicTime lastProgress;
        bool leaving = false;
        bool suspected = false;
        bool dead = false;
        // Whether the platform's list contains the host, and whether it was read without the host.
        bool listed = false;
        bool dropped = false;
        // Whether the settings name the host and no list has contained it yet.
        bool isSeed = false;
        DataCentreId dataCentre;
        std::string address;
        std::string relayAddress;
        // The number of probes sent to the host since its heartbeat last advanced.
        unsigned probesSent = 0;
        MonotonicTime lastProbeAt;
        // The other hosts that suspect this one or consider it dead, with the time of their last digest that said so.
        std::map<HostId, MonotonicTime> suspectedBy;

        HostState state() const;
        // Whether messages can be sent to the host's address.
        bool isAddressable() const { return listed || isSeed; }
    };

    HostTable(HostId self, DataCentreId ownDataCentre, SuspicionRule rule);

    // Merges one entry of a digest.
    void merge(const HostId& from, const DigestEntry& entry, MonotonicTime now);
    // Adds a host that the settings name. It keeps this address until a list of the platform contains it.
    void addSeed(const HostId&, const std::string& address, MonotonicTime now);
    // Merges a complete list of the platform.
    void mergePlatformList(const std::vector<PlatformHost>& hosts, MonotonicTime now);
    // Suspects silent hosts, declares hosts dead and forgets hosts that have been dead for long.
    void detectFailures(MonotonicTime now, EffectList& effects);
    // Records that a probe was sent to the host.
    void noteProbe(const HostId& host, MonotonicTime now);
    // Disregards a time in which this process did not run and so could not receive heartbeats.
    void disregardPause(Duration pause);

    const std::map<HostId, Host>& hosts() const { return m_hosts; }
    // Sets how many entries fit into a digest and how many digests arrive per second.
    void setDigestCapacity(std::size_t entries, double digestsPerSecond);
    // How long the heartbeat of a host in this or in another data centre may stall before the host is suspected.
    Duration heartbeatTimeout(bool sameDataCentre) const;
    bool takeChanged() { return std::exchange(m_changed, false); }

private:
    void startIncarnation(Host& host, Incarnation incarnation, MonotonicTime now);
    void noteProgress(Host& host, MonotonicTime at);
    void noteSuspicionBy(const HostId& from, const DigestEntry& entry, Host& host, MonotonicTime now);
    // Whether the sender of the entry has about as recent a heartbeat of the host as this host.
    static bool hasRecentHeartbeat(const DigestEntry& entry, const Host& host);
    bool isSilent(const Host& host, MonotonicTime now) const;
    void updateHostState(const HostId& id, Host& host, MonotonicTime now, EffectList& effects);

    HostId m_self;
    DataCentreId m_ownDataCentre;
    SuspicionRule m_rule;
    std::map<HostId, Host> m_hosts;
    // The states that were last logged, so that only changes are logged.
    std::map<HostId, HostState> m_logged;
    std::size_t m_entriesPerDigest = 1;
    double m_digestsPerSecond = 1;
    std::size_t m_sameDataCentre = 0;
    bool m_changed = false;
};

} // namespace Catkinwell
