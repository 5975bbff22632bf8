#include <catkinwell/http/HttpClient.h>

#include "http/SocketAddress.h"
#include <catkinwell/loop/Timeval.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

namespace {

    // Engines close a connection after a few idle seconds; reusing it close to that moment risks an unknown outcome.
    constexpr Duration maximumIdleTime = std::chrono::seconds(2);
    constexpr std::size_t maximumIdleConnectionsPerAddress = 512;

    evhttp_cmd_type commandOf(const std::string& method)
    {
        static const std::map<std::string, evhttp_cmd_type> commands { { "GET", EVHTTP_REQ_GET },
            { "POST", EVHTTP_REQ_POST }, { "PUT", EVHTTP_REQ_PUT }, { "DELETE", EVHTTP_REQ_DELETE },
            { "HEAD", EVHTTP_REQ_HEAD }, { "PATCH", EVHTTP_REQ_PATCH }, { "OPTIONS", EVHTTP_REQ_OPTIONS } };
        const auto found = commands.find(method);
        return found == commands.end() ? EVHTTP_REQ_GET : found->second;
    }

    std::string reasonOf(evhttp_request_error error)
    {
        switch (error) {
        case EVREQ_HTTP_TIMEOUT:
            return "the peer was silent for too long";
        case EVREQ_HTTP_EOF:
            return "the peer closed the connection before the answer was complete";
        case EVREQ_HTTP_INVALID_HEADER:
            return "the peer sent an invalid HTTP header";
        case EVREQ_HTTP_BUFFER_ERROR:
            return "reading or writing the connection failed";
        case EVREQ_HTTP_REQUEST_CANCEL:
            return "the request was cancelled";
        case EVREQ_HTTP_DATA_TOO_LONG:
            return "the peer's answer is too long";
        }
        return "the connection failed";
    }

} // namespace

class HttpClient::Implementation {
public:
    explicit Implementation(EventLoop& loop)
        : m_loop(loop)
        , m_alive(std::make_shared<bool>(true))
    {
        m_loop.callEvery(std::chrono::milliseconds(500), [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                closeStaleIdleConnections();
        });
    }

    ~Implementation()
    {
        for (auto& [id, exchange] : m_exchanges) {
            exchange->detached = true;
            evhttp_connection_free(exchange->connection);
        }
        for (auto& [address, idle] : m_idle) {
            for (auto& entry : idle)
                evhttp_connection_free(entry.connection);
        }
    }

    ExchangeId start(const HttpExchange& request, HttpExchangeObserver observer);
    void cancel(ExchangeId id);
    void setPaused(ExchangeId id, bool paused);
    std::size_t runningExchanges() const { return m_exchanges.size(); }

private:
    struct Exchange {
        Implementation* owner = nullptr;
        ExchangeId id = 0;
        std::string address;
        HttpExchangeObserver observer;
        evhttp_connection* connection = nullptr;
        evhttp_request* request = nullptr;
        std::string failure;
        Duration silenceTimeout {};
        bool headSeen = false;
        bool unframed = false;
        // Set when the exchange must not touch its observer any more.
        bool detached = false;
    };

    struct IdleConnection {
        evhttp_connection* connection;
        MonotonicTime since;
    };

    static int headArrived(evhttp_request*, void* context);
    static void dataArrived(evhttp_request*, void* context);
    static void errorOccurred(evhttp_request_error, void* context);
    static void ended(evhttp_request*, void* context);
    static void outputChanged(evbuffer*, const evbuffer_cb_info*, void* context);

    bool hasIdleConnection(const std::string& address);
    evhttp_connection* takeConnection(const SocketAddress&, const HttpExchange&);
    void failLater(ExchangeId, std::string reason);
    void finish(Exchange&, bool complete, bool connected);
    void releaseConnection(Exchange&, bool reusable);
    void closeStaleIdleConnections();

    EventLoop& m_loop;
    SystemClock m_clock;
    std::shared_ptr<bool> m_alive;
    ExchangeId m_lastId = 0;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
};

