#include <catkinwell/http/HttpClient.h>

#include "http/HttpClientImplementation.h"
#include <algorithm>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumIdleConnectionsPerAddress = 512;

} // namespace

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
