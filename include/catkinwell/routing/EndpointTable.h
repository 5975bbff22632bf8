#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/reducer/Effect.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// What a request needs of an endpoint.
struct EndpointDemand {
    RequestId request;
    std::string pool;
    // Empty for a plain service.
    ModelId model;
    std::uint64_t prefixHash = 0;
    // Endpoints that already failed this request.
    std::set<EndpointId> excluded;
};

struct EndpointScore {
    EndpointId endpoint;
    // Lower is better: the expected queue in units of the endpoint's capacity.
    double score = 0;
    bool hasRoom = false;
};

// The endpoints as one host sees them, and the choice among them. Load reports lag, so
// each is corrected by the host's own attempts that started after it was requested.
// Not thread safe.
class EndpointTable {
public:
    EndpointTable(DataCentreId ownDataCentre, std::uint64_t seed);

    // Takes over the endpoints of a configuration; what is known of those that stay is kept.
    void configure(const FleetConfiguration&);

    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&, MonotonicTime now, EffectList&);

    // Marks the endpoints that the platform or an operator is removing; they get no new attempts.
    void setLeaving(const std::set<EndpointId>&, MonotonicTime now, EffectList&);
    // Whether the failure shows that the endpoint died while it was in use: an attempt failed a few seconds ago and now
    // no connection can be opened. True once for each death.
    bool noteDeath(const EndpointReportFailed&, MonotonicTime now);
    // Corrects the loaded models of an endpoint ahead of its next report, for example from the placement plan.
    void noteReplica(const EndpointId&, const ModelId&, bool loaded);

    // Asks for the reports that are due, at most a few a second whatever the number of endpoints.
    void tick(MonotonicTime now, EffectList&);
    // Asks for a report at once, for example after an attempt found a model missing.
    void refreshSoon(const EndpointId&);

    // Returns the best endpoint, logs the candidates with their scores, and counts the attempt that
    // the caller starts. Returns nothing if no endpoint can take the request now.
    std::optional<EndpointSettings> choose(const EndpointDemand&, MonotonicTime now, EffectList&);
    // Whether an endpoint could take a request for the model now.
    bool hasRoom(const std::string& pool, const ModelId&, MonotonicTime now) const;
    // Whether any usable endpoint but the excluded ones has the model loaded, with or without room.
    bool isLoaded(
        const std::string& pool, const ModelId&, MonotonicTime now, const std::set<EndpointId>& excluded = {}) const;
    // Whether the pool has an endpoint that is neither leaving nor suspected.
    bool hasUsableEndpoint(const std::string& pool, MonotonicTime now) const;

    // Ends an attempt that choose() counted.
    void attemptEnded(const EndpointId&);
    // Suspects the endpoint for a few seconds: it broke a connection or was silent.
    void attemptFailed(const EndpointId&, MonotonicTime now, EffectList&);

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
        // Own attempts that run, and those of them that the last report, or the next one, cannot contain.
        std::uint32_t ownRunning = 0;
        std::uint32_t ownSinceReport = 0;
        std::uint32_t ownSinceRequest = 0;
        MonotonicTime reportedAt {};
        MonotonicTime nextReportAt {};
        MonotonicTime suspectedUntil {};
        std::uint32_t failedReports = 0;
        MonotonicTime attemptFailedAt {};
        bool deathNoted = false;
        bool reportPending = false;
        // A plain service is asked only after a failed attempt.
        bool probeDue = false;
        bool leaving = false;
        bool reportedLeaving = false;
        std::vector<PrefixUse> recentPrefixes;
    };

    bool isUsable(const Entry&, MonotonicTime now) const;
    bool serves(const Entry&, const EndpointDemand&, MonotonicTime now) const;
    EndpointScore scoreOf(const Entry&, const EndpointDemand&, MonotonicTime now) const;
    void rememberPrefix(Entry&, std::uint64_t hash, MonotonicTime now);
    void suspect(Entry&, MonotonicTime until, const std::string& reason, EffectList&);
    Duration reportInterval() const;

    DataCentreId m_ownDataCentre;
    RandomGenerator m_random;
    std::map<EndpointId, Entry> m_entries;
};

} // namespace Catkinwell
