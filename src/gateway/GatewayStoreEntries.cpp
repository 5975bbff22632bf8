#include <catkinwell/gateway/GatewayReducer.h>

#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

// What the store holds: how its entries are applied, and what is written again when the store lost it.
namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr Duration secretRetry = std::chrono::seconds(1);
    // Endpoint records that expired while the store was unavailable are back within two seconds of its recovery.
    constexpr Duration lapsedRecordGrace = std::chrono::milliseconds(1700);
    constexpr Duration recoveryTime = std::chrono::milliseconds(2200);
    // After a restore of the store the hosts write again one after the other, within the store's write rate.
    constexpr Duration restoreSpreadPerHost = std::chrono::milliseconds(10);
    constexpr Duration longestRestoreSpread = std::chrono::seconds(5);
    // Records that cannot be used and were logged; no more are logged until some of them are gone.
    constexpr std::size_t maximumUnusableRecords = 1024;
    constexpr Duration ownerRestoreLead = std::chrono::milliseconds(150);

} // namespace

void GatewayReducer::handleStoreRestored(const StoreRestored& restored, MonotonicTime now, EffectList& effects)
{
    effects.push_back(LogEntry { LogEvent::StoreWasRestored,
        { { "previous_epoch", std::to_string(restored.previous) }, { "epoch", std::to_string(restored.epoch) } } });
    for (PrefixMirror* mirror : { &m_configurationMirror, &m_endpointMirror, &m_gatewayMirror })
        mirror->noteRestored(now);
    // The owner comes first, so that no other host has to wait before its first order.
    const Duration leaseDelay = m_placement.isOwner() ? Duration::zero() : ownerRestoreLead + restoreDelay();
    m_ownership.noteRestored(restored.epoch, m_lease.status(), now, effects);
    m_lease.noteRestored(restored.epoch, leaseDelay, now, effects);
    m_nextSecretAt = now + restoreDelay();
    m_refusalRecords.noteRestored(now + restoreDelay());
    m_versionMixes.noteRestored(now + restoreDelay());
    m_streamRecords.noteRestored(now + restoreDelay());
}

// What ends the answers to renewals also ends those to a watch, which would show it only after its wait.
void GatewayReducer::checkStoreConnection(const StoreReply& reply, MonotonicTime now)
{
    if (reply.status == StoreStatus::Unknown || reply.status == StoreStatus::Unavailable)
        m_isStoreSuspected = true;
    else if (std::exchange(m_isStoreSuspected, false)) {
        for (PrefixMirror* mirror : { &m_configurationMirror, &m_endpointMirror, &m_gatewayMirror })
            mirror->renewWatch(now);
    }
}

// All hosts notice a restore at the same moment; each writes again after a time of its own.
Duration GatewayReducer::restoreDelay()
{
    const auto hosts = static_cast<std::int64_t>(m_livePeers.size() + 1);
    const Duration spread = std::min(restoreSpreadPerHost * hosts, longestRestoreSpread);
    return Duration(static_cast<Duration::rep>(m_random.unit() * static_cast<double>(spread.count())));
}

void GatewayReducer::applyEndpoint(const StoreEntry& entry, MonotonicTime now, EffectList& effects)
{
    const EndpointId id(entry.key.substr(m_protocol.endpointPrefix().size()));
    const MonotonicTime recovered = m_endpointMirror.recoveredAt();
    const bool isRecovering = recovered != MonotonicTime() && now - recovered < recoveryTime;
    if (!entry.isDeleted) {
        auto result = m_protocol.readEndpoint(entry.key, entry.value);
        if (!isError(result)) {
            m_unusableRecords.erase(id);
            const EndpointRecord& record = valueOf(result);
            if (m_directory.isOutdated(record, isRecovering))
                return;
            const EndpointRecord* previous = m_directory.find(id);
            if (previous && previous->incarnation != record.incarnation)
                m_requests.endpointDied(id, now);
            if (previous && previous->softwareVersion != record.softwareVersion)
                m_requests.endpointVersionChanged(id, now);
            m_directory.put(record, now, effects);
            m_placement.put(record, now);
            return;
        }
        noteUnusableRecord(id, errorOf(result).message, effects);
    } else {
        m_unusableRecords.erase(id);
    }
    const bool mayBeLapsed = entry.isDeleted && isRecovering;
    m_directory.remove(id, mayBeLapsed ? recovered + lapsedRecordGrace : now, now, effects);
    if (!mayBeLapsed)
        m_requests.promptQuarantine().endpointEnded(id, now);
    m_placement.remove(id);
}

