#include <catkinwell/http/HttpClient.h>

#include "http/ExchangeText.h"
#include "http/HeaderText.h"
#include "http/MessageReader.h"
#include "http/SocketAddress.h"
#include "http/SocketOptions.h"
#include <algorithm>
#include <arpa/inet.h>
#include <catkinwell/core/Digest.h>
#include <catkinwell/loop/Timeval.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumIdleConnectionsPerAddress = 512;
    // A connection remembers the identifiers of as many requests and is not reused after that.
    constexpr std::size_t maximumRequestsPerConnection = 512;
    // If a timeout is noticed later than this, the loop was behind, and so were its own writes and reads.
    constexpr Duration longestLag = std::chrono::milliseconds(100);
    constexpr std::size_t readSize = 64 * 1024;
    // Most bytes of interim responses, and of responses to other requests, before the expected one.
    constexpr std::size_t maximumSkippedBytes = 1024 * 1024;

} // namespace

class HttpClient::Implementation {
public:
    Implementation(EventLoop& loop, std::string sourceAddress)
        : m_loop(loop)
        , m_sourceAddress(std::move(sourceAddress))
        , m_alive(std::make_shared<bool>(true))
    {
        m_loop.callEvery(std::chrono::milliseconds(500), [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                closeStaleIdleConnections();
        });
    }

    ExchangeId start(const HttpExchange& request, HttpExchangeObserver observer);
    void cancel(ExchangeId id);
    void failOverdue(ExchangeId id);
    void withholdUnsent(const std::string& key);
    void setPaused(ExchangeId id, bool paused);
    std::size_t runningExchanges() const { return m_running.size(); }
    sigc::signal<void(const InvalidResponseReceived&)>& signalInvalidResponse() { return m_signalInvalidResponse; }

private:
    class Connection;
    using ConnectionList = std::vector<std::unique_ptr<Connection>>;

    // Returns a connection that has not carried a request with the same identifier.
    std::unique_ptr<Connection> takeIdleConnection(const std::string& address, const std::string& echoValue);
    void failLater(const HttpExchangeObserver&, std::string reason);
    // Moves the connection of a finished exchange to the idle pool, or closes it.
    void release(Connection&, bool reusable);
    void dropIdle(Connection&);
    void destroyLater(std::unique_ptr<Connection>);
    void closeStaleIdleConnections();

    // Returns a socket that begins at the source address; -1 if there is none or it cannot be used.
    int sourceSocket(int family) const;

    EventLoop& m_loop;
    std::string m_sourceAddress;
    SystemClock m_clock;
    std::shared_ptr<bool> m_alive;
    ExchangeId m_lastId = 0;
    std::unordered_map<ExchangeId, std::unique_ptr<Connection>> m_running;
    std::map<std::string, ConnectionList> m_idle;
    sigc::signal<void(const InvalidResponseReceived&)> m_signalInvalidResponse;
};

// One connection and its current exchange, if any.
class HttpClient::Implementation::Connection final : public MessageObserver {
public:
    Connection(Implementation& owner, std::string address)
        : m_owner(owner)
        , m_address(std::move(address))
        , m_reader(MessageReader::Kind::Response, *this)
    {
    }
    ~Connection() override
    {
        if (!m_stream)
            return;
        // Resets the connection so that unsent bytes of a cancelled request are not delivered later, for example after
        // a network partition ends.
        if (m_exchange != 0)
            resetOnClose(bufferevent_getfd(m_stream));
        bufferevent_free(m_stream);
    }

    // Starts connecting. Returns false if that failed at once.
    bool open(const SocketAddress&, Duration connectTimeout);
    void begin(ExchangeId, const HttpExchange&, HttpExchangeObserver);
    void failOverdue() { fail(AttemptFailure::Silence, "the response did not end in time"); }
    bool canBeWithheld(const std::string& key) const { return !m_isOpen && m_withholdKey == key; }
    void withhold() { fail(AttemptFailure::Withheld, "this host gave the request up before its connection opened"); }
    // Ensures that the observer is not called again.
    void detach() { m_detached = true; }
    void setPaused(bool paused);
    // Whether the idle connection can be reused at this time.
    bool isUsableAt(MonotonicTime now) const { return m_isOpen && now < m_usableUntil; }
    // Whether a request with this identifier was sent before. A second copy of its response would pass for that of a
    // new request with the same identifier.
    bool hasCarried(const std::string& echoValue) const;
    void becomeIdle(MonotonicTime now);

