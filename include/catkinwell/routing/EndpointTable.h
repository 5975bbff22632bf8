#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/reducer/Effect.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// The requirements of a request for an endpoint.
struct EndpointRequirements {
    RequestId request;
    std::string pool;
    // Empty for a plain service.
    ModelId model;
    std::uint64_t prefixHash = 0;
    // Endpoints on which an attempt of this request has failed.
    std::set<EndpointId> excluded;
};

struct EndpointScore {
    EndpointId endpoint;
    // Lower is better: the load relative to the endpoint's capacity, adjusted for the data centre and cached prefixes.
    double score = 0;
    bool hasRoom = false;
};

// Tracks the state of the endpoints on one host and selects endpoints for requests. Load reports lag
// behind, so they are corrected by the host's own attempts that started after the report was requested.
// Not thread safe.
class EndpointTable {
public:
    EndpointTable(DataCentreId ownDataCentre, std::uint64_t seed);

    // Sets the configured endpoints. The state of endpoints that stay configured is kept.
    void configure(const FleetConfiguration&);

    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&, MonotonicTime now, EffectList&);

    // Sets the endpoints that the platform or an operator is removing. They receive no new attempts.
    void setLeaving(const std::set<EndpointId>&, MonotonicTime now, EffectList&);
    // Returns whether the failure shows that the endpoint died while it was in use: no connection can be opened, and an
    // attempt failed within the last 5 s. Returns true once per death.
    bool detectDeath(const EndpointReportFailed&, MonotonicTime now);
    // Updates the loaded models of an endpoint before its next report, for example from the placement plan.
    void noteReplica(const EndpointId&, const ModelId&, bool loaded);

    // Fetches the reports that are due. The rate is limited independently of the number of endpoints.
    void tick(MonotonicTime now, EffectList&);
    // Fetches a report with the next tick(), for example after an attempt found a model missing.
    void refreshSoon(const EndpointId&);

    // Returns the endpoint with the best score, logs all candidates with their scores, and counts an attempt, which
    // the caller must start. Returns nothing if no endpoint can accept the request now.
    std::optional<EndpointSettings> choose(const EndpointRequirements&, MonotonicTime now, EffectList&);
    // Whether an endpoint can accept a request for the model now.
    bool hasRoom(const std::string& pool, const ModelId&, MonotonicTime now) const;
    // Whether any usable endpoint that is not excluded has the model loaded, even if it has no room.
    bool isLoaded(
        const std::string& pool, const ModelId&, MonotonicTime now, const std::set<EndpointId>& excluded = {}) const;
    // Whether the pool has an endpoint that is neither leaving nor suspected.
    bool hasUsableEndpoint(const std::string& pool, MonotonicTime now) const;

    // Ends an attempt that choose() counted.
    void attemptEnded(const EndpointId&);
    // Marks the endpoint as suspected for a few seconds, after it closed a connection or did not respond. The last
    // usable endpoint of a service is suspected only if no connection can be opened.
    void attemptFailed(const EndpointId&, AttemptFailure, MonotonicTime now, EffectList&);

    // Counts the endpoints of the pool that are not leaving.
    std::size_t count(const std::string& pool) const;
    // Returns an endpoint of the pool for a probe of the path, preferably one that the predicate does not name.
    std::optional<EndpointSettings> chooseForProbe(
        const std::string& pool, const std::function<bool(const EndpointId&)>& hasFailed) const;
    // The endpoint answered a probe.
    void endSuspicion(const EndpointId&);
    // Has the reports of the pool's suspected endpoints fetched at once, because this host's own path to them was
    // broken and is back. Those that answer are suspected no longer; others may have ended meanwhile.
    void recheckSuspected(const std::string& pool, MonotonicTime now);

    const EndpointSettings* find(const EndpointId&) const;
    std::string statusJson(MonotonicTime now) const;

private:
    struct PrefixUse {
        std::uint64_t hash = 0;
        MonotonicTime at {};
    };

    struct Entry {
        EndpointSettings settings;
        std::set<ModelId> loaded;
        std::uint32_t reportedLoad = 0;
        std::uint32_t reportedCapacity = 0;
        // Running attempts of this host: all, those that started after the latest report was requested, and those
        // that started after the pending report was requested.
        std::uint32_t ownRunning = 0;
        std::uint32_t ownSinceReport = 0;
        std::uint32_t ownSinceRequest = 0;
        MonotonicTime reportedAt {};
        MonotonicTime nextReportAt {};
        MonotonicTime suspectedUntil {};
        std::uint32_t failedReports = 0;
        // Reports whose success ends the suspicion.
        std::uint32_t rechecks = 0;
        MonotonicTime attemptFailedAt {};
        bool deathDetected = false;
        bool reportPending = false;
        // Set after a failed attempt. A plain service is only probed then.
        bool probeDue = false;
        bool leaving = false;
        bool reportedLeaving = false;
        std::vector<PrefixUse> recentPrefixes;
    };

    bool isUsable(const Entry&, MonotonicTime now) const;
    bool isLastOfService(const Entry&, MonotonicTime now) const;
    bool canServe(const Entry&, const EndpointRequirements&, MonotonicTime now) const;
    EndpointScore scoreOf(const Entry&, const EndpointRequirements&, MonotonicTime now) const;
    void rememberPrefix(Entry&, std::uint64_t hash, MonotonicTime now);
    void suspect(Entry&, MonotonicTime until, const std::string& reason, EffectList&);
    static void noteRecheckAnswered(Entry&);
    static void noteRecheckFailed(Entry&, MonotonicTime now);
    Duration reportInterval() const;

    DataCentreId m_ownDataCentre;
    RandomGenerator m_random;
    std::map<EndpointId, Entry> m_entries;
};

} // namespace Catkinwell
