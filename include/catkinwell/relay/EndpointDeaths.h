#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

struct EndpointDeathSettings {
    // Time for another host to be answered, after the path was lost and after each request that one is asked to serve.
    Duration lossDecisionTime = std::chrono::seconds(3);
    // Longest time of a report. One that was requested while the path was lost may fail this long after its return.
    Duration reportTime = std::chrono::seconds(1);
    // A death for which no evidence arrives is forgotten after this time.
    Duration longestDoubt = std::chrono::seconds(5);
};

// Decides which endpoints that seem to have died did so. A host sees only its own connections break, so a death counts
// once the host's links are shown to work: another endpoint of the pool answers on a connection that was opened after
// the death. While the path to the pool is lost, it counts if no other host is answered for some time. It is forgotten
// if the endpoint goes on answering, or if another host was answered while this one could connect to none. Pure; not
// thread safe.
class EndpointDeaths {
public:
    explicit EndpointDeaths(EndpointDeathSettings settings = {});

    // The endpoint's connections broke and its report can't be fetched. isOnlyEndpoint tells whether the pool has no
    // other that could be probed.
    void noteDied(const EndpointId&, const std::string& pool, bool isOnlyEndpoint, MonotonicTime now);
    // An endpoint of the pool answered on a connection that was opened at openedAt.
    void noteConnected(const std::string& pool, const EndpointId&, MonotonicTime openedAt);
    // The endpoint answered on a connection opened at openedAt. One that is older than the death disproves it.
    void noteAnswered(const EndpointId&, MonotonicTime openedAt);

    // The path to the pool was lost; since is the time of the first failure that showed it.
    void noteLost(const std::string& pool, MonotonicTime since, MonotonicTime now);
    void noteRegained(const std::string& pool, MonotonicTime now);
    // Another host was asked to serve a request; its answer is awaited before the deaths are decided.
    void noteAskedElsewhere(const std::string& pool, MonotonicTime now);
    void noteServedElsewhere(const std::string& pool, MonotonicTime now);
    // A probe that was started at this time failed. If an endpoint had answered another host before, only this host's
    // links are broken: forgets the deaths in the pool and returns since when the links are broken.
    std::optional<MonotonicTime> noteProbeFailed(const std::string& pool, MonotonicTime startedAt);

    // Returns the endpoints that are shown to have died, each once.
    std::vector<EndpointId> takeDied(MonotonicTime now);
    // Returns the pools of which another endpoint should be probed, to decide on a death.
    std::set<std::string> undecidedPools() const;
    bool isInDoubt(const EndpointId& endpoint) const { return m_deaths.contains(endpoint); }

private:
    struct Death {
        std::string pool;
        MonotonicTime at {};
        bool isOnlyEndpoint = false;
        bool isShown = false;
    };
    struct Loss {
        MonotonicTime since {};
        MonotonicTime decidedAt {};
        // When an endpoint answered another host, while this one could reach none.
        std::optional<MonotonicTime> servedElsewhereAt {};
        // Whether only this host's links turned out to be broken.
        bool isOwn = false;
    };

    void forgetDeathsIn(const std::string& pool);
    bool isShown(const Death&, MonotonicTime now) const;

    EndpointDeathSettings m_settings;
    std::map<EndpointId, Death> m_deaths;
    std::map<std::string, Loss> m_losses;
    std::map<std::string, MonotonicTime> m_regainedAt;
};

} // namespace Catkinwell
