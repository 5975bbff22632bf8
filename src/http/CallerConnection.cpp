#include "http/CallerConnection.h"

#include "http/HeaderText.h"
#include "http/RequestHeadCheck.h"
#include "http/SocketOptions.h"
#include <algorithm>
#include <array>
#include <catkinwell/loop/Timeval.h>
#include <catkinwell/requests/ApiError.h>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Catkinwell {

namespace {

    constexpr std::string_view endOfLine = "\r\n";
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t readSize = 64 * 1024;
    // Limit on input buffered while a request is read or answered.
    constexpr std::size_t maximumReadAhead = 256 * 1024;
    // The same while an answer is awaited or sent.
    constexpr std::size_t answeringReadAhead = 64 * 1024;
    // What is read at once of a body of very small chunks. The work is done for each chunk, so that 16 KB of them, the
    // usual read, would keep the loop from other connections for long.
    constexpr std::size_t denseReadSize = 2 * 1024;
    constexpr std::size_t densePart = 4;
    // Room that a body of unknown length must find.
    constexpr std::size_t unknownBodyBytes = 64 * 1024;
    // After the last answer a caller may send this much more, for this time, or for as long as it goes on taking its
    // answers. Bytes that arrive at a closed connection reset it, and the caller then loses what it has not taken yet.
    constexpr std::size_t maximumDiscardedBytes = 8 * 1024 * 1024;
    constexpr Duration longestDiscarding = std::chrono::seconds(2);
    // Rounds of the loop in which bytes that have arrived are read.
    constexpr unsigned maximumTimerDelays = 8;

    // Some callers send an empty line after a request's body. The search for the end of the next head must not find it.
    void skipEmptyLines(evbuffer* input)
    {
        char start[endOfLine.size()];
        while (evbuffer_copyout(input, start, sizeof(start)) == static_cast<ev_ssize_t>(sizeof(start))
            && std::string_view(start, sizeof(start)) == endOfLine)
            evbuffer_drain(input, endOfLine.size());
    }

    std::size_t memoryOf(const HeaderList& headers)
    {
        std::size_t bytes = headers.capacity() * sizeof(HeaderList::value_type);
        for (const auto& [name, value] : headers)
            bytes += name.size() + value.size();
        return bytes;
    }

} // namespace

