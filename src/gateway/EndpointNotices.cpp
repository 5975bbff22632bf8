#include <catkinwell/gateway/EndpointNotices.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr Duration noticeLifetime = std::chrono::minutes(10);
    constexpr std::size_t maximumNotices = 1024;
    // A longer pause, which only a faulty endpoint states, is repeated when it ends.
    constexpr Duration longestPause = std::chrono::minutes(5);
    // Each host returns within this fraction of the pause after its end.
    constexpr double longestDelayShare = 0.1;
    constexpr Duration longestDelay = std::chrono::milliseconds(300);
    // For how long and how often one request at a time is sent after a pause.
    constexpr Duration returnTime = std::chrono::seconds(1);
    constexpr Duration returnInterval = std::chrono::milliseconds(50);

} // namespace

EndpointNotices::EndpointNotices(std::uint64_t seed)
    : m_random(seed)
{
}

EndpointNotices::Notice& EndpointNotices::noticeOf(const EndpointId& id, std::uint64_t incarnation, MonotonicTime now)
{
    if (!m_notices.contains(id) && m_notices.size() >= maximumNotices)
        m_notices.erase(std::min_element(m_notices.begin(), m_notices.end(),
            [](const auto& left, const auto& right) { return left.second.statedAt < right.second.statedAt; }));
    Notice& notice = m_notices[id];
    if (notice.incarnation != incarnation)
        notice = Notice();
    notice.incarnation = incarnation;
    notice.statedAt = now;
    return notice;
}

void EndpointNotices::note(const EndpointId& id, std::uint64_t incarnation, const EndpointNotice& stated,
    MonotonicTime now, EffectList& effects)
{
    const Duration pause = std::min(stated.pause.value_or(Duration::zero()), longestPause);
    if (!stated.isLeaving && pause <= Duration::zero())
        return;
    Notice& notice = noticeOf(id, incarnation, now);
    if (stated.isLeaving && !std::exchange(notice.isLeaving, true))
        effects.push_back(LogEntry { LogEvent::GatewayEndpointNotice,
            { { "endpoint", id.value }, { "notice", "leaving" }, { "milliseconds", "" } } });
    if (pause <= Duration::zero())
        return;
    const Duration longest = std::min<Duration>(longestDelay,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(pause) * longestDelayShare));
    const auto delay = Duration(static_cast<Duration::rep>(m_random.unit() * static_cast<double>(longest.count())));
    if (now >= notice.pausedUntil)
        effects.push_back(LogEntry { LogEvent::GatewayEndpointNotice,
            { { "endpoint", id.value }, { "notice", "pause" },
                { "milliseconds", std::to_string(millisecondsOf(pause)) } } });
    notice.pausedUntil = std::max(notice.pausedUntil, now + pause + delay);
}

bool EndpointNotices::isLeaving(const EndpointId& id, std::uint64_t incarnation) const
{
    const auto found = m_notices.find(id);
    return found != m_notices.end() && found->second.isLeaving && found->second.incarnation == incarnation;
}

bool EndpointNotices::isPaused(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_notices.find(id);
    return found != m_notices.end() && (now < found->second.pausedUntil || now < found->second.nextAttemptAt);
}

MonotonicTime EndpointNotices::pauseEnd(const EndpointId& id) const
{
    const auto found = m_notices.find(id);
    return found == m_notices.end() ? MonotonicTime()
                                    : std::max(found->second.pausedUntil, found->second.nextAttemptAt);
}

void EndpointNotices::attemptStarted(const EndpointId& id, MonotonicTime now)
{
    const auto found = m_notices.find(id);
    if (found != m_notices.end() && now < found->second.pausedUntil + returnTime)
        found->second.nextAttemptAt = now + returnInterval;
}

void EndpointNotices::tick(MonotonicTime now)
{
    std::erase_if(m_notices, [now](const auto& item) {
        const Notice& notice = item.second;
        const bool isPauseOver = now >= notice.pausedUntil + returnTime;
        return now - notice.statedAt >= noticeLifetime || (!notice.isLeaving && isPauseOver);
    });
}

} // namespace Catkinwell