    ExchangeId exchange() const { return m_exchange; }
    const std::string& address() const { return m_address; }

private:
    static void readable(bufferevent*, void* context);
    static void eventOccurred(bufferevent*, short what, void* context);

    bool headRead(MessageHead) override;
    void bodyRead(std::string_view) override;
    void messageEnded() override;

    void readAvailable();
    void fail(AttemptFailure, const std::string& reason);
    void finish(bool reusable);
    void send();
    void setSilenceTimeout();
    // Whether the timeout says nothing about the peer, because the loop was behind. The exchange then goes on.
    bool goOnAfterLag(short what);

    Implementation& m_owner;
    std::string m_address;
    MessageReader m_reader;
    bufferevent* m_stream = nullptr;
    HttpExchangeObserver m_observer;
    ExchangeId m_exchange = 0;
    // The request until the connection is open.
    std::string m_unsent;
    std::optional<MonotonicTime> m_sendBefore;
    std::string m_withholdKey;
    Duration m_silenceTimeout {};
    // When the silence timeout was set, or bytes were read after that.
    MonotonicTime m_lastReadAt {};
    Duration m_idleTime = defaultIdleTime;
    MonotonicTime m_usableUntil {};
    std::string m_echoHeader;
    std::string m_echoValue;
    // Digests of the identifiers of all requests sent.
    std::vector<std::uint64_t> m_carried;
    bool m_isOpen = false;
    bool m_detached = false;
    bool m_isHeadRequest = false;
    // State of the current message.
    bool m_isSkipped = false;
    bool m_keepsAlive = false;
    int m_status = 0;
    // Bytes read since the request was sent: before the expected response, and of its body.
    std::size_t m_skippedBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_maximumBodyBytes = 0;
};

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

HttpClient::ExchangeId HttpClient::Implementation::start(const HttpExchange& request, HttpExchangeObserver observer)
{
    const ExchangeId id = ++m_lastId;
    const auto address = parseSocketAddress(request.address);
    if (!address) {
        failLater(observer, "the address \"" + request.address + "\" is not an IP address and port");
        return id;
    }
    std::unique_ptr<Connection> connection;
    if (!request.needsFreshConnection)
        connection = takeIdleConnection(request.address, echoValueOf(request));
    if (!connection && request.needsIdleConnection) {
        failLater(observer, "no idle connection to the peer is left");
        return id;
    }
    if (!connection) {
        connection = std::make_unique<Connection>(*this, request.address);
        if (!connection->open(*address, request.connectTimeout)) {
            failLater(observer, "the connection could not be started");
            return id;
        }
    }
    Connection& running = *connection;
    m_running.emplace(id, std::move(connection));
    running.begin(id, request, std::move(observer));
    if (request.totalTimeout > Duration::zero())
        m_loop.callLater(request.totalTimeout, [this, id, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                failOverdue(id);
        });
    return id;
}

int HttpClient::Implementation::sourceSocket(int family) const
{
    if (m_sourceAddress.empty())
        return -1;
    sockaddr_storage source {};
    int size = sizeof(source);
    auto* address = reinterpret_cast<sockaddr*>(&source);
    if (evutil_parse_sockaddr_port(m_sourceAddress.c_str(), address, &size) != 0 || source.ss_family != family)
        return -1;
    const int socket = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    // The port is chosen when the connection is opened, so that it only has to differ for the same peer.
    const int enabled = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    if (bind(socket, address, static_cast<socklen_t>(size)) != 0) {
        evutil_closesocket(socket);
        return -1;
    }
    return socket;
}

