#include <catkinwell/peer/PeerTransport.h>

#include "PushConnection.h"
#include "peer/BackgroundClose.h"
#include <algorithm>
#include <catkinwell/peer/PeerCodec.h>
#include <event2/event.h>
#include <nng/protocol/pipeline0/pull.h>

namespace Catkinwell {

namespace {

    // Limits the time that one loop iteration spends on peer messages; the rest are read in the next iteration.
    constexpr int messagesPerIteration = 64;
    // For a peer that accepts connections and closes them at once.
    constexpr Duration minimumReopenInterval = std::chrono::milliseconds(100);
    constexpr timeval reportInterval { 10, 0 };
    constexpr timeval maintenanceInterval { 1, 0 };

    struct EventDeleter {
        void operator()(event* watched) const { event_free(watched); }
    };
    using EventPointer = std::unique_ptr<event, EventDeleter>;

    struct MessageDeleter {
        void operator()(nng_msg* message) const { nng_msg_free(message); }
    };
    using MessagePointer = std::unique_ptr<nng_msg, MessageDeleter>;

    Error addressError(const std::string& address, int code)
    {
        return { ErrorKind::InvalidSettings,
            "cannot listen for peers on \"" + address + "\": " + nng_strerror(code)
                + "; expected an IP address and a free port" };
    }

} // namespace

struct PeerTransport::Sockets {
    event_base* base = nullptr;
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    nng_listener endpoint = NNG_LISTENER_INITIALIZER;
    SystemClock clock;
    // The events are freed before the socket whose descriptor they watch is closed.
    EventPointer readable;
    EventPointer reportTimer;
    EventPointer maintenanceTimer;
    std::map<HostId, std::unique_ptr<PushConnection>> connections;

