#include <catkinwell/http/CallerListener.h>

#include "http/RequestSanitizer.h"
#include "http/SocketAddress.h"
#include "http/TlsContext.h"
#include <catkinwell/loop/Timeval.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unordered_map>
#include <unordered_set>

namespace Catkinwell {

namespace {

    const char* methodName(evhttp_cmd_type command)
    {
        switch (command) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        case EVHTTP_REQ_PATCH:
            return "PATCH";
        case EVHTTP_REQ_OPTIONS:
            return "OPTIONS";
        default:
            return "OTHER";
        }
    }

    constexpr ev_uint16_t allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
        | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

    // evhttp's own backlog of 128 drops connections of a burst: of 1,000 streams that began together 365 were served.
    constexpr int listenBacklog = 4096;

    // evhttp answers bodies beyond its own bound by itself; the margin lets the reducer refuse most of them with a
    // typed error.
    constexpr std::size_t hardBodyLimitFactor = 2;

} // namespace

class CallerListener::Implementation {
public:
    Implementation(EventLoop& loop, ListenerSettings settings, std::uint64_t firstRequestId)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_lastId(firstRequestId)
    {
    }

    ~Implementation()
    {
        for (auto& [id, request] : m_requests)
            stopWatching(*request);
        if (m_server)
            evhttp_free(m_server);
    }

    Status start();
    void stopAccepting();
    Status reloadCertificates();
    void sendHead(const SendResponseHead&);
    void sendData(const SendResponseData&);
    void finish(RequestId);
    void sendWhole(const SendWholeResponse&);
    void abort(RequestId);

    std::uint16_t m_port = 0;
    sigc::signal<void(RequestArrived)> m_signalRequest;
    sigc::signal<void(CallerLeft)> m_signalCallerLeft;
    sigc::signal<void(CallerBackpressure)> m_signalBackpressure;

    std::size_t openRequests() const { return m_requests.size(); }
    std::size_t unflushedAnswers() const { return m_unflushed.size(); }

private:
    struct OpenRequest {
        Implementation* owner = nullptr;
        RequestId id;
        evhttp_request* request = nullptr;
        evhttp_connection* connection = nullptr;
        event* closeWatcher = nullptr;
        bool full = false;
        bool headOnly = false;
    };

    static void requestArrived(evhttp_request*, void* context);
    static bufferevent* createBufferevent(event_base*, void* context);
    static void connectionClosed(evhttp_connection*, void* context);
    static void peerClosed(evutil_socket_t, short, void* context);
    static void outputDrained(evhttp_connection*, void* context);

    evhttp_bound_socket* bindSocket(const SocketAddress&);
    void accept(evhttp_request*);
    RawRequest readRequest(evhttp_request*) const;
    void watchForClose(OpenRequest&);
    static void stopWatching(OpenRequest&);
    OpenRequest* find(RequestId);
    void addHeaders(const OpenRequest&, const HeaderList&);
    // Counts the answer as unflushed until evhttp has written it or its connection is gone.
    void trackFlush(evhttp_request*);
    // Removes the entry, so that a callback during the last write cannot see it.
    void forget(RequestId);

    EventLoop& m_loop;
    ListenerSettings m_settings;
    std::uint64_t m_lastId;
    evhttp* m_server = nullptr;
    evhttp_bound_socket* m_boundSocket = nullptr;
    std::unique_ptr<TlsContext> m_tls;
    bool m_stopping = false;
    std::unordered_set<evhttp_connection*> m_unflushed;
    std::unordered_map<RequestId, std::unique_ptr<OpenRequest>> m_requests;
};

Status CallerListener::Implementation::start()
{
    const auto address = parseSocketAddress(m_settings.address);
    if (!address)
        return Error { ErrorKind::InvalidSettings,
            "the listen address \"" + m_settings.address
                + "\" is not an IP address and port, for example 127.0.0.1:8080" };
    if (!m_settings.tls.certificateFile.empty()) {
        auto context = TlsContext::load(m_settings.tls);
        if (isError(context))
            return errorOf(context);
        m_tls = takeValue(std::move(context));
    }
    m_server = evhttp_new(m_loop.base());
    evhttp_set_gencb(m_server, requestArrived, this);
    evhttp_set_allowed_methods(m_server, allowedMethods);
    evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(m_settings.maximumBodyBytes * hardBodyLimitFactor));
    evhttp_set_max_headers_size(m_server, static_cast<ev_ssize_t>(m_settings.maximumHeaderBytes));
    const timeval idle = toTimeval(m_settings.idleTimeout);
    evhttp_set_timeout_tv(m_server, &idle);
    evhttp_set_default_content_type(m_server, nullptr);
    evhttp_set_bevcb(m_server, createBufferevent, this);
    m_boundSocket = bindSocket(*address);
    if (!m_boundSocket)
        return Error { ErrorKind::Unavailable,
            "the address " + m_settings.address + " cannot be bound (" + std::strerror(errno)
                + "); choose a free port" };
    sockaddr_storage bound {};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(m_boundSocket), reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port
                                               : reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
    return std::monostate {};
}

