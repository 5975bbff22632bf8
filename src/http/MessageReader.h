#pragma once

#include "http/ResponseCheck.h"
#include <catkinwell/http/HttpTypes.h>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// The head of a request or a response.
struct MessageHead {
    // Requests only.
    std::string method;
    std::string target;
    // Responses only.
    int status = 0;
    HeaderList headers;
    bool keepAlive = false;
    // Whether the body is delimited by the end of the connection.
    bool endsWithConnection = false;
    bool isVersion10 = false;
};

// Receives the parts of one message in order.
class MessageObserver {
public:
    virtual ~MessageObserver() = default;
    // Returns whether a body may follow. A response to HEAD has no body, whatever its headers say; nor has one with a
    // status that allows none, which the reader sees itself.
    virtual bool headRead(MessageHead) = 0;
    virtual void bodyRead(std::string_view) = 0;
    virtual void messageEnded() = 0;
};

// Incremental parser for the HTTP messages of one connection. The bytes of responses are checked before they are
// parsed; the heads of requests are checked by findRequestHeadFault(). Not thread safe.
class MessageReader {
public:
    enum class Kind {
        Request,
        Response,
    };

    // Precondition: the observer outlives the reader.
    MessageReader(Kind, MessageObserver&);
    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    // Parses bytes of the current message and returns how many were consumed. Stops after the last byte of the message
    // or at a parse error.
    std::size_t consume(std::string_view bytes);
    // Reports an orderly close by the peer, which completes a message that is delimited by the end of the connection.
    void connectionEnded();
    // Prepares for the next message.
    void restart();

    bool hasFailed() const { return m_failed; }
    bool hasEnded() const { return m_ended; }
    // Whether any byte of the current message was read.
    bool hasBegun() const { return m_begun; }
    std::string failure() const;

private:
    static MessageReader& self(http_parser* parser) { return *static_cast<MessageReader*>(parser->data); }
    static const http_parser_settings& callbacks();

    // Returns whether the message may have another field.
    bool appendName(std::string_view);
    void appendValue(std::string_view);
    // Returns what the parser's callback for the end of a head returns.
    int finishHead();
    std::size_t parse(std::string_view);
    std::size_t checkAndParse(std::string_view);

    Kind m_kind;
    MessageObserver& m_observer;
    http_parser m_parser {};
    ResponseCheck m_check;
    MessageHead m_head;
    bool m_lastWasValue = false;
    bool m_begun = false;
    bool m_ended = false;
    bool m_failed = false;
    bool m_hasTooManyFields = false;
};

} // namespace Catkinwell
