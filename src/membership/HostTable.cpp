#include "HostTable.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    // Five times the size of the target fleet. Entries for more hosts are ignored.
    constexpr std::size_t maximumHosts = 2000;
    // An observer repeats its suspicion in its digests. A suspicion that was not repeated for this long expires.
    constexpr Duration suspicionLifetime = 10s;
    constexpr std::size_t maximumSuspicions = 8;
    // Longer than any heartbeat may stall, so that no other host still sends entries for a forgotten host.
    constexpr Duration deadHostRetention = 10min;
    // The number of heartbeats in 3 s. An observer's suspicion counts only if its heartbeat of the host is at most this
    // far behind the one known here.
    constexpr std::uint64_t maximumHeartbeatLag = 9;
    // Allows for several round trips between regions.
    constexpr Duration probeTimeout = 500ms;
    constexpr double ownDigestShare = 2.0 / 3;

} // namespace

HostState HostTable::Host::state() const
{
    if (dead)
        return HostState::Dead;
    if (leaving)
        return HostState::Leaving;
    return suspected ? HostState::Suspected : HostState::Alive;
}

HostTable::HostTable(HostId self, DataCentreId ownDataCentre, SuspicionRule rule)
    : m_self(std::move(self))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_rule(rule)
{
}

void HostTable::startIncarnation(Host& host, Incarnation incarnation, MonotonicTime now)
{
    host.incarnation = incarnation;
    host.heartbeat = 0;
    host.leaving = false;
    host.lastProgress = now;
    noteProgress(host, now);
    m_changed = true;
}

void HostTable::merge(const HostId& from, const DigestEntry& entry, MonotonicTime now)
{
    if (entry.host == m_self || entry.host.value.empty())
        return;
    const bool isUnreachable = entry.state == HostState::Suspected || entry.state == HostState::Dead;
    auto found = m_hosts.find(entry.host);
    if (found == m_hosts.end()) {
        if (isUnreachable || m_hosts.size() >= maximumHosts)
            return;
        found = m_hosts.emplace(entry.host, Host {}).first;
        startIncarnation(found->second, entry.incarnation, now);
    }
    Host& host = found->second;
    if (entry.incarnation < host.incarnation)
        return;
    if (entry.incarnation > host.incarnation)
        startIncarnation(host, entry.incarnation, now);
    if (entry.heartbeat > host.heartbeat) {
        host.heartbeat = entry.heartbeat;
        // A sender that suspects the host itself forwards an old heartbeat, which does not show that the host is alive.
        if (!isUnreachable)
            noteProgress(host, now - entry.ageQuarters * std::chrono::milliseconds(250));
    }
    if (entry.state == HostState::Leaving && !host.leaving)
        host.leaving = m_changed = true;
    if (isUnreachable)
        noteSuspicionBy(from, entry, host, now);
    else
        host.suspectedBy.erase(from);
}

void HostTable::noteProgress(Host& host, MonotonicTime at)
{
    m_changed |= host.suspected || host.dead;
    // A later heartbeat cannot have been sent earlier, but its age is rounded at each hop.
    host.lastProgress = std::max(host.lastProgress, at);
    host.suspected = host.dead = false;
    host.probesSent = 0;
    host.suspectedBy.clear();
}

bool HostTable::hasRecentHeartbeat(const DigestEntry& entry, const Host& host)
{
    return entry.heartbeat + maximumHeartbeatLag >= host.heartbeat;
}

void HostTable::noteSuspicionBy(const HostId& from, const DigestEntry& entry, Host& host, MonotonicTime now)
{
    if (from == entry.host || !hasRecentHeartbeat(entry, host))
        return;
    if (host.suspectedBy.size() < maximumSuspicions || host.suspectedBy.count(from) != 0)
        host.suspectedBy[from] = now;
    // The sender has declared the host dead by the same rules. This host accepts that, unless it has a newer heartbeat
    // of the host that advanced recently.
    const bool isQuiet = now - host.lastProgress > heartbeatTimeout(host.dataCentre == m_ownDataCentre) / 2;
    if (entry.state == HostState::Dead && (entry.heartbeat >= host.heartbeat || isQuiet) && !host.dead)
        host.dead = m_changed = true;
}

void HostTable::noteProbe(const HostId& host, MonotonicTime now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    ++found->second.probesSent;
    found->second.lastProbeAt = now;
}

void HostTable::addSeed(const HostId& id, const std::string& address, MonotonicTime now)
{
    if (id == m_self || m_hosts.size() >= maximumHosts)
        return;
    const auto [found, isNew] = m_hosts.try_emplace(id);
    if (!isNew)
        return;
    found->second.isSeed = true;
    found->second.address = address;
    startIncarnation(found->second, 0, now);
}

