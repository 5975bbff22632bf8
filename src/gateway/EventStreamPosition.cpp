#include <catkinwell/gateway/EventStreamPosition.h>

#include <algorithm>

namespace Catkinwell {

void EventStreamPosition::feed(std::string_view data)
{
    while (!data.empty()) {
        const char first = data.front();
        if (first == '\n' || first == '\r') {
            const bool endsCarriageReturn = first == '\n' && m_lastWasCarriageReturn;
            m_lastWasCarriageReturn = first == '\r';
            ++m_openBytes;
            if (!endsCarriageReturn)
                endLine();
            data.remove_prefix(1);
            continue;
        }
        m_lastWasCarriageReturn = false;
        if (m_line == Line::Empty)
            m_line = first == ':' ? Line::Comment : Line::Field;
        const std::size_t length = std::min(data.find_first_of("\r\n"), data.size());
        m_openBytes += length;
        data.remove_prefix(length);
    }
}

void EventStreamPosition::endLine()
{
    if (m_line == Line::Empty) {
        m_events += m_hasField ? 1 : 0;
        m_hasField = false;
        m_openBytes = 0;
    }
    m_hasField = m_hasField || m_line == Line::Field;
    m_line = Line::Empty;
}

} // namespace Catkinwell
