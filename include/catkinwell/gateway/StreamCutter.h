#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace Catkinwell {

// Cuts a stream of server-sent events at the ends of events, so that a stream which broke off inside an event can go
// on at another endpoint without a torn or repeated one. Not thread safe.
class StreamCutter {
public:
    // Returns the bytes up to the end of the last complete event.
    std::string take(std::string_view data);
    // The identifier of the last event that was returned; empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }
    // Drops the beginning of an event that was not completed.
    void dropPartial() { m_partial.clear(); }
    // Returns what was kept back at the end of the stream.
    std::string takeRest() { return std::exchange(m_partial, {}); }

private:
    void noteIdentifiers(std::string_view events);

    std::string m_partial;
    std::string m_lastEventId;
};

} // namespace Catkinwell
