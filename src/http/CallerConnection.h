#pragma once

#include "http/MessageReader.h"
#include <catkinwell/http/CallerListener.h>
#include <optional>

struct bufferevent;
struct event;
struct event_base;

namespace Catkinwell {

class CallerConnection;

// A complete request as it was sent.
struct ReceivedRequest {
    MessageHead head;
    std::string body;
};

// What a connection tells its listener.
class CallerConnectionOwner {
public:
    virtual ~CallerConnectionOwner() = default;
    virtual void requestRead(CallerConnection&, ReceivedRequest) = 0;
    virtual void callerLeft(CallerConnection&) = 0;
    virtual void outputFull(CallerConnection&, bool full) = 0;
    // The connection can be destroyed once the current callback has returned.
    virtual void closed(CallerConnection&) = 0;
    // Whether answers announce that the connection closes.
    virtual bool isClosing() const = 0;
    virtual const CallerLimits& limits() const = 0;
};

// One connection of a caller. Reads one request at a time and keeps the bytes of later ones until its answer is
// complete. What the head check or the parser refuses is answered here with a typed error. Not thread safe.
class CallerConnection final : public MessageObserver {
public:
    // Takes the stream over. Precondition: the owner outlives the connection.
    CallerConnection(CallerConnectionOwner&, event_base*, bufferevent* stream, std::size_t outputHighWatermark);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // The request that is being answered.
    RequestId currentRequest() const { return m_request; }
    void setCurrentRequest(RequestId id) { m_request = id; }

    // Preconditions of the answering methods: a request is being answered.
    void sendHead(int status, const HeaderList&);
    void sendData(std::string_view);
    void finish();
    void sendWhole(int status, const HeaderList&, std::string_view body);

    // Closes without a complete answer.
    void abort();
    // Whether finished answers have not left completely.
    bool hasUnsentOutput() const;

private:
    enum class Phase {
        Idle,
        ReadingHead,
        ReadingBody,
        Answering,
        // The last answer leaves, then the connection closes.
        Closing,
        Closed,
    };

    static void readable(bufferevent*, void* context);
    static void drained(bufferevent*, void* context);
    static void happened(bufferevent*, short what, void* context);
    static void timedOut(int, short, void* context);

    bool headRead(MessageHead) override;
    void bodyRead(std::string_view) override;
    void messageEnded() override;

    void process();
    // Returns whether there may be more to do.
    bool processHead();
    bool processBody();
    bool refuse(int status, const std::string& reason);
    void deliver();
    void writeHead(int status, const HeaderList&, std::optional<std::size_t> length);
    void afterAnswer();
    void setTimer(Duration);
    void clearTimer();
    void close();

    CallerConnectionOwner& m_owner;
    bufferevent* m_stream;
    event* m_timer;
    std::size_t m_outputHighWatermark;
    MessageReader m_reader;
    ReceivedRequest m_received;
    RequestId m_request;
    Phase m_phase = Phase::Idle;
    bool m_processing = false;
    bool m_bodyTooLong = false;
    bool m_isFull = false;
    // Of the answer that is being sent.
    bool m_isChunked = false;
    bool m_closesAfterAnswer = false;
    bool m_isHeadRequest = false;
    bool m_isVersion10 = false;
};

} // namespace Catkinwell
