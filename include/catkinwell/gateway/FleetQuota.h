#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <map>
#include <set>

namespace Catkinwell {

// Units that a host has admitted for each account since it started.
using AccountUsage = std::map<AccountId, double>;

// What the quota says of one request.
struct QuotaDecision {
    bool isAdmitted = true;
    // When a refused request may succeed.
    Duration retryAfter {};
};

// Holds the rate and burst of each account over all hosts together. Every host keeps the same token bucket, and
// takes from it what it admits itself and what the others report. A host that has not reported for a while is
// assumed to admit its even part of the rate, so that hosts which cannot reach each other stay within the limit
// together. Not thread safe.
class FleetQuota {
public:
    explicit FleetQuota(HostId self);

    void configure(const std::map<AccountId, GatewayAccount>&, MonotonicTime now);
    // Replaces the set of other live hosts.
    void setPeers(const std::set<HostId>&, MonotonicTime now);
    // Takes over what a peer has admitted since it started.
    void merge(const HostId&, Incarnation, const AccountUsage&, MonotonicTime now);
    void tick(MonotonicTime now);

    // Takes the units if they are there. An account without a limit is always admitted.
    QuotaDecision admit(const AccountId&, double units, MonotonicTime now);
    // Gives units back that were taken for a request which then did not run.
    void giveBack(const AccountId&, double units, MonotonicTime now);

    const AccountUsage& ownUsage() const { return m_ownUsage; }
    // The units of a request, from the tokens that it states.
    double unitsOf(const AccountId&, double tokens) const;
    double level(const AccountId&) const;

private:
    struct Bucket {
        GatewayAccount settings;
        double level = 0;
        MonotonicTime refilledAt {};
    };

    struct Peer {
        Incarnation incarnation = 0;
        MonotonicTime heardAt {};
        MonotonicTime assumedUntil {};
        AccountUsage reported;
        // Taken from the buckets without a report.
        AccountUsage assumed;
    };

    void refill(Bucket&, MonotonicTime now) const;

    HostId m_self;
    std::map<AccountId, Bucket> m_buckets;
    std::map<HostId, Peer> m_peers;
    AccountUsage m_ownUsage;
};

} // namespace Catkinwell
