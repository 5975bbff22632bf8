#pragma once

#include <catkinwell/membership/MembershipManager.h>
#include <map>

namespace Catkinwell {

// What this host knows of the other hosts, and the rules by which entries of digests and lists change it.
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
        // Whether the platform's list shows the host now, and whether it ever did.
        bool listed = false;
        bool dropped = false;
        DataCentreId dataCentre;
        std::string address;
        // Questions that were sent to the host since its heartbeat last advanced.
        unsigned asked = 0;
        MonotonicTime lastAsked;
        // Other hosts that miss this one, with the time of their last digest that said so.
        std::map<HostId, MonotonicTime> missedBy;

        HostState state() const;
    };

    HostTable(HostId self, DataCentreId ownDataCentre, SuspicionRule rule);

    // Takes one entry of a digest.
    void merge(const HostId& from, const DigestEntry& entry, MonotonicTime now);
    // Takes a whole list of the platform.
    void mergeList(const std::vector<PlatformHost>& hosts, MonotonicTime now);
    // Suspects silent hosts, declares hosts dead and forgets hosts that are dead for long.
    void judge(MonotonicTime now, EffectList& effects);
    // Notes that the host was asked for a digest.
    void noteAsked(const HostId& host, MonotonicTime now);
    // Takes out of account a time in which this process did not run and so could hear nobody.
    void excuse(Duration pause);

    const std::map<HostId, Host>& hosts() const { return m_hosts; }
    // Tells how many entries fit into a digest and how many digests arrive in a second.
    void noteCapacity(std::size_t entries, double digestsPerSecond);
    // How long the heartbeat of a host in this or in another data centre may stall.
    Duration patience(bool sameDataCentre) const;
    bool takeChanged() { return std::exchange(m_changed, false); }

private:
    void renew(Host& host, Incarnation incarnation, MonotonicTime now);
    void noteProgress(Host& host, MonotonicTime at);
    void noteMissed(const HostId& from, const DigestEntry& entry, Host& host, MonotonicTime now);
    // Whether a host that tells of this heartbeat knows nearly as much as this one.
    static bool isWellInformed(const DigestEntry& entry, const Host& host);
    bool isSilent(const Host& host, MonotonicTime now) const;
    void judgeHost(const HostId& id, Host& host, MonotonicTime now, EffectList& effects);

    HostId m_self;
    DataCentreId m_ownDataCentre;
    SuspicionRule m_rule;
    std::map<HostId, Host> m_hosts;
    // The state that was last logged, to log changes only.
    std::map<HostId, HostState> m_logged;
    std::size_t m_entriesPerDigest = 1;
    double m_digestsPerSecond = 1;
    std::size_t m_sameDataCentre = 0;
    bool m_changed = false;
};

} // namespace Catkinwell
