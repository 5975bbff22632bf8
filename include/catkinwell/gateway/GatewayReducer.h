#pragma once

#include <catkinwell/gateway/ConfigurationExchange.h>
#include <catkinwell/gateway/EndpointListCheck.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <catkinwell/gateway/GatewayRequests.h>
#include <catkinwell/gateway/GatewaySettings.h>
#include <catkinwell/gateway/PlacementOwnership.h>
#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/gateway/PromptRefusalRecords.h>
#include <catkinwell/gateway/RecordChanges.h>
#include <catkinwell/gateway/SharedReading.h>
#include <catkinwell/gateway/StreamVersionRecords.h>
#include <catkinwell/gateway/VersionMixRecords.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <catkinwell/peer/PeerMessage.h>
#include <catkinwell/reducer/Event.h>
#include <catkinwell/store/HostLease.h>

namespace Catkinwell {

// Event: the operator changed the settings of the process.
struct GatewaySettingsChanged {
    GatewaySettings settings;
};

// All events that a gateway handles.
using GatewayEvent = std::variant<Tick, ShutdownSignal, RequestArrived, RelayedRequestArrived, AdminRequestArrived,
    CallerLeft, CallerBackpressure, AttemptHead, AttemptData, AttemptFinished, AttemptFailed, StoreReply,
    PeerMessageReceived, EngineStatus, EngineStatusFailed, EngineOrderFinished, RunReport, RunReportFailed,
    GatewaySettingsChanged, StoreRestored, RequestsCounted, OutputBuffered, InvalidResponseReceived>;

// How long the runtime may go on after the grace time's last attempt has ended, to refuse what arrives last and to
// write the answers out, and after ExitProcess to have the last store calls answered.
constexpr Duration longestGatewayExit = std::chrono::milliseconds(300);

// State machine of a gateway. apply() is pure: the same state, events and times give the same effects. Not thread
// safe.
class GatewayReducer {
public:
    // Precondition: the protocol outlives the reducer. The secret is used if the fleet has none yet.
    GatewayReducer(GatewaySettings, const ForwardingProtocol&, Incarnation, std::uint64_t seed, std::string secret);

    // Handles one event and returns the effects that the runtime has to carry out, in order.
    // Precondition: times do not decrease.
    EffectList apply(const GatewayEvent&, MonotonicTime now);

    bool isReady() const;
    // Bytes of answers that callers have not read, as far as the reducer knows.
    std::size_t unreadBytes() const { return m_requests.unreadBytes(); }
    // The bytes of requests and answers that the host keeps.
    std::size_t keptBytes() const { return m_requests.keptBytes(); }

private:
    enum class Phase {
        Serving,
        // Running requests finish; new ones are accepted until the load balancer has stopped sending connections.
        Draining,
        Finished,
    };

    // Another gateway.
    struct Peer {
        Incarnation incarnation = 0;
        std::string address;
        DataCentreId dataCentre;
        // Absent if the host neither reads for others nor follows one that does.
        std::optional<ReadingFitness> reading;
        bool isRegistered = false;
        bool isLeaving = false;
        MonotonicTime heardAt {};
        std::uint64_t digestSequence = 0;
        std::uint64_t configurationVersion = 0;
    };

    struct Dispatch;
    struct MessageDispatch;

    void noteTickInterval(MonotonicTime now);
    void handleTick(const Tick&, MonotonicTime now, EffectList&);
    void handleSettings(const GatewaySettings&, MonotonicTime now);
    void setStoreReconnect(Duration);
    void handleShutdown(MonotonicTime now, EffectList&);
    void handleStoreReply(const StoreReply&, MonotonicTime now, EffectList&);
    void handleStoreRestored(const StoreRestored&, MonotonicTime now, EffectList&);
    void handleMessage(const PeerMessageReceived&, MonotonicTime now, EffectList&);
    void handleDigest(const PeerMessageReceived&, const HostDigest&, MonotonicTime now, EffectList&);
    void handle(const RequestsCounted&, EffectList&);
    void handleStatusRequest(const RequestArrived&, MonotonicTime now, EffectList&);

