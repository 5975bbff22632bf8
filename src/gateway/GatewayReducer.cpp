#include <catkinwell/gateway/GatewayReducer.h>

#include <algorithm>
#include <catkinwell/reducer/InvalidResponses.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Streams that began within this time before a kill of all hosts are not known after it; it grows with the number
    // of hosts to bound the store calls.
    constexpr Duration shortestStreamRecordInterval = std::chrono::milliseconds(250);
    constexpr Duration streamRecordIntervalPerHost = std::chrono::milliseconds(10);
    constexpr Duration digestIntervalPerHost = std::chrono::milliseconds(12);
    constexpr Duration shortestDigestInterval = std::chrono::milliseconds(200);
    constexpr Duration longestDigestInterval = std::chrono::seconds(2);
    // All hosts report to one owner, so the interval grows with their number.
    constexpr Duration shortestUrgentInterval = std::chrono::milliseconds(15);
    constexpr Duration urgentIntervalPerHost = std::chrono::microseconds(1500);
    // The owner sends each update to all hosts; changes of a short time share one.
    constexpr Duration placementUpdateIntervalPerHost = std::chrono::milliseconds(2);
    // Minimum time between two digests with urgent news.
    constexpr Duration newsInterval = std::chrono::milliseconds(50);
    // The whole demand is repeated in case a report of changes was lost.
    constexpr Duration wholeDemandInterval = std::chrono::seconds(2);
    constexpr Duration firstRecordInterval = std::chrono::milliseconds(300);
    // What the gateways write of themselves also passes in their digests, and a lost connection shows in the renewals
    // of the lease, so that the watch of it may wait longer than a silent connection may go unnoticed.
    constexpr int gatewayWatchFactor = 4;
    // A peer that is no longer registered counts as live for this time after its last digest.
    constexpr Duration digestLifetime = std::chrono::seconds(2);
    // An evacuation holds 5 s after its key was written, also on a host whose connection to the store went silent and
    // whose event loop is late.
    constexpr Duration longestOperatorReconnect = std::chrono::milliseconds(3500);
    // A list of the operators' prefix is one large document at most, and a connection that went silent must not hold up
    // the next one.
    constexpr Duration longestOperatorListTimeout = std::chrono::milliseconds(2800);

    HostLeaseSettings leaseSettingsOf(const GatewaySettings& settings)
    {
        HostLeaseSettings lease;
        lease.ttl = settings.leaseTtl;
        lease.renewalInterval = settings.leaseTtl / 3;
        lease.keyPrefix = settings.storeKeyPrefix + "hosts/";
        lease.isKeyPerIncarnation = true;
        lease.shortestRetry = std::chrono::milliseconds(150);
        lease.longestRetry = std::chrono::seconds(1);
        lease.callTimeout = std::chrono::milliseconds(600);
        return lease;
    }

    std::string announcedAddressOf(const GatewaySettings& settings)
    {
        return settings.announcedPeerAddress.empty() ? settings.peerAddress : settings.announcedPeerAddress;
    }

    std::string relayAddressOf(const GatewaySettings& settings)
    {
        return settings.announcedRelayAddress.empty() ? settings.relayAddress : settings.announcedRelayAddress;
    }

    PrefixMirrorSettings mirrorOf(std::string prefix, Duration interval)
    {
        PrefixMirrorSettings settings;
        settings.prefix = std::move(prefix);
        settings.minimumInterval = interval;
        return settings;
    }

    // Each version of the configuration is a whole document, of which only the newest one counts.
    PrefixMirrorSettings operatorMirrorOf(std::string prefix)
    {
        PrefixMirrorSettings settings = mirrorOf(std::move(prefix), std::chrono::milliseconds(50));
        settings.listsAfterFailure = true;
        settings.longestListTimeout = longestOperatorListTimeout;
        return settings;
    }

    // Beside the prefix that every host mirrors.
    StreamVersionRecordSettings streamRecordsOf(const GatewaySettings& settings)
    {
        StreamVersionRecordSettings records;
        records.keyPrefix = settings.storeKeyPrefix.substr(0, settings.storeKeyPrefix.size() - 1) + "-streams/";
        return records;
    }

    PlacementOwnership::Settings ownershipOf(const GatewaySettings& settings, Incarnation incarnation)
    {
        PlacementOwnership::Settings ownership;
        ownership.self = settings.host;
        ownership.incarnation = incarnation;
        ownership.keyPrefix = settings.storeKeyPrefix;
        ownership.silence = settings.ownerSilence;
        return ownership;
    }

} // namespace