    ~Sockets()
    {
        readable.reset();
        if (nng_socket_id(listener) > 0)
            closeInBackground(listener);
    }
};

PeerTransport::PeerTransport(event_base* base, PeerTransportSettings settings)
    : m_settings(std::move(settings))
    , m_authenticator(m_settings.self, m_settings.incarnation, m_settings.clusterSecret)
    , m_sockets(std::make_unique<Sockets>())
{
    m_sockets->base = base;
}

PeerTransport::~PeerTransport() = default;

Status PeerTransport::start()
{
    const std::string& address = m_settings.listenAddress;
    if (const int code = nng_pull0_open(&m_sockets->listener); code != 0)
        return addressError(address, code);
    nng_socket_set_size(m_sockets->listener, NNG_OPT_RECVMAXSZ, maximumPeerFrameBytes);
    if (const int code = nng_listen(m_sockets->listener, ("tcp://" + address).c_str(), &m_sockets->endpoint, 0);
        code != 0)
        return addressError(address, code);
    int descriptor = -1;
    if (const int code = nng_socket_get_int(m_sockets->listener, NNG_OPT_RECVFD, &descriptor); code != 0)
        return addressError(address, code);

    event_base* base = m_sockets->base;
    const auto onReadable
        = [](evutil_socket_t, short, void* self) { static_cast<PeerTransport*>(self)->receiveAvailable(); };
    const auto onReport = [](evutil_socket_t, short, void* self) { static_cast<PeerTransport*>(self)->reportDrops(); };
    const auto onMaintenance
        = [](evutil_socket_t, short, void* self) { static_cast<PeerTransport*>(self)->closeOldConnections(); };
    m_sockets->readable.reset(event_new(base, descriptor, EV_READ | EV_PERSIST, onReadable, this));
    m_sockets->reportTimer.reset(event_new(base, -1, EV_PERSIST, onReport, this));
    m_sockets->maintenanceTimer.reset(event_new(base, -1, EV_PERSIST, onMaintenance, this));
    event_add(m_sockets->readable.get(), nullptr);
    event_add(m_sockets->reportTimer.get(), &reportInterval);
    event_add(m_sockets->maintenanceTimer.get(), &maintenanceInterval);
    return {};
}

int PeerTransport::port() const
{
    int port = 0;
    nng_listener_get_int(m_sockets->endpoint, NNG_OPT_TCP_BOUND_PORT, &port);
    return port;
}

void PeerTransport::setSecret(std::string clusterSecret) { m_authenticator.setSecret(std::move(clusterSecret)); }

void PeerTransport::setPeerAddresses(std::map<HostId, std::string> addresses)
{
    std::erase_if(m_sockets->connections, [&](const auto& connection) {
        const auto former = m_addresses.find(connection.first);
        const auto next = addresses.find(connection.first);
        return next == addresses.end() || former == m_addresses.end() || former->second != next->second;
    });
    m_addresses = std::move(addresses);
}

void PeerTransport::send(const SendToPeer& effect)
{
    const auto address = m_addresses.find(effect.to);
    if (address == m_addresses.end())
        return drop(PeerDropReason::UnknownPeer);
    const std::string frame = m_authenticator.sign(effect.to, encodePeerMessage(effect.message));
    if (frame.size() > maximumPeerFrameBytes)
        return drop(PeerDropReason::Oversized);
    const MonotonicTime now = m_sockets->clock.monotonicNow();
    auto& connections = m_sockets->connections;
    auto connection = connections.find(effect.to);
    if (connection != connections.end() && connection->second->isLost()
        && now - connection->second->openedAt() >= minimumReopenInterval) {
        connections.erase(connection);
        connection = connections.end();
    }
    if (connection == connections.end()) {
        if (connections.size() >= m_settings.maximumConnections)
            connections.erase(std::min_element(connections.begin(), connections.end(),
                [](const auto& left, const auto& right) { return left.second->lastUse() < right.second->lastUse(); }));
        auto opened = PushConnection::open(address->second, m_settings.sendBufferMessages, now);
        if (!opened)
            return drop(PeerDropReason::SendFailed);
        connection = connections.emplace(effect.to, std::move(opened)).first;
    }
    if (const auto reason = connection->second->send(frame, now))
        drop(*reason);
}

void PeerTransport::resetConnection(const HostId& peer) { m_sockets->connections.erase(peer); }

std::size_t PeerTransport::connectionCount() const { return m_sockets->connections.size(); }

void PeerTransport::closeOldConnections()
{
    const MonotonicTime now = m_sockets->clock.monotonicNow();
    std::erase_if(m_sockets->connections, [&](const auto& connection) { return connection.second->shouldClose(now); });
}

void PeerTransport::receiveAvailable()
{
    for (int i = 0; i < messagesPerIteration; ++i) {
        nng_msg* received = nullptr;
        if (nng_recvmsg(m_sockets->listener, &received, NNG_FLAG_NONBLOCK) != 0)
            return;
        const MessagePointer message(received);
        deliver({ static_cast<const char*>(nng_msg_body(message.get())), nng_msg_len(message.get()) });
    }
}

void PeerTransport::deliver(std::string_view frame)
{
    auto verified = m_authenticator.verify(frame);
    if (const auto* reason = std::get_if<PeerDropReason>(&verified))
        return drop(*reason);
    auto& authenticated = std::get<AuthenticatedPayload>(verified);
    auto message = decodePeerMessage(authenticated.payload);
    if (isError(message))
        return drop(PeerDropReason::Undecodable);
    m_messageReceived.emit({ authenticated.from, authenticated.incarnation, takeValue(std::move(message)) });
}

void PeerTransport::drop(PeerDropReason reason) { ++m_dropped[static_cast<std::size_t>(reason)]; }

void PeerTransport::reportDrops()
{
    for (std::size_t i = 0; i < m_dropped.size(); ++i) {
        if (m_dropped[i] == m_reported[i])
            continue;
        m_logEntry.emit({ LogEvent::PeerMessageDropped,
            { { "reason", std::string(nameOf(static_cast<PeerDropReason>(i))) },
                { "count", std::to_string(m_dropped[i] - m_reported[i]) } } });
        m_reported[i] = m_dropped[i];
    }
}

} // namespace Catkinwell
