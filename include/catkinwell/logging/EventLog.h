#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/logging/LogEvent.h>
#include <cstdint>
#include <map>
#include <string>

namespace Catkinwell {

struct LogSettings {
    // Events below this severity are left out.
    LogSeverity minimumSeverity = LogSeverity::Info;
    // A file that is appended to; empty for the standard output, which is written without ever waiting for its reader.
    std::string file;
    // Entries of one event in a second; further ones are counted and reported by log_events_suppressed.
    std::uint32_t maximumPerEventAndSecond = 500;
};

// Writes numbered events as one JSON object a line through Boost.Log. Not thread safe.
class EventLog {
public:
    // Precondition: at most one EventLog exists in a process at a time. The clock outlives it.
    EventLog(LogSettings, const Clock&);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(const LogEntry&);
    // Changes the least severity and the rate; the file stays.
    void setLimits(const LogSettings&);

private:
    struct Window {
        MonotonicTime start {};
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    bool admit(const LogEntry&);
    void emitLine(const LogEntry&);

    LogSettings m_settings;
    const Clock& m_clock;
    std::map<LogEvent, Window> m_windows;
};

// Returns the line that EventLog writes for the entry. Thread safe.
std::string formatLogLine(const LogEntry&, WallTime);

} // namespace Catkinwell
