#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/ColdEndpoints.h>
#include <catkinwell/gateway/EndpointLimits.h>
#include <catkinwell/gateway/EndpointNotices.h>
#include <catkinwell/gateway/EndpointReturn.h>
#include <catkinwell/gateway/EndpointRoom.h>
#include <catkinwell/gateway/EvacuatedDataCentres.h>
#include <catkinwell/gateway/GatewayMessage.h>
#include <catkinwell/gateway/RoomTurns.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/routing/EndpointChooser.h>
#include <deque>
#include <functional>
#include <unordered_map>

namespace Catkinwell {

// What a request requires of an endpoint.
struct EndpointNeed {
    std::string callerRequestId;
    std::string service;
    // Empty for a plain service.
    ModelVariant variant;
    // The parts of the prompt, in order.
    std::vector<std::string> promptParts;
    // Endpoints that already failed or rejected this request.
    std::set<EndpointId> excluded;
    // The only software version that may serve the request; absent for any.
    std::optional<std::string> softwareVersion {};
};

// The endpoint chosen for an attempt.
struct EndpointChoice {
    EndpointId endpoint;
    std::string address;
};

// What the end of an attempt says about its endpoint.
enum class AttemptVerdict {
    Good,
    // A server error, a broken connection or an invalid answer.
    Bad,
    // No connection, or one whose other end is gone.
    Unreachable,
    // No data in time, over a connection that was not seen to fail.
    Silent,
    // Says nothing about the endpoint: the caller left, or the endpoint did not run the request.
    Neutral,
};

// One host's view of the endpoints: their records in the store, the placement owner's updates about engines, the load
// reported by all hosts, and the outcomes of this host's own attempts. Pure; not thread safe.
class EndpointDirectory {
public:
    EndpointDirectory(DataCentreId own, std::uint64_t seed, HostId self = HostId());

    // Whether the record is older than what is known of the endpoint, also if it has left since. Just after a recovery
    // of the store, a record of another run counts as older if its incarnation is lower.
    bool isOutdated(const EndpointRecord&, bool isStoreRecovering) const;
    // Adds or replaces a record; the endpoint may have restarted under the same identifier.
    void put(const EndpointRecord&, MonotonicTime now, EffectList&);
    // The record is gone or unusable. An endpoint whose record may have expired while the store was unavailable stays
    // usable until the given time.
    void remove(const EndpointId&, MonotonicTime usableUntil, MonotonicTime now, EffectList&);
    void handle(const PlacementUpdate&, MonotonicTime now);
    void handle(const HostId& from, const HostDigest&, MonotonicTime now);
    void removeHost(const HostId&);
    void tick(MonotonicTime now);

    // Number of hosts that choose, including this one, and the time between their reports.
    void setHosts(std::size_t count, Duration reportInterval);
    // From this number of hosts on, requests are spread and rejections count as want of room; before, each goes to the
    // least loaded endpoint.
    void setSpreadFrom(std::size_t hosts) { m_spreadFromHosts = hosts; }
    ChoiceRule rule() const;

