#include <catkinwell/http/CallerListener.h>

#include "http/CallerConnection.h"
#include "http/HeaderText.h"
#include "http/RequestSanitizer.h"
#include "http/SocketAddress.h"
#include "http/SocketOptions.h"
#include "http/TlsContext.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <unordered_map>

namespace Catkinwell {

namespace {

    // A backlog of 128 drops connections in a burst: of 1,000 streams opened at once, 365 were served.
    constexpr int listenBacklog = 4096;

    // Returns the IP address at the other end of the connection; empty if it is gone.
    std::string peerAddressOf(evutil_socket_t socket)
    {
        sockaddr_storage address {};
        socklen_t size = sizeof(address);
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return "";
        const void* ip = address.ss_family == AF_INET6
            ? static_cast<const void*>(&reinterpret_cast<sockaddr_in6*>(&address)->sin6_addr)
            : static_cast<const void*>(&reinterpret_cast<sockaddr_in*>(&address)->sin_addr);
        return evutil_inet_ntop(address.ss_family, ip, text.data(), text.size()) ? text.data() : "";
    }

    RawRequest rawRequestOf(ReceivedRequest received)
    {
        RawRequest raw;
        raw.method = std::move(received.head.method);
        const std::string& target = received.head.target;
        const std::size_t mark = target.find('?');
        raw.path = target.substr(0, mark);
        raw.query = mark == std::string::npos ? "" : target.substr(mark + 1);
        raw.headers = std::move(received.head.headers);
        raw.body = std::move(received.body);
        return raw;
    }

} // namespace

class CallerListener::Implementation final : public CallerConnectionOwner {
public:
    Implementation(EventLoop& loop, ListenerSettings settings, std::uint64_t firstRequestId)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_limits { m_settings.maximumHeaderBytes, m_settings.maximumBodyBytes, m_settings.headerTimeout,
            m_settings.idleTimeout }
        , m_input(std::make_shared<InputBudget>())
        , m_lastId(firstRequestId)
        , m_alive(std::make_shared<bool>(true))
    {
    }

    ~Implementation() override { stopAccepting(); }

    Status start();
    void stopAccepting();
    Status reloadCertificates();
    CallerConnection* find(RequestId) const;

    std::size_t busyConnections() const;
    void acceptWaiting();

    void requestCounted() override { ++m_counts.read; }
    void requestRead(CallerConnection&, ReceivedRequest) override;
    void requestEnded(const AnswerCut&) override;
    void requestRejected(RejectionReason reason) override
    {
        ++m_counts.rejected;
        ++m_counts.rejectedFor.at(static_cast<std::size_t>(reason));
    }
    void callerLeft(CallerConnection&) override;
    void outputFull(CallerConnection&, bool full) override;
    void outputChanged(std::ptrdiff_t bytes) override { m_unsentBytes += static_cast<std::size_t>(bytes); }
    void closed(CallerConnection&) override;
    bool isClosing() const override { return m_closing; }
    const CallerLimits& limits() const override { return m_limits; }
    std::size_t minimumBodyRate() const override { return m_settings.minimumBodyBytesPerSecond; }
    MonotonicTime now() const override { return m_clock.monotonicNow(); }
    const std::string& requestIdHeader() const override { return m_settings.requestIdHeader; }

    std::uint16_t m_port = 0;
    bool m_closing = false;
    ListenerSettings& settings() { return m_settings; }
    void shareInput(std::shared_ptr<InputBudget> budget) { m_input = std::move(budget); }
    void setLimits(const CallerLimits& limits) { m_limits = limits; }
    // Removes the request's entry once its response is complete or aborted.
    void forget(RequestId id) { m_requests.erase(id); }
    std::size_t openRequests() const { return m_requests.size(); }
    const RequestCounts& counts() const { return m_counts; }
    std::size_t unsentBytes() const { return m_unsentBytes; }
    void endAtProcessEnd();

    sigc::signal<void(AnswerCut)> m_signalAnswerCut;
    sigc::signal<void(RequestArrived)> m_signalRequest;
    sigc::signal<void(CallerLeft)> m_signalCallerLeft;
    sigc::signal<void(CallerBackpressure)> m_signalBackpressure;

private:
    Status bind(const SocketAddress&);
    void accept(evutil_socket_t);

