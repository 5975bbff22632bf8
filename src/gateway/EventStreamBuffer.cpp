#include <catkinwell/gateway/EventStreamBuffer.h>

#include "http/HeaderText.h"
#include <algorithm>
#include <optional>

namespace Catkinwell {

namespace {

    // A longer event is forwarded in parts.
    constexpr std::size_t maximumPartialBytes = 1024 * 1024;

    // Returns the last identifier in the events; nullopt if there is none.
    std::optional<std::string_view> lastIdIn(std::string_view events)
    {
        constexpr std::string_view field = "id:";
        std::size_t end = events.size();
        while (end > 0) {
            const std::size_t begin = events.find_last_of("\r\n", end - 1);
            const std::size_t start = begin == std::string_view::npos ? 0 : begin + 1;
            const std::string_view line = events.substr(start, end - start);
            if (line.starts_with(field))
                return trimmedSpaces(line.substr(field.size()));
            end = start == 0 ? 0 : begin;
        }
        return std::nullopt;
    }

    std::size_t firstEventBytes(std::string_view events)
    {
        EventStreamPosition position;
        std::size_t read = 0;
        while (read < events.size() && position.events() == 0)
            position.feed(events.substr(read++, 1));
        return read - position.openBytes();
    }

} // namespace

std::string EventStreamBuffer::take(std::string_view data)
{
    m_partial.append(data);
    m_position.feed(data);
    const std::size_t open = std::min(m_position.openBytes(), m_partial.size());
    const std::size_t end = open > maximumPartialBytes ? m_partial.size() : m_partial.size() - open;
    if (end == 0)
        return {};
    // The rest moves to a string of its own, so that a large event does not hold its memory for the rest of the stream.
    std::string rest = m_partial.substr(end);
    std::string complete = std::exchange(m_partial, std::move(rest));
    complete.resize(end);
    if (std::exchange(m_mayRepeat, false))
        complete.erase(0, repeatedBytes(complete));
    if (const auto id = lastIdIn(complete))
        m_lastEventId = *id;
    return complete;
}

std::size_t EventStreamBuffer::repeatedBytes(std::string_view events) const
{
    const std::size_t size = firstEventBytes(events);
    return lastIdIn(events.substr(0, size)) == m_lastEventId ? size : 0;
}

} // namespace Catkinwell
