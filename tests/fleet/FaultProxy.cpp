#include "fleet/FaultProxy.h"

#include <array>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>

namespace Catkinwell::Testing {

namespace {

    constexpr Duration linkDelay = std::chrono::milliseconds(150);

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    std::string hostOf(const sockaddr* address)
    {
        std::array<char, INET_ADDRSTRLEN> text {};
        evutil_inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text.data(), text.size());
        return text.data();
    }

    // Closes the connection with a TCP reset.
    void resetAtClose(bufferevent* connection)
    {
        const linger immediately { 1, 0 };
        setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }

} // namespace

struct FaultProxy::Link : std::enable_shared_from_this<FaultProxy::Link> {
    FaultProxy* proxy = nullptr;
    bufferevent* caller = nullptr;
    bufferevent* target = nullptr;
    std::string callerHost;
    // Whether all bytes of the connection are discarded from now on.
    bool hasLostBytes = false;
    // Pieces from the caller, and to it, that arrive later, in their order. Timers that end together fire in any order.
    std::array<std::deque<std::string>, 2> delayed;
    bool isClosed = false;
};

FaultProxy::FaultProxy(EventLoop& loop, std::uint16_t targetPort)
    : m_loop(loop)
    , m_targetPort(targetPort)
{
    const sockaddr_in address = loopback(0);
    m_listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr* caller, int, void* context) {
            static_cast<FaultProxy*>(context)->accept(socket, hostOf(caller));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<const sockaddr*>(&address),
        sizeof(address));
    if (!m_listener)
        throw std::runtime_error("the proxy found no free port");
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &size);
    m_port = ntohs(bound.sin_port);
}

FaultProxy::~FaultProxy()
{
    evconnlistener_free(m_listener);
    while (!m_links.empty())
        close(*m_links.front(), false);
}

void FaultProxy::setState(LinkState state)
{
    m_state = state;
    resetRefused();
}

void FaultProxy::setStateFor(const std::string& caller, std::optional<LinkState> state)
{
    if (state)
        m_stateFor[caller] = *state;
    else
        m_stateFor.erase(caller);
    resetRefused();
}

LinkState FaultProxy::stateFor(const std::string& caller) const
{
    const auto own = m_stateFor.find(caller);
    return own == m_stateFor.end() ? m_state : own->second;
}

void FaultProxy::accept(int socket, const std::string& caller)
{
    const LinkState state = stateFor(caller);
    auto link = std::make_shared<Link>();
    link->proxy = this;
    link->callerHost = caller;
    link->hasLostBytes = state == LinkState::SilentWhenNew;
    link->caller = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    link->target = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    Link* raw = link.get();
    m_links.push_back(std::move(link));
    const auto onRead = [](bufferevent* from, void* context) {
        auto* owner = static_cast<Link*>(context);
        const bool isBack = from == owner->target;
        owner->proxy->forward(*owner, from, isBack ? owner->caller : owner->target, isBack);
    };
    const auto onEvent = [](bufferevent*, short events, void* context) {
        auto* owner = static_cast<Link*>(context);
        if (events & BEV_EVENT_ERROR)
            owner->proxy->close(*owner, true);
        else if (events & BEV_EVENT_EOF)
            owner->proxy->closeLater(*owner);
    };
    for (bufferevent* end : { raw->caller, raw->target }) {
        bufferevent_setcb(end, onRead, nullptr, onEvent, raw);
        bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    if (state == LinkState::Refused || state == LinkState::RefusedWhenNew) {
        close(*raw, true);
        return;
    }
    const sockaddr_in address = loopback(m_targetPort);
    if (bufferevent_socket_connect(raw->target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        close(*raw, true);
}

bool FaultProxy::isDiscarding(const Link& link, bool isBack) const
{
    const LinkState state = stateFor(link.callerHost);
    return state == LinkState::Silent || (state == LinkState::SilentToCaller && isBack) || link.hasLostBytes;
}

void FaultProxy::forward(Link& link, bufferevent* from, bufferevent* to, bool isBack)
{
    evbuffer* input = bufferevent_get_input(from);
    if (isDiscarding(link, isBack)) {
        link.hasLostBytes = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    std::string received(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, received.data(), received.size());
    if (isBack)
        replaceIn(received);
    // Bytes that follow delayed ones must not overtake them.
    if (stateFor(link.callerHost) != LinkState::Delayed && link.delayed[isBack].empty()) {
        bufferevent_write(to, received.data(), received.size());
        return;
    }
    link.delayed[isBack].push_back(std::move(received));
    m_loop.callLater(linkDelay, [weak = link.weak_from_this(), isBack] {
        const auto alive = weak.lock();
        if (!alive)
            return;
        const std::string bytes = std::move(alive->delayed[isBack].front());
        alive->delayed[isBack].pop_front();
        if (!alive->isClosed)
            bufferevent_write(isBack ? alive->caller : alive->target, bytes.data(), bytes.size());
    });
}

void FaultProxy::setReplacement(std::string text, std::string replacement)
{
    m_replaced = std::move(text);
    m_replacement = std::move(replacement);
}

void FaultProxy::replaceIn(std::string& bytes) const
{
    if (m_replaced.empty())
        return;
    for (std::size_t at = bytes.find(m_replaced); at != std::string::npos; at = bytes.find(m_replaced, at))
        bytes.replace(at, m_replaced.size(), m_replacement);
}

// Closes the connection after a delay, so that bytes read before its end still arrive.
void FaultProxy::closeLater(Link& link)
{
    m_loop.callLater(linkDelay + linkDelay, [this, weak = link.weak_from_this()] {
        const auto alive = weak.lock();
        if (alive && !alive->isClosed)
            close(*alive, false);
    });
}

void FaultProxy::close(Link& link, bool isReset)
{
    if (link.isClosed)
        return;
    link.isClosed = true;
    for (bufferevent* end : { link.caller, link.target }) {
        if (isReset && bufferevent_getfd(end) >= 0)
            resetAtClose(end);
        bufferevent_free(end);
    }
    m_links.remove_if([&link](const auto& candidate) { return candidate.get() == &link; });
}

void FaultProxy::resetRefused()
{
    const auto links = m_links;
    for (const auto& link : links) {
        if (stateFor(link->callerHost) == LinkState::Refused)
            close(*link, true);
    }
}

void FaultProxy::resetConnections()
{
    while (!m_links.empty())
        close(*m_links.front(), true);
}

} // namespace Catkinwell::Testing