    // Returns the best endpoint for the request and logs the decision; nullopt if none is available.
    std::optional<EndpointChoice> choose(const EndpointNeed&, MonotonicTime now, EffectList&);
    // Whether choose() would return an endpoint.
    bool canChoose(const EndpointNeed&, MonotonicTime now);
    // Whether endpoints could take the request and all of them lack room: they rejected a request within the age of the
    // reports, or run as many as when they last did. Always false with ChoiceRule::LeastLoad.
    bool isWithoutRoom(const EndpointNeed&, MonotonicTime now);
    // Whether this host may send one of the requests that wait for room. Counts it as sent if so.
    bool takeRoomTurn(const EndpointNeed&, MonotonicTime now);
    // Whether a usable endpoint of the service that accepts a request now holds the variant, regardless of its load.
    bool hasReplica(const std::string& service, const ModelVariant&, const std::optional<std::string>& softwareVersion,
        MonotonicTime now);
    // Whether the service has an endpoint of the software version that is not excluded, even if it does not hold the
    // model or accepts no request now.
    bool hasVersion(const EndpointNeed&, MonotonicTime now) const;
    // Whether streams of the service that callers may still take up can have begun at several software versions.
    bool hasSeveralVersions(const std::string& service, MonotonicTime now) const;
    // The services of which that is recorded in the store; nullopt while the records were not read.
    void setRecordedServices(std::optional<std::set<std::string>> services)
    {
        m_recordedServices = std::move(services);
    }
    // Returns the services of which this host has seen several versions.
    std::vector<std::string> servicesWithSeveralVersions(MonotonicTime now) const;
    // The rates that endpoints state. choose() and hasReplica() keep within them; attempts count against them.
    EndpointLimits& limits() { return m_limits; }
    // The room of endpoints that fall over if they have to reject too many. choose() and hasReplica() keep within it.
    EndpointRoom& room() { return m_room; }
    // The data centres whose endpoints get nothing new.
    EvacuatedDataCentres& evacuated() { return m_evacuated; }
    const EvacuatedDataCentres& evacuated() const { return m_evacuated; }
    // The pace at which requests return after an evacuation. choose() and hasReplica() keep to it.
    EndpointReturn& returning() { return m_return; }
    bool isEvacuated(const EndpointId&) const;
    std::vector<EndpointId> endpointsIn(const DataCentreId&) const;
    // Whether the service has endpoints, and all of them that neither leave nor are gone are under evacuation.
    bool isWhollyEvacuated(const std::string& service, MonotonicTime now) const;
    // Logs the services for which that began or ended since the last call.
    void reportEvacuatedServices(MonotonicTime now, EffectList&);
    // Endpoints that can handle only a few requests per second. choose() and hasReplica() keep within this host's part.
    ColdEndpoints& cold() { return m_cold; }
    const ColdEndpoints& cold() const { return m_cold; }
    // The endpoint stated this in an answer to this host.
    void noteNotice(const EndpointId&, const EndpointNotice&, MonotonicTime now, EffectList&);
    // Whether the endpoint asked this host for a pause.
    bool isPaused(const EndpointId& id, MonotonicTime now) const { return m_notices.isPaused(id, now); }
    // Returns when the first endpoint that serves the need wants requests again; nullopt unless all asked for a pause.
    std::optional<MonotonicTime> soonestPauseEnd(const EndpointNeed&, MonotonicTime now) const;
    // Returns the expected time until an ordered replica is ready; nullopt if none was ordered.
    std::optional<Duration> timeUntilOrderedReplica(const std::string& service, const ModelVariant&,
        const std::optional<std::string>& softwareVersion, MonotonicTime now) const;
    // Returns the shortest time until a replica can be ready: one at an endpoint that gets no requests for a moment,
    // one that was ordered, or a load ordered now. With a software version, only endpoints of it count.
    Duration shortestTimeToReplica(const std::string& service, const ModelVariant&, const GatewayModel&,
        const std::optional<std::string>& softwareVersion, const std::set<EndpointId>& excluded,
        MonotonicTime now) const;
    // Returns when a cold endpoint that serves the plain service accepts the next request of this host; nullopt unless
    // all usable endpoints are cold and accept none now.
    std::optional<Duration> timeUntilColdAccepts(
        const std::string& service, const std::optional<std::string>& softwareVersion, MonotonicTime now) const;
    bool hasUsableEndpoint(const std::string& service, MonotonicTime now) const;
    // Whether endpoints that serve the need exist, and all of them failed the request or are suspected by this host.
    bool isOnlyUnreachable(const EndpointNeed&, MonotonicTime now) const;
    // Number of the service's endpoints that are neither leaving nor gone nor under evacuation.
    std::size_t count(const std::string& service, MonotonicTime now) const;
    // Returns an endpoint of the service to probe, at random: one of a data centre in which none failed, the own one
    // first, so that the loss of another data centre does not pass for that of this host's path; else one that did not
    // fail. nullopt if the service has none that may get a request now.
    std::optional<EndpointChoice> chooseForProbe(
        const std::string& service, const std::function<bool(const EndpointId&)>& hasFailed, MonotonicTime now);
    // The failures of attempts at the service's endpoints were not theirs.
    void forgetSuspicions(const std::string& service);

