#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// The head of a request or an answer.
struct MessageHead {
    // Of a request.
    std::string method;
    std::string target;
    // Of an answer.
    int status = 0;
    HeaderList headers;
    bool keepAlive = false;
    // Whether only the end of the connection ends the body.
    bool endsWithConnection = false;
    bool isVersion10 = false;
};

// Receives the parts of one message in order.
class MessageObserver {
public:
    virtual ~MessageObserver() = default;
    // Returns whether a body may follow; an answer to HEAD has none whatever its head says.
    virtual bool headRead(MessageHead) = 0;
    virtual void bodyRead(std::string_view) = 0;
    virtual void messageEnded() = 0;
};

// Reads one HTTP message after the other from the bytes of a connection. Not thread safe.
class MessageReader {
public:
    enum class Kind {
        Request,
        Answer,
    };

    // Precondition: the observer outlives the reader.
    MessageReader(Kind, MessageObserver&);
    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    // Returns how many bytes belong to the current message. Stops behind its last byte and at a fault.
    std::size_t consume(std::string_view bytes);
    // The peer closed the connection in order; ends a message that has no other end.
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

    void appendName(std::string_view);
    void appendValue(std::string_view);
    bool finishHead();

    Kind m_kind;
    MessageObserver& m_observer;
    http_parser m_parser {};
    MessageHead m_head;
    bool m_lastWasValue = false;
    bool m_begun = false;
    bool m_ended = false;
    bool m_failed = false;
};

} // namespace Catkinwell
