#include "fleet/EndlessServer.h"

#include <atomic>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <stdexcept>
#include <string>

namespace Catkinwell::Testing {

namespace {

    constexpr std::size_t repeatedBytes = 16 * 1024;
    constexpr Duration stopInterval = std::chrono::milliseconds(10);

    struct EndlessText {
        std::string start;
        std::string repeated;
    };

    std::string repeat(const std::string& text)
    {
        std::string whole;
        while (whole.size() < repeatedBytes)
            whole += text;
        return whole;
    }

    EndlessText textOf(EndlessPart part)
    {
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCatkinwell-Response-Seal: 1\r\nX-Padding: ";
        const std::string chunked = head + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string body(repeatedBytes, 'x');
        switch (part) {
        case EndlessPart::HeadLines:
            return { head + "\r\n", repeat("a:\r\n") };
        case EndlessPart::HeadValue:
            return { head, body };
        case EndlessPart::Garbage:
            return { "", repeat("\x01\xff no answer") };
        case EndlessPart::UnframedBody:
            return { head + "\r\n\r\n", body };
        case EndlessPart::Chunks:
            return { chunked, "4000\r\n" + body + "\r\n" };
        case EndlessPart::LongBody:
            return { head + "\r\nContent-Length: 100000000000000\r\n\r\n", body };
        case EndlessPart::InterimAnswers:
            return { "", repeat("HTTP/1.1 102 Processing\r\nX-Padding: a\r\n\r\n") };
        case EndlessPart::ChunkSize:
            return { chunked, repeat("0") };
        case EndlessPart::Trailers:
            return { chunked + "0\r\n", repeat("a:\r\n") };
        }
        return {};
    }

    std::optional<EndlessPart> partOf(std::string_view requestLine)
    {
        for (std::size_t i = 0; i < endlessPartNames.size(); ++i) {
            if (requestLine.find("/" + std::string(endlessPartNames[i]) + " ") != std::string_view::npos)
                return static_cast<EndlessPart>(i);
        }
        return std::nullopt;
    }

} // namespace

struct EndlessServer::State {
    struct Connection {
        State* owner = nullptr;
        std::string repeated;
    };

    evconnlistener* listener = nullptr;
    std::map<bufferevent*, std::unique_ptr<Connection>> connections;
    std::atomic<bool> isStopping = false;

    static void accept(evconnlistener* source, evutil_socket_t socket, sockaddr*, int, void* context)
    {
        auto& self = *static_cast<State*>(context);
        bufferevent* stream = bufferevent_socket_new(evconnlistener_get_base(source), socket, BEV_OPT_CLOSE_ON_FREE);
        auto connection = std::make_unique<Connection>();
        connection->owner = &self;
        bufferevent_setcb(stream, readable, drained, ended, connection.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        self.connections.emplace(stream, std::move(connection));
    }

    static void readable(bufferevent* stream, void* context)
    {
        auto& connection = *static_cast<Connection*>(context);
        evbuffer* input = bufferevent_get_input(stream);
        const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
        if (end.pos < 0)
            return;
        std::string request(static_cast<std::size_t>(end.pos), '\0');
        evbuffer_copyout(input, request.data(), request.size());
        evbuffer_drain(input, evbuffer_get_length(input));
        const auto part = partOf(std::string_view(request).substr(0, request.find('\r')));
        if (!part) {
            write(stream, "HTTP/1.1 200 OK\r\nCatkinwell-Response-Seal: 1\r\nContent-Length: 5\r\n\r\nplain");
            return;
        }
        EndlessText text = textOf(*part);
        connection.repeated = std::move(text.repeated);
        write(stream, text.start + connection.repeated);
    }

    static void drained(bufferevent* stream, void* context)
    {
        write(stream, static_cast<Connection*>(context)->repeated);
    }

    static void ended(bufferevent* stream, short what, void* context)
    {
        if (what & BEV_EVENT_CONNECTED)
            return;
        State& owner = *static_cast<Connection*>(context)->owner;
        bufferevent_free(stream);
        owner.connections.erase(stream);
    }

    static void write(bufferevent* stream, const std::string& text)
    {
        if (!text.empty())
            bufferevent_write(stream, text.data(), text.size());
    }
};

EndlessServer::EndlessServer()
    : m_state(std::make_unique<State>())
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_state->listener = evconnlistener_new_bind(m_loop.base(), State::accept, m_state.get(), LEV_OPT_CLOSE_ON_FREE, 512,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (!m_state->listener)
        throw std::runtime_error("the endless server cannot listen on the loopback address");
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(m_state->listener), reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_loop.callEvery(stopInterval, [this] {
        if (m_state->isStopping)
            m_loop.stop();
    });
    m_thread = std::thread([this] { m_loop.run(); });
}

EndlessServer::~EndlessServer()
{
    m_state->isStopping = true;
    m_thread.join();
    evconnlistener_free(m_state->listener);
    for (const auto& [stream, connection] : m_state->connections)
        bufferevent_free(stream);
}

} // namespace Catkinwell::Testing
