#include <catkinwell/gateway/EventStreamPosition.h>

#include <algorithm>
#include <utility>

namespace Catkinwell {

void EventStreamPosition::feed(std::string_view data)
{
    while (!data.empty()) {
        const char first = data.front();
        if (first == '\n' || first == '\r') {
            if (first == '\n')
                feedLineFeed();
            else
                feedCarriageReturn();
            data.remove_prefix(1);
            continue;
        }
        endCarriageReturn();
        m_endedWithCarriageReturn = false;
        if (m_line == Line::Empty)
            m_line = first == ':' ? Line::Comment : Line::Field;
        const std::size_t length = std::min(data.find_first_of("\r\n"), data.size());
        m_openBytes += length;
        data.remove_prefix(length);
    }
}

void EventStreamPosition::feedLineFeed()
{
    if (std::exchange(m_endedWithCarriageReturn, false)) {
        // Belongs to the line end before it, and to the event that this may have ended.
        m_usesCarriageReturnAlone = false;
        m_openBytes += m_openBytes > 0 ? 1 : 0;
        return;
    }
    m_isCarriageReturnOpen = false;
    ++m_openBytes;
    endLine();
}

void EventStreamPosition::feedCarriageReturn()
{
    endCarriageReturn();
    ++m_openBytes;
    m_endedWithCarriageReturn = m_usesCarriageReturnAlone;
    m_isCarriageReturnOpen = !m_usesCarriageReturnAlone;
    if (m_usesCarriageReturnAlone)
        endLine();
}

void EventStreamPosition::endCarriageReturn()
{
    if (!std::exchange(m_isCarriageReturnOpen, false))
        return;
    m_usesCarriageReturnAlone = true;
    endLine();
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
