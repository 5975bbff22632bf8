#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <catkinwell/reducer/Effect.h>
#include <optional>
#include <vector>

namespace Catkinwell {

// What an endpoint stated about the requests that it accepts.
struct EndpointLimitStatement {
    EndpointId endpoint;
    // From all hosts together; 0 if the endpoint lifted its limit.
    double requestsPerSecond = 0;
    Duration age {};
    // Whether requests at the host wait for the endpoint.
    bool isAwaited = false;
};

// What a host tells its peers about limited endpoints.
struct EndpointLimitDigest {
    std::vector<EndpointLimitStatement> statements;
    // Attempts of this host at each limited endpoint, under the endpoint's identifier.
    AccountUsage attempts;

    bool isEmpty() const { return statements.empty() && attempts.empty(); }
};

// Keeps the attempts of all hosts together within the rates that endpoints state in their answers. The hosts share the
// latest statement of each endpoint and their attempts, which FleetQuota takes from one token bucket. Hosts with
// waiting requests send at random times after the bucket has filled, so that they do not all send before they learn of
// each other's attempts. A limit holds until an answer states none, the endpoint goes, or nothing was heard of it for
// long. Pure; not thread safe.
class EndpointLimits {
public:
    EndpointLimits(HostId self, std::uint64_t seed);

    // An endpoint answered and stated this rate; nullopt if it stated none.
    void noteAnswer(const EndpointId&, std::optional<double> requestsPerSecond, MonotonicTime now, EffectList&);
    // The endpoint is gone, or another process uses its identifier.
    void remove(const EndpointId&);

    bool isLimited(const EndpointId&) const;
    // Whether this host may send a request to the endpoint now.
    bool isAvailable(const EndpointId&, MonotonicTime now);
    void attemptStarted(const EndpointId&, MonotonicTime now);
    // The attempt started, but no byte of it was sent.
    void attemptNotSent(const EndpointId&, MonotonicTime now);

    void setPeers(const std::set<HostId>&, MonotonicTime now);
    // The host has ended; it sends nothing any more.
    void removePeer(const HostId& host, MonotonicTime now) { m_quota.removePeer(host, now); }
    void noteMissing(const std::vector<MissingHost>& missing, MonotonicTime now) { m_quota.noteMissing(missing, now); }
    void setReportInterval(Duration);
    EndpointLimitDigest digest(MonotonicTime now) const;
    // Whether a statement should be reported without delay. Resets the flag.
    bool takeNews() { return std::exchange(m_hasNews, false); }
    void merge(const HostId&, Incarnation, const EndpointLimitDigest&, MonotonicTime now, EffectList&);
    void tick(MonotonicTime now);

private:
    struct Limit {
        double requestsPerSecond = 0;
        MonotonicTime statedAt {};
        // Until when requests of this host, and of each peer, count as waiting.
        MonotonicTime awaitedUntil {};
        std::map<HostId, MonotonicTime> awaitedByPeers;
        // Whether the bucket was empty when this host last looked; otherwise this host sends from sendFrom on.
        bool wasEmpty = true;
        MonotonicTime sendFrom {};
    };

    void setLimit(const EndpointId&, double requestsPerSecond, MonotonicTime at, std::string_view origin, EffectList&);
    void configureQuota(MonotonicTime now);
    Duration randomDelay(const Limit&, MonotonicTime now);

    FleetQuota m_quota;
    RandomGenerator m_random;
    Duration m_reportInterval = std::chrono::milliseconds(200);
    // The latest statements of endpoints that have limited their requests.
    std::map<EndpointId, Limit> m_limits;
    // Whether m_quota has to be configured anew.
    bool m_isChanged = false;
    bool m_hasNews = false;
};

} // namespace Catkinwell
