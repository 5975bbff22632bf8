#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Catkinwell {

// Units of one account on one host since the host started.
struct UsageCount {
    double admitted = 0;
    // Admitted and refused units together.
    double offered = 0;
};

using AccountUsage = std::map<AccountId, UsageCount>;

// A host that is not live but may serve across a partition.
struct MissingHost {
    HostId host;
    Duration missingFor {};
};

// Bounds a list of missing hosts. A fleet has some hundred hosts.
inline constexpr std::size_t maximumMissingHosts = 512;

// The quota's decision on one request.
struct QuotaDecision {
    bool isAdmitted = true;
    // Time after which a refused request may succeed.
    Duration retryAfter {};
};

// When a host keeps to its own share of a rate.
enum class QuotaSharing {
    // Only when the bucket is low and the hosts report rarely.
    WhenLow,
    // Never; the caller spreads the hosts' simultaneous requests itself.
    Never,
};

// Enforces the rate and burst limit of each account over all hosts together. Every host keeps a copy of the same token
// bucket and takes from it what it admits itself and what the other hosts report. A host that has not reported for a
// while is assumed to admit an equal share of the rate, so that partitioned hosts together stay within the limit. When
// the bucket is low, a host admits at most the share of the rate that corresponds to its share of the demand, so that
// many hosts do not spend the same units before they receive each other's reports. Not thread safe.
class FleetQuota {
public:
    explicit FleetQuota(HostId self, QuotaSharing sharing = QuotaSharing::WhenLow);

    void configure(const std::map<AccountId, GatewayAccount>&, MonotonicTime now);
    // Sets the other live hosts. One that is no longer among them is assumed to serve across a partition, unless it was
    // removed.
    void setPeers(const std::set<HostId>&, MonotonicTime now);
    // The host has ended; it admits nothing any more.
    void removePeer(const HostId&, MonotonicTime now);
    // Takes over the hosts that a peer misses, unless this host knows better from what it heard of them.
    void noteMissing(const std::vector<MissingHost>&, MonotonicTime now);
    // The hosts whose part of each rate is kept, for the peers.
    std::vector<MissingHost> missingHosts(MonotonicTime now) const;
    // Number of hosts that are not live but may serve across a partition.
    std::size_t missingPeers() const;
    // How often the hosts report to each other.
    void setReportInterval(Duration interval) { m_reportInterval = interval; }
    // Merges the totals that a peer has counted since it started.
    void merge(const HostId&, Incarnation, const AccountUsage&, MonotonicTime now);
    void tick(MonotonicTime now);

    // Whether admit() would take the units.
    bool isAvailable(const AccountId&, double units, MonotonicTime now);
    // Takes the units if they are available. An account without a limit is always admitted.
    QuotaDecision admit(const AccountId&, double units, MonotonicTime now);
    // Returns units that were taken for a request that did not run.
    void refund(const AccountId&, double units, MonotonicTime now);

    const AccountUsage& ownUsage() const { return m_ownUsage; }
    // Returns the units of a request that states this number of tokens.
    double unitsOf(const AccountId&, double tokens) const;
    double level(const AccountId&) const;

private:
    struct Bucket {
        GatewayAccount settings;
        double level = 0;
        // Units that this host may take from a low bucket.
        double allowance = 0;
        // This host's share of the demand, from 0 to 1.
        double share = 1;
        MonotonicTime refilledAt {};
    };

    struct Peer {
        Incarnation incarnation = 0;
        MonotonicTime heardAt {};
        MonotonicTime assumedUntil {};
        // Since when the host is not live; absent while it is.
        std::optional<MonotonicTime> missingSince;
        AccountUsage reported;
        // Units taken from the buckets on assumption, since the last report.
        std::map<AccountId, double> assumed;
        // Moving average of units offered per second.
        std::map<AccountId, double> demand;
    };

    void dropOutdated(MonotonicTime now);
    void refill(Bucket&, MonotonicTime now) const;
    // Returns the bucket's maximum level. It may exceed the burst by what accrues in one report interval, since the
    // other hosts' usage of that time is not known yet.
    double capacityOf(const GatewayAccount&) const;
    void updateShares(MonotonicTime now);
    Duration silenceTimeout() const;
    // Returns how many units are missing; 0 if the units can be taken.
    double missingUnits(const Bucket&, double units) const;

    HostId m_self;
    QuotaSharing m_sharing;
    std::map<AccountId, Bucket> m_buckets;
    std::map<HostId, Peer> m_peers;
    // Hosts that have ended or were missing for too long, and when that was noticed.
    std::map<HostId, MonotonicTime> m_ended;
    AccountUsage m_ownUsage;
    // Units offered at this host up to the last update of the shares, and the moving average of its demand.
    AccountUsage m_usageAtUpdate;
    std::map<AccountId, double> m_ownDemand;
    MonotonicTime m_sharesUpdatedAt {};
    Duration m_reportInterval = std::chrono::milliseconds(200);
};

} // namespace Catkinwell
