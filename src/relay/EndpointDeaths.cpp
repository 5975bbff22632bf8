#include <catkinwell/relay/EndpointDeaths.h>

#include <algorithm>

namespace Catkinwell {

EndpointDeaths::EndpointDeaths(EndpointDeathSettings settings)
    : m_settings(settings)
{
}

void EndpointDeaths::noteDied(
    const EndpointId& endpoint, const std::string& pool, bool isOnlyEndpoint, MonotonicTime now)
{
    const auto loss = m_losses.find(pool);
    const auto regained = m_regainedAt.find(pool);
    const bool isLateReport = regained != m_regainedAt.end() && now - regained->second < m_settings.reportTime;
    if ((loss != m_losses.end() && loss->second.isOwn) || isLateReport)
        return;
    m_deaths.try_emplace(endpoint, Death { pool, now, isOnlyEndpoint, false });
}

// A dead endpoint that answers again may have been out of reach only, unless there is no other to tell by.
void EndpointDeaths::noteConnected(const std::string& pool, const EndpointId& answering, MonotonicTime openedAt)
{
    for (auto& [endpoint, death] : m_deaths) {
        const bool tells = death.isOnlyEndpoint || endpoint != answering;
        death.isShown = death.isShown || (tells && death.pool == pool && openedAt >= death.at);
    }
}

void EndpointDeaths::noteAnswered(const EndpointId& endpoint, MonotonicTime openedAt)
{
    const auto death = m_deaths.find(endpoint);
    if (death != m_deaths.end() && openedAt < death->second.at)
        m_deaths.erase(death);
}

void EndpointDeaths::noteLost(const std::string& pool, MonotonicTime since, MonotonicTime now)
{
    m_losses[pool] = { since, now + m_settings.lossDecisionTime };
}

void EndpointDeaths::noteRegained(const std::string& pool, MonotonicTime now)
{
    m_regainedAt[pool] = now;
    const auto loss = m_losses.find(pool);
    if (loss == m_losses.end())
        return;
    if (loss->second.servedElsewhereAt)
        forgetDeathsIn(pool);
    m_losses.erase(loss);
}

void EndpointDeaths::noteAskedElsewhere(const std::string& pool, MonotonicTime now)
{
    const auto loss = m_losses.find(pool);
    if (loss != m_losses.end())
        loss->second.decidedAt = std::max(loss->second.decidedAt, now + m_settings.lossDecisionTime);
}

void EndpointDeaths::noteServedElsewhere(const std::string& pool, MonotonicTime now)
{
    const auto loss = m_losses.find(pool);
    if (loss != m_losses.end())
        loss->second.servedElsewhereAt = now;
}

std::optional<MonotonicTime> EndpointDeaths::noteProbeFailed(const std::string& pool, MonotonicTime startedAt)
{
    const auto loss = m_losses.find(pool);
    if (loss == m_losses.end() || loss->second.isOwn || !loss->second.servedElsewhereAt
        || *loss->second.servedElsewhereAt > startedAt)
        return std::nullopt;
    forgetDeathsIn(pool);
    loss->second.isOwn = true;
    return loss->second.since;
}

void EndpointDeaths::forgetDeathsIn(const std::string& pool)
{
    std::erase_if(m_deaths, [&pool](const auto& death) { return death.second.pool == pool; });
}

bool EndpointDeaths::isShown(const Death& death, MonotonicTime now) const
{
    const auto loss = m_losses.find(death.pool);
    if (loss == m_losses.end())
        return death.isShown;
    return !loss->second.servedElsewhereAt && now >= loss->second.decidedAt;
}

std::vector<EndpointId> EndpointDeaths::takeDied(MonotonicTime now)
{
    std::vector<EndpointId> died;
    for (auto item = m_deaths.begin(); item != m_deaths.end();) {
        const Death& death = item->second;
        const bool isDead = isShown(death, now);
        if (isDead)
            died.push_back(item->first);
        const bool isForgotten = !m_losses.contains(death.pool) && now - death.at >= m_settings.longestDoubt;
        item = isDead || isForgotten ? m_deaths.erase(item) : std::next(item);
    }
    return died;
}

std::set<std::string> EndpointDeaths::undecidedPools() const
{
    std::set<std::string> pools;
    for (const auto& [endpoint, death] : m_deaths) {
        if (!death.isOnlyEndpoint && !death.isShown && !m_losses.contains(death.pool))
            pools.insert(death.pool);
    }
    return pools;
}

} // namespace Catkinwell
