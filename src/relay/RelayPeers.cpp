#include <catkinwell/relay/RelayPeers.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // Reports arrive at least every two seconds.
    constexpr Duration longestSilence = std::chrono::milliseconds(2500);
    constexpr Duration failureTime = std::chrono::seconds(1);

} // namespace

RelayPeers::RelayPeers(DataCentreId own, std::uint64_t seed)
    : m_ownDataCentre(std::move(own))
    , m_random(seed)
{
}

void RelayPeers::setAddress(const HostId& host, const DataCentreId& dataCentre, const std::string& address)
{
    Peer& peer = m_peers[host];
    peer.dataCentre = dataCentre;
    peer.address = address;
}

void RelayPeers::setLive(const std::set<HostId>& live)
{
    m_live = live;
    std::erase_if(m_peers, [&live](const auto& peer) { return !live.contains(peer.first); });
}

void RelayPeers::noteHeard(const HostId& host, std::set<std::string> unreachableServices, MonotonicTime now)
{
    Peer& peer = m_peers[host];
    peer.unreachableServices = std::move(unreachableServices);
    peer.heardAt = now;
}

void RelayPeers::noteFailure(const HostId& host, MonotonicTime now)
{
    const auto found = m_peers.find(host);
    if (found != m_peers.end())
        found->second.avoidedUntil = now + failureTime;
}

void RelayPeers::excludePause(Duration pause, MonotonicTime now)
{
    for (auto& [host, peer] : m_peers) {
        if (peer.heardAt != MonotonicTime())
            peer.heardAt = std::min(now, peer.heardAt + pause);
    }
}

bool RelayPeers::isSilent(const HostId& host, MonotonicTime now) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() || now - found->second.heardAt >= longestSilence;
}

bool RelayPeers::isUsable(const HostId& host, const Peer& peer, const std::string& service, MonotonicTime now) const
{
    return m_live.contains(host) && !peer.address.empty() && !isSilent(host, now) && now >= peer.avoidedUntil
        && !peer.unreachableServices.contains(service);
}

std::optional<RelayPeers::Choice> RelayPeers::choose(
    const std::string& service, const std::set<HostId>& excluded, MonotonicTime now)
{
    std::vector<Choice> near;
    std::vector<Choice> far;
    for (const auto& [host, peer] : m_peers) {
        if (!excluded.contains(host) && isUsable(host, peer, service, now))
            (peer.dataCentre == m_ownDataCentre ? near : far).push_back({ host, peer.address });
    }
    const std::vector<Choice>& choices = near.empty() ? far : near;
    if (choices.empty())
        return std::nullopt;
    return choices[m_random.below(choices.size())];
}

bool RelayPeers::hasChoice(const std::string& service, const std::set<HostId>& excluded, MonotonicTime now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !excluded.contains(peer.first) && isUsable(peer.first, peer.second, service, now);
    });
}

bool RelayPeers::isReachedBySome(const std::string& service, MonotonicTime now) const
{
    return hasChoice(service, {}, now);
}

} // namespace Catkinwell