evhttp_bound_socket* CallerListener::Implementation::bindSocket(const SocketAddress& wanted)
{
    sockaddr_storage address {};
    int size = sizeof(address);
    // The library's parser takes no port 0, so the address is parsed with another port first.
    const std::string text
        = (wanted.host.find(':') == std::string::npos ? wanted.host : "[" + wanted.host + "]") + ":1";
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return nullptr;
    if (address.ss_family == AF_INET6)
        reinterpret_cast<sockaddr_in6*>(&address)->sin6_port = htons(wanted.port);
    else
        reinterpret_cast<sockaddr_in*>(&address)->sin_port = htons(wanted.port);
    evconnlistener* listener = evconnlistener_new_bind(m_loop.base(), nullptr, nullptr,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<sockaddr*>(&address), size);
    return listener ? evhttp_bind_listener(m_server, listener) : nullptr;
}

bufferevent* CallerListener::Implementation::createBufferevent(event_base* base, void* context)
{
    auto& self = *static_cast<Implementation*>(context);
    if (!self.m_tls)
        return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    return bufferevent_openssl_socket_new(
        base, -1, self.m_tls->newSession(), BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
}

void CallerListener::Implementation::stopAccepting()
{
    m_stopping = true;
    if (!m_boundSocket)
        return;
    evhttp_del_accept_socket(m_server, m_boundSocket);
    m_boundSocket = nullptr;
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

void CallerListener::Implementation::requestArrived(evhttp_request* request, void* context)
{
    static_cast<Implementation*>(context)->accept(request);
}

RawRequest CallerListener::Implementation::readRequest(evhttp_request* request) const
{
    RawRequest raw;
    raw.method = methodName(evhttp_request_get_command(request));
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
    const char* query = uri ? evhttp_uri_get_query(uri) : nullptr;
    raw.path = path && *path ? path : "/";
    raw.query = query ? query : "";
    for (const evkeyval* entry = evhttp_request_get_input_headers(request)->tqh_first; entry;
         entry = entry->next.tqe_next)
        raw.headers.emplace_back(entry->key, entry->value);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    if (size <= m_settings.maximumBodyBytes) {
        raw.body.resize(size);
        evbuffer_remove(input, raw.body.data(), size);
    }
    return raw;
}

void CallerListener::Implementation::accept(evhttp_request* request)
{
    const std::size_t bodySize = evbuffer_get_length(evhttp_request_get_input_buffer(request));
    RequestArrived arrived = sanitizeRequest(readRequest(request), m_settings.allowedHeaders);
    if (bodySize > m_settings.maximumBodyBytes)
        arrived.rejection = "the body has " + std::to_string(bodySize) + " bytes; at most "
            + std::to_string(m_settings.maximumBodyBytes) + " are accepted";
    arrived.id = RequestId(++m_lastId);
    auto open = std::make_unique<OpenRequest>();
    open->owner = this;
    open->id = arrived.id;
    open->request = request;
    open->connection = evhttp_request_get_connection(request);
    open->headOnly = arrived.method == "HEAD";
    watchForClose(*open);
    m_requests.emplace(arrived.id, std::move(open));
    m_signalRequest.emit(arrived);
}

void CallerListener::Implementation::watchForClose(OpenRequest& open)
{
    evhttp_connection_set_closecb(open.connection, connectionClosed, &open);
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(open.connection));
    const int enable = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof(enable));
    // evhttp does not read from a connection whose answer is pending, so it would not notice that the caller left.
    open.closeWatcher = event_new(m_loop.base(), socket, EV_CLOSED, peerClosed, &open);
    event_add(open.closeWatcher, nullptr);
}

void CallerListener::Implementation::stopWatching(OpenRequest& open)
{
    evhttp_connection_set_closecb(open.connection, nullptr, nullptr);
    event_free(open.closeWatcher);
    open.closeWatcher = nullptr;
}

void CallerListener::Implementation::peerClosed(evutil_socket_t, short, void* context)
{
    // Frees the request as well and calls connectionClosed.
    evhttp_connection_free(static_cast<OpenRequest*>(context)->connection);
}

void CallerListener::Implementation::connectionClosed(evhttp_connection*, void* context)
{
    auto& open = *static_cast<OpenRequest*>(context);
    Implementation& self = *open.owner;
    const RequestId id = open.id;
    self.forget(id);
    self.m_signalCallerLeft.emit(CallerLeft { id });
}

CallerListener::Implementation::OpenRequest* CallerListener::Implementation::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void CallerListener::Implementation::forget(RequestId id)
{
    const auto found = m_requests.find(id);
    stopWatching(*found->second);
    m_requests.erase(found);
}