CallerConnection::CallerConnection(CallerConnectionOwner& owner, event_base* base, bufferevent* stream,
    std::size_t outputHighWatermark, std::shared_ptr<InputBudget> budget, std::string address)
    : m_owner(owner)
    , m_stream(stream)
    , m_timer(event_new(base, -1, 0, timedOut, this))
    , m_outputHighWatermark(outputHighWatermark)
    , m_reader(MessageReader::Kind::Request, *this)
    , m_input(std::move(budget), *this, std::move(address))
{
    bufferevent_setcb(m_stream, readable, drained, eventOccurred, this);
    setReadAhead(maximumReadAhead);
    evbuffer_add_cb(bufferevent_get_output(m_stream), outputChanged, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    setTimer(&CallerLimits::idleTimeout);
}

CallerConnection::~CallerConnection()
{
    event_free(m_timer);
    bufferevent_free(m_stream);
}

void CallerConnection::setTimer(Duration CallerLimits::*limit)
{
    m_timerLimit = limit;
    m_timerDuration = m_owner.limits().*limit;
    m_unsentAtStart = unsentBytes();
    m_timerDelays = 0;
    addTimer(m_timerDuration);
}

void CallerConnection::addTimer(Duration duration)
{
    const timeval timeout = toTimeval(duration);
    event_add(m_timer, &timeout);
}

bool CallerConnection::isTimerExtended()
{
    if (hasUnsentOutput() && unsentBytes() < m_unsentAtStart) {
        setTimer(m_timerLimit);
        return true;
    }
    const Duration missing = m_owner.limits().*m_timerLimit - m_timerDuration;
    if (missing <= Duration::zero())
        return false;
    m_timerDuration += missing;
    addTimer(missing);
    return true;
}

bool CallerConnection::isDiscardingExtended()
{
    const std::size_t unacknowledged = unacknowledgedBytes();
    if (unacknowledged == 0 || unacknowledged >= m_unacknowledgedAtStart)
        return false;
    m_unacknowledgedAtStart = unacknowledged;
    addTimer(longestDiscarding);
    return true;
}

std::size_t CallerConnection::maximumHeaderBytes() const
{
    return std::max(m_requestLimits.maximumHeaderBytes, m_owner.limits().maximumHeaderBytes);
}

std::size_t CallerConnection::maximumBodyBytes() const
{
    return std::max(m_requestLimits.maximumBodyBytes, m_owner.limits().maximumBodyBytes);
}

void CallerConnection::clearTimer() { event_del(m_timer); }

void CallerConnection::timedOut(int, short, void* context)
{
    auto& self = *static_cast<CallerConnection*>(context);
    if (self.m_phase == Phase::Discarding ? self.isDiscardingExtended() : self.isTimerExtended())
        return;
    // A host that was behind reads what has arrived before it takes the caller for slow.
    if (self.hasUnreadBytes() && self.m_timerDelays < maximumTimerDelays) {
        ++self.m_timerDelays;
        self.addTimer(Duration::zero());
        return;
    }
    if (self.m_phase == Phase::ReadingHead || self.m_phase == Phase::ReadingBody)
        self.refuse(408, "the request did not arrive completely in time; send it faster", RejectionReason::TooSlow);
    else
        self.close(AnswerEnd::Idle);
}

void CallerConnection::readable(bufferevent*, void* context)
{
    auto& self = *static_cast<CallerConnection*>(context);
    self.process();
    self.noteInput();
    InputBudget& budget = self.m_input.budget();
    if (budget.isFull())
        budget.enforce(self.m_owner.now());
}

void CallerConnection::process()
{
    if (m_processing)
        return;
    m_processing = true;
    bool more = true;
    while (more) {
        switch (m_phase) {
        case Phase::Idle:
        case Phase::ReadingHead:
            more = processHead();
            break;
        case Phase::ReadingBody:
            more = processBody();
            break;
        case Phase::Discarding:
            discardInput();
            more = false;
            break;
        case Phase::Answering:
        case Phase::Closing:
        case Phase::Closed:
            more = false;
            break;
        }
    }
    m_processing = false;
}

bool CallerConnection::processHead()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    skipEmptyLines(input);
    const std::size_t available = evbuffer_get_length(input);
    if (available == 0)
        return false;
    if (m_phase == Phase::Idle) {
        // A caller that sends on without reading its answers is not answered further meanwhile.
        if (evbuffer_get_length(bufferevent_get_output(m_stream)) > m_outputHighWatermark)
            return false;
        m_phase = Phase::ReadingHead;
        m_requestLimits = m_owner.limits();
        setTimer(&CallerLimits::headerTimeout);
    }
    const evbuffer_ptr end = evbuffer_search(input, endOfHead.data(), endOfHead.size(), nullptr);
    const std::size_t size = end.pos < 0 ? available : static_cast<std::size_t>(end.pos) + endOfHead.size();
    if (size > maximumHeaderBytes())
        return refuse(431,
            "the head of the request is longer than " + std::to_string(maximumHeaderBytes())
                + " bytes; send fewer or shorter headers");
    if (end.pos < 0)
        return false;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    if (const auto fault = findRequestHeadFault({ bytes, size }))
        return refuse(fault->status, fault->message);
    m_received = ReceivedRequest();
    m_body.clear();
    m_bodyTooLong = false;
    m_reader.restart();
    m_phase = Phase::ReadingBody;
    const std::size_t consumed = m_reader.consume({ bytes, size });
    evbuffer_drain(input, consumed);
    if (m_reader.hasFailed())
        return refuse(400, "the request is malformed: " + m_reader.failure());
    if (m_reader.hasEnded()) {
        deliver();
        return true;
    }
    if (m_bodyTooLong)
        return refuseTooLarge();
    setTimer(&CallerLimits::idleTimeout);
    m_progress.begin(m_owner.now());
    if (evbuffer_get_length(input) == 0 && expectsContinue()) {
        const std::string* length = findHeader(m_received.head.headers, "content-length");
        if (!m_input.hasRoomFor(length ? std::stoull(*length) : unknownBodyBytes))
            return refuseForMemory();
        constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(m_stream, proceed.data(), proceed.size());
    }
    return true;
}

bool CallerConnection::processBody()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    const std::size_t size = std::min(evbuffer_get_length(input), readSize);
    if (size == 0)
        return false;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    const std::size_t sizeBefore = m_body.size();
    const std::size_t consumed = m_reader.consume({ bytes, size });
    evbuffer_drain(input, consumed);
    if (m_reader.hasFailed())
        return refuse(400, "the body is malformed: " + m_reader.failure());
    if (m_bodyTooLong)
        return refuseTooLarge();
    if (m_reader.hasEnded()) {
        deliver();
        return true;
    }
    setTimer(&CallerLimits::idleTimeout);
    if (consumed >= denseReadSize / 2 && (m_body.size() - sizeBefore) * densePart < consumed)
        bufferevent_set_max_single_read(m_stream, denseReadSize);
    if (evbuffer_get_length(input) == 0
        && m_progress.isBehind(m_body.size(), m_owner.minimumBodyRate(), m_owner.limits().idleTimeout, m_owner.now()))
        return refuse(408, "the body arrives too slowly; send it faster", RejectionReason::TooSlow);
    return true;
}

