#pragma once

#include <cstddef>
#include <string_view>

namespace Catkinwell {

// Follows a stream of server-sent events and tells where its events end. An empty line ends an event; lines end with
// LF, CR or CRLF. Whether a CR ends its line alone is decided by the next byte, unless the stream has shown that it
// uses CR alone. Not thread safe.
class EventStreamPosition {
public:
    void feed(std::string_view data);

    // Number of complete events.
    std::size_t events() const { return m_events; }
    // Whether a field of an event was read that no empty line has ended yet, or the latest line is not complete. Whole
    // comment lines belong to no event.
    bool isInsideEvent() const { return m_hasField || m_line != Line::Empty || m_isCarriageReturnOpen; }
    // Bytes since the last empty line.
    std::size_t openBytes() const { return m_openBytes; }

private:
    // What the current line is, by its first byte.
    enum class Line {
        Empty,
        Comment,
        Field,
    };

    void feedLineFeed();
    void feedCarriageReturn();
    // The CR before the current byte was a whole line end.
    void endCarriageReturn();
    void endLine();

    std::size_t m_events = 0;
    std::size_t m_openBytes = 0;
    Line m_line = Line::Empty;
    bool m_hasField = false;
    bool m_usesCarriageReturnAlone = false;
    // Whether the latest byte is a CR that has not ended its line yet, or one that has.
    bool m_isCarriageReturnOpen = false;
    bool m_endedWithCarriageReturn = false;
};

} // namespace Catkinwell
