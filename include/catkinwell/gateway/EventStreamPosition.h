#pragma once

#include <cstddef>
#include <string_view>

namespace Catkinwell {

// Follows a stream of server-sent events and tells whether its latest byte ends an event. An empty line ends an event;
// lines end with LF, CR or CRLF. Not thread safe.
class EventStreamPosition {
public:
    void feed(std::string_view data);

    // Number of complete events.
    std::size_t events() const { return m_events; }
    // Whether a field of an event was read that no empty line has ended yet. Comments belong to no event.
    bool isInsideEvent() const { return m_hasField || m_line == Line::Field; }
    // Bytes since the last empty line.
    std::size_t openBytes() const { return m_openBytes; }

private:
    // What the current line is, by its first byte.
    enum class Line {
        Empty,
        Comment,
        Field,
    };

    void endLine();

    std::size_t m_events = 0;
    std::size_t m_openBytes = 0;
    Line m_line = Line::Empty;
    bool m_hasField = false;
    bool m_lastWasCarriageReturn = false;
};

} // namespace Catkinwell
