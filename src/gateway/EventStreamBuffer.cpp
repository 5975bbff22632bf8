#include <catkinwell/gateway/EventStreamBuffer.h>

#include "http/HeaderText.h"
#include <algorithm>

namespace Catkinwell {

namespace {

    // A longer event is forwarded in parts.
    constexpr std::size_t maximumPartialBytes = 1024 * 1024;

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
    updateLastEventId(complete);
    return complete;
}

void EventStreamBuffer::updateLastEventId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    // Searches backwards for the last line with an identifier.
    std::size_t end = events.size();
    while (end > 0) {
        const std::size_t begin = events.find_last_of("\r\n", end - 1);
        const std::size_t start = begin == std::string_view::npos ? 0 : begin + 1;
        const std::string_view line = events.substr(start, end - start);
        if (line.starts_with(field)) {
            m_lastEventId = trimmedSpaces(line.substr(field.size()));
            return;
        }
        if (begin == std::string_view::npos)
            return;
        end = begin;
    }
}

} // namespace Catkinwell