bool CallerConnection::headRead(MessageHead head)
{
    m_isHeadRequest = head.method == "HEAD";
    m_isVersion10 = head.isVersion10;
    m_closesAfterAnswer = !head.keepAlive;
    const std::string* length = findHeader(head.headers, "content-length");
    const std::size_t declared = length ? std::stoull(*length) : 0;
    m_bodyTooLong = declared > maximumBodyBytes();
    if (!m_bodyTooLong)
        m_body.expect(declared);
    m_headMemory = memoryOf(head.headers);
    m_received.head = std::move(head);
    return true;
}

void CallerConnection::bodyRead(std::string_view data)
{
    m_bodyTooLong = m_bodyTooLong || m_body.size() + data.size() > maximumBodyBytes();
    if (!m_bodyTooLong)
        m_body.append(data);
}

void CallerConnection::messageEnded() { }

// Whether the peer has closed the connection and everything that it sent before was read.
bool CallerConnection::hasPeerLeft() const
{
    char next = 0;
    return recv(bufferevent_getfd(m_stream), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void CallerConnection::deliver()
{
    m_owner.requestCounted();
    m_openRequests.push_back({ RequestId(), headerValue(m_received.head.headers, m_owner.requestIdHeader()) });
    // A host that is behind reads requests whose callers have given up meanwhile.
    if (hasPeerLeft()) {
        close(AnswerEnd::CallerLeft);
        return;
    }
    clearTimer();
    m_phase = Phase::Answering;
    m_received.body = m_body.take();
    m_headMemory = 0;
    bufferevent_set_max_single_read(m_stream, 0);
    setReadAhead(answeringReadAhead);
    m_input.holdComplete(evbuffer_get_length(bufferevent_get_input(m_stream)));
    m_owner.requestRead(*this, std::move(m_received));
}

void CallerConnection::setCurrentRequest(RequestId id)
{
    m_request = id;
    m_openRequests.back().id = id;
}

void CallerConnection::writeHead(int status, const HeaderList& headers, std::optional<std::size_t> length)
{
    m_closesAfterAnswer = m_closesAfterAnswer || m_owner.isClosing();
    const bool hasBody = status != 204 && status != 304;
    m_isChunked = hasBody && !length && !m_isVersion10;
    if (hasBody && !length && m_isVersion10)
        m_closesAfterAnswer = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    if (length && hasBody)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    if (m_isChunked)
        head += "Transfer-Encoding: chunked\r\n";
    if (m_closesAfterAnswer)
        head += "Connection: close\r\n";
    head += "\r\n";
    bufferevent_write(m_stream, head.data(), head.size());
    // The end of the connection ends such an answer. Unless it is complete the connection is reset, also if the process
    // is killed.
    m_endsWithConnection = hasBody && !length && m_isVersion10;
    if (m_endsWithConnection)
        resetOnClose(bufferevent_getfd(m_stream));
}

void CallerConnection::sendHead(int status, const HeaderList& headers) { writeHead(status, headers, std::nullopt); }

void CallerConnection::sendData(std::string_view data)
{
    if (data.empty() || m_isHeadRequest)
        return;
    evbuffer* output = bufferevent_get_output(m_stream);
    if (m_isChunked) {
        std::array<char, 24> size {};
        const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        evbuffer_add(output, size.data(), static_cast<std::size_t>(digits));
    }
    evbuffer_add(output, data.data(), data.size());
    if (m_isChunked)
        evbuffer_add(output, "\r\n", 2);
    if (!m_isFull && evbuffer_get_length(output) > m_outputHighWatermark) {
        m_isFull = true;
        m_owner.outputFull(*this, true);
    }
}

void CallerConnection::finish()
{
    if (m_isChunked && !m_isHeadRequest)
        bufferevent_write(m_stream, "0\r\n\r\n", 5);
    afterAnswer();
}

void CallerConnection::sendWhole(int status, const HeaderList& headers, std::string_view body)
{
    writeHead(status, headers, body.size());
    if (!m_isHeadRequest && !body.empty())
        bufferevent_write(m_stream, body.data(), body.size());
    afterAnswer();
}

void CallerConnection::afterAnswer()
{
    m_request = RequestId();
    m_isFull = false;
    m_phase = m_closesAfterAnswer ? Phase::Closing : Phase::Idle;
    setReadAhead(m_closesAfterAnswer ? answeringReadAhead : maximumReadAhead);
    setTimer(&CallerLimits::idleTimeout);
    if (!hasUnsentOutput())
        noteWritten();
    if (m_phase == Phase::Idle) {
        process();
        noteInput();
    } else if (!hasUnsentOutput()) {
        closeAfterAnswer();
    }
}

void CallerConnection::closeAfterAnswer()
{
    if (m_endsWithConnection)
        closeInOrder(bufferevent_getfd(m_stream));
    m_phase = Phase::Discarding;
    shutdown(bufferevent_getfd(m_stream), SHUT_WR);
    m_unacknowledgedAtStart = unacknowledgedBytes();
    addTimer(longestDiscarding);
    discardInput();
}

void CallerConnection::noteWritten()
{
    const bool isLastOpen = isAnswering();
    while (m_openRequests.size() > (isLastOpen ? 1 : 0)) {
        m_owner.requestEnded({ m_openRequests.front().id, "", AnswerEnd::Written, true, true });
        m_openRequests.pop_front();
    }
}

void CallerConnection::endOpenRequests(AnswerEnd end)
{
    const bool isLastUnanswered = isAnswering();
    while (!m_openRequests.empty()) {
        const OpenRequest request = m_openRequests.front();
        m_openRequests.pop_front();
        const bool isUnanswered = m_openRequests.empty() && isLastUnanswered;
        const bool wasDelivered = request.id.value != 0;
        m_owner.requestEnded({ request.id, request.callerRequestId, end, wasDelivered, wasDelivered && !isUnanswered });
    }
}

void CallerConnection::discardInput()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    m_discardedBytes += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (m_discardedBytes > maximumDiscardedBytes)
        close(AnswerEnd::Written);
}

std::size_t CallerConnection::unsentBytes() const { return evbuffer_get_length(bufferevent_get_output(m_stream)); }

std::size_t CallerConnection::unacknowledgedBytes() const
{
    int unacknowledged = 0;
    return ioctl(bufferevent_getfd(m_stream), TIOCOUTQ, &unacknowledged) == 0 ? static_cast<std::size_t>(unacknowledged)
                                                                              : 0;
}

bool CallerConnection::isReceiving() const
{
    return m_phase == Phase::ReadingHead || m_phase == Phase::ReadingBody || hasUnreadBytes();
}

bool CallerConnection::hasUnreadBytes() const
{
    const bool isReading = m_phase == Phase::Idle || m_phase == Phase::ReadingHead || m_phase == Phase::ReadingBody;
    int unread = 0;
    return isReading && ioctl(bufferevent_getfd(m_stream), FIONREAD, &unread) == 0 && unread > 0;
}

void CallerConnection::drained(bufferevent*, void* context)
{
    auto& self = *static_cast<CallerConnection*>(context);
    self.noteWritten();
    if (self.m_phase == Phase::Closing) {
        self.closeAfterAnswer();
        return;
    }
    if (self.m_isFull) {
        self.m_isFull = false;
        self.m_owner.outputFull(self, false);
    }
    if (self.m_phase == Phase::Idle) {
        self.setTimer(&CallerLimits::idleTimeout);
        self.process();
        self.noteInput();
    }
}

void CallerConnection::eventOccurred(bufferevent*, short what, void* context)
{
    // The end of a TLS handshake.
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return;
    const bool isWriteError = (what & BEV_EVENT_ERROR) != 0 && (what & BEV_EVENT_WRITING) != 0;
    static_cast<CallerConnection*>(context)->close(isWriteError ? AnswerEnd::WriteError : AnswerEnd::CallerLeft);
}

void CallerConnection::outputChanged(evbuffer*, const evbuffer_cb_info* change, void* context)
{
    static_cast<CallerConnection*>(context)->m_owner.outputChanged(
        static_cast<std::ptrdiff_t>(change->n_added) - static_cast<std::ptrdiff_t>(change->n_deleted));
}

void CallerConnection::abort() { close(AnswerEnd::Aborted); }

void CallerConnection::close(AnswerEnd end)
{
    if (m_phase == Phase::Closed)
        return;
    const bool wasAnswering = isAnswering();
    endOpenRequests(end);
    m_phase = Phase::Closed;
    clearTimer();
    m_body.clear();
    m_input.release();
    evbuffer_remove_cb(bufferevent_get_output(m_stream), outputChanged, this);
    m_owner.outputChanged(-static_cast<std::ptrdiff_t>(unsentBytes()));
    bufferevent_disable(m_stream, EV_READ | EV_WRITE);
    if (wasAnswering)
        m_owner.callerLeft(*this);
    m_owner.closed(*this);
}

} // namespace Catkinwell
