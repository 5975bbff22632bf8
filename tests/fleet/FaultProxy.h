#pragma once

#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <list>
#include <memory>

struct evconnlistener;
struct bufferevent;

namespace Catkinwell::Testing {

// How a proxy treats the bytes on its connections.
enum class LinkState {
    Open,
    // All bytes arrive with a delay.
    Delayed,
    // Bytes in both directions are discarded without an error at either end.
    Silent,
    // Bytes from the caller arrive; bytes in the other direction are discarded.
    SilentToCaller,
};

// A TCP proxy on the loopback address between two programs under test. Not thread safe; runs on the event loop.
class FaultProxy {
public:
    FaultProxy(EventLoop&, std::uint16_t targetPort);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::uint16_t port() const { return m_port; }
    // Discarded bytes are not sent later. A connection that lost bytes discards everything from then on, also after the
    // state is Open again.
    void setState(LinkState state) { m_state = state; }
    // Resets all open connections.
    void resetConnections();

private:
    struct Link;

    void accept(int socket);
    void forward(Link&, bufferevent* from, bufferevent* to, bool isBack);
    void closeLater(Link&);
    void close(Link&, bool isReset);

    EventLoop& m_loop;
    std::uint16_t m_targetPort;
    std::uint16_t m_port = 0;
    evconnlistener* m_listener = nullptr;
    LinkState m_state = LinkState::Open;
    std::list<std::shared_ptr<Link>> m_links;
};

} // namespace Catkinwell::Testing