// A faulty writer may repeat its record as often as a sound one.
void GatewayReducer::noteUnusableRecord(const EndpointId& id, const std::string& reason, EffectList& effects)
{
    if (m_unusableRecords.contains(id) || m_unusableRecords.size() >= maximumUnusableRecords)
        return;
    m_unusableRecords.insert(id);
    effects.push_back(LogEntry { LogEvent::GatewayEndpointChanged,
        { { "endpoint", id.value }, { "state", "unusable" }, { "reason", reason } } });
}

void GatewayReducer::applyGatewayEntry(const StoreEntry& entry, MonotonicTime now, EffectList& effects)
{
    if (const auto refusal = m_refusalRecords.idOf(entry.key)) {
        applyRefusalRecord(entry, *refusal, now);
        handlePromptChanges(now, effects);
        return;
    }
    const std::string hostPrefix = m_settings.storeKeyPrefix + "hosts/";
    if (entry.key == m_settings.storeKeyPrefix + "secret") {
        if (!entry.isDeleted)
            useSecret(entry.value, effects);
        return;
    }
    if (!entry.key.starts_with(hostPrefix))
        return;
    const std::string rest = entry.key.substr(hostPrefix.size());
    const HostId host(rest.substr(0, rest.find('/')));
    if (host == m_settings.host)
        return;
    Peer& peer = m_peers[host];
    if (entry.isDeleted) {
        // A deletion does not repeat the value, and a restarted host has an entry of its own.
        if (!m_gatewayMirror.hasKeyWithPrefix(hostPrefix + host.value + "/")) {
            peer.isRegistered = false;
            // A restarted host may have a lower incarnation if its wall clock was set back.
            peer.incarnation = 0;
        }
        return;
    }
    const Json value = parseBoundedJson(entry.value);
    const auto textOf = [&value](const char* name) {
        const auto field = value.find(name);
        return field != value.end() && field->is_string() ? field->get<std::string>() : std::string();
    };
    const auto incarnation
        = value.is_object() && value.contains("incarnation") && value["incarnation"].is_number_unsigned()
        ? value["incarnation"].get<Incarnation>()
        : 0;
    if (incarnation < peer.incarnation || !value.is_object())
        return;
    if (incarnation > peer.incarnation)
        peer.digestSequence = 0;
    peer.incarnation = incarnation;
    peer.address = textOf("address");
    peer.dataCentre = DataCentreId(textOf("data_centre"));
    m_relayPeers.setAddress(host, DataCentreId(textOf("data_centre")), textOf("relay_address"));
    peer.isRegistered = true;
    peer.isLeaving = false;
}

// The hosts of the last complete list, whether or not they can be heard.
void GatewayReducer::updateRegisteredHosts(MonotonicTime now)
{
    if (!m_settings.coldBounds || !m_gatewayMirror.isCurrent())
        return;
    std::set<HostId> registered;
    std::set<HostId> stopped;
    for (const auto& [host, peer] : m_peers) {
        if (peer.isRegistered)
            registered.insert(host);
        else if (peer.isLeaving)
            stopped.insert(host);
    }
    m_directory.cold().setHosts(registered, stopped, now);
}

// The secret in the store is that of the fleet, also if it differs from the one in use: a restored store may have lost
// that one, and a host that started then has set another.
void GatewayReducer::useSecret(const std::string& secret, EffectList& effects)
{
    if (m_peersStarted && secret == m_secret)
        return;
    m_peersStarted = true;
    m_secret = secret;
    effects.push_back(StartPeerTransport { secret });
    m_sentAddresses.clear();
}

// The fleet's secret is kept in the store; the first host that writes it sets it. One that is lost is written again.
void GatewayReducer::ensureSecret(MonotonicTime now, EffectList& effects)
{
    if (!m_gatewayMirror.isCurrent() || m_secretCall.value != 0 || now < m_nextSecretAt
        || m_gatewayMirror.find(m_settings.storeKeyPrefix + "secret"))
        return;
    m_nextSecretAt = now + secretRetry;
    m_secretCall = m_secretCalls.next();
    effects.push_back(
        StoreCall { m_secretCall, StoreCompareAndSwap { m_settings.storeKeyPrefix + "secret", m_secret, 0, {} } });
}

} // namespace Catkinwell
