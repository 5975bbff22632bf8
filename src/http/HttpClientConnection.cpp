#include "http/HeaderText.h"
#include "http/HttpClientImplementation.h"
#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/loop/Timeval.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <poll.h>
#include <sys/socket.h>

// The connections of the client.
namespace Catkinwell {

namespace {

    // A connection remembers the identifiers of as many requests and is not reused after that.
    constexpr std::size_t maximumRequestsPerConnection = 512;
    // If a timeout is noticed later than this, the loop was behind, and so were its own writes and reads.
    constexpr Duration longestLag = std::chrono::milliseconds(100);
    constexpr std::size_t readSize = 64 * 1024;
    // Most bytes of interim responses, and of responses to other requests, before the expected one.
    constexpr std::size_t maximumSkippedBytes = 1024 * 1024;

} // namespace

bool HttpClient::Implementation::Connection::open(const SocketAddress& address, Duration connectTimeout)
{
    sockaddr_storage target {};
    int size = sizeof(target);
    const bool isVersion6 = address.host.find(':') != std::string::npos;
    const std::string text
        = (isVersion6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&target), &size) != 0)
        return false;
    const int socket = m_owner.sourceSocket(target.ss_family);
    if (socket < 0 && !m_owner.m_sourceAddress.empty())
        return false;
    m_stream = bufferevent_socket_new(m_owner.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_stream, readable, nullptr, eventOccurred, this);
    const timeval timeout = toTimeval(connectTimeout);
    bufferevent_set_timeouts(m_stream, nullptr, &timeout);
    if (bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr*>(&target), size) != 0)
        return false;
    setConnectionOptions(bufferevent_getfd(m_stream));
    return true;
}

void HttpClient::Implementation::Connection::begin(
    ExchangeId id, const HttpExchange& request, HttpExchangeObserver observer)
{
    m_exchange = id;
    m_observer = std::move(observer);
    m_silenceTimeout = request.silenceTimeout;
    m_isHeadRequest = request.method == "HEAD";
    m_echoHeader = request.echoHeader;
    m_echoValue = echoValueOf(request);
    if (!m_echoValue.empty())
        m_carried.push_back(stableHash(m_echoValue));
    m_maximumBodyBytes = request.maximumBodyBytes;
    m_bodyBytes = 0;
    m_skippedBytes = 0;
    m_reader.restart();
    m_unsent = serializeRequest(request);
    m_sendBefore = request.sendBefore;
    m_withholdKey = request.withholdKey;
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    if (!m_isOpen)
        return;
    send();
    setSilenceTimeout();
}