GatewayReducer::GatewayReducer(GatewaySettings settings, const ForwardingProtocol& protocol, Incarnation incarnation,
    std::uint64_t seed, std::string secret)
    : m_settings(std::move(settings))
    , m_protocol(protocol)
    , m_incarnation(incarnation)
    , m_secret(std::move(secret))
    , m_lease({ m_settings.host, incarnation, m_settings.dataCentre, announcedAddressOf(m_settings),
                  relayAddressOf(m_settings) },
          seed, leaseSettingsOf(m_settings))
    , m_configurationMirror(StoreUser::Configuration, operatorMirrorOf(protocol.operatorPrefix()), seed + 1)
    , m_endpointMirror(StoreUser::Membership, mirrorOf(protocol.endpointPrefix(), firstRecordInterval), seed + 2)
    , m_gatewayMirror(StoreUser::Shares, mirrorOf(m_settings.storeKeyPrefix, std::chrono::milliseconds(100)), seed + 3)
    , m_reading({ m_settings.host, incarnation, m_settings.sharedReadingHosts }, seed + 8)
    , m_recordChanges(protocol)
    , m_listCheck(protocol.endpointPrefix())
    , m_ownership(ownershipOf(m_settings, incarnation), seed + 4)
    , m_directory(m_settings.dataCentre, seed + 6, m_settings.host)
    , m_quota(m_settings.host)
    , m_relayPeers(m_settings.dataCentre, seed + 7)
    , m_exchange(seed + 9)
    , m_requests(m_settings.requests, protocol, m_directory, m_quota, m_relayPeers, m_settings.host)
    , m_placement(m_settings.placement, m_directory)
    , m_refusalRecords(m_settings.storeKeyPrefix + "quarantine/")
    , m_versionMixes(m_settings.storeKeyPrefix + "versions/")
    , m_streamRecords(m_settings.host, incarnation, streamRecordsOf(m_settings))
    , m_random(seed + 5)
{
    setStoreReconnect(m_settings.storeReconnect);
    m_directory.cold().setBounds(m_settings.coldBounds);
    m_directory.setSpreadFrom(m_settings.spreadFromHosts);
}

// One overload for each event type.
struct GatewayReducer::Dispatch {
    GatewayReducer& reducer;
    MonotonicTime now;
    EffectList& effects;

    void operator()(const Tick& tick) const { reducer.handleTick(tick, now, effects); }
    void operator()(const ShutdownSignal&) const { reducer.handleShutdown(now, effects); }
    void operator()(const RequestArrived& event) const
    {
        reducer.m_requests.handle(event, now, effects);
        reducer.checkEndpointList(now, effects);
        reducer.askForStreamVersions(now, effects);
        reducer.sendUrgentDemand(now, effects);
    }
    void operator()(const RelayedRequestArrived& event) const
    {
        reducer.m_requests.handle(event, now, effects);
        reducer.checkEndpointList(now, effects);
        reducer.askForStreamVersions(now, effects);
        reducer.sendUrgentDemand(now, effects);
    }
    void operator()(const AdminRequestArrived& event) const
    {
        reducer.handleStatusRequest(event.request, now, effects);
    }
    void operator()(const CallerLeft& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const CallerBackpressure& event) const { reducer.m_requests.handle(event, effects); }
    void operator()(const AttemptHead& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptData& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptFinished& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const AttemptFailed& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const StoreReply& event) const { reducer.handleStoreReply(event, now, effects); }
    void operator()(const PeerMessageReceived& event) const { reducer.handleMessage(event, now, effects); }
    void operator()(const EngineStatus& event) const
    {
        reducer.m_requests.noteStatusRead(event.endpoint, std::nullopt, now, effects);
        reducer.m_directory.noteNotice(event.endpoint, event.notice, now, effects);
        reducer.m_placement.handle(event, now, effects);
    }
    void operator()(const EngineStatusFailed& event) const
    {
        reducer.m_requests.noteStatusRead(event.endpoint, event.failure, now, effects);
        reducer.m_directory.noteNotice(event.endpoint, event.notice, now, effects);
        reducer.m_placement.handle(event, now, effects);
    }
    void operator()(const RunReport& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const RunReportFailed& event) const { reducer.m_requests.handle(event, now, effects); }
    void operator()(const EngineOrderFinished& event) const
    {
        reducer.m_placement.handle(event, now, effects);
        reducer.m_placement.tick(now, effects);
        reducer.sendPlacementUpdate(now, effects);
    }
    void operator()(const GatewaySettingsChanged& event) const { reducer.handleSettings(event.settings, now); }
    void operator()(const RequestsCounted& event) const { reducer.handle(event, effects); }
    void operator()(const InvalidResponseReceived& event) const { reportInvalidResponse(event, effects); }
    void operator()(const OutputBuffered& event) const { reducer.m_requests.handle(event); }
    void operator()(const StoreRestored& event) const { reducer.handleStoreRestored(event, now, effects); }
};

