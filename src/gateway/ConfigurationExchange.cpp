#include <catkinwell/gateway/ConfigurationExchange.h>

#include <algorithm>
#include <vector>

namespace Catkinwell {

namespace {

    // A watch that is answered brings a new version to all hosts at the same moment, and the slower ones hear of it
    // from the others first.
    constexpr Duration storeAllowance = std::chrono::milliseconds(300);
    constexpr Duration firstAnswerTimeout = std::chrono::milliseconds(300);
    constexpr Duration longestAnswerTimeout = std::chrono::milliseconds(1200);

} // namespace

ConfigurationExchange::ConfigurationExchange(std::uint64_t seed)
    : m_random(seed)
    , m_answerTimeout(firstAnswerTimeout)
{
}

void ConfigurationExchange::noteStated(const HostId& host, std::uint64_t version, MonotonicTime now)
{
    if (version <= m_inForce) {
        removeHost(host);
        return;
    }
    Statement& statement = m_ahead.try_emplace(host, Statement { version, now }).first->second;
    statement.version = version;
}

void ConfigurationExchange::noteInForce(std::uint64_t version, MonotonicTime now)
{
    m_inForce = version;
    std::erase_if(m_ahead, [version](const auto& host) { return host.second.version <= version; });
    for (auto& [host, statement] : m_ahead)
        statement.since = now;
    m_asked.clear();
    m_answerTimeout = firstAnswerTimeout;
    m_nextQuestionAt = now;
}

void ConfigurationExchange::removeHost(const HostId& host)
{
    m_ahead.erase(host);
    m_asked.erase(host);
}

std::optional<HostId> ConfigurationExchange::takeQuestion(bool isStoreAnswering, MonotonicTime now)
{
    const auto behind = behindFor(now);
    if (!behind || now < m_nextQuestionAt || (isStoreAnswering && *behind < storeAllowance))
        return std::nullopt;
    const HostId host = chooseHost();
    m_asked.insert(host);
    m_nextQuestionAt = now + m_answerTimeout;
    m_answerTimeout = std::min(2 * m_answerTimeout, longestAnswerTimeout);
    return host;
}

// One of the hosts with the newest version that were not asked yet. A random one, so that hosts which are behind at the
// same time do not all ask the same host.
HostId ConfigurationExchange::chooseHost()
{
    const bool areAllAsked = std::all_of(
        m_ahead.begin(), m_ahead.end(), [this](const auto& host) { return m_asked.contains(host.first); });
    if (areAllAsked)
        m_asked.clear();
    std::vector<HostId> candidates;
    std::uint64_t newest = 0;
    for (const auto& [host, statement] : m_ahead) {
        if (statement.version < newest || m_asked.contains(host))
            continue;
        if (statement.version > newest)
            candidates.clear();
        newest = statement.version;
        candidates.push_back(host);
    }
    return candidates[m_random.below(candidates.size())];
}

std::optional<Duration> ConfigurationExchange::behindFor(MonotonicTime now) const
{
    if (m_ahead.empty())
        return std::nullopt;
    const auto first = std::min_element(m_ahead.begin(), m_ahead.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    return now - first->second.since;
}

std::uint64_t ConfigurationExchange::newestStated() const
{
    std::uint64_t newest = m_inForce;
    for (const auto& [host, statement] : m_ahead)
        newest = std::max(newest, statement.version);
    return newest;
}

} // namespace Catkinwell