    EventLoop& m_loop;
    ListenerSettings m_settings;
    CallerLimits m_limits;
    RequestCounts m_counts;
    std::size_t m_unsentBytes = 0;
    SystemClock m_clock;
    std::shared_ptr<InputBudget> m_input;
    std::uint64_t m_lastId;
    std::shared_ptr<bool> m_alive;
    evconnlistener* m_listener = nullptr;
    std::unique_ptr<TlsContext> m_tls;
    std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>> m_connections;
    std::unordered_map<RequestId, CallerConnection*> m_requests;
};

Status CallerListener::Implementation::start()
{
    const auto address = parseSocketAddress(m_settings.address);
    if (!address)
        return Error { ErrorKind::InvalidSettings,
            "the listen address \"" + m_settings.address
                + "\" is not an IP address and port, for example 127.0.0.1:8080" };
    Status certificates = reloadCertificates();
    if (isError(certificates))
        return certificates;
    return bind(*address);
}

Status CallerListener::Implementation::bind(const SocketAddress& wanted)
{
    sockaddr_storage address {};
    int size = sizeof(address);
    // evutil_parse_sockaddr_port rejects port 0, so the address is parsed with port 1 and the port set afterwards.
    const std::string text
        = (wanted.host.find(':') == std::string::npos ? wanted.host : "[" + wanted.host + "]") + ":1";
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return Error { ErrorKind::InvalidSettings,
            "the listen address " + m_settings.address + " is not an IP address" };
    if (address.ss_family == AF_INET6)
        reinterpret_cast<sockaddr_in6*>(&address)->sin6_port = htons(wanted.port);
    else
        reinterpret_cast<sockaddr_in*>(&address)->sin_port = htons(wanted.port);
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
            static_cast<Implementation*>(context)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<sockaddr*>(&address), size);
    if (!m_listener)
        return Error { ErrorKind::Unavailable,
            "the address " + m_settings.address + " cannot be bound (" + std::strerror(errno)
                + "); choose a free port" };
    sockaddr_storage bound {};
    socklen_t boundSize = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &boundSize);
    m_port = ntohs(bound.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port
                                               : reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
    return std::monostate {};
}

void CallerListener::Implementation::accept(evutil_socket_t socket)
{
    if (m_connections.size() >= m_settings.maximumConnections || !m_input->admitConnection(m_connections.size())) {
        ++m_counts.rejectedConnections;
        evutil_closesocket(socket);
        return;
    }
    // A caller, or a host on behalf of one, may stop reading for as long as it may be idle.
    setConnectionOptions(socket, std::max(m_limits.idleTimeout, longestPeerSilence));
    bufferevent* stream = m_tls ? bufferevent_openssl_socket_new(m_loop.base(), socket, m_tls->newSession(),
                              BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE)
                                : bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    if (!stream) {
        evutil_closesocket(socket);
        return;
    }
    auto connection = std::make_unique<CallerConnection>(
        *this, m_loop.base(), stream, m_settings.outputHighWatermark, m_input, peerAddressOf(socket));
    CallerConnection* key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void CallerListener::Implementation::stopAccepting()
{
    m_closing = true;
    if (!m_listener)
        return;
    acceptWaiting();
    evconnlistener_free(m_listener);
    m_listener = nullptr;
}

// Connections that nobody has accepted are reset with the listening socket, although their callers may have sent a
// request.
void CallerListener::Implementation::acceptWaiting()
{
    const int listener = evconnlistener_get_fd(m_listener);
    for (int socket = 0; socket >= 0;) {
        socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0)
            accept(socket);
    }
}

Status CallerListener::Implementation::reloadCertificates()
{
    if (m_settings.tls.certificateFile.empty())
        return std::monostate {};
    auto context = TlsContext::load(m_settings.tls);
    if (isError(context))
        return errorOf(context);
    m_tls = takeValue(std::move(context));
    return std::monostate {};
}

void CallerListener::Implementation::requestRead(CallerConnection& connection, ReceivedRequest received)
{
    RequestArrived arrived;
    if (m_settings.forwardsUnchanged) {
        std::string target = received.head.target;
        arrived = forwardedRequest(rawRequestOf(std::move(received)));
        arrived.target = std::move(target);
    } else {
        arrived = sanitizeRequest(rawRequestOf(std::move(received)), m_settings.allowedHeaders);
    }
    arrived.id = RequestId(++m_lastId);
    connection.setCurrentRequest(arrived.id);
    m_requests.emplace(arrived.id, &connection);
    m_signalRequest.emit(arrived);
}