void HttpClient::Implementation::Connection::send()
{
    std::string_view rest = m_unsent;
    if (m_sendBefore || !m_withholdKey.empty()) {
        // The loop writes in its next round, before which the process may stand still.
        const ssize_t sent = ::send(bufferevent_getfd(m_stream), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        rest.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
    }
    if (!rest.empty())
        bufferevent_write(m_stream, rest.data(), rest.size());
    m_unsent.clear();
}

bool HttpClient::Implementation::Connection::hasCarried(const std::string& echoValue) const
{
    return !echoValue.empty()
        && std::find(m_carried.begin(), m_carried.end(), stableHash(echoValue)) != m_carried.end();
}

void HttpClient::Implementation::Connection::setSilenceTimeout()
{
    const timeval silence = toTimeval(m_silenceTimeout);
    bufferevent_set_timeouts(m_stream, &silence, &silence);
    m_lastReadAt = m_owner.m_clock.monotonicNow();
}

bool HttpClient::Implementation::Connection::goOnAfterLag(short what)
{
    const bool isWriting = what & BEV_EVENT_WRITING;
    pollfd socket { bufferevent_getfd(m_stream), static_cast<short>(isWriting ? POLLOUT : POLLIN), 0 };
    const bool isReady = poll(&socket, 1, 0) > 0;
    const MonotonicTime now = m_owner.m_clock.monotonicNow();
    const bool wasBehind = m_isOpen && now - m_lastReadAt > m_silenceTimeout + longestLag;
    if (!isReady && !wasBehind)
        return false;
    m_lastReadAt = now;
    bufferevent_enable(m_stream, isWriting ? EV_WRITE : EV_READ);
    return true;
}

void HttpClient::Implementation::Connection::setPaused(bool paused)
{
    if (paused)
        bufferevent_disable(m_stream, EV_READ);
    else
        bufferevent_enable(m_stream, EV_READ);
}

void HttpClient::Implementation::Connection::becomeIdle(MonotonicTime now)
{
    m_exchange = 0;
    m_usableUntil = now + m_idleTime;
    bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    bufferevent_enable(m_stream, EV_READ);
}

void HttpClient::Implementation::Connection::readable(bufferevent*, void* context)
{
    static_cast<Connection*>(context)->readAvailable();
}

void HttpClient::Implementation::Connection::readAvailable()
{
    if (m_detached)
        return;
    if (m_exchange == 0) {
        // Unsolicited bytes.
        m_owner.dropIdle(*this);
        return;
    }
    m_lastReadAt = m_owner.m_clock.monotonicNow();
    evbuffer* input = bufferevent_get_input(m_stream);
    while (const std::size_t size = std::min(evbuffer_get_length(input), readSize)) {
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t consumed = m_reader.consume({ bytes, size });
        evbuffer_drain(input, consumed);
        if (m_detached)
            return;
        if (m_reader.hasFailed()) {
            fail(AttemptFailure::Garbage, "the peer sent an invalid HTTP response: " + m_reader.failure());
            return;
        }
        m_skippedBytes += m_isSkipped ? consumed : 0;
        if (m_skippedBytes > maximumSkippedBytes || m_bodyBytes > m_maximumBodyBytes) {
            fail(AttemptFailure::Garbage, "the peer sent more bytes than a response may have");
            return;
        }
        if (!m_reader.hasEnded())
            continue;
        if (m_isSkipped) {
            m_reader.restart();
            continue;
        }
        // If the request is not written completely, its rest would corrupt the next request on this connection.
        const bool isSent = evbuffer_get_length(bufferevent_get_output(m_stream)) == 0;
        finish(m_keepsAlive && isSent && evbuffer_get_length(input) == 0);
        return;
    }
}

bool HttpClient::Implementation::Connection::headRead(MessageHead head)
{
    const std::string* echo = m_echoHeader.empty() ? nullptr : findHeader(head.headers, m_echoHeader);
    const bool isAnswerToOther = echo && *echo != m_echoValue;
    m_isSkipped = isAnswerToOther || (head.status >= 100 && head.status < 200);
    if (m_isSkipped)
        return true;
    m_keepsAlive = head.keepAlive && !head.endsWithConnection;
    m_status = head.status;
    if (m_keepsAlive)
        m_idleTime = idleTimeOf(head.headers);
    if (!m_detached && head.endsWithConnection && m_observer.onUnframed)
        m_observer.onUnframed();
    if (!m_detached)
        m_observer.onHead(head.status, head.headers);
    return !m_isHeadRequest;
}

void HttpClient::Implementation::Connection::bodyRead(std::string_view data)
{
    if (m_detached || m_isSkipped)
        return;
    m_bodyBytes += data.size();
    if (m_bodyBytes <= m_maximumBodyBytes)
        m_observer.onData(std::string(data));
}

void HttpClient::Implementation::Connection::messageEnded() { }

void HttpClient::Implementation::Connection::eventOccurred(bufferevent*, short what, void* context)
{
    auto& self = *static_cast<Connection*>(context);
    if (self.m_detached)
        return;
    if (what & BEV_EVENT_CONNECTED) {
        if (self.m_sendBefore && self.m_owner.m_clock.monotonicNow() >= *self.m_sendBefore) {
            self.fail(AttemptFailure::Connect, "the connection opened too late for the request");
            return;
        }
        self.m_isOpen = true;
        self.send();
        self.setSilenceTimeout();
        if (self.m_observer.onOpened)
            self.m_observer.onOpened();
        return;
    }
    if (self.m_exchange == 0) {
        self.m_owner.dropIdle(self);
        return;
    }
    if ((what & BEV_EVENT_TIMEOUT) && self.goOnAfterLag(what))
        return;
    if (!self.m_isOpen) {
        self.fail(AttemptFailure::Connect, "the connection to " + self.m_address + " could not be opened");
        return;
    }
    if (what & BEV_EVENT_TIMEOUT) {
        self.fail(AttemptFailure::Silence, "the exchange made no progress within the timeout");
        return;
    }
    if (what & BEV_EVENT_EOF) {
        self.m_reader.connectionEnded();
        if (self.m_detached)
            return;
        if (self.m_reader.hasEnded() && !self.m_isSkipped) {
            self.finish(false);
            return;
        }
        self.fail(AttemptFailure::Broken, "the peer closed the connection before the response was complete");
        return;
    }
    // The kernel timed out waiting for acknowledgements of sent data or of keep-alive probes.
    const int error = EVUTIL_SOCKET_ERROR();
    if (error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH) {
        self.fail(AttemptFailure::Silence, "the peer stopped acknowledging data");
        return;
    }
    self.fail(AttemptFailure::Broken, "the peer reset the connection");
}

void HttpClient::Implementation::Connection::fail(AttemptFailure failure, const std::string& reason)
{
    m_detached = true;
    const HttpExchangeObserver observer = std::move(m_observer);
    const AttemptOutcome outcome = m_isOpen ? AttemptOutcome::Unknown : AttemptOutcome::NotSent;
    m_owner.release(*this, false);
    if (failure == AttemptFailure::Garbage)
        m_owner.m_signalInvalidResponse.emit({ m_address, reason });
    observer.onFailed(outcome, failure, reason);
}

void HttpClient::Implementation::Connection::finish(bool reusable)
{
    const HttpExchangeObserver observer = std::move(m_observer);
    // A second copy of a refusal without an identifier could not be told from the response to the next request.
    const bool mayBeRepeated = m_echoValue.empty() && isRefusal(m_status);
    const bool isKept = reusable && !mayBeRepeated && m_carried.size() < maximumRequestsPerConnection;
    m_detached = !isKept;
    m_owner.release(*this, isKept);
    observer.onFinished();
}

} // namespace Catkinwell
