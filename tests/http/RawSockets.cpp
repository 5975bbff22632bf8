#include "http/RawSockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <catkinwell/loop/Timeval.h>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Catkinwell::Testing {

namespace {

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

} // namespace

std::string exchangeRaw(EventLoop& loop, std::uint16_t port, const std::string& text, Duration duration)
{
    struct Exchange {
        EventLoop& loop;
        std::string received;
        std::string end;
    } exchange { loop, {}, {} };
    bufferevent* stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        stream,
        [](bufferevent* source, void* context) {
            auto& self = *static_cast<Exchange*>(context);
            evbuffer* input = bufferevent_get_input(source);
            std::string data(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, data.data(), data.size());
            self.received += data;
        },
        nullptr,
        [](bufferevent*, short what, void* context) {
            if (what & BEV_EVENT_CONNECTED)
                return;
            auto& self = *static_cast<Exchange*>(context);
            self.end = what & BEV_EVENT_EOF ? "<closed>" : "<reset>";
            self.loop.stop();
        },
        &exchange);
    sockaddr_in address = loopback(port);
    bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    bufferevent_write(stream, text.data(), text.size());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    const timeval limit = toTimeval(duration);
    event_base_loopexit(loop.base(), &limit);
    loop.run();
    bufferevent_free(stream);
    return exchange.received + exchange.end;
}

BlockingCaller::BlockingCaller(std::uint16_t port)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(port);
    if (connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        throw std::runtime_error("the caller cannot connect");
}

void BlockingCaller::send(const std::string& text) const
{
    if (write(m_socket, text.data(), text.size()) <= 0)
        throw std::runtime_error("the caller cannot send");
}

std::string BlockingCaller::received() const
{
    std::array<char, 4096> bytes {};
    const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    return size > 0 ? std::string(bytes.data(), static_cast<std::size_t>(size)) : "";
}

bool BlockingCaller::isClosed() const
{
    char next = 0;
    const ssize_t size = recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

void BlockingCaller::leave()
{
    if (m_socket >= 0)
        close(m_socket);
    m_socket = -1;
}

struct ScriptedServer::State {
    struct Connection {
        State* owner = nullptr;
        bufferevent* stream = nullptr;
    };

    State(EventLoop& eventLoop, Script answerScript)
        : loop(eventLoop)
        , script(std::move(answerScript))
    {
    }

    EventLoop& loop;
    Script script;
    std::size_t requests = 0;
    evconnlistener* listener = nullptr;
    std::vector<std::unique_ptr<Connection>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    static void readable(bufferevent* stream, void* context)
    {
        auto& connection = *static_cast<Connection*>(context);
        evbuffer* input = bufferevent_get_input(stream);
        const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
        if (end.pos < 0)
            return;
        std::string head(static_cast<std::size_t>(end.pos), '\0');
        evbuffer_copyout(input, head.data(), head.size());
        evbuffer_drain(input, evbuffer_get_length(input));
        connection.owner->answer(connection, head);
    }

    // Sends the byte, and the next one in a later round of the loop, so that the peer reads each by itself.
    void sendByte(Connection& connection, const std::string& text, std::size_t at)
    {
        if (at == text.size() || send(bufferevent_getfd(connection.stream), text.data() + at, 1, MSG_NOSIGNAL) < 0)
            return;
        loop.callLater(Duration::zero(), [this, &connection, text, at, isAlive = std::weak_ptr(alive)] {
            if (!isAlive.expired() && connection.stream)
                sendByte(connection, text, at + 1);
        });
    }

    void answer(Connection& connection, const std::string& head)
    {
        const Step step = script(head);
        ++requests;
        const int socket = bufferevent_getfd(connection.stream);
        // Written directly to the socket, so that the bytes are sent before a reset.
        if (step.isSlow) {
            const int enabled = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            sendByte(connection, step.answer, 0);
            return;
        }
        if (send(socket, step.answer.data(), step.answer.size(), MSG_NOSIGNAL) < 0)
            return;
        if (step.resets || step.closes) {
            const linger immediately { step.resets ? 1 : 0, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
            // A reset discards data that the peer has not read yet, so the peer gets time to read it.
            loop.callLater(std::chrono::milliseconds(30), [&connection, isAlive = std::weak_ptr(alive)] {
                if (isAlive.expired() || !connection.stream)
                    return;
                bufferevent_free(connection.stream);
                connection.stream = nullptr;
            });
        }
        if (!step.later.empty())
            loop.callLater(step.delay, [&connection, text = step.later, isAlive = std::weak_ptr(alive)] {
                if (!isAlive.expired() && connection.stream)
                    bufferevent_write(connection.stream, text.data(), text.size());
            });
    }
};

ScriptedServer::ScriptedServer(EventLoop& loop, std::vector<Step> steps)
    : ScriptedServer(loop, [steps = std::move(steps), next = std::size_t { 0 }](const std::string&) mutable {
        return steps.at(std::min(next++, steps.size() - 1));
    })
{
}

ScriptedServer::ScriptedServer(EventLoop& loop, Script script)
    : m_state(std::make_unique<State>(loop, std::move(script)))
{
    sockaddr_in address = loopback(0);
    m_state->listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
            auto& state = *static_cast<State*>(context);
            auto connection = std::make_unique<State::Connection>();
            connection->owner = &state;
            connection->stream = bufferevent_socket_new(state.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(connection->stream, State::readable, nullptr, nullptr, connection.get());
            bufferevent_enable(connection->stream, EV_READ | EV_WRITE);
            state.connections.push_back(std::move(connection));
        },
        m_state.get(), LEV_OPT_CLOSE_ON_FREE, 64, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (!m_state->listener)
        throw std::runtime_error("the scripted server cannot listen on the loopback address");
}

ScriptedServer::~ScriptedServer()
{
    evconnlistener_free(m_state->listener);
    for (const auto& connection : m_state->connections) {
        if (connection->stream)
            bufferevent_free(connection->stream);
    }
}

std::uint16_t ScriptedServer::port() const
{
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_state->listener), reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

std::size_t ScriptedServer::requests() const { return m_state->requests; }

std::size_t ScriptedServer::connections() const { return m_state->connections.size(); }

ScriptedServerThread::ScriptedServerThread(ScriptedServer::Script script)
    : m_server(m_loop, std::move(script))
    , m_port(m_server.port())
{
    constexpr Duration stopInterval = std::chrono::milliseconds(10);
    m_loop.callEvery(stopInterval, [this] {
        if (m_isStopping)
            m_loop.stop();
    });
    m_thread = std::thread([this] { m_loop.run(); });
}

ScriptedServerThread::~ScriptedServerThread()
{
    m_isStopping = true;
    m_thread.join();
}

} // namespace Catkinwell::Testing