HttpClient::ExchangeId HttpClient::Implementation::start(const HttpExchange& request, HttpExchangeObserver observer)
{
    const ExchangeId id = ++m_lastId;
    const auto address = parseSocketAddress(request.address);
    if (!address) {
        m_loop.callLater(Duration::zero(), [observer, text = request.address] {
            observer.onFailed(AttemptOutcome::NotSent, "the address \"" + text + "\" is not an IP address and port");
        });
        return id;
    }
    if (request.needsIdleConnection && !hasIdleConnection(request.address)) {
        m_loop.callLater(Duration::zero(), [observer] {
            observer.onFailed(AttemptOutcome::NotSent, "the peer closed the connection before the request was sent");
        });
        return id;
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->owner = this;
    exchange->id = id;
    exchange->address = request.address;
    exchange->observer = std::move(observer);
    exchange->silenceTimeout = request.silenceTimeout;
    exchange->connection = takeConnection(*address, request);

    evhttp_request* message = evhttp_request_new(ended, exchange.get());
    exchange->request = message;
    evhttp_request_set_header_cb(message, headArrived);
    evhttp_request_set_chunked_cb(message, dataArrived);
    evhttp_request_set_error_cb(message, errorOccurred);
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", request.address.c_str());
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (!request.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(exchange->connection)), outputChanged, exchange.get());

    Exchange& running = *exchange;
    m_exchanges.emplace(id, std::move(exchange));
    // A failure inside evhttp_make_request frees the request and may call ended(), so the exchange must be registered.
    if (evhttp_make_request(running.connection, message, commandOf(request.method), request.target.c_str()) != 0
        && m_exchanges.contains(id)) {
        running.detached = true;
        failLater(id, "the connection could not be started");
    }
    return id;
}

bool HttpClient::Implementation::hasIdleConnection(const std::string& address)
{
    auto& idle = m_idle[address];
    // evhttp would open a new connection for one that the peer has closed.
    while (!idle.empty() && bufferevent_getfd(evhttp_connection_get_bufferevent(idle.back().connection)) == -1) {
        evhttp_connection_free(idle.back().connection);
        idle.pop_back();
    }
    return !idle.empty();
}

evhttp_connection* HttpClient::Implementation::takeConnection(const SocketAddress& address, const HttpExchange& request)
{
    if (!request.needsFreshConnection) {
        auto& idle = m_idle[request.address];
        if (!idle.empty()) {
            evhttp_connection* connection = idle.back().connection;
            idle.pop_back();
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            return connection;
        }
    }
    evhttp_connection* connection
        = evhttp_connection_base_new(m_loop.base(), nullptr, address.host.c_str(), address.port);
    const timeval connectTimeout = toTimeval(request.connectTimeout);
    evhttp_connection_set_timeout_tv(connection, &connectTimeout);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

void HttpClient::Implementation::failLater(ExchangeId id, std::string reason)
{
    m_loop.callLater(Duration::zero(), [this, alive = std::weak_ptr(m_alive), id, reason = std::move(reason)] {
        if (alive.expired())
            return;
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end())
            return;
        const std::unique_ptr<Exchange> exchange = std::move(found->second);
        m_exchanges.erase(found);
        evhttp_connection_free(exchange->connection);
        exchange->observer.onFailed(AttemptOutcome::NotSent, reason);
    });
}

void HttpClient::Implementation::outputChanged(evbuffer*, const evbuffer_cb_info* info, void* context)
{
    auto& exchange = *static_cast<Exchange*>(context);
    if (info->n_deleted == 0)
        return;
    // The connection is established; from here on the longer silence timeout applies.
    const timeval silence = toTimeval(exchange.silenceTimeout);
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(exchange.connection), &silence, &silence);
}

int HttpClient::Implementation::headArrived(evhttp_request* request, void* context)
{
    auto& exchange = *static_cast<Exchange*>(context);
    if (exchange.detached)
        return 0;
    HeaderList headers;
    for (const evkeyval* entry = evhttp_request_get_input_headers(request)->tqh_first; entry;
         entry = entry->next.tqe_next)
        headers.emplace_back(entry->key, entry->value);
    const evkeyvalq* input = evhttp_request_get_input_headers(request);
    exchange.unframed = !evhttp_find_header(input, "Content-Length") && !evhttp_find_header(input, "Transfer-Encoding")
        && evhttp_request_get_response_code(request) != 204;
    exchange.headSeen = true;
    exchange.observer.onHead(evhttp_request_get_response_code(request), headers);
    return 0;
}

