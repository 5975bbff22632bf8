#pragma once

#include <catkinwell/gateway/EventStreamPosition.h>
#include <string>
#include <string_view>
#include <utility>

namespace Catkinwell {

// Buffers a stream of server-sent events up to the end of each event, so that a stream that broke off inside an event
// can resume at another endpoint without a truncated or repeated event. Not thread safe.
class EventStreamBuffer {
public:
    // Appends data and returns the buffered bytes up to the end of the last complete event. A stream that goes on
    // behind its last event may begin with that event, which is left out.
    std::string take(std::string_view data);
    // Returns the identifier of the last returned event; empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }
    // Bytes of an event that is not complete.
    std::size_t bufferedBytes() const { return m_partial.size(); }
    // Discards the buffered part of an incomplete event; another stream goes on behind the last returned one.
    void dropPartial()
    {
        m_mayRepeat = !m_lastEventId.empty();
        m_partial.clear();
        m_position = EventStreamPosition();
    }
    // Returns the remaining buffered bytes at the end of the stream.
    std::string takeRest() { return std::exchange(m_partial, {}); }

private:
    // Returns the size of the first of the complete events if it repeats the last returned one, otherwise 0.
    std::size_t repeatedBytes(std::string_view events) const;

    std::string m_partial;
    EventStreamPosition m_position;
    std::string m_lastEventId;
    bool m_mayRepeat = false;
};

} // namespace Catkinwell
