#include <catkinwell/gateway/GatewayReducer.h>

#include <algorithm>
#include <iterator>

// How a gateway reads the endpoints' records: by itself, for the hosts of its data centre, or from the one that reads.
namespace Catkinwell {

namespace {

    // The interval grows with the number of hosts to bound the store calls; records then arrive a little later.
    constexpr Duration shortestRecordInterval = std::chrono::milliseconds(300);
    constexpr Duration recordIntervalPerHost = std::chrono::milliseconds(30);
    constexpr Duration longestRecordInterval = std::chrono::milliseconds(1200);
    // A host counts as heard until it missed this many digests.
    constexpr int missedDigests = 3;
    // A host whose loop is late by a larger part of the interval at which it reads is no fit reader.
    constexpr int latenessDivisor = 8;
    // Longer than any use that is made of the time of a recovery.
    constexpr Duration longestRecovery = std::chrono::seconds(10);
    // Below the largest message between hosts. More changes at once are read by each host itself.
    constexpr std::size_t maximumBatchBytes = 900 * 1024;

    std::vector<StoreEntry> valuesOf(const std::map<std::string, StoreEntry>& entries)
    {
        std::vector<StoreEntry> values;
        values.reserve(entries.size());
        for (const auto& [key, entry] : entries)
            values.push_back(entry);
        return values;
    }