void CallerListener::Implementation::trackFlush(evhttp_request* request)
{
    evhttp_connection* connection = evhttp_request_get_connection(request);
    m_unflushed.insert(connection);
    const auto flushed = [](evhttp_connection* gone, void* context) {
        static_cast<Implementation*>(context)->m_unflushed.erase(gone);
    };
    evhttp_connection_set_closecb(connection, flushed, this);
    evhttp_request_set_on_complete_cb(
        request,
        [](evhttp_request* complete, void* context) {
            evhttp_connection* written = evhttp_request_get_connection(complete);
            evhttp_connection_set_closecb(written, nullptr, nullptr);
            static_cast<Implementation*>(context)->m_unflushed.erase(written);
        },
        this);
}

void CallerListener::Implementation::addHeaders(const OpenRequest& open, const HeaderList& headers)
{
    evkeyvalq* output = evhttp_request_get_output_headers(open.request);
    for (const auto& [name, value] : headers)
        evhttp_add_header(output, name.c_str(), value.c_str());
    if (m_stopping)
        evhttp_add_header(output, "Connection", "close");
}

void CallerListener::Implementation::sendHead(const SendResponseHead& head)
{
    OpenRequest* open = find(head.id);
    if (!open)
        return;
    addHeaders(*open, head.headers);
    evhttp_send_reply_start(open->request, head.status, nullptr);
}

void CallerListener::Implementation::sendData(const SendResponseData& data)
{
    OpenRequest* open = find(data.id);
    if (!open || data.data.empty())
        return;
    evbuffer* piece = evbuffer_new();
    evbuffer_add(piece, data.data.data(), data.data.size());
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(open->connection));
    const bool nowFull = evbuffer_get_length(output) + data.data.size() > m_settings.outputHighWatermark;
    // A later piece replaces the callback of an earlier one, so it is kept until the output has drained.
    evhttp_send_reply_chunk_with_cb(open->request, piece, nowFull || open->full ? outputDrained : nullptr, open);
    evbuffer_free(piece);
    if (nowFull && !open->full) {
        open->full = true;
        m_signalBackpressure.emit(CallerBackpressure { data.id, true });
    }
}

void CallerListener::Implementation::outputDrained(evhttp_connection*, void* context)
{
    auto& open = *static_cast<OpenRequest*>(context);
    if (!open.full)
        return;
    open.full = false;
    open.owner->m_signalBackpressure.emit(CallerBackpressure { open.id, false });
}

void CallerListener::Implementation::finish(RequestId id)
{
    OpenRequest* open = find(id);
    if (!open)
        return;
    evhttp_request* request = open->request;
    forget(id);
    trackFlush(request);
    evhttp_send_reply_end(request);
}

void CallerListener::Implementation::sendWhole(const SendWholeResponse& response)
{
    OpenRequest* open = find(response.id);
    if (!open)
        return;
    addHeaders(*open, response.headers);
    evhttp_request* request = open->request;
    const bool headOnly = open->headOnly;
    forget(response.id);
    trackFlush(request);
    evbuffer* body = evbuffer_new();
    if (headOnly)
        evhttp_add_header(
            evhttp_request_get_output_headers(request), "Content-Length", std::to_string(response.body.size()).c_str());
    else
        evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void CallerListener::Implementation::abort(RequestId id)
{
    OpenRequest* open = find(id);
    if (!open)
        return;
    evhttp_connection* connection = open->connection;
    forget(id);
    evhttp_connection_free(connection);
}

CallerListener::CallerListener(EventLoop& loop, ListenerSettings settings, std::uint64_t firstRequestId)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(settings), firstRequestId))
{
}

CallerListener::~CallerListener() = default;

Status CallerListener::start() { return m_implementation->start(); }

std::uint16_t CallerListener::port() const { return m_implementation->m_port; }

void CallerListener::stopAccepting() { m_implementation->stopAccepting(); }

Status CallerListener::reloadCertificates() { return m_implementation->reloadCertificates(); }

void CallerListener::execute(const SendResponseHead& effect) { m_implementation->sendHead(effect); }

void CallerListener::execute(const SendResponseData& effect) { m_implementation->sendData(effect); }

void CallerListener::execute(const FinishResponse& effect) { m_implementation->finish(effect.id); }

void CallerListener::execute(const SendWholeResponse& effect) { m_implementation->sendWhole(effect); }

void CallerListener::execute(const AbortResponse& effect) { m_implementation->abort(effect.id); }

std::size_t CallerListener::unflushedAnswers() const { return m_implementation->unflushedAnswers(); }

std::size_t CallerListener::openRequests() const { return m_implementation->openRequests(); }

sigc::signal<void(RequestArrived)>& CallerListener::signalRequest() { return m_implementation->m_signalRequest; }

sigc::signal<void(CallerLeft)>& CallerListener::signalCallerLeft() { return m_implementation->m_signalCallerLeft; }

sigc::signal<void(CallerBackpressure)>& CallerListener::signalBackpressure()
{
    return m_implementation->m_signalBackpressure;
}

} // namespace Catkinwell
