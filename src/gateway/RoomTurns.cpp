#include <catkinwell/gateway/RoomTurns.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // More places than these are left to all hosts.
    constexpr unsigned maximumFreed = 4;
    constexpr Duration lifetime = std::chrono::seconds(10);
    constexpr std::size_t maximumKeys = 1024;

} // namespace

void RoomTurns::placeFreed(const Key& key, MonotonicTime now)
{
    if (m_turns.size() >= maximumKeys && !m_turns.contains(key))
        return;
    Turns& turns = m_turns[key];
    turns.freed = std::min(maximumFreed, turns.freed + 1);
    turns.freedAt = now;
}

bool RoomTurns::take(const Key& key, const Room& room, MonotonicTime now)
{
    if (m_turns.size() >= maximumKeys && !m_turns.contains(key))
        return room.free >= 1;
    const auto [found, isNew] = m_turns.try_emplace(key);
    Turns& turns = found->second;
    // After this time the others know of the places too.
    if (now - turns.freedAt >= room.reportInterval)
        turns.freed = 0;
    // All hosts together take the free places once in each interval.
    const auto hosts = static_cast<double>(room.hosts);
    const double part = room.free * std::max((room.own + 1) / (room.all + hosts), 1 / hosts);
    const double elapsed = std::min(1.0, secondsOf(now - turns.at) / std::max(1e-3, secondsOf(room.reportInterval)));
    turns.share = std::min(std::max(1.0, part), turns.share + part * elapsed);
    turns.at = now;
    if (turns.freed > 0) {
        --turns.freed;
        return true;
    }
    if (turns.share < 1 || room.free < 1)
        return false;
    turns.share -= 1;
    return true;
}

void RoomTurns::tick(MonotonicTime now)
{
    std::erase_if(
        m_turns, [now](const auto& item) { return now - std::max(item.second.at, item.second.freedAt) >= lifetime; });
}

} // namespace Catkinwell