void HttpClient::Implementation::dataArrived(evhttp_request* request, void* context)
{
    auto& exchange = *static_cast<Exchange*>(context);
    if (exchange.detached)
        return;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, data.data(), data.size());
    exchange.observer.onData(data);
}

void HttpClient::Implementation::errorOccurred(evhttp_request_error error, void* context)
{
    static_cast<Exchange*>(context)->failure = reasonOf(error);
}

void HttpClient::Implementation::ended(evhttp_request* request, void* context)
{
    auto& exchange = *static_cast<Exchange*>(context);
    exchange.request = nullptr;
    if (exchange.detached)
        return;
    // evhttp reports a failed connection attempt by a request without a response code, later failures by no request.
    const bool connected = !request || evhttp_request_get_response_code(request) != 0;
    const bool complete = request && connected && exchange.failure.empty() && exchange.headSeen;
    exchange.owner->finish(exchange, complete, connected);
}

void HttpClient::Implementation::finish(Exchange& exchange, bool complete, bool connected)
{
    const auto found = m_exchanges.find(exchange.id);
    const std::unique_ptr<Exchange> owned = std::move(found->second);
    m_exchanges.erase(found);
    releaseConnection(*owned, complete && !owned->unframed);
    if (complete && !owned->unframed) {
        owned->observer.onFinished();
        return;
    }
    if (!connected) {
        owned->observer.onFailed(
            AttemptOutcome::NotSent, "the connection to " + owned->address + " could not be opened");
        return;
    }
    if (owned->unframed && owned->failure.empty())
        owned->failure
            = "the answer has neither a length nor chunks, so its end cannot be told from a broken connection";
    if (owned->failure.empty())
        owned->failure = "the connection failed";
    owned->observer.onFailed(AttemptOutcome::Unknown, owned->failure);
}

void HttpClient::Implementation::releaseConnection(Exchange& exchange, bool reusable)
{
    evhttp_connection* connection = exchange.connection;
    evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)), outputChanged, &exchange);
    auto& idle = m_idle[exchange.address];
    if (reusable && idle.size() < maximumIdleConnectionsPerAddress) {
        idle.push_back({ connection, m_clock.monotonicNow() });
        return;
    }
    // evhttp still uses the connection while its callback runs.
    m_loop.callLater(Duration::zero(), [connection] { evhttp_connection_free(connection); });
}

void HttpClient::Implementation::cancel(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    std::shared_ptr<Exchange> exchange = std::move(found->second);
    m_exchanges.erase(found);
    exchange->detached = true;
    // The caller may be inside one of this request's callbacks, after which evhttp still uses the request.
    m_loop.callLater(Duration::zero(), [exchange] {
        evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(exchange->connection));
        evbuffer_remove_cb(output, outputChanged, exchange.get());
        evhttp_connection_free(exchange->connection);
    });
}

void HttpClient::Implementation::setPaused(ExchangeId id, bool paused)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    bufferevent* stream = evhttp_connection_get_bufferevent(found->second->connection);
    if (paused)
        bufferevent_disable(stream, EV_READ);
    else
        bufferevent_enable(stream, EV_READ);
}

void HttpClient::Implementation::closeStaleIdleConnections()
{
    const MonotonicTime oldest = m_clock.monotonicNow() - maximumIdleTime;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        auto& idle = entry->second;
        // Connections are appended when they become idle, so the oldest come first.
        std::size_t stale = 0;
        while (stale < idle.size() && idle[stale].since < oldest)
            evhttp_connection_free(idle[stale++].connection);
        idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(stale));
        entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

HttpClient::HttpClient(EventLoop& loop)
    : m_implementation(std::make_unique<Implementation>(loop))
{
}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeId HttpClient::start(const HttpExchange& request, HttpExchangeObserver observer)
{
    return m_implementation->start(request, std::move(observer));
}

void HttpClient::cancel(ExchangeId id) { m_implementation->cancel(id); }

void HttpClient::setPaused(ExchangeId id, bool paused) { m_implementation->setPaused(id, paused); }

std::size_t HttpClient::runningExchanges() const { return m_implementation->runningExchanges(); }

} // namespace Catkinwell
