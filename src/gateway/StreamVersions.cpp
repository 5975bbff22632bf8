#include <catkinwell/gateway/StreamVersions.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr Duration expiryInterval = std::chrono::seconds(1);
    constexpr std::int64_t notKnown = -1;

} // namespace

StreamKey streamKeyOf(const std::string& service, const std::string& callerRequestId)
{
    return stableHash(service + '\n' + callerRequestId);
}

StreamVersions::StreamVersions(StreamVersionSettings settings)
    : m_settings(settings)
{
}

void StreamVersions::put(StreamKey key, const std::string& softwareVersion, Duration remaining, MonotonicTime now)
{
    const MonotonicTime until = now + std::min(remaining, m_settings.longestLifetime);
    const auto [known, isNew] = m_streams.try_emplace(key, Stream { softwareVersion, until });
    if (!isNew) {
        // A version that cannot be told does not become known by an older report.
        if (!known->second.softwareVersion.empty())
            known->second = { softwareVersion, std::max(until, known->second.until) };
        return;
    }
    m_order.push_back(key);
    if (m_streams.size() <= m_settings.maximumStreams)
        return;
    m_streams.erase(m_order.front());
    m_order.pop_front();
}

void StreamVersions::noteBegun(StreamKey key, const std::string& softwareVersion, Duration remaining, MonotonicTime now)
{
    if (remaining <= Duration::zero())
        return;
    put(key, softwareVersion, remaining, now);
    m_news.push_back(key);
    if (m_news.size() > m_settings.maximumStreams)
        m_news.pop_front();
}

void StreamVersions::merge(const StreamBeginning& beginning, MonotonicTime now)
{
    const std::int64_t longest = millisecondsOf(m_settings.longestLifetime);
    const std::int64_t remaining = std::min(beginning.remainingMilliseconds, longest);
    if (remaining > 0)
        put(beginning.stream, beginning.softwareVersion, std::chrono::milliseconds(remaining), now);
}

void StreamVersions::mergeRecorded(const StreamBeginning& beginning, MonotonicTime now)
{
    if (!find(beginning.stream, now))
        merge(beginning, now);
}

std::optional<std::string> StreamVersions::find(StreamKey key, MonotonicTime now) const
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end() || now >= found->second.until)
        return std::nullopt;
    return found->second.softwareVersion;
}

StreamBeginning StreamVersions::answer(StreamKey key, MonotonicTime now) const
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end() || now >= found->second.until)
        return { key, "", notKnown };
    return { key, found->second.softwareVersion, std::max<std::int64_t>(1, millisecondsOf(found->second.until - now)) };
}

std::vector<StreamBeginning> StreamVersions::takeNews(MonotonicTime now)
{
    std::vector<StreamBeginning> news;
    while (!m_news.empty() && news.size() < m_settings.maximumReported) {
        const StreamBeginning beginning = answer(m_news.front(), now);
        m_news.pop_front();
        if (beginning.remainingMilliseconds > 0)
            news.push_back(beginning);
    }
    return news;
}

void StreamVersions::tick(MonotonicTime now)
{
    if (m_streams.empty() || now < m_nextExpiryAt)
        return;
    m_nextExpiryAt = now + expiryInterval;
    std::erase_if(m_streams, [now](const auto& stream) { return now >= stream.second.until; });
    std::erase_if(m_order, [this](StreamKey key) { return !m_streams.contains(key); });
}

} // namespace Catkinwell