void CallerListener::Implementation::requestEnded(const AnswerCut& request)
{
    ++m_counts.endedBy(request.end);
    if (request.end != AnswerEnd::Written)
        m_signalAnswerCut.emit(request);
}

void CallerListener::Implementation::endAtProcessEnd()
{
    for (const auto& [connection, owned] : m_connections)
        connection->endAtProcessEnd();
}

void CallerListener::Implementation::callerLeft(CallerConnection& connection)
{
    const RequestId id = connection.currentRequest();
    if (m_requests.erase(id) > 0)
        m_signalCallerLeft.emit(CallerLeft { id });
}

void CallerListener::Implementation::outputFull(CallerConnection& connection, bool full)
{
    m_signalBackpressure.emit(CallerBackpressure { connection.currentRequest(), full });
}

void CallerListener::Implementation::closed(CallerConnection& connection)
{
    const auto found = m_connections.find(&connection);
    if (found == m_connections.end())
        return;
    // One of the connection's callbacks is still on the stack, so it is destroyed in a later loop iteration.
    std::shared_ptr<CallerConnection> kept = std::move(found->second);
    m_connections.erase(found);
    m_loop.callLater(Duration::zero(), [kept] {});
}

CallerConnection* CallerListener::Implementation::find(RequestId id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

std::size_t CallerListener::Implementation::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& entry) {
        const CallerConnection& connection = *entry.first;
        return connection.currentRequest().value != 0 || connection.hasUnsentOutput() || connection.isReceiving()
            || connection.unacknowledgedBytes() > 0;
    }));
}

CallerListener::CallerListener(EventLoop& loop, ListenerSettings settings, std::uint64_t firstRequestId)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(settings), firstRequestId))
{
}

CallerListener::~CallerListener() = default;

void CallerListener::shareInput(std::shared_ptr<InputBudget> budget)
{
    m_implementation->shareInput(std::move(budget));
}

Status CallerListener::start() { return m_implementation->start(); }

std::uint16_t CallerListener::port() const { return m_implementation->m_port; }

void CallerListener::stopAccepting() { m_implementation->stopAccepting(); }

void CallerListener::beginClosing() { m_implementation->m_closing = true; }

void CallerListener::setLimits(const CallerLimits& limits) { m_implementation->setLimits(limits); }

Status CallerListener::reloadCertificates() { return m_implementation->reloadCertificates(); }

void CallerListener::execute(const SendResponseHead& effect)
{
    if (CallerConnection* connection = m_implementation->find(effect.id))
        connection->sendHead(effect.status, effect.headers);
}

void CallerListener::execute(const SendResponseData& effect)
{
    if (CallerConnection* connection = m_implementation->find(effect.id))
        connection->sendData(effect.data);
}

void CallerListener::execute(const FinishResponse& effect)
{
    CallerConnection* connection = m_implementation->find(effect.id);
    if (!connection)
        return;
    m_implementation->forget(effect.id);
    connection->finish();
}

void CallerListener::execute(const SendWholeResponse& effect)
{
    CallerConnection* connection = m_implementation->find(effect.id);
    if (!connection)
        return;
    m_implementation->forget(effect.id);
    connection->sendWhole(effect.status, effect.headers, effect.body);
}

void CallerListener::execute(const AbortResponse& effect)
{
    CallerConnection* connection = m_implementation->find(effect.id);
    if (!connection)
        return;
    m_implementation->forget(effect.id);
    connection->abort();
}

std::size_t CallerListener::openRequests() const { return m_implementation->openRequests(); }

const RequestCounts& CallerListener::counts() const { return m_implementation->counts(); }

void CallerListener::endAtProcessEnd() { m_implementation->endAtProcessEnd(); }

sigc::signal<void(AnswerCut)>& CallerListener::signalAnswerCut() { return m_implementation->m_signalAnswerCut; }

std::size_t CallerListener::unsentBytes() const { return m_implementation->unsentBytes(); }

std::size_t CallerListener::busyConnections() const { return m_implementation->busyConnections(); }

sigc::signal<void(RequestArrived)>& CallerListener::signalRequest() { return m_implementation->m_signalRequest; }

sigc::signal<void(CallerLeft)>& CallerListener::signalCallerLeft() { return m_implementation->m_signalCallerLeft; }

sigc::signal<void(CallerBackpressure)>& CallerListener::signalBackpressure()
{
    return m_implementation->m_signalBackpressure;
}

} // namespace Catkinwell
