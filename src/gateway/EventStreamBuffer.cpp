#include <catkinwell/gateway/EventStreamBuffer.h>

#include "http/HeaderText.h"

namespace Catkinwell {

namespace {

    // A longer event is forwarded in parts.
    constexpr std::size_t maximumPartialBytes = 1024 * 1024;

    // Returns the position after the last empty line; 0 if there is none.
    std::size_t endOfEvents(const std::string& text)
    {
        std::size_t end = 0;
        for (const std::string_view separator : { "\n\n", "\r\n\r\n" }) {
            const std::size_t at = text.rfind(separator);
            if (at != std::string::npos)
                end = std::max(end, at + separator.size());
        }
        return end;
    }

} // namespace

std::string EventStreamBuffer::take(std::string_view data)
{
    m_partial.append(data);
    std::size_t end = endOfEvents(m_partial);
    if (end == 0 && m_partial.size() > maximumPartialBytes)
        end = m_partial.size();
    std::string complete = m_partial.substr(0, end);
    m_partial.erase(0, end);
    updateLastEventId(complete);
    return complete;
}

void EventStreamBuffer::updateLastEventId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    // Searches backwards for the last line with an identifier.
    std::size_t end = events.size();
    while (end > 0) {
        const std::size_t begin = events.rfind('\n', end - 1);
        const std::size_t start = begin == std::string_view::npos ? 0 : begin + 1;
        std::string_view line = events.substr(start, end - start);
        if (line.starts_with(field)) {
            line = trimmedSpaces(line.substr(field.size()));
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            m_lastEventId = line;
            return;
        }
        if (begin == std::string_view::npos)
            return;
        end = begin;
    }
}

} // namespace Catkinwell
