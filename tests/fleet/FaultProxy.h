#pragma once

#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <list>
#include <memory>

struct evconnlistener;
struct bufferevent;

namespace Catkinwell::Testing {

// What a proxy does with the bytes of its connections.
enum class LinkState {
    Open,
    // Everything arrives later.
    Delayed,
    // Nothing arrives in either direction, and nothing tells the ends.
    Silent,
    // What the callers send arrives; nothing comes back.
    SilentBack,
};

// A TCP proxy on the loopback address between two programs under test. Not thread safe; runs on the event loop.
class FaultProxy {
public:
    FaultProxy(EventLoop&, std::uint16_t targetPort);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::uint16_t port() const { return m_port; }
    // Bytes that were swallowed are lost; a connection that lost some stays silent for good.
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