void HostTable::mergePlatformList(const std::vector<PlatformHost>& hosts, MonotonicTime now)
{
    std::set<HostId> listed;
    for (const auto& entry : hosts) {
        if (entry.host == m_self || (m_hosts.size() >= maximumHosts && m_hosts.count(entry.host) == 0))
            continue;
        const auto [found, isNew] = m_hosts.try_emplace(entry.host);
        Host& host = found->second;
        if (isNew || entry.incarnation > host.incarnation)
            startIncarnation(host, entry.incarnation, now);
        listed.insert(entry.host);
        m_changed |= !host.listed || host.address != entry.address || host.dataCentre != entry.dataCentre
            || host.relayAddress != entry.relayAddress;
        host.listed = true;
        host.dropped = false;
        host.isSeed = false;
        host.address = entry.address;
        host.relayAddress = entry.relayAddress;
        host.dataCentre = entry.dataCentre;
        // An entry of an earlier incarnation does not apply to the current one.
        if (entry.leaving && !host.leaving && (entry.incarnation == 0 || entry.incarnation == host.incarnation))
            host.leaving = m_changed = true;
    }
    m_sameDataCentre = 0;
    for (auto& [id, host] : m_hosts) {
        // The hosts that started together with this one may not be in the list yet, so seeds keep their addresses.
        if ((host.listed || (host.isSeed && !host.dropped)) && listed.count(id) == 0) {
            host.listed = false;
            host.dropped = m_changed = true;
        }
        m_sameDataCentre += host.dataCentre == m_ownDataCentre && !host.dead ? 1 : 0;
    }
}

void HostTable::setDigestCapacity(std::size_t entries, double digestsPerSecond)
{
    m_entriesPerDigest = std::max<std::size_t>(1, entries);
    m_digestsPerSecond = digestsPerSecond;
}

Duration HostTable::heartbeatTimeout(bool sameDataCentre) const
{
    const std::size_t own = std::min(m_hosts.size(), m_sameDataCentre);
    const std::size_t others = m_hosts.size() - own;
    // The space that chooseDigestEntries() gives to the two groups.
    const std::size_t forOthers
        = std::min(others, std::max(m_entriesPerDigest / 3, m_entriesPerDigest - std::min(m_entriesPerDigest, own)));
    const std::size_t forOwn = m_entriesPerDigest - forOthers;
    // With several data centres, one digest in three may go to another data centre.
    const double ownDigests = m_digestsPerSecond * (others == 0 ? 1 : ownDigestShare);
    const double rate = sameDataCentre ? static_cast<double>(std::max<std::size_t>(1, forOwn)) * ownDigests
                                       : static_cast<double>(std::max<std::size_t>(1, forOthers)) * m_digestsPerSecond;
    const double seconds = m_rule.spreadFactor * static_cast<double>(sameDataCentre ? own : others) / rate;
    return m_rule.base + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void HostTable::detectFailures(MonotonicTime now, EffectList& effects)
{
    for (auto& [id, host] : m_hosts)
        updateHostState(id, host, now, effects);
    const auto forget = [&](const auto& entry) {
        return entry.second.dead && !entry.second.listed && now - entry.second.lastProgress > deadHostRetention;
    };
    m_changed |= std::erase_if(m_hosts, forget) > 0;
    std::erase_if(m_logged, [&](const auto& entry) { return m_hosts.count(entry.first) == 0; });
}

bool HostTable::isSilent(const Host& host, MonotonicTime now) const
{
    const Duration silence = now - host.lastProgress;
    const Duration allowed = heartbeatTimeout(host.dataCentre == m_ownDataCentre);
    const bool wasProbed = host.probesSent >= m_rule.unansweredProbes && now - host.lastProbeAt >= probeTimeout;
    // A host without an address cannot be probed, and one of many silent hosts may wait long for its probes.
    return silence > allowed && (wasProbed || !host.isAddressable() || silence > 2 * allowed);
}

void HostTable::updateHostState(const HostId& id, Host& host, MonotonicTime now, EffectList& effects)
{
    std::erase_if(host.suspectedBy, [&](const auto& suspicion) { return now - suspicion.second > suspicionLifetime; });
    const bool silent = isSilent(host, now);
    m_changed |= silent != host.suspected;
    host.suspected = silent;
    const std::size_t observers = 1 + host.suspectedBy.size();
    if (silent && !host.dead && (observers >= m_rule.observers || host.dropped))
        host.dead = m_changed = true;
    const HostState state = host.state();
    const auto [logged, isNew] = m_logged.try_emplace(id, state);
    if (!isNew && logged->second == state)
        return;
    logged->second = state;
    std::string reason = state != HostState::Dead ? "" : (host.dropped ? "not_listed" : "missed_by_observers");
    effects.push_back(LogEntry { state == HostState::Dead ? LogEvent::HostDeclaredDead : LogEvent::HostStateChanged,
        { { "host", id.value }, { "incarnation", std::to_string(host.incarnation) },
            { "state", std::string(nameOf(state)) }, { "observers", std::to_string(observers) },
            { "reason", std::move(reason) } } });
}

void HostTable::disregardPause(Duration pause)
{
    for (auto& [id, host] : m_hosts)
        host.lastProgress += pause;
}

} // namespace Catkinwell