    void attemptStarted(const EndpointId&, const ModelVariant&, MonotonicTime now);
    void attemptEnded(const EndpointId&, const ModelVariant&, AttemptVerdict, MonotonicTime now, EffectList&);
    // The endpoint did not run a request for the variant. It counts as not holding the variant for a short time,
    // regardless of its record.
    void noteMissing(const EndpointId&, const ModelVariant&, MonotonicTime now);
    // The endpoint did not run a request for the variant because it has no room.
    void noteRejected(const EndpointId&, const ModelVariant&, MonotonicTime now);
    // Time from the start of an attempt to the first byte of the answer's body.
    void noteFirstByte(const EndpointId&, Duration);
    // Another endpoint now has the address of the record.
    void noteMisdirected(const EndpointId&, MonotonicTime now);

    // Returns the running requests of this host, for its digest.
    std::vector<RunningCount> running() const;
    // Returns the number of requests of all hosts that run on the endpoint.
    unsigned runningOn(const EndpointId&) const;
    // Returns the number of requests of all hosts that run a variant of the model on the endpoint.
    unsigned runningOn(const EndpointId&, const ModelId&) const;
    const EndpointRecord* find(const EndpointId&) const;
    // Whether the endpoint may get new requests.
    bool isUsable(const EndpointId&, MonotonicTime now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    // The owner repeats its updates every second. After this time the endpoint's own record is used instead.
    static constexpr Duration updateLifetime = std::chrono::milliseconds(2500);

    struct Entry {
        EndpointRecord record;
        MonotonicTime recordAt {};
        // When the endpoint stops being usable after its record was removed; zero while the record exists.
        MonotonicTime usableUntil {};
        std::map<ModelVariant, unsigned> ownRunning;
        unsigned ownTotal = 0;
        // The placement owner's latest update about the engine, and when it arrived.
        EngineUpdate update;
        MonotonicTime updateReceivedAt {};
        MonotonicTime suspectedUntil {};
        MonotonicTime misdirectedUntil {};
        unsigned consecutiveFailures = 0;
        // Moving average of failures among attempts, from 0 to 1.
        double failureShare = 0;
        std::map<ModelVariant, MonotonicTime> missingUntil;
        std::optional<MonotonicTime> rejectedAt;
        // Running requests at which it rejects, as its rejections and answers show; 0 until it has rejected one.
        double acceptsUpTo = 0;
        // Moving average of the times to the first byte, in seconds; 0 if unknown.
        double firstByteSeconds = 0;
    };

    // The last record of an endpoint that has left.
    struct Departure {
        EndpointRecord record;
        MonotonicTime at {};
    };

    // Requests of this host, and of all, that ran on endpoints of a service a moment ago.
    struct ServiceUse {
        unsigned own = 0;
        unsigned all = 0;
        MonotonicTime at {};
    };

    // Requests of the other hosts that run on one endpoint.
    struct PeerLoad {
        unsigned total = 0;
        std::map<ModelId, unsigned> byModel;
    };

    // What another host reported last.
    struct PeerReport {
        std::vector<RunningCount> running;
        MonotonicTime at {};
    };

    // Moving average of the attempts that this host starts at a service.
    struct StartRate {
        double perSecond = 0;
        MonotonicTime at {};
    };

    // Endpoints that last processed a prefix of a prompt, with the resulting bonus for the choice.
    using Affinities = std::map<EndpointId, double>;

    bool isUsable(const Entry&, MonotonicTime now) const;
    bool canTake(const Entry&, const EndpointNeed&, MonotonicTime now);
    // Whether the endpoint's limits leave a place for a request of this host.
    bool isAvailable(const Entry&, MonotonicTime now);
    EndpointRoom::Use useOf(const Entry&, MonotonicTime now);
    static bool isInService(const Entry&, MonotonicTime now);
    // Whether the endpoint is in service and not under evacuation.
    bool isPresent(const Entry&, MonotonicTime now) const;
    bool hasVariant(const Entry&, const ModelVariant&, MonotonicTime now) const;
    // Whether it is listed with the variant, also if it rejected a request for it a moment ago.
    bool isListedWith(const Entry&, const ModelVariant&, MonotonicTime now) const;
    static MonotonicTime endOfMissing(const Entry&, const ModelVariant&);
    const LoadedModels& modelsOf(const Entry&, MonotonicTime now) const;
    // Returns the expected time of a load from the weight store that was not ordered yet.
    Duration timeOfStoreLoad(const std::string& service, const GatewayModel&, MonotonicTime now) const;
    // Returns the time until an endpoint with the variant is tried again that is suspected, asked for a pause or
    // rejected a request for it; nullopt if there is none.
    std::optional<Duration> timeUntilHolderIsTried(const std::string& service, const ModelVariant&,
        const std::optional<std::string>& softwareVersion, const std::set<EndpointId>& excluded,
        MonotonicTime now) const;
    // Keeps new requests from the endpoint for a time that grows with its consecutive failures.
    static void suspect(Entry&, MonotonicTime now, EffectList&);
    EndpointCandidate candidateOf(const Entry&, const Affinities&, Duration reportAge, MonotonicTime now) const;
    std::vector<const Entry*> takers(const EndpointNeed&, MonotonicTime now);
    std::vector<EndpointCandidate> candidatesOf(
        const EndpointNeed&, const std::vector<const Entry*>&, MonotonicTime now) const;
    static void setSpeeds(const std::vector<const Entry*>&, std::vector<EndpointCandidate>&);
    // The endpoint that all hosts prefer for the first part of the prompt.
    static std::optional<std::size_t> agreedEndpoint(const EndpointNeed&, const std::vector<const Entry*>&);
    // Free places at an endpoint by the reports; 0 if it rejected a request a moment ago.
    double freePlaces(const Entry&, MonotonicTime now) const;
    Duration reportAge(MonotonicTime now) const;
    // Estimate of the requests per second that all hosts start at the endpoints.
    double startsPerSecond(const std::string& service, const std::vector<const Entry*>&, MonotonicTime now) const;
    void noteStart(const std::string& service, MonotonicTime now);
    Affinities affinitiesOf(const EndpointNeed&) const;
    void addPeerLoad(const std::vector<RunningCount>&);
    void removePeerLoad(const std::vector<RunningCount>&);
    void noteVersion(const EndpointRecord&, MonotonicTime now);
    void updateVersions(MonotonicTime now);
    static bool isVersionAccepted(const Entry&, const std::optional<std::string>& softwareVersion);
    void rememberDeparture(const EndpointRecord&, MonotonicTime now);
    void rememberPrompt(const EndpointNeed&, const EndpointId&);

    DataCentreId m_ownDataCentre;
    RandomGenerator m_random;
    EndpointLimits m_limits;
    EndpointRoom m_room;
    EndpointNotices m_notices;
    EvacuatedDataCentres m_evacuated;
    EndpointReturn m_return;
    // The services that were last reported as wholly evacuated.
    std::set<std::string> m_evacuatedServices;
    ColdEndpoints m_cold;
    std::map<EndpointId, Entry> m_entries;
    // Only of services whose room is limited.
    std::map<std::string, ServiceUse> m_serviceUse;
    std::map<EndpointId, Departure> m_departures;
    // When an endpoint of each service last had each software version.
    std::map<std::string, std::map<std::string, MonotonicTime>> m_versionsSeen;
    std::optional<std::set<std::string>> m_recordedServices = std::set<std::string>();
    MonotonicTime m_nextVersionsAt {};
    // The latest report of each other host, and the sum over all of them.
    std::map<HostId, PeerReport> m_peerReports;
    std::unordered_map<EndpointId, PeerLoad> m_peerLoads;
    // Sum of the times of these reports since the epoch of the clock.
    Duration m_reportTimes {};
    std::size_t m_hostCount = 1;
    std::size_t m_spreadFromHosts = 12;
    Duration m_reportInterval = std::chrono::milliseconds(200);
    EndpointChooser m_chooser;
    RoomTurns m_roomTurns;
    std::map<std::string, StartRate> m_startRates;
    std::uint64_t m_updateToken = 0;
    // The placement owner's latest forecasts, and when they arrived.
    std::vector<StoreLoadForecast> m_forecasts;
    MonotonicTime m_forecastsReceivedAt {};
    // The endpoint that last processed a prompt prefix, by the hash of variant and parts.
    std::unordered_map<std::uint64_t, EndpointId> m_promptEndpoints;
    std::deque<std::uint64_t> m_promptOrder;
};

} // namespace Catkinwell