EffectList GatewayReducer::apply(const GatewayEvent& event, MonotonicTime now)
{
    EffectList effects;
    std::visit(Dispatch { *this, now, effects }, event);
    recordMetrics(effects);
    return effects;
}

// Fields listed by fieldsThatNeedRestart() keep their initial values.
void GatewayReducer::handleSettings(const GatewaySettings& settings, MonotonicTime now)
{
    m_requests.noteReloaded(now);
    m_settings.shutdownGrace = settings.shutdownGrace;
    m_settings.shutdownAccepting = settings.shutdownAccepting;
    setStoreReconnect(settings.storeReconnect);
    m_settings.processorShare = settings.processorShare;
    m_reading.setFromHosts(settings.sharedReadingHosts);
    m_settings.sharedReadingHosts = settings.sharedReadingHosts;
    m_ownership.setSilence(settings.ownerSilence);
    m_requests.setSettings(settings.requests);
    m_settings.coldBounds = settings.coldBounds;
    m_directory.cold().setBounds(settings.coldBounds);
    m_placement.setSettings(settings.placement);
    m_directory.setSpreadFrom(settings.spreadFromHosts);
}

void GatewayReducer::setStoreReconnect(Duration reconnect)
{
    m_configurationMirror.setReconnect(std::min(reconnect, longestOperatorReconnect));
    m_endpointMirror.setReconnect(reconnect);
    m_gatewayMirror.setReconnect(gatewayWatchFactor * reconnect);
}

void GatewayReducer::handleTick(const Tick& tick, MonotonicTime now, EffectList& effects)
{
    noteTickInterval(now);
    m_wallNow = tick.wallNow;
    m_lease.tick(now, effects);
    m_configurationMirror.tick(now, effects);
    readEndpoints(now, effects);
    m_gatewayMirror.tick(now, effects);
    ensureSecret(now, effects);
    m_ownership.setYielding(shouldYieldOwnership(now));
    m_ownership.tick(m_lease.status(), m_gatewayMirror, now, effects);
    m_placement.setPermission(m_ownership.permission(m_lease.status(), now), now);
    updatePeers(now, effects);
    m_requests.updateReach(now, effects);
    m_quota.tick(now);
    m_directory.tick(now);
    updateEvacuations(now, effects);
    updateRegisteredHosts(now);
    m_directory.cold().tick(
        m_endpointMirror.isCurrent() && m_endpointMirror.failingSince() == MonotonicTime(), now, effects);
    updatePromptQuarantine(now, effects);
    updateStreamVersions(now, effects);
    checkEndpointList(now, effects);
    askForConfiguration(now, effects);
    m_placement.tick(now, effects);
    sendPlacementUpdate(now, effects);
    sendDigests(now, effects);
    sendUrgentDemand(now, effects);
    m_requests.dispatchWaiting(now, effects);
    m_requests.tick(now, effects);
    reportReadiness(effects);
    advanceShutdown(now, effects);
}

// Whether another host reaches engines that this one does not.
bool GatewayReducer::shouldYieldOwnership(MonotonicTime now) const
{
    const std::set<std::string> lost = m_requests.reach().lostServices();
    return std::any_of(lost.begin(), lost.end(), [&](const std::string& service) {
        return m_configuration.engineOf(service) && m_relayPeers.isReachedBySome(service, now);
    });
}

