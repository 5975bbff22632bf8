#pragma once

#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

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
    // Open connections are reset, new ones at once.
    Refused,
    // Open connections live on; bytes of new ones are discarded.
    SilentWhenNew,
    // Open connections live on; new ones are reset at once.
    RefusedWhenNew,
};

// A TCP proxy on the loopback address between two programs under test. Not thread safe; runs on the event loop.
class FaultProxy {
public:
    FaultProxy(EventLoop&, std::uint16_t targetPort);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::uint16_t port() const { return m_port; }
    // Applies to all callers without a state of their own. Discarded bytes are not sent later. A connection that lost
    // bytes discards everything from then on, also after the state is Open again.
    void setState(LinkState);
    // Applies to the connections that begin at this IP address; nullopt ends it.
    void setStateFor(const std::string& caller, std::optional<LinkState>);
    // From now on each occurrence of the first text in what callers receive becomes the second one, unless two reads
    // divide it; two empty texts end that. Precondition: the texts have the same length.
    void setReplacement(std::string text, std::string replacement);
    // Resets all open connections.
    void resetConnections();

private:
    struct Link;

    void accept(int socket, const std::string& caller);
    LinkState stateFor(const std::string& caller) const;
    bool isDiscarding(const Link&, bool isBack) const;
    void resetRefused();
    void forward(Link&, bufferevent* from, bufferevent* to, bool isBack);
    void replaceIn(std::string& bytes) const;
    void closeLater(Link&);
    void close(Link&, bool isReset);

    EventLoop& m_loop;
    std::uint16_t m_targetPort;
    std::uint16_t m_port = 0;
    evconnlistener* m_listener = nullptr;
    LinkState m_state = LinkState::Open;
    std::map<std::string, LinkState> m_stateFor;
    std::string m_replaced;
    std::string m_replacement;
    std::list<std::shared_ptr<Link>> m_links;
};

} // namespace Catkinwell::Testing
