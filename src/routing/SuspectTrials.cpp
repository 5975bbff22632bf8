#include <catkinwell/routing/SuspectTrials.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    // Requests that wait for a trial ask again more often than this.
    constexpr Duration wantedLifetime = std::chrono::seconds(1);

    bool intersects(const PromptParts& left, const std::set<PromptPartHash>& right)
    {
        return std::any_of(left.begin(), left.end(), [&right](PromptPartHash part) { return right.contains(part); });
    }

    std::uint64_t orderOf(PromptPartHash part, const HostId& host)
    {
        return stableHash(std::to_string(part) + ' ' + host.value);
    }

} // namespace

SuspectTrials::SuspectTrials(HostId self, SuspectTrialSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void SuspectTrials::setPeers(const std::set<HostId>& peers)
{
    m_peers = peers;
    std::erase_if(m_ofPeers, [&peers](const auto& trials) { return !peers.contains(trials.first); });
}

bool SuspectTrials::isTried(const PromptParts& parts, MonotonicTime now) const
{
    const bool isTriedHere
        = std::any_of(m_own.begin(), m_own.end(), [&](const auto& trial) { return intersects(parts, trial.second); });
    return isTriedHere || std::any_of(m_ofPeers.begin(), m_ofPeers.end(), [&](const auto& trials) {
        return now - trials.second.heardAt < m_settings.reportLifetime && intersects(parts, trials.second.parts);
    });
}

std::size_t SuspectTrials::turnOf(PromptPartHash part) const
{
    const std::uint64_t own = orderOf(part, m_self);
    const auto before
        = std::count_if(m_peers.begin(), m_peers.end(), [&](const HostId& peer) { return orderOf(part, peer) < own; });
    return std::min(static_cast<std::size_t>(before), m_settings.maximumTurns);
}

MonotonicTime SuspectTrials::wantedSince(PromptPartHash part, MonotonicTime now)
{
    std::erase_if(m_wanted, [now](const auto& wanted) { return now - wanted.second.askedAt >= wantedLifetime; });
    if (!m_wanted.contains(part) && m_wanted.size() >= m_settings.maximumWanted)
        return now;
    Wanted& wanted = m_wanted.try_emplace(part, Wanted { now, now }).first->second;
    wanted.askedAt = now;
    return wanted.since;
}

bool SuspectTrials::mayStart(const Suspicion& suspicion, MonotonicTime now)
{
    if (suspicion.parts.empty())
        return true;
    if (isTried(suspicion.parts, now))
        return false;
    if (!suspicion.isStrong())
        return true;
    const PromptPartHash part = *suspicion.strongParts.begin();
    const MonotonicTime from = std::max(wantedSince(part, now), suspicion.latestCrash + m_settings.settleTime);
    return now >= from + m_settings.turnTime * static_cast<std::int64_t>(turnOf(part));
}

void SuspectTrials::started(RequestId request, const Suspicion& suspicion)
{
    if (suspicion.parts.empty())
        return;
    m_own[request] = suspicion.parts;
    m_hasNews = true;
}

void SuspectTrials::ended(RequestId request, MonotonicTime now)
{
    const auto trial = m_own.find(request);
    if (trial == m_own.end())
        return;
    while (!m_ended.empty() && now - m_ended.front().at >= m_settings.outcomeTime)
        m_ended.pop_front();
    m_ended.push_back({ std::move(trial->second), now });
    m_own.erase(trial);
}

std::vector<PromptPartHash> SuspectTrials::report(MonotonicTime now) const
{
    std::set<PromptPartHash> parts;
    for (const auto& [request, tried] : m_own)
        parts.insert(tried.begin(), tried.end());
    for (const EndedTrial& trial : m_ended) {
        if (now - trial.at < m_settings.outcomeTime)
            parts.insert(trial.parts.begin(), trial.parts.end());
    }
    std::vector<PromptPartHash> reported(parts.begin(), parts.end());
    if (reported.size() > m_settings.maximumReported)
        reported.resize(m_settings.maximumReported);
    return reported;
}

void SuspectTrials::merge(const HostId& from, const std::vector<PromptPartHash>& parts, MonotonicTime now)
{
    if (parts.empty())
        m_ofPeers.erase(from);
    else
        m_ofPeers[from] = { { parts.begin(), parts.end() }, now };
}

} // namespace Catkinwell