    // The document comes from the store, or from another host.
    void applyConfiguration(
        const std::string& document, const std::optional<HostId>& from, MonotonicTime now, EffectList&);
    LogEntry configurationEntry(
        const std::optional<HostId>& from, std::optional<Duration> statedFor, MonotonicTime now) const;
    void handleOffer(const HostId& from, const ConfigurationDocumentOffer&, MonotonicTime now, EffectList&);
    void askForConfiguration(MonotonicTime now, EffectList&);
    void answer(const HostId& from, const ConfigurationWanted&, EffectList&);
    // Tells the requests how far the copy of the configuration can be trusted.
    void shareConfigurationCopy();
    void applyOperatorEntries(const std::vector<StoreEntry>&, MonotonicTime now, EffectList&);
    // Returns whether an evacuation began or ended.
    bool applyEvacuation(const DataCentreId&, const StoreEntry&, MonotonicTime now, EffectList&);
    void updateEvacuations(MonotonicTime now, EffectList&);
    void applyEndpoint(const StoreEntry&, MonotonicTime now, EffectList&);
    void noteUnusableRecord(const EndpointId&, const std::string& reason, EffectList&);
    void applyGatewayEntry(const StoreEntry&, MonotonicTime now, EffectList&);
    void updateRegisteredHosts(MonotonicTime now);
    void applyRefusalRecord(const StoreEntry&, PromptRefusalId, MonotonicTime now);
    void updatePromptQuarantine(MonotonicTime now, EffectList&);
    void handlePromptChanges(MonotonicTime now, EffectList&);
    void useSecret(const std::string& secret, EffectList&);
    void updateStreamVersions(MonotonicTime now, EffectList&);
    void sendStreamBeginnings(MonotonicTime now, EffectList&);
    void checkEndpointList(MonotonicTime now, EffectList&);
    void handleListCheck(const EndpointListCheck::Result&, MonotonicTime now, EffectList&);
    bool isEveryPeerHeard(MonotonicTime now) const;
    void askForStreamVersions(MonotonicTime now, EffectList&);
    std::vector<HostId> keepersOf(StreamKey, std::size_t count) const;
    void ensureSecret(MonotonicTime now, EffectList&);
    void updateQuotaPeers(const std::set<HostId>& before, MonotonicTime now);
    void updatePeers(MonotonicTime now, EffectList&);
    bool isInOwnDataCentre(const HostId&) const;
    std::map<HostId, SharedReading::Candidate> readingCandidates(MonotonicTime now) const;
    std::optional<ReadingFitness> readingFitness() const;
    Duration recordInterval() const;
    bool areRecordsKnown() const;
    void readEndpoints(MonotonicTime now, EffectList&);
    void prepareSharing(MonotonicTime now, EffectList&);
    void handleEndpointReply(const StoreReply&, MonotonicTime now, EffectList&);
    void applyEndpoints(const std::vector<StoreEntry>&, MonotonicTime now, EffectList&);
    void sendRecords(MonotonicTime now, EffectList&);
    // A batch of these changes between the version and that of the mirror. Precondition: areRecordsKnown().
    RecordBatch batchFrom(StoreVersion, std::vector<StoreEntry>, MonotonicTime now) const;
    void askForRecords(const HostId&, MonotonicTime now, EffectList&);
    void answer(const HostId& from, const RecordsWanted&, MonotonicTime now, EffectList&);
    void handleRecords(const PeerMessageReceived&, const RecordBatch&, MonotonicTime now, EffectList&);
    bool mergeRecords(const RecordBatch&, MonotonicTime now, EffectList&);
    void replaceRecords(const RecordBatch&, MonotonicTime now, EffectList&);
    void checkStoreConnection(const StoreReply&, MonotonicTime now);
    void hastenDigest(MonotonicTime now);
    void sendDigests(MonotonicTime now, EffectList&);
    void sendUrgentDemand(MonotonicTime now, EffectList&);
    void sendDemand(MonotonicTime now, EffectList&);
    HostDigest makeDemandDigest(MonotonicTime now);
    void sendPlacementUpdate(MonotonicTime now, EffectList&);
    void sendTo(const HostId&, const GatewayMessage&, EffectList&) const;
    HostDigest makeDigest(MonotonicTime now);
    bool shouldYieldOwnership(MonotonicTime now) const;
    Duration digestInterval() const;
    Duration restoreDelay();
    GatewayRequests::StopTimes stopTimes() const;
    void advanceShutdown(MonotonicTime now, EffectList&);
    void reportReadiness(EffectList&);
    void recordMetrics(EffectList&);
    void recordAges(MonotonicTime now);
    void logStopEnd(LogEvent, std::size_t cut, EffectList&) const;
    std::string statusJson(MonotonicTime now) const;