    void count(std::string_view outcome, EffectList& effects)
    {
        effects.push_back(RecordMetric { Metric::RecordBatchesTotal, std::string(outcome) });
    }

} // namespace

Duration GatewayReducer::recordInterval() const
{
    return std::clamp<Duration>(recordIntervalPerHost * static_cast<std::int64_t>(m_livePeers.size() + 1),
        shortestRecordInterval, longestRecordInterval);
}

bool GatewayReducer::isInOwnDataCentre(const HostId& host) const
{
    const auto peer = m_peers.find(host);
    return peer != m_peers.end() && peer->second.dataCentre == m_settings.dataCentre;
}

// Absent where the data centre has too few hosts to share.
std::optional<ReadingFitness> GatewayReducer::readingFitness() const
{
    const auto others = std::count_if(
        m_livePeers.begin(), m_livePeers.end(), [this](const HostId& host) { return isInOwnDataCentre(host); });
    if (m_settings.sharedReadingHosts == 0 || m_phase != Phase::Serving
        || static_cast<std::size_t>(others) + 1 < m_settings.sharedReadingHosts)
        return std::nullopt;
    const bool isInTime = m_tickInterval <= recordInterval() / latenessDivisor;
    const bool isStoreReached
        = m_lease.isStoreReachable() && m_endpointMirror.failingSince() == MonotonicTime() && areRecordsKnown();
    return ReadingFitness { m_settings.processorShare, isInTime && isStoreReached };
}

std::map<HostId, SharedReading::Candidate> GatewayReducer::readingCandidates(MonotonicTime now) const
{
    std::map<HostId, SharedReading::Candidate> candidates;
    for (const HostId& host : m_livePeers) {
        const auto peer = m_peers.find(host);
        if (peer == m_peers.end() || !peer->second.reading || peer->second.isLeaving || !isInOwnDataCentre(host)
            || now - peer->second.heardAt > missedDigests * digestInterval())
            continue;
        candidates[host] = { peer->second.incarnation, *peer->second.reading };
    }
    return candidates;
}

// Whether the mirror is current and m_recordChanges knows its records.
bool GatewayReducer::areRecordsKnown() const
{
    return m_endpointMirror.isCurrent() && m_knownRecordsEpoch == m_endpointMirror.epoch();
}

void GatewayReducer::readEndpoints(MonotonicTime now, EffectList& effects)
{
    const auto fitness = readingFitness();
    m_reading.update(m_endpointMirror.epoch(), recordInterval(), fitness.value_or(ReadingFitness { 0, false }),
        fitness ? readingCandidates(now) : std::map<HostId, SharedReading::Candidate>());
    const std::string reading
        = m_reading.isShared() ? std::string(nameOf(m_reading.role())) + ' ' + m_reading.reader().value : std::string();
    if (reading != m_loggedReading) {
        m_loggedReading = reading;
        effects.push_back(LogEntry { LogEvent::GatewayReadingChanged,
            { { "mode", std::string(nameOf(m_reading.role())) }, { "reader", m_reading.reader().value },
                { "hosts", std::to_string(m_reading.others().size() + 1) } } });
    }
    // A host always lists by itself, also after a restore of the store.
    if (!m_reading.isShared() || !m_endpointMirror.isCurrent()) {
        m_knownRecordsEpoch.reset();
        m_isSendingRecords = false;
        m_endpointMirror.setMinimumInterval(recordInterval());
        m_endpointMirror.setLongestWait(std::nullopt);
        m_endpointMirror.tick(now, effects);
        return;
    }
    prepareSharing(now, effects);
}

void GatewayReducer::prepareSharing(MonotonicTime now, EffectList& effects)
{
    if (!areRecordsKnown()) {
        m_knownRecordsEpoch = m_endpointMirror.epoch();
        m_recordChanges.reset(m_endpointMirror.entries(), m_endpointMirror.version());
        m_isSendingRecords = false;
    }
    const bool isSending = m_reading.isSending(now);
    if (!m_isSendingRecords || !isSending) {
        m_unsentRecords.clear();
        m_sentVersion = m_endpointMirror.version();
    }
    m_isSendingRecords = isSending;
    m_endpointMirror.setMinimumInterval(m_reading.readingInterval());
    m_endpointMirror.setLongestWait(m_reading.longestWait());
    if (!m_reading.mayRead(now))
        return;
    m_endpointMirror.tick(now, effects);
    if (m_endpointMirror.failingSince() == MonotonicTime())
        return;
    if (const auto host = m_reading.chooseFit())
        askForRecords(*host, now, effects);
}

void GatewayReducer::handleEndpointReply(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    const MonotonicTime before = m_endpointMirror.readAt();
    const std::vector<StoreEntry> changes = m_endpointMirror.handle(reply, now, effects);
    applyEndpoints(changes, now, effects);
    if (m_endpointMirror.readAt() != before) {
        m_reading.noteRead(m_endpointMirror.readAt());
        sendRecords(now, effects);
    }
    m_requests.dispatchWaiting(now, effects);
}

void GatewayReducer::applyEndpoints(const std::vector<StoreEntry>& changes, MonotonicTime now, EffectList& effects)
{
    if (areRecordsKnown()) {
        std::vector<StoreEntry> differing = m_recordChanges.note(changes);
        if (m_isSendingRecords)
            std::move(differing.begin(), differing.end(), std::back_inserter(m_unsentRecords));
    }
    for (const StoreEntry& entry : changes)
        applyEndpoint(entry, now, effects);
}

void GatewayReducer::sendRecords(MonotonicTime now, EffectList& effects)
{
    if (!m_isSendingRecords || !areRecordsKnown())
        return;
    const StoreVersion from = std::exchange(m_sentVersion, m_endpointMirror.version());
    const std::string payload = encodeGatewayMessage(batchFrom(from, std::exchange(m_unsentRecords, {}), now));
    if (payload.size() > maximumBatchBytes) {
        count("too_large", effects);
        return;
    }
    for (const auto& [host, candidate] : m_reading.others()) {
        effects.push_back(SendToPeer { host, GatewayEnvelope { payload } });
        count("sent", effects);
    }
}

RecordBatch GatewayReducer::batchFrom(StoreVersion from, std::vector<StoreEntry> entries, MonotonicTime now) const
{
    RecordBatch batch;
    batch.epoch = m_endpointMirror.epoch();
    batch.from = from;
    batch.to = m_endpointMirror.version();
    batch.sentAt = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    const MonotonicTime asOf = std::max(m_reading.freshAt(), m_endpointMirror.readAt());
    batch.age = std::chrono::ceil<std::chrono::milliseconds>(now - asOf);
    const MonotonicTime recovered = m_endpointMirror.recoveredAt();
    if (recovered != MonotonicTime() && now - recovered < longestRecovery)
        batch.recoveredAgo = std::chrono::floor<std::chrono::milliseconds>(now - recovered);
    batch.entries = std::move(entries);
    return batch;
}

// A host whose calls the store rejects cannot complete its copy by itself.
void GatewayReducer::askForRecords(const HostId& host, MonotonicTime now, EffectList& effects)
{
    if (!m_reading.takeQuestion(now))
        return;
    sendTo(host, RecordsWanted { m_endpointMirror.epoch(), m_endpointMirror.version() }, effects);
    count("asked", effects);
}

void GatewayReducer::answer(const HostId& from, const RecordsWanted& wanted, MonotonicTime now, EffectList& effects)
{
    if (!m_reading.isShared() || !areRecordsKnown() || wanted.epoch != m_endpointMirror.epoch()
        || wanted.have > m_endpointMirror.version())
        return;
    const auto changes = m_recordChanges.since(wanted.have);
    RecordBatch batch = batchFrom(wanted.have, changes ? *changes : valuesOf(m_endpointMirror.entries()), now);
    batch.isWhole = !changes;
    const std::string payload = encodeGatewayMessage(batch);
    if (payload.size() > maximumBatchBytes) {
        count("too_large", effects);
        return;
    }
    effects.push_back(SendToPeer { from, GatewayEnvelope { payload } });
    count(batch.isWhole ? "answered_whole" : "answered", effects);
}

void GatewayReducer::handleRecords(
    const PeerMessageReceived& received, const RecordBatch& batch, MonotonicTime now, EffectList& effects)
{
    if (!m_reading.isShared() || !areRecordsKnown() || batch.epoch != m_endpointMirror.epoch()
        || !m_reading.others().contains(received.from)) {
        count("unexpected", effects);
        return;
    }
    // Measured for each batch, so that one which was delayed is told from the others.
    const MonotonicTime asOf = m_reading.timeOf(received.from, received.incarnation, batch, now);
    if (batch.to < m_endpointMirror.version()) {
        count("older", effects);
    } else if (!mergeRecords(batch, now, effects)) {
        count("gap", effects);
        askForRecords(received.from, now, effects);
    } else {
        count("applied", effects);
        m_reading.noteFresh(asOf);
        m_requests.dispatchWaiting(now, effects);
    }
}

void GatewayReducer::replaceRecords(const RecordBatch& batch, MonotonicTime now, EffectList& effects)
{
    for (const StoreEntry& entry : m_endpointMirror.replace(batch.entries, batch.to))
        applyEndpoint(entry, now, effects);
    // What changed before the version is not known.
    m_knownRecordsEpoch.reset();
}

// Returns whether the copy is complete up to the batch's version afterwards. If it is not, this host reads by itself as
// soon as its copy is too old, and knows a version within a later batch then.
bool GatewayReducer::mergeRecords(const RecordBatch& batch, MonotonicTime now, EffectList& effects)
{
    const StoreVersion known = m_endpointMirror.version();
    const bool isGap = batch.from > known || m_recordChanges.hasOtherChangeSince(batch.from, batch.entries);
    if (isGap && !batch.isWhole)
        return false;
    if (batch.recoveredAgo)
        m_endpointMirror.noteRecovered(now - *batch.recoveredAgo);
    if (batch.isWhole) {
        replaceRecords(batch, now, effects);
        return true;
    }
    for (const StoreEntry& entry : batch.entries) {
        // The latest state before a deletion may be older than the batch, whose sender told nothing of the heartbeat.
        const StoreEntry* former = m_endpointMirror.find(entry.key);
        if (!entry.isDeleted && entry.version <= known && former && former->version < entry.version)
            applyEndpoint(entry, now, effects);
    }
    applyEndpoints(m_endpointMirror.merge(batch.entries, batch.to), now, effects);
    return true;
}

} // namespace Catkinwell
