#include <catkinwell/shares/TokenBucket.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    __extension__ using Wide = __int128;

    constexpr MicroTokens microPerToken = 1'000'000;
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    // Sums beyond this, which is well within the range of the type, are rebased to zero.
    constexpr MicroTokens rebaseLimit = MicroTokens { 1 } << 59;

    MicroTokens microOf(TokenCount tokens)
    {
        constexpr TokenCount largest = rebaseLimit / microPerToken;
        return std::clamp(tokens, -largest, largest) * microPerToken;
    }

} // namespace

TokenBucket::TokenBucket(MonotonicTime start, std::size_t maxSegments)
    : m_last(start)
    , m_maxSegments(maxSegments)
    , m_segments { Segment {} }
{
}

void TokenBucket::setLimits(MicroTokens ratePerSecond, MicroTokens capacity, MonotonicTime at)
{
    advance(at);
    m_rate = ratePerSecond;
    m_capacity = capacity;
    updatePeak();
}

MicroTokens TokenBucket::level(MonotonicTime now)
{
    advance(now);
    return m_net - m_peak;
}

TokenCount TokenBucket::available(MonotonicTime now)
{
    const MicroTokens micro = level(now);
    return micro >= 0 ? micro / microPerToken : -((-micro + microPerToken - 1) / microPerToken);
}

std::optional<TokenBucket::Reservation> TokenBucket::reserve(TokenCount tokens, MonotonicTime now)
{
    if (!take(tokens, now))
        return std::nullopt;
    if (m_segments.size() < m_maxSegments)
        m_segments.push_back({ ++m_lastSegment, m_net - m_capacity, 0 });
    ++m_segments.back().unsettled;
    return Reservation { m_segments.back().id };
}

bool TokenBucket::take(TokenCount tokens, MonotonicTime now)
{
    if (available(now) < tokens)
        return false;
    m_net -= microOf(tokens);
    return true;
}

MicroTokens TokenBucket::settle(Reservation reservation, TokenCount reserved, TokenCount used, MonotonicTime now)
{
    advance(now);
    const auto found = std::lower_bound(m_segments.begin(), m_segments.end(), reservation.segment,
        [](const Segment& segment, std::uint64_t id) { return segment.id < id; });
    if (found == m_segments.end() || found->id != reservation.segment || found->unsettled == 0)
        return 0;
    const MicroTokens before = m_net - m_peak;
    const MicroTokens unused = microOf(reserved - used);
    m_net += unused;
    if (unused > 0) {
        for (auto segment = found; segment != m_segments.end(); ++segment)
            segment->peak += unused;
        m_peak = std::max_element(m_segments.begin(), m_segments.end(), [](const Segment& left, const Segment& right) {
            return left.peak < right.peak;
        })->peak;
    }
    --found->unsettled;
    if (found->unsettled == 0 && found != m_segments.begin())
        mergeIntoEarlier(static_cast<std::size_t>(found - m_segments.begin()));
    return std::max<MicroTokens>(0, m_net - m_peak - before);
}

void TokenBucket::advance(MonotonicTime now)
{
    if (now <= m_last)
        return;
    const Wide refill = Wide { m_rate } * (now - m_last).count() + m_remainder;
    m_last = now;
    m_remainder = static_cast<std::int64_t>(refill % nanosecondsPerSecond);
    m_net += static_cast<MicroTokens>(std::min<Wide>(refill / nanosecondsPerSecond, rebaseLimit));
    updatePeak();
    if (m_net > rebaseLimit || m_net < -rebaseLimit)
        rebase();
}

void TokenBucket::updatePeak()
{
    const MicroTokens current = m_net - m_capacity;
    m_segments.back().peak = std::max(m_segments.back().peak, current);
    m_peak = std::max(m_peak, current);
}

void TokenBucket::rebase()
{
    for (Segment& segment : m_segments)
        segment.peak -= m_net;
    m_peak -= m_net;
    m_net = 0;
}

void TokenBucket::mergeIntoEarlier(std::size_t index)
{
    m_segments[index - 1].peak = std::max(m_segments[index - 1].peak, m_segments[index].peak);
    m_segments.erase(m_segments.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace Catkinwell
