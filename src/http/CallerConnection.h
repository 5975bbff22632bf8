#pragma once

#include "http/BodyBuffer.h"
#include "http/BodyProgress.h"
#include "http/MessageReader.h"
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/http/InputBudget.h>
#include <deque>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct event_base;

namespace Catkinwell {

class CallerConnection;

// A complete request as received.
struct ReceivedRequest {
    MessageHead head;
    std::string body;
};

// Receives the events of a connection; implemented by the listener.
class CallerConnectionOwner {
public:
    virtual ~CallerConnectionOwner() = default;
    // Called for each request that was read whole, before requestRead().
    virtual void requestCounted() = 0;
    virtual void requestRead(CallerConnection&, ReceivedRequest) = 0;
    // Called once for each request that was read whole.
    virtual void requestEnded(const AnswerCut&) = 0;
    // The listener rejected a request while it read it.
    virtual void requestRejected(RejectionReason) = 0;
    virtual void callerLeft(CallerConnection&) = 0;
    virtual void outputFull(CallerConnection&, bool full) = 0;
    // The bytes that are buffered for the caller became more, or fewer.
    virtual void outputChanged(std::ptrdiff_t bytes) = 0;
    // The connection may be destroyed after the current callback has returned.
    virtual void closed(CallerConnection&) = 0;
    // Whether each connection is to be closed after its response.
    virtual bool isClosing() const = 0;
    virtual const CallerLimits& limits() const = 0;
    // The least rate of bodies; see ListenerSettings.
    virtual std::size_t minimumBodyRate() const = 0;
    virtual MonotonicTime now() const = 0;
    // The header in which callers state the identifiers of their requests; empty if there is none.
    virtual const std::string& requestIdHeader() const = 0;
};

// One connection of a caller. Reads one request at a time; the bytes of pipelined requests stay buffered until its
// response is complete. Answers requests that the head check or the parser rejects with a typed error. Not thread safe.
class CallerConnection final : public MessageObserver, private InputHolder {
public:
    // Takes ownership of the stream. The bytes of unfinished requests are accounted for in the budget, under the
    // caller's IP address. Precondition: the owner outlives the connection.
    CallerConnection(CallerConnectionOwner&, event_base*, bufferevent* stream, std::size_t outputHighWatermark,
        std::shared_ptr<InputBudget>, std::string address);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // The request whose response is being sent; 0 if there is none.
    RequestId currentRequest() const { return m_request; }
    // Precondition: requestRead() is being called.
    void setCurrentRequest(RequestId);

    // Precondition of the following four: a request was delivered and its response is not complete.
    void sendHead(int status, const HeaderList&);
    void sendData(std::string_view);
    void finish();
    void sendWhole(int status, const HeaderList&, std::string_view body);

    // Closes the connection without completing the response.
    void abort();
    // Reports the requests that have no complete response as ended by the end of the process. The connection stays open
    // until it is destroyed.
    void endAtProcessEnd() { endOpenRequests(AnswerEnd::ProcessEnd); }
    // Whether response bytes are still buffered.
    bool hasUnsentOutput() const { return unsentBytes() > 0; }
    // Bytes that were sent and that the caller's system has not taken yet.
    std::size_t unacknowledgedBytes() const;
    // Whether part of a request has arrived, also if it was not read yet.
    bool isReceiving() const;

private:
    enum class Phase {
        Idle,
        ReadingHead,
        ReadingBody,
        Answering,
        // Closes the connection once the buffered response is written.
        Closing,
        // Reads what the caller still sends after its last answer, until it closes the connection.
        Discarding,
        Closed,
    };

    static void readable(bufferevent*, void* context);
    static void drained(bufferevent*, void* context);
    static void eventOccurred(bufferevent*, short what, void* context);
    static void timedOut(int, short, void* context);
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void* context);

    bool headRead(MessageHead) override;
    void bodyRead(std::string_view) override;
    void messageEnded() override;

    void process();
    // These return whether buffered input may allow further progress.
    bool processHead();
    bool processBody();
    bool refuse(int status, const std::string& reason, RejectionReason = RejectionReason::Malformed);
    bool refuseTooLarge();
    bool refuseForMemory();
    void rejectInput() override;
    // Frees what has arrived of the request that is being read, and what follows it.
    void dropInput();
    // Updates this connection's part in the account of unfinished requests.
    void noteInput();
    // How many bytes may be read ahead.
    void setReadAhead(std::size_t);
    // Whether the caller waits for a "100 Continue" before it sends its body.
    bool expectsContinue() const;
    bool hasPeerLeft() const;
    void deliver();
    void writeHead(int status, const HeaderList&, std::optional<std::size_t> length);
    void afterAnswer();
    // Precondition: the answer is complete and written.
    void closeAfterAnswer();
    void discardInput();
    // Starts the timer with one of the limits. If that limit grows meanwhile, the timer runs on.
    void setTimer(Duration CallerLimits::*);
    void addTimer(Duration);
    void clearTimer();
    // Whether the timer was started again, because its limit has grown or the caller goes on taking its answer.
    bool isTimerExtended();
    // Whether the timer was started again, because the caller goes on taking its last answers.
    bool isDiscardingExtended();
    // The limits of the request that is being read: those in force when it began, or those now if they are larger.
    std::size_t maximumHeaderBytes() const;
    std::size_t maximumBodyBytes() const;
    std::size_t unsentBytes() const;
    // Whether bytes of a request have arrived that were not read yet.
    bool hasUnreadBytes() const;
    void close(AnswerEnd);
    // All complete answers are written.
    void noteWritten();
    void endOpenRequests(AnswerEnd);
    bool isAnswering() const { return m_phase == Phase::Answering && m_request.value != 0; }

    // A request that was read whole, and whose complete answer is not written yet.
    struct OpenRequest {
        RequestId id;
        std::string callerRequestId;
    };

    CallerConnectionOwner& m_owner;
    bufferevent* m_stream;
    event* m_timer;
    std::size_t m_outputHighWatermark;
    // The limit that the timer keeps, how long it has run with that limit, and the unsent bytes when it was started.
    Duration CallerLimits::*m_timerLimit = &CallerLimits::idleTimeout;
    Duration m_timerDuration {};
    std::size_t m_unsentAtStart = 0;
    std::size_t m_unacknowledgedAtStart = 0;
    // The limits when the request that is being read began.
    CallerLimits m_requestLimits;
    MessageReader m_reader;
    ReceivedRequest m_received;
    BodyBuffer m_body;
    BodyProgress m_progress;
    // What the fields of the head take, which is many times the bytes of very short ones.
    std::size_t m_headMemory = 0;
    InputShare m_input;
    std::size_t m_readAhead = 0;
    RequestId m_request;
    // In the order of their arrival; only the last one may still wait for its answer.
    std::deque<OpenRequest> m_openRequests;
    Phase m_phase = Phase::Idle;
    bool m_processing = false;
    // Rounds of the loop that the timer was put off for unread bytes.
    unsigned m_timerDelays = 0;
    bool m_bodyTooLong = false;
    std::size_t m_discardedBytes = 0;
    bool m_isFull = false;
    // State of the current response.
    bool m_isChunked = false;
    bool m_closesAfterAnswer = false;
    bool m_isHeadRequest = false;
    bool m_isVersion10 = false;
    bool m_endsWithConnection = false;
};

} // namespace Catkinwell
