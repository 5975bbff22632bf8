#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/logging/LogEvent.h>
#include <cstdint>
#include <map>
#include <string>

namespace Catkinwell {

struct LogSettings {
    // Events below this severity are not logged.
    LogSeverity minimumSeverity = LogSeverity::Info;
    // File to append to. If empty, the log goes to standard output, where writes never wait for the reader.
    std::string file;
    // Limit for the entries of one event per second; further ones are counted and reported by log_events_suppressed.
    std::uint32_t maximumPerEventAndSecond = 500;
};

// Writes numbered events through Boost.Log, one JSON object per line. Not thread safe.
class EventLog {
public:
    // Precondition: at most one EventLog exists in a process at a time. The clock must outlive it.
    EventLog(LogSettings, const Clock&);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(const LogEntry&);
    // Changes the minimum severity and the rate limit; the output file is not changed.
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
