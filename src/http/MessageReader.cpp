#include "http/MessageReader.h"

namespace Catkinwell {

namespace {

    // The parser bounds the bytes of a response's head and of its trailers, but a field takes many times the memory of
    // its shortest line. Requests are bounded by the limits on callers.
    constexpr std::size_t maximumResponseFields = 512;

    // What the callback for the end of a head returns to the parser.
    constexpr int bodyMayFollow = 0;
    constexpr int noBodyFollows = 1;
    constexpr int headIsInvalid = -1;

} // namespace

MessageReader::MessageReader(Kind kind, MessageObserver& observer)
    : m_kind(kind)
    , m_observer(observer)
{
    restart();
}

const http_parser_settings& MessageReader::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings table;
        http_parser_settings_init(&table);
        table.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            self(parser).m_head.target.append(at, size);
            return 0;
        };
        table.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            return self(parser).appendName({ at, size }) ? 0 : 1;
        };
        table.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            self(parser).appendValue({ at, size });
            return 0;
        };
        table.on_headers_complete = [](http_parser* parser) { return self(parser).finishHead(); };
        table.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            self(parser).m_observer.bodyRead({ at, size });
            return 0;
        };
        table.on_message_complete = [](http_parser* parser) {
            self(parser).m_ended = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return table;
    }();
    return settings;
}

void MessageReader::restart()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_check = ResponseCheck();
    m_head = MessageHead();
    m_lastWasValue = false;
    m_begun = false;
    m_ended = false;
    m_failed = false;
    m_hasTooManyFields = false;
}

bool MessageReader::appendName(std::string_view part)
{
    if (m_head.headers.empty() || m_lastWasValue)
        m_head.headers.emplace_back();
    m_head.headers.back().first.append(part);
    m_lastWasValue = false;
    m_hasTooManyFields = m_kind == Kind::Response && m_head.headers.size() > maximumResponseFields;
    return !m_hasTooManyFields;
}

void MessageReader::appendValue(std::string_view part)
{
    m_head.headers.back().second.append(part);
    m_lastWasValue = true;
}

int MessageReader::finishHead()
{
    if (m_kind == Kind::Request)
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    m_head.status = m_parser.status_code;
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0;
    m_head.isVersion10 = m_parser.http_major == 1 && m_parser.http_minor == 0;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    const bool isChunked = (m_parser.flags & F_CHUNKED) != 0;
    if (m_kind == Kind::Response)
        m_check.beginBody(isChunked);
    if (!m_check.fault().empty())
        return headIsInvalid;
    const bool mayHaveBody = m_head.status >= 200 && m_head.status != 204 && m_head.status != 304;
    m_head.endsWithConnection = m_kind == Kind::Response && mayHaveBody && !hasLength && !isChunked;
    const bool mayFollow = m_kind == Kind::Request || mayHaveBody;
    return m_observer.headRead(std::move(m_head)) && mayFollow ? bodyMayFollow : noBodyFollows;
}

std::size_t MessageReader::consume(std::string_view bytes)
{
    if (bytes.empty() || m_failed || m_ended)
        return 0;
    m_begun = true;
    return m_kind == Kind::Response ? checkAndParse(bytes) : parse(bytes);
}

std::size_t MessageReader::checkAndParse(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !m_failed && !m_ended) {
        const std::string_view rest = bytes.substr(consumed);
        // The parser takes an empty text for the end of the connection.
        if (const std::size_t accepted = m_check.accept(rest); accepted > 0)
            consumed += parse(rest.substr(0, accepted));
        m_failed = m_failed || !m_check.fault().empty();
    }
    return consumed;
}

std::size_t MessageReader::parse(std::string_view bytes)
{
    const std::size_t consumed = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_ended)
        m_observer.messageEnded();
    else
        m_failed = error != HPE_OK;
    return consumed;
}

void MessageReader::connectionEnded()
{
    if (!m_begun || m_ended || m_failed)
        return;
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (m_ended)
        m_observer.messageEnded();
}

std::string MessageReader::failure() const
{
    if (!m_check.fault().empty())
        return std::string(m_check.fault());
    return m_hasTooManyFields ? "it has too many header fields" : http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
}

} // namespace Catkinwell
