#include <catkinwell/logging/EventLog.h>

#include "logging/PipeSafeWriter.h"
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Catkinwell {

namespace {

    // A Boost.Log sink backend that writes to standard output without waiting for its reader.
    class StandardOutputBackend final
        : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
    public:
        void consume(const boost::log::record_view&, const string_type& line)
        {
            const std::uint64_t dropped = m_writer.takeDropped();
            if (dropped > 0)
                m_writer.write(
                    R"({"event":1007,"name":"log_lines_dropped","count":")" + std::to_string(dropped) + "\"}\n");
            m_writer.write(line + "\n");
        }

    private:
        PipeSafeWriter m_writer { STDOUT_FILENO };
    };

    std::string timestamp(WallTime time)
    {
        const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() % 1000;
        const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char text[40];
        const std::size_t size = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
        std::string fraction = std::to_string(1000 + milliseconds);
        fraction[0] = '.';
        return std::string(text, size) + fraction + "Z";
    }

} // namespace

std::string formatLogLine(const LogEntry& entry, WallTime time)
{
    const LogEventDescription& description = describe(entry.event);
    nlohmann::ordered_json line;
    line["time"] = timestamp(time);
    line["event"] = static_cast<int>(entry.event);
    line["name"] = description.name;
    line["severity"] = nameOf(description.severity);
    for (const auto& [name, value] : entry.fields)
        line[name] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

EventLog::EventLog(LogSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
{
    if (m_settings.file.empty()) {
        using OutputSink = boost::log::sinks::synchronous_sink<StandardOutputBackend>;
        boost::log::core::get()->add_sink(boost::make_shared<OutputSink>());
        return;
    }
    using Backend = boost::log::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::make_shared<std::ofstream>(m_settings.file, std::ios::app));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(
        boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(std::move(backend)));
}

EventLog::~EventLog() { boost::log::core::get()->remove_all_sinks(); }

void EventLog::setLimits(const LogSettings& settings)
{
    m_settings.minimumSeverity = settings.minimumSeverity;
    m_settings.maximumPerEventAndSecond = settings.maximumPerEventAndSecond;
}

void EventLog::write(const LogEntry& entry)
{
    if (describe(entry.event).severity < m_settings.minimumSeverity || !admit(entry))
        return;
    emitLine(entry);
}

bool EventLog::admit(const LogEntry& entry)
{
    Window& window = m_windows[entry.event];
    const MonotonicTime now = m_clock.monotonicNow();
    if (now - window.start >= std::chrono::seconds(1)) {
        const std::uint64_t suppressed = window.suppressed;
        window = Window { now, 0, 0 };
        if (suppressed > 0)
            emitLine({ LogEvent::LogEventsSuppressed,
                { { "suppressed_event", std::string(describe(entry.event).name) },
                    { "count", std::to_string(suppressed) } } });
    }
    if (window.written >= m_settings.maximumPerEventAndSecond) {
        ++window.suppressed;
        return false;
    }
    ++window.written;
    return true;
}

void EventLog::emitLine(const LogEntry& entry)
{
    static boost::log::sources::logger logger;
    if (boost::log::record record = logger.open_record()) {
        boost::log::record_ostream stream(record);
        stream << formatLogLine(entry, m_clock.wallNow());
        stream.flush();
        logger.push_record(std::move(record));
    }
}

} // namespace Catkinwell
