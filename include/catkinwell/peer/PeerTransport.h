#pragma once

#include <array>
#include <catkinwell/core/Error.h>
#include <catkinwell/logging/LogEvent.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <catkinwell/peer/PeerMessage.h>
#include <map>
#include <memory>
#include <sigc++/signal.h>

struct event_base;

namespace Catkinwell {

struct PeerTransportSettings {
    HostId self;
    // Larger than that of every earlier run of this host.
    Incarnation incarnation = 0;
    // "ip:port" to listen on for peers; port 0 selects a free port.
    std::string listenAddress;
    std::string clusterSecret;
    // Messages buffered for one peer while its connection is not ready; further ones are dropped.
    int sendBufferMessages = 16;
    // At this number of connections, the least recently used one is closed before another is opened.
    std::size_t maximumConnections = 256;
};

// Sends and receives authenticated peer messages through nng on the event loop. nng runs threads of its own, but all
// signals are emitted on the loop's thread. The first message for a peer opens a connection, which is replaced
// periodically because it may become unresponsive without an error. Nothing blocks: messages that cannot be sent are
// dropped and counted. Not thread safe; use it on the loop's thread.
class PeerTransport {
public:
    // Precondition: the event base outlives the transport.
    PeerTransport(event_base* base, PeerTransportSettings settings);
    // Returns without waiting; the sockets are closed in the background.
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    // Starts listening. Errors: InvalidSettings if the address cannot be used.
    Status start();
    // The port that peers connect to. Precondition: start() succeeded.
    int port() const;

    // Signs and verifies with this secret from now on. Connections stay open.
    void setSecret(std::string clusterSecret);
    // Replaces the table of peers' addresses ("ip:port"). Connections to changed or absent addresses are closed.
    void setPeerAddresses(std::map<HostId, std::string> addresses);
    // Executes the effect. Delivery is not guaranteed.
    void send(const SendToPeer& effect);
    // Closes the connection to a peer that seems unresponsive; the next message opens a new one.
    void resetConnection(const HostId& peer);

    // Emitted for each message that was authenticated and decoded.
    sigc::signal<void(const PeerMessageReceived&)>& messageReceived() { return m_messageReceived; }
    // Emitted every 10 s, once for each reason for which messages were dropped in that time.
    sigc::signal<void(const LogEntry&)>& logEntry() { return m_logEntry; }

    // Returns how many messages were dropped for this reason since the start.
    std::uint64_t droppedCount(PeerDropReason reason) const { return m_dropped[static_cast<std::size_t>(reason)]; }
    std::size_t connectionCount() const;

private:
    struct Sockets;

    void receiveAvailable();
    void deliver(std::string_view frame);
    void drop(PeerDropReason reason);
    void reportDrops();
    void closeOldConnections();

    PeerTransportSettings m_settings;
    PeerAuthenticator m_authenticator;
    std::map<HostId, std::string> m_addresses;
    std::array<std::uint64_t, peerDropReasonCount> m_dropped {};
    std::array<std::uint64_t, peerDropReasonCount> m_reported {};
    sigc::signal<void(const PeerMessageReceived&)> m_messageReceived;
    sigc::signal<void(const LogEntry&)> m_logEntry;
    std::unique_ptr<Sockets> m_sockets;
};

} // namespace Catkinwell
