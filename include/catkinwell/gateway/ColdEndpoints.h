#pragma once

#include <catkinwell/gateway/ColdShares.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <catkinwell/reducer/Effect.h>
#include <deque>
#include <optional>
#include <string_view>

namespace Catkinwell {

// What a cold endpoint bears in one second, from all hosts together: its rate times a factor, plus a number.
struct ColdBounds {
    double factor = 1;
    double slack = 0;

    friend bool operator==(const ColdBounds&, const ColdBounds&) = default;
};

// Which endpoints can handle only a few requests per second because they started a short time ago, and how many this
// host may send to each. An endpoint is cold as long as its records or answers state; if they state nothing, for the
// cold time of its service from when this host first saw its run. Designed for hosts whose lists of hosts differ for a
// moment, and for requests that arrive up to a second after they were sent. Without bounds, and for services without a
// cold time, nothing is cold. Pure; not thread safe.
class ColdEndpoints {
public:
    explicit ColdEndpoints(HostId self);

    void setBounds(std::optional<ColdBounds>);
    // A service with an invalid value keeps its last valid one.
    void configure(const std::map<std::string, GatewayService>&, EffectList&);
    // The hosts among which each rate is divided, see ColdShares::setHosts().
    void setHosts(const std::set<HostId>& registered, const std::set<HostId>& stopped, MonotonicTime now);

    // A record was read at this time, which is not later than now and not earlier than the record was written.
    void noteRecord(const EndpointRecord&, MonotonicTime readAt, EffectList&);
    // The endpoint stated this in an answer.
    void noteNotice(const EndpointId&, const EndpointNotice&, MonotonicTime now, EffectList&);
    // The endpoint may have become cold at any time until now. It counts as cold for the cold time of its service,
    // whatever it states.
    void noteMaybeCold(const EndpointId&, MonotonicTime now);
    // A connection to the endpoint could not be opened or broke, so that it may have restarted. It counts as cold until
    // the list of endpoints would have shown a restart, or for its cold time while the list cannot be read.
    void noteConnectionLost(const EndpointId&, MonotonicTime now);
    // The endpoint is gone. Its state is kept for a while in case the same run returns.
    void remove(const EndpointId&, MonotonicTime now);

    bool isCold(const EndpointId&, MonotonicTime now) const;
    // Whether this host may send the endpoint a request now.
    bool isAvailable(const EndpointId&, MonotonicTime now) const;
    // Returns the time until isAvailable() at the latest if this host sends nothing meanwhile; 0 if it is now.
    Duration timeUntilAvailable(const EndpointId&, MonotonicTime now) const;

    // A request was sent. It counts until a second after it was answered, or after it must have arrived.
    void attemptStarted(const EndpointId&, MonotonicTime now);
    // The head of the answer to a request that was sent at this time has arrived.
    void attemptAnswered(const EndpointId&, MonotonicTime startedAt, MonotonicTime now);
    // A request that was sent at this time did not reach the endpoint.
    void attemptNotCounted(const EndpointId&, MonotonicTime startedAt);

    // Logs and counts changes. The flag tells whether the list of endpoints is being read without failures.
    void tick(bool isListCurrent, MonotonicTime now, EffectList&);

private:
    // Valid terms of a service with cold endpoints.
    struct Terms {
        Duration coldTime {};
        double requestsPerSecond = 0;
    };

    // A request that may still count against the bound.
    struct Sent {
        MonotonicTime startedAt {};
        MonotonicTime countsUntil {};
        bool isAnswered = false;
    };

    struct Statement {
        MonotonicTime end {};
        MonotonicTime statedAt {};
    };

    struct Endpoint {
        std::string service;
        std::uint64_t incarnation = 0;
        std::uint64_t heartbeat = 0;
        MonotonicTime firstSeenAt {};
        std::optional<Statement> stated;
        // What its latest record with a cold time stated.
        std::optional<Duration> recordRemaining;
        MonotonicTime maybeColdSince {};
        MonotonicTime connectionLostAt {};
        // Zero while its record exists.
        MonotonicTime removedAt {};
        // The latest requests, oldest first.
        std::deque<Sent> sent;
        bool isInvalidLogged = false;
        bool isLoggedCold = false;
        unsigned newAttempts = 0;
    };

    // How many requests all hosts together may send in a window, and its length.
    struct Budget {
        unsigned requests = 0;
        Duration window {};
    };

    void eraseLongestRemoved();
    const Endpoint* find(const EndpointId&) const;
    const Terms* termsOf(const Endpoint&) const;
    std::pair<MonotonicTime, std::string_view> endOf(const Endpoint&) const;
    bool isCold(const Endpoint&, MonotonicTime now) const;
    Budget budgetOf(const Terms&) const;
    static std::size_t countingIn(const Endpoint&, MonotonicTime now);
    static void state(Endpoint&, Duration remaining, MonotonicTime at);
    static void noteInvalid(const EndpointId&, Endpoint&, EffectList&);
    void logChange(const EndpointId&, Endpoint&, MonotonicTime now, EffectList&) const;

    ColdShares m_shares;
    std::optional<ColdBounds> m_bounds;
    std::map<std::string, Terms> m_terms;
    std::set<std::string> m_invalidServices;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::set<std::string> m_countedServices;
    MonotonicTime m_nextTickAt {};
};

} // namespace Catkinwell
