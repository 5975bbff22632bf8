// A small blocking HTTP/1.1 server and client for the stand-ins. One thread serves one connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers& headers, const char* name)
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name) == 0)
            return value;
    }
    return "";
}

struct Request {
    std::string method;
    std::string path;
    std::string query;
    Headers headers;
    std::string body;

    std::string header(const char* name) const { return headerOf(headers, name); }
    std::string queryField(const std::string& name) const
    {
        std::size_t start = 0;
        while (start < query.size()) {
            const std::size_t end = std::min(query.find('&', start), query.size());
            const std::string pair = query.substr(start, end - start);
            if (pair.rfind(name + "=", 0) == 0)
                return decoded(pair.substr(name.size() + 1));
            start = end + 1;
        }
        return "";
    }

private:
    static std::string decoded(const std::string& text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
    // Whether the whole answer, as its framing states it, arrived.
    bool isComplete = false;
    std::string error;
};

// A connected socket with a read buffer.
class Channel {
public:
    explicit Channel(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Channel() { close(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    int socket() const { return m_socket; }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }
    void reset()
    {
        const linger now { 1, 0 };
        if (m_socket >= 0)
            setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    // Reads more bytes into the buffer; false at the end of the connection or of the time.
    bool read(Clock::time_point until, std::size_t most = 65536)
    {
        while (true) {
            const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
            if (left <= 0)
                return false;
            pollfd readable { m_socket, POLLIN, 0 };
            const int ready = poll(&readable, 1, static_cast<int>(std::min<long>(left, 200)));
            if (ready < 0 && errno != EINTR)
                return false;
            if (ready > 0)
                break;
        }
        std::string part(most, '\0');
        const ssize_t size = recv(m_socket, part.data(), part.size(), 0);
        if (size <= 0) {
            m_wasReset = size < 0;
            m_hasEnded = true;
            return false;
        }
        m_buffer.append(part, 0, static_cast<std::size_t>(size));
        return true;
    }
    // Whether the peer has closed or reset the connection.
    bool hasPeerLeft() const
    {
        char next = 0;
        const ssize_t size = recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool hasEnded() const { return m_hasEnded; }
    bool wasReset() const { return m_wasReset; }
    std::string& buffer() { return m_buffer; }

private:
    int m_socket;
    std::string m_buffer;
    bool m_hasEnded = false;
    bool m_wasReset = false;
};

// Splits a head into its first line and its headers.
inline std::string parseHead(const std::string& head, Headers& headers)
{
    std::size_t end = head.find("\r\n");
    const std::string first = head.substr(0, end);
    while (end != std::string::npos && end + 2 < head.size()) {
        const std::size_t start = end + 2;
        end = head.find("\r\n", start);
        const std::string line = head.substr(start, end - start);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return first;
}

inline bool readRequest(Channel& channel, Request& request, Clock::time_point until)
{
    std::string& buffer = channel.buffer();
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!channel.read(until))
            return false;
    }
    const std::string line = parseHead(buffer.substr(0, end + 2), request.headers);
    buffer.erase(0, end + 4);
    const std::size_t space = line.find(' ');
    const std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
    request.method = line.substr(0, space);
    request.path = target.substr(0, target.find('?'));
    request.query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
    const std::string length = request.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!channel.read(until))
            return false;
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

inline std::string responseText(int status, const Headers& headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

// Reads one answer. A rate bounds the bytes that are read a second.
inline Response readResponse(Channel& channel, Clock::time_point until, std::size_t bytesPerSecond = 0)
{
    Response response;
    std::string& buffer = channel.buffer();
    const auto more = [&] {
        if (bytesPerSecond == 0)
            return channel.read(until);
        const std::size_t part = std::max<std::size_t>(1, bytesPerSecond / 20);
        std::this_thread::sleep_for(Milliseconds(50));
        return channel.read(until, part);
    };
    const auto failed = [&] {
        response.error = !channel.hasEnded() ? "time limit" : channel.wasReset() ? "reset" : "closed";
        return response;
    };
    std::size_t end = 0;
    while (true) {
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return failed();
        }
        response.headers.clear();
        const std::string line = parseHead(buffer.substr(0, end + 2), response.headers);
        buffer.erase(0, end + 4);
        response.status = std::stoi(line.substr(line.find(' ') + 1));
        if (response.status >= 200)
            break;
    }
    const auto take = [&](std::size_t size) {
        response.body.append(buffer, 0, size);
        buffer.erase(0, size);
    };
    if (strcasecmp(headerOf(response.headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return failed();
            }
            const std::size_t size = std::stoul(buffer.substr(0, end), nullptr, 16);
            while (buffer.size() < end + 2 + size + 2) {
                if (!more())
                    return failed();
            }
            buffer.erase(0, end + 2);
            if (size == 0)
                break;
            take(size);
            buffer.erase(0, 2);
        }
    } else {
        const std::string length = headerOf(response.headers, "Content-Length");
        std::size_t left = length.empty() ? 0 : std::stoul(length);
        while (left > 0) {
            if (buffer.empty() && !more())
                return failed();
            const std::size_t part = std::min(left, buffer.size());
            take(part);
            left -= part;
        }
    }
    response.isComplete = true;
    return response;
}

// Connects to a port of the loopback address; -1 if nobody listens.
inline int connectTo(int port, int receiveBuffer = 0, int segmentBytes = 0)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segmentBytes > 0)
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    if (receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

inline std::string requestText(
    const std::string& method, const std::string& target, const Headers& headers, std::string_view body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    text += body;
    return text;
}

// Serves connections on a free port of the loopback address until it is stopped.
class Server {
public:
    // Returns whether the connection stays open.
    using Handler = std::function<bool(const Request&, Channel&)>;

    explicit Server(Handler handler, int port = 0)
        : m_handler(std::move(handler))
    {
        open(port);
    }
    ~Server() { stop(); }

    int port() const { return m_port; }
    bool isRunning() const { return m_isRunning; }

    // Resets all connections and listens no longer, as a process that has crashed.
    void stop()
    {
        if (!m_isRunning.exchange(false))
            return;
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (Channel* channel : m_channels) {
                const linger now { 1, 0 };
                setsockopt(channel->socket(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
                shutdown(channel->socket(), SHUT_RDWR);
            }
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(Milliseconds(5));
    }
    // Listens on the same port again.
    void restart()
    {
        if (!m_isRunning)
            open(m_port);
    }

private:
    void open(int port)
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(m_listener, 512) != 0)
            throw std::runtime_error("no port could be opened");
        socklen_t size = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_isRunning = true;
        m_acceptor = std::thread([this] { accept(); });
    }
    void accept()
    {
        while (m_isRunning) {
            pollfd ready { m_listener, POLLIN, 0 };
            if (poll(&ready, 1, 50) <= 0)
                continue;
            const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            ++m_threads;
            std::thread([this, socket] {
                serve(socket);
                --m_threads;
            }).detach();
        }
    }
    void serve(int socket)
    {
        Channel channel(socket);
        {
            const std::lock_guard lock(m_mutex);
            m_channels.insert(&channel);
        }
        while (m_isRunning) {
            Request request;
            if (!readRequest(channel, request, Clock::now() + std::chrono::seconds(60)))
                break;
            if (!m_handler(request, channel) || strcasecmp(request.header("Connection").c_str(), "close") == 0)
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_channels.erase(&channel);
        channel.close();
    }

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isRunning = false;
    std::atomic<int> m_threads = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<Channel*> m_channels;
};

} // namespace Review