void GatewayReducer::handleStoreReply(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    effects.push_back(RecordMetric { Metric::StoreCallsTotal, std::string(nameOf(reply.status)) });
    const StoreUser user = StoreCallIds::userOf(reply.id);
    effects.push_back(RecordMetric { Metric::StoreCallsByPurpose, std::string(nameOf(user)) });
    switch (user) {
    case StoreUser::HostLease:
        checkStoreConnection(reply, now);
        m_lease.handle(reply, now, effects);
        break;
    case StoreUser::Configuration:
        applyOperatorEntries(m_configurationMirror.handle(reply, now, effects), now, effects);
        shareConfigurationCopy();
        m_configurationMirror.tick(now, effects);
        break;
    case StoreUser::Membership:
        handleEndpointReply(reply, now, effects);
        break;
    case StoreUser::Shares:
        for (const StoreEntry& entry : m_gatewayMirror.handle(reply, now, effects))
            applyGatewayEntry(entry, now, effects);
        updateRegisteredHosts(now);
        break;
    case StoreUser::Placement:
        m_ownership.handle(reply, now, effects);
        break;
    case StoreUser::Administration:
        if (reply.id == m_secretCall)
            m_secretCall = StoreCallId();
        break;
    case StoreUser::Quarantine:
        m_refusalRecords.handle(reply);
        break;
    case StoreUser::Versions:
        m_versionMixes.handle(reply);
        break;
    case StoreUser::Streams:
    case StoreUser::StreamReads:
        if (const auto beginnings = m_streamRecords.handle(reply, m_wallNow))
            m_requests.noteRecordsRead(*beginnings, now, effects);
        break;
    case StoreUser::EndpointCheck:
        if (const auto result = m_listCheck.handle(reply, m_endpointMirror))
            handleListCheck(*result, now, effects);
        break;
    case StoreUser::Orders:
        break;
    }
}

void GatewayReducer::updatePeers(MonotonicTime now, EffectList& effects)
{
    std::set<HostId> live;
    std::map<HostId, std::string> addresses;
    const bool isStoreAway = m_gatewayMirror.failingSince() != MonotonicTime();
    for (const auto& [host, peer] : m_peers) {
        const bool isHeard = peer.heardAt != MonotonicTime() && now - peer.heardAt < digestLifetime;
        const bool isLive = (peer.isRegistered && !peer.isLeaving) || isHeard;
        if (isLive || isStoreAway)
            live.insert(host);
        if (!peer.address.empty() && (isLive || isStoreAway))
            addresses[host] = peer.address;
    }
    if (m_peersStarted && addresses != m_sentAddresses) {
        m_sentAddresses = addresses;
        effects.push_back(SetPeerAddresses { addresses });
    }
    if (live == m_livePeers)
        return;
    for (const HostId& host : m_livePeers) {
        if (!live.contains(host)) {
            m_directory.removeHost(host);
            m_placement.removeHost(host);
            m_exchange.removeHost(host);
        }
    }
    const std::set<HostId> before = std::exchange(m_livePeers, std::move(live));
    updateQuotaPeers(before, now);
    m_directory.setHosts(m_livePeers.size() + 1, digestInterval());
    m_directory.returning().setHosts(m_livePeers.size() + 1);
    m_requests.setHostCount(m_livePeers.size() + 1);
    m_requests.trials().setPeers(m_livePeers);
    m_relayPeers.setLive(m_livePeers);
    m_streamRecords.setInterval(std::max<Duration>(
        shortestStreamRecordInterval, streamRecordIntervalPerHost * static_cast<std::int64_t>(m_livePeers.size() + 1)));
    std::string names;
    for (const HostId& host : m_livePeers)
        names += (names.empty() ? "" : " ") + host.value;
    effects.push_back(LogEntry { LogEvent::GatewayPeersChanged, { { "live", names } } });
}

// What hosts spend that have gone without saying so is not known; those that said so spend nothing.
void GatewayReducer::updateQuotaPeers(const std::set<HostId>& before, MonotonicTime now)
{
    m_quota.setPeers(m_livePeers, now);
    m_quota.setReportInterval(digestInterval());
    m_directory.limits().setPeers(m_livePeers, now);
    m_directory.limits().setReportInterval(digestInterval());
    for (const HostId& host : before) {
        if (m_livePeers.contains(host) || !m_peers[host].isLeaving)
            continue;
        m_quota.removePeer(host, now);
        m_directory.limits().removePeer(host, now);
    }
}

Duration GatewayReducer::digestInterval() const
{
    return std::clamp<Duration>(digestIntervalPerHost * static_cast<std::int64_t>(m_livePeers.size() + 1),
        shortestDigestInterval, longestDigestInterval);
}

