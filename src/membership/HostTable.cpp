#include "HostTable.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    // Five times the target fleet; entries for further hosts are ignored.
    constexpr std::size_t maximumHosts = 2000;
    // An observer repeats its suspicion in digests; one that was not repeated for this long no longer counts.
    constexpr Duration voteLife = 10s;
    constexpr std::size_t maximumVotes = 8;
    // Longer than any heartbeat may stall, so that no host still passes on the entry of a forgotten one.
    constexpr Duration deadMemory = 10min;
    // Own data centre: two of three digests come from there and fill two thirds of their entries with its hosts.
    constexpr double ownDataCentreShare = 2.0 / 3;

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

void HostTable::renew(Host& host, Incarnation incarnation, MonotonicTime now)
{
    host.incarnation = incarnation;
    host.heartbeat = 0;
    host.lastProgress = now;
    host.leaving = host.suspected = host.dead = false;
    host.missedBy.clear();
    m_changed = true;
}

void HostTable::merge(const HostId& from, const DigestEntry& entry, MonotonicTime now)
{
    if (entry.host == m_self || entry.host.value.empty())
        return;
    const bool isMissed = entry.state == HostState::Suspected || entry.state == HostState::Dead;
    auto found = m_hosts.find(entry.host);
    if (found == m_hosts.end()) {
        if (isMissed || m_hosts.size() >= maximumHosts)
            return;
        found = m_hosts.emplace(entry.host, Host {}).first;
        renew(found->second, entry.incarnation, now);
    }
    Host& host = found->second;
    if (entry.incarnation < host.incarnation)
        return;
    if (entry.incarnation > host.incarnation)
        renew(host, entry.incarnation, now);
    if (entry.heartbeat > host.heartbeat) {
        host.heartbeat = entry.heartbeat;
        // A sender that misses the host itself passes on an old counter, which proves no life.
        if (!isMissed) {
            m_changed |= host.suspected || host.dead;
            host.lastProgress = now;
            host.suspected = host.dead = false;
            host.missedBy.clear();
        }
    }
    if (entry.state == HostState::Leaving && !host.leaving)
        host.leaving = m_changed = true;
    // A sender with an older counter has merely heard less than this host.
    if (isMissed && entry.heartbeat >= host.heartbeat && from != entry.host
        && (host.missedBy.size() < maximumVotes || host.missedBy.count(from) != 0))
        host.missedBy[from] = now;
    else if (!isMissed)
        host.missedBy.erase(from);
}

void HostTable::mergeList(const std::vector<PlatformHost>& hosts, MonotonicTime now)
{
    std::set<HostId> listed;
    for (const auto& entry : hosts) {
        if (entry.host == m_self || (m_hosts.size() >= maximumHosts && m_hosts.count(entry.host) == 0))
            continue;
        const auto [found, isNew] = m_hosts.try_emplace(entry.host);
        Host& host = found->second;
        if (isNew || entry.incarnation > host.incarnation)
            renew(host, entry.incarnation, now);
        listed.insert(entry.host);
        m_changed |= !host.listed || host.address != entry.address || host.dataCentre != entry.dataCentre;
        host.listed = true;
        host.dropped = false;
        host.address = entry.address;
        host.dataCentre = entry.dataCentre;
        // An entry of an earlier incarnation says nothing of the present one.
        if (entry.leaving && !host.leaving && (entry.incarnation == 0 || entry.incarnation == host.incarnation))
            host.leaving = m_changed = true;
    }
    m_sameDataCentre = 0;
    for (auto& [id, host] : m_hosts) {
        if (host.listed && listed.count(id) == 0) {
            host.listed = false;
            host.dropped = m_changed = true;
        }
        m_sameDataCentre += host.dataCentre == m_ownDataCentre && !host.dead ? 1 : 0;
    }
}

Duration HostTable::patience(bool sameDataCentre) const
{
    const std::size_t others = m_hosts.size() - std::min(m_hosts.size(), m_sameDataCentre);
    // With one data centre only, its hosts have all the entries.
    const double share = others == 0 ? 1 : (sameDataCentre ? ownDataCentreShare : 1 - ownDataCentreShare);
    const double group = static_cast<double>(sameDataCentre ? m_sameDataCentre : others);
    const double seconds = m_rule.spreadFactor * group / (m_entryRate * share);
    return m_rule.base + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void HostTable::judge(MonotonicTime now, EffectList& effects)
{
    for (auto& [id, host] : m_hosts)
        judgeHost(id, host, now, effects);
    const auto forget = [&](const auto& entry) {
        return entry.second.dead && !entry.second.listed && now - entry.second.lastProgress > deadMemory;
    };
    m_changed |= std::erase_if(m_hosts, forget) > 0;
    std::erase_if(m_logged, [&](const auto& entry) { return m_hosts.count(entry.first) == 0; });
}

void HostTable::judgeHost(const HostId& id, Host& host, MonotonicTime now, EffectList& effects)
{
    std::erase_if(host.missedBy, [&](const auto& vote) { return now - vote.second > voteLife; });
    const bool isSilent = now - host.lastProgress > patience(host.dataCentre == m_ownDataCentre);
    m_changed |= isSilent != host.suspected;
    host.suspected = isSilent;
    const std::size_t observers = 1 + host.missedBy.size();
    if (isSilent && !host.dead && (observers >= m_rule.observers || host.dropped))
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

void HostTable::excuse(Duration pause)
{
    for (auto& [id, host] : m_hosts)
        host.lastProgress += pause;
}

} // namespace Catkinwell
