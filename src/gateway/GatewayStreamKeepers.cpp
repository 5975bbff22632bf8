#include <catkinwell/gateway/GatewayReducer.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

// Which hosts keep the software version of a stream, and how they learn of it and are asked. Every host ranks the hosts
// in the same way for a stream, so that whoever gets its next request knows whom to ask, however many hosts there are.
namespace Catkinwell {

namespace {

    // Hosts, besides its own, that keep a stream's version.
    constexpr std::size_t keptCopies = 3;
    // A host counts as heard until it missed this many digests, each of which may be late.
    constexpr int missedDigests = 3;
    constexpr Duration digestDelay = std::chrono::milliseconds(200);
    // One more is asked, as the ranking changes when hosts come and go.
    constexpr std::size_t askedHosts = keptCopies + 1;

} // namespace

std::vector<HostId> GatewayReducer::keepersOf(StreamKey stream, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    for (const HostId& host : m_livePeers)
        ranked.emplace_back(stableHash(host.value + ' ' + std::to_string(stream)), host);
    std::sort(ranked.begin(), ranked.end());
    std::vector<HostId> keepers;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        keepers.push_back(ranked[i].second);
    return keepers;
}

void GatewayReducer::updateStreamVersions(MonotonicTime now, EffectList& effects)
{
    m_requests.streamVersions().tick(now);
    m_versionMixes.tick(
        m_directory.servicesWithSeveralVersions(now), m_gatewayMirror, m_placement.isOwner(), m_wallNow, now, effects);
    m_directory.setRecordedServices(m_versionMixes.services(m_gatewayMirror, m_wallNow));
    sendStreamBeginnings(now, effects);
    m_streamRecords.tick(m_wallNow, now, effects);
}

void GatewayReducer::sendStreamBeginnings(MonotonicTime now, EffectList& effects)
{
    std::map<HostId, StreamBeginnings> messages;
    for (const StreamBeginning& stream : m_requests.streamVersions().takeNews(now)) {
        m_streamRecords.add(stream, now);
        for (const HostId& host : keepersOf(stream.stream, keptCopies))
            messages[host].streams.push_back(stream);
    }
    for (const auto& [host, message] : messages)
        sendTo(host, message, effects);
}

void GatewayReducer::checkEndpointList(MonotonicTime now, EffectList& effects)
{
    if (!m_requests.wantsListCheck() || !m_listCheck.isFree())
        return;
    if (!m_listCheck.start(m_endpointMirror, now, effects))
        m_requests.noteListUnchecked(isEveryPeerHeard(now), now, effects);
}

void GatewayReducer::handleListCheck(const EndpointListCheck::Result& result, MonotonicTime now, EffectList& effects)
{
    applyEndpoints(result.changes, now, effects);
    if (result.outcome == EndpointListCheck::Outcome::UpToDate)
        m_requests.noteListChecked(result.startedAt, now, effects);
    else
        m_requests.noteListUnchecked(isEveryPeerHeard(now), now, effects);
    checkEndpointList(now, effects);
    askForStreamVersions(now, effects);
}

// Without the store no host learns of an endpoint that this one does not know of, unless a host that it does not hear
// still reaches the store.
bool GatewayReducer::isEveryPeerHeard(MonotonicTime now) const
{
    const Duration longestSilence = missedDigests * digestInterval() + digestDelay;
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        const Peer& peer = item.second;
        return !peer.isRegistered || peer.isLeaving || now - peer.heardAt <= longestSilence;
    });
}

void GatewayReducer::askForStreamVersions(MonotonicTime now, EffectList& effects)
{
    for (const StreamKey stream : m_requests.takeVersionQuestions()) {
        const std::vector<HostId> hosts = keepersOf(stream, askedHosts);
        for (const HostId& host : hosts)
            sendTo(host, StreamVersionWanted { stream }, effects);
        const bool areRecordsRead = m_streamRecords.read(now, effects);
        m_requests.noteAsked(stream, hosts.size(), areRecordsRead, now, effects);
    }
}

} // namespace Catkinwell