HostDigest GatewayReducer::makeDigest(MonotonicTime now)
{
    HostDigest digest;
    digest.sequence = ++m_digestSequence;
    digest.configurationVersion = m_configuration.version;
    digest.isLeaving = m_phase != Phase::Serving;
    digest.usage = m_quota.ownUsage();
    digest.running = m_directory.running();
    digest.limits = m_directory.limits().digest(now);
    digest.brittleServices = m_directory.room().report(now);
    digest.prompts = m_requests.promptQuarantine().nextDigest(now);
    digest.prompts.trials = m_requests.trials().report(now);
    digest.unreachableServices = m_requests.reach().lostServices();
    digest.missingHosts = m_quota.missingHosts(now);
    digest.reading = readingFitness();
    return digest;
}

// News that the peers need at once do not wait for the next regular digest.
void GatewayReducer::hastenDigest(MonotonicTime now)
{
    if (now < m_nextNewsAt)
        return;
    const bool hasCrashNews = m_requests.promptQuarantine().takeNews(now);
    const bool hasTrialNews = m_requests.trials().takeNews();
    const bool hasLimitNews = m_directory.limits().takeNews();
    const bool hasReachNews = m_requests.takeReachNews();
    if (!hasCrashNews && !hasTrialNews && !hasLimitNews && !hasReachNews)
        return;
    m_nextNewsAt = now + newsInterval;
    m_nextDigestAt = now;
}

void GatewayReducer::sendDigests(MonotonicTime now, EffectList& effects)
{
    hastenDigest(now);
    if (now < m_nextDigestAt)
        return;
    m_nextDigestAt = now + digestInterval();
    HostDigest digest = makeDigest(now);
    const std::string payloadInDataCentre = encodeGatewayMessage(digest);
    digest.reading.reset();
    const std::string payload = encodeGatewayMessage(digest);
    for (const HostId& host : m_livePeers) {
        if (host != m_ownership.owner())
            effects.push_back(
                SendToPeer { host, GatewayEnvelope { isInOwnDataCentre(host) ? payloadInDataCentre : payload } });
    }
    sendDemand(now, effects);
}

// Reports requests that start waiting without delay, batching those of a short interval.
void GatewayReducer::sendUrgentDemand(MonotonicTime now, EffectList& effects)
{
    m_isDemandUrgent = m_requests.takeNewlyWaiting() || m_isDemandUrgent;
    if (m_isDemandUrgent && now >= m_nextUrgentDigestAt)
        sendDemand(now, effects);
}

// Reports this host's demand to the placement owner.
void GatewayReducer::sendDemand(MonotonicTime now, EffectList& effects)
{
    m_isDemandUrgent = false;
    m_nextUrgentDigestAt = now
        + std::max<Duration>(
            shortestUrgentInterval, urgentIntervalPerHost * static_cast<std::int64_t>(m_livePeers.size() + 1));
    if (m_placement.isOwner()) {
        m_placement.handle(m_settings.host, makeDemandDigest(now).demand, now);
        m_placement.tick(now, effects);
        sendPlacementUpdate(now, effects);
    } else if (m_livePeers.contains(m_ownership.owner())) {
        sendTo(m_ownership.owner(), makeDemandDigest(now), effects);
    }
}

HostDigest GatewayReducer::makeDemandDigest(MonotonicTime now)
{
    const bool isWhole = m_demandOwner != m_ownership.owner() || now >= m_nextWholeDemandAt;
    if (isWhole) {
        m_demandOwner = m_ownership.owner();
        m_nextWholeDemandAt = now + wholeDemandInterval;
    }
    HostDigest digest = makeDigest(now);
    digest.demand = m_requests.demand().report(isWhole, now);
    digest.demand.versionWaits = m_requests.versionWaits(now);
    if (!isInOwnDataCentre(m_ownership.owner()))
        digest.reading.reset();
    return digest;
}

void GatewayReducer::sendPlacementUpdate(MonotonicTime now, EffectList& effects)
{
    if (now < m_nextPlacementUpdateAt)
        return;
    const auto update = m_placement.takeUpdate(now);
    if (!update)
        return;
    m_nextPlacementUpdateAt = now + placementUpdateIntervalPerHost * static_cast<std::int64_t>(m_livePeers.size());
    m_directory.handle(*update, now);
    const std::string payload = encodeGatewayMessage(*update);
    for (const HostId& host : m_livePeers)
        effects.push_back(SendToPeer { host, GatewayEnvelope { payload } });
    m_requests.dispatchWaiting(now, effects);
}

void GatewayReducer::sendTo(const HostId& host, const GatewayMessage& message, EffectList& effects) const
{
    effects.push_back(SendToPeer { host, GatewayEnvelope { encodeGatewayMessage(message) } });
}