std::unique_ptr<HttpClient::Implementation::Connection> HttpClient::Implementation::takeIdleConnection(
    const std::string& address, const std::string& echoValue)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    ConnectionList& idle = found->second;
    const MonotonicTime now = m_clock.monotonicNow();
    std::erase_if(idle, [now](const auto& connection) { return !connection->isUsableAt(now); });
    const auto chosen = std::find_if(idle.rbegin(), idle.rend(),
        [&echoValue](const auto& connection) { return !connection->hasCarried(echoValue); });
    if (chosen == idle.rend())
        return nullptr;
    std::unique_ptr<Connection> connection = std::move(*chosen);
    idle.erase(std::next(chosen).base());
    return connection;
}

void HttpClient::Implementation::failLater(const HttpExchangeObserver& observer, std::string reason)
{
    m_loop.callLater(Duration::zero(), [observer, reason = std::move(reason)] {
        observer.onFailed(AttemptOutcome::NotSent, AttemptFailure::Connect, reason);
    });
}

void HttpClient::Implementation::release(Connection& connection, bool reusable)
{
    const auto found = m_running.find(connection.exchange());
    if (found == m_running.end())
        return;
    std::unique_ptr<Connection> owned = std::move(found->second);
    m_running.erase(found);
    ConnectionList& idle = m_idle[owned->address()];
    if (!reusable || idle.size() >= maximumIdleConnectionsPerAddress) {
        destroyLater(std::move(owned));
        return;
    }
    owned->becomeIdle(m_clock.monotonicNow());
    idle.push_back(std::move(owned));
}

void HttpClient::Implementation::dropIdle(Connection& connection)
{
    const auto found = m_idle.find(connection.address());
    if (found == m_idle.end())
        return;
    const auto entry = std::find_if(found->second.begin(), found->second.end(),
        [&connection](const auto& candidate) { return candidate.get() == &connection; });
    if (entry == found->second.end())
        return;
    std::unique_ptr<Connection> owned = std::move(*entry);
    found->second.erase(entry);
    owned->detach();
    destroyLater(std::move(owned));
}

void HttpClient::Implementation::destroyLater(std::unique_ptr<Connection> connection)
{
    // One of the connection's callbacks may be on the stack.
    m_loop.callLater(Duration::zero(), [kept = std::shared_ptr<Connection>(std::move(connection))] {});
}

void HttpClient::Implementation::cancel(ExchangeId id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    found->second->detach();
    std::unique_ptr<Connection> owned = std::move(found->second);
    m_running.erase(found);
    destroyLater(std::move(owned));
}

void HttpClient::Implementation::failOverdue(ExchangeId id)
{
    const auto found = m_running.find(id);
    if (found != m_running.end())
        found->second->failOverdue();
}

void HttpClient::Implementation::withholdUnsent(const std::string& key)
{
    std::vector<ExchangeId> unsent;
    for (const auto& [id, connection] : m_running) {
        if (connection->canBeWithheld(key))
            unsent.push_back(id);
    }
    for (const ExchangeId id : unsent) {
        if (const auto found = m_running.find(id); found != m_running.end())
            found->second->withhold();
    }
}

void HttpClient::Implementation::setPaused(ExchangeId id, bool paused)
{
    const auto found = m_running.find(id);
    if (found != m_running.end())
        found->second->setPaused(paused);
}

void HttpClient::Implementation::closeStaleIdleConnections()
{
    const MonotonicTime now = m_clock.monotonicNow();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const auto& connection) { return !connection->isUsableAt(now); });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

HttpClient::HttpClient(EventLoop& loop, std::string sourceAddress)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(sourceAddress)))
{
}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeId HttpClient::start(const HttpExchange& request, HttpExchangeObserver observer)
{
    return m_implementation->start(request, std::move(observer));
}

void HttpClient::cancel(ExchangeId id) { m_implementation->cancel(id); }

void HttpClient::withholdUnsent(const std::string& key) { m_implementation->withholdUnsent(key); }

void HttpClient::setPaused(ExchangeId id, bool paused) { m_implementation->setPaused(id, paused); }

std::size_t HttpClient::runningExchanges() const { return m_implementation->runningExchanges(); }

sigc::signal<void(const InvalidResponseReceived&)>& HttpClient::signalInvalidResponse()
{
    return m_implementation->signalInvalidResponse();
}

} // namespace Catkinwell