    GatewaySettings m_settings;
    const ForwardingProtocol& m_protocol;
    Incarnation m_incarnation;
    // The fleet's secret, or the one to set if the fleet has none yet.
    std::string m_secret;
    MetricsRegistry m_metrics;
    RequestCounts m_callerCounts;
    HostLease m_lease;
    // Of all that operators write.
    PrefixMirror m_configurationMirror;
    PrefixMirror m_endpointMirror;
    PrefixMirror m_gatewayMirror;
    SharedReading m_reading;
    RecordChanges m_recordChanges;
    // The epoch whose records m_recordChanges knows; absent if it does not know those of the mirror.
    std::optional<StoreEpoch> m_knownRecordsEpoch;
    // Changes that were not passed on yet, and the version from which on they are complete. Kept while this host sends.
    std::vector<StoreEntry> m_unsentRecords;
    StoreVersion m_sentVersion = 0;
    bool m_isSendingRecords = false;
    std::string m_loggedReading;
    // Whether a renewal of the lease failed since the store last answered one.
    bool m_isStoreSuspected = false;
    EndpointListCheck m_listCheck;
    PlacementOwnership m_ownership;
    EndpointDirectory m_directory;
    FleetQuota m_quota;
    RelayPeers m_relayPeers;
    ConfigurationExchange m_exchange;
    GatewayRequests m_requests;
    EnginePlacement m_placement;
    PromptRefusalRecords m_refusalRecords;
    VersionMixRecords m_versionMixes;
    StreamVersionRecords m_streamRecords;
    RandomGenerator m_random;
    GatewayConfiguration m_configuration;
    std::string m_configurationDocument;
    // Documents that other hosts sent since a version came into force.
    std::size_t m_receivedDocuments = 0;
    // The store's epoch when the configuration was applied.
    StoreEpoch m_configurationEpoch = 0;
    // Endpoints whose records cannot be used, each logged once.
    std::set<EndpointId> m_unusableRecords;
    std::map<HostId, Peer> m_peers;
    std::set<HostId> m_livePeers;
    std::map<HostId, std::string> m_sentAddresses;
    StoreCallIds m_secretCalls { StoreUser::Administration };
    StoreCallId m_secretCall;
    MonotonicTime m_nextSecretAt {};
    bool m_peersStarted = false;
    std::uint64_t m_digestSequence = 0;
    WallTime m_wallNow {};
    MonotonicTime m_nextDigestAt {};
    // When urgent news may be sent next.
    MonotonicTime m_nextNewsAt {};
    MonotonicTime m_nextUrgentDigestAt {};
    MonotonicTime m_nextPlacementUpdateAt {};
    // Whether a request started waiting that was not reported to the owner yet.
    bool m_isDemandUrgent = false;
    // The owner that received the whole demand, and when the whole demand is sent again.
    HostId m_demandOwner;
    MonotonicTime m_nextWholeDemandAt {};
    Phase m_phase = Phase::Serving;
    MonotonicTime m_shutdownAt {};
    MonotonicTime m_lastTickAt {};
    // The longest recent time between two ticks, by which this host is late.
    Duration m_tickInterval {};
    bool m_isAcceptingStopped = false;
    bool m_wasReady = false;
};

} // namespace Catkinwell