struct GatewayReducer::MessageDispatch {
    GatewayReducer& reducer;
    const PeerMessageReceived& envelope;
    MonotonicTime now;
    EffectList& effects;

    void operator()(const HostDigest& digest) const { reducer.handleDigest(envelope, digest, now, effects); }
    void operator()(const PlacementUpdate& update) const
    {
        reducer.m_directory.handle(update, now);
        reducer.m_requests.dispatchWaiting(now, effects);
    }
    void operator()(const ConfigurationWanted& wanted) const { reducer.answer(envelope.from, wanted, effects); }
    void operator()(const StreamBeginnings& message) const
    {
        for (const StreamBeginning& stream : message.streams)
            reducer.m_requests.handle(stream, now, effects);
    }
    void operator()(const StreamVersionWanted& wanted) const
    {
        reducer.sendTo(envelope.from,
            StreamBeginnings { { reducer.m_requests.streamVersions().answer(wanted.stream, now) } }, effects);
    }
    void operator()(const ConfigurationDocumentOffer& offer) const
    {
        reducer.handleOffer(envelope.from, offer, now, effects);
    }
    void operator()(const RecordBatch& batch) const { reducer.handleRecords(envelope, batch, now, effects); }
    void operator()(const RecordsWanted& wanted) const { reducer.answer(envelope.from, wanted, now, effects); }
};

void GatewayReducer::handleMessage(const PeerMessageReceived& received, MonotonicTime now, EffectList& effects)
{
    const auto* envelope = std::get_if<GatewayEnvelope>(&received.message);
    if (!envelope)
        return;
    auto message = decodeGatewayMessage(envelope->payload);
    if (isError(message)) {
        effects.push_back(LogEntry { LogEvent::PeerMessageDropped,
            { { "from", received.from.value }, { "reason", errorOf(message).message }, { "count", "1" } } });
        return;
    }
    std::visit(MessageDispatch { *this, received, now, effects }, valueOf(message));
}

void GatewayReducer::handleDigest(
    const PeerMessageReceived& received, const HostDigest& digest, MonotonicTime now, EffectList& effects)
{
    Peer& peer = m_peers[received.from];
    if (received.incarnation < peer.incarnation)
        return;
    if (received.incarnation > peer.incarnation) {
        peer.incarnation = received.incarnation;
        peer.digestSequence = 0;
    }
    // Drops a digest that was overtaken by a later one.
    if (digest.sequence <= peer.digestSequence)
        return;
    peer.digestSequence = digest.sequence;
    peer.heardAt = now;
    peer.isLeaving = digest.isLeaving;
    peer.reading = digest.reading;
    peer.configurationVersion = digest.configurationVersion;
    m_exchange.noteStated(received.from, digest.configurationVersion, now);
    shareConfigurationCopy();
    m_quota.merge(received.from, received.incarnation, digest.usage, now);
    m_quota.noteMissing(digest.missingHosts, now);
    m_directory.limits().noteMissing(digest.missingHosts, now);
    m_directory.handle(received.from, digest, now);
    m_directory.room().merge(digest.brittleServices, now, effects);
    m_directory.limits().merge(received.from, received.incarnation, digest.limits, now, effects);
    m_placement.handle(received.from, digest.demand, now);
    m_relayPeers.noteHeard(received.from, digest.unreachableServices, now);
    m_requests.trials().merge(received.from, digest.prompts.trials, now);
    m_requests.promptQuarantine().merge(digest.prompts, now);
    handlePromptChanges(now, effects);
    if (m_placement.isOwner()) {
        m_placement.tick(now, effects);
        sendPlacementUpdate(now, effects);
    }
    askForConfiguration(now, effects);
}

bool GatewayReducer::isReady() const
{
    return m_phase == Phase::Serving && m_configuration.isKnown() && m_configurationMirror.isRead()
        && m_endpointMirror.isRead() && m_gatewayMirror.isRead();
}

void GatewayReducer::reportReadiness(EffectList& effects)
{
    if (isReady() == m_wasReady)
        return;
    m_wasReady = isReady();
    effects.push_back(LogEntry { LogEvent::GatewayReadinessChanged,
        { { "ready", m_wasReady ? "yes" : "no" }, { "configuration", std::to_string(m_configuration.version) },
            { "endpoints", std::to_string(m_directory.size()) } } });
}

} // namespace Catkinwell
