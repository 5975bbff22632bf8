// Stand-ins for the platform, its servers and its clients, for the scripts of this review. One thread, one poll loop.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Stand {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Writes what was sent, answered and run, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::trunc)
        , m_start(nowMs())
    {
    }
    void line(const std::string& text) { m_file << (nowMs() - m_start) << " " << text << "\n" << std::flush; }
    std::int64_t start() const { return m_start; }

private:
    std::ofstream m_file;
    std::int64_t m_start;
};

class Loop;

struct Connection : std::enable_shared_from_this<Connection> {
    int fd = -1;
    bool connecting = false;
    bool closeWhenSent = false;
    bool paused = false;
    std::string in;
    std::string out;
    std::function<void(Connection&)> onOpen;
    std::function<void(Connection&)> onData;
    // With true if the peer reset the connection or it could not be opened.
    std::function<void(Connection&, bool)> onClosed;
    Loop* loop = nullptr;

    void write(const std::string& bytes) { out += bytes; }
    void close();
    // Closes with a reset.
    void reset()
    {
        if (fd >= 0) {
            const linger now { 1, 0 };
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        close();
    }
    bool isOpen() const { return fd >= 0; }
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Loop {
public:
    void at(std::int64_t when, std::function<void()> task) { m_timers.emplace(when, std::move(task)); }
    void after(std::int64_t delay, std::function<void()> task) { at(nowMs() + delay, std::move(task)); }

    // Listens on 127.0.0.1 and returns the port; 0 asks for a free one.
    std::uint16_t listen(std::uint16_t port, std::function<void(ConnectionPtr)> accepted, int* descriptor = nullptr)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 1024) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof(address);
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_listeners[fd] = std::move(accepted);
        if (descriptor)
            *descriptor = fd;
        return ntohs(address.sin_port);
    }
    void stopListening(int fd)
    {
        m_listeners.erase(fd);
        ::close(fd);
    }

    ConnectionPtr connect(std::uint16_t port)
    {
        auto connection = std::make_shared<Connection>();
        connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        connection->connecting = true;
        connection->loop = this;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(connection->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        setNoDelay(connection->fd);
        m_connections.insert(connection);
        return connection;
    }

    void run(std::int64_t until)
    {
        // SIGTERM ends the test and all that it started.
        static bool isSet = false;
        if (!std::exchange(isSet, true))
            std::signal(SIGTERM, [](int) { s_isTerminated = 1; });
        while (nowMs() < until && !m_stopped && !s_isTerminated)
            step(until);
    }
    void stop() { m_stopped = true; }
    static bool isTerminated() { return s_isTerminated != 0; }
    void forget(const ConnectionPtr& connection) { m_connections.erase(connection); }

private:
    static void setNoDelay(int fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    void step(std::int64_t until)
    {
        std::vector<pollfd> polled;
        std::vector<ConnectionPtr> connections(m_connections.begin(), m_connections.end());
        for (const auto& [fd, accepted] : m_listeners)
            polled.push_back({ fd, POLLIN, 0 });
        const std::size_t listeners = polled.size();
        for (const auto& connection : connections) {
            short events = connection->paused ? 0 : POLLIN;
            if (connection->connecting || !connection->out.empty())
                events |= POLLOUT;
            polled.push_back({ connection->fd, events, 0 });
        }
        std::int64_t wait = until - nowMs();
        if (!m_timers.empty())
            wait = std::min(wait, m_timers.begin()->first - nowMs());
        poll(polled.data(), polled.size(), static_cast<int>(std::clamp<std::int64_t>(wait, 0, 50)));
        for (std::size_t i = 0; i < listeners; ++i) {
            if (polled[i].revents)
                acceptAll(polled[i].fd);
        }
        for (std::size_t i = 0; i < connections.size(); ++i) {
            if (connections[i]->isOpen() && polled[listeners + i].revents)
                serve(connections[i], polled[listeners + i].revents);
        }
        while (!m_timers.empty() && m_timers.begin()->first <= nowMs()) {
            auto task = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            task();
        }
        // What was written meanwhile goes out at once.
        connections.assign(m_connections.begin(), m_connections.end());
        for (const auto& connection : connections) {
            if (connection->isOpen() && !connection->connecting && !connection->out.empty())
                flush(connection);
            else if (connection->isOpen() && connection->closeWhenSent && connection->out.empty())
                connection->close();
        }
    }

    void acceptAll(int listener)
    {
        const auto found = m_listeners.find(listener);
        if (found == m_listeners.end())
            return;
        const auto accepted = found->second;
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
                return;
            setNoDelay(fd);
            auto connection = std::make_shared<Connection>();
            connection->fd = fd;
            connection->loop = this;
            m_connections.insert(connection);
            accepted(connection);
        }
    }

    void serve(const ConnectionPtr& connection, short events)
    {
        if (connection->connecting) {
            int error = 0;
            socklen_t size = sizeof(error);
            getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) {
                lost(connection, true);
                return;
            }
            connection->connecting = false;
            if (connection->onOpen)
                connection->onOpen(*connection);
        }
        if ((events & POLLOUT) && !connection->out.empty())
            flush(connection);
        if (!connection->isOpen() || !(events & (POLLIN | POLLHUP | POLLERR)))
            return;
        char bytes[65536];
        while (connection->isOpen()) {
            const ssize_t size = recv(connection->fd, bytes, sizeof(bytes), 0);
            if (size > 0) {
                connection->in.append(bytes, static_cast<std::size_t>(size));
                if (connection->onData)
                    connection->onData(*connection);
                if (connection->paused)
                    return;
                continue;
            }
            if (size < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            lost(connection, size < 0);
            return;
        }
    }

    void flush(const ConnectionPtr& connection)
    {
        const ssize_t sent = send(connection->fd, connection->out.data(), connection->out.size(), MSG_NOSIGNAL);
        if (sent > 0)
            connection->out.erase(0, static_cast<std::size_t>(sent));
        else if (sent < 0 && errno != EAGAIN && errno != EINTR)
            lost(connection, true);
        if (connection->isOpen() && connection->out.empty() && connection->closeWhenSent)
            connection->close();
    }

    void lost(const ConnectionPtr& connection, bool isReset)
    {
        connection->close();
        if (connection->onClosed)
            connection->onClosed(*connection, isReset);
    }

    static inline volatile std::sig_atomic_t s_isTerminated = 0;
    bool m_stopped = false;
    std::multimap<std::int64_t, std::function<void()>> m_timers;
    std::map<int, std::function<void(ConnectionPtr)>> m_listeners;
    std::set<ConnectionPtr> m_connections;
};

inline void Connection::close()
{
    if (fd < 0)
        return;
    ::close(fd);
    fd = -1;
    loop->forget(shared_from_this());
}

// One HTTP message: a request or a response whose body has ended or grows.
struct Message {
    std::string startLine;
    Headers headers;
    std::string body;
    bool hasHead = false;
    bool isWhole = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name))
                return value;
        }
        return "";
    }
    bool has(const std::string& name) const
    {
        return std::any_of(headers.begin(), headers.end(), [&](const auto& h) { return lower(h.first) == lower(name); });
    }
    std::string word(int index) const
    {
        std::size_t start = 0;
        for (int i = 0; i < index; ++i)
            start = startLine.find(' ', start) + 1;
        return startLine.substr(start, startLine.find(' ', start) - start);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

// Reads messages with a length or in chunks from the bytes of one connection.
class Reader {
public:
    // Takes what it can; returns whether the message is whole. Bytes after it stay in the input.
    bool read(std::string& input, bool isResponse)
    {
        if (!message.hasHead) {
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos)
                return false;
            std::size_t start = input.find("\r\n");
            message.startLine = input.substr(0, start);
            while (start < end) {
                const std::size_t next = input.find("\r\n", start + 2);
                const std::string line = input.substr(start + 2, next - start - 2);
                const std::size_t colon = line.find(':');
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.headers.emplace_back(line.substr(0, colon), value);
                start = next;
            }
            input.erase(0, end + 4);
            message.hasHead = true;
            m_chunked = lower(message.header("Transfer-Encoding")) == "chunked";
            const std::string length = message.header("Content-Length");
            m_rest = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
            m_untilEnd = isResponse && !m_chunked && length.empty();
        }
        if (m_chunked)
            return readChunks(input);
        const std::size_t size = m_untilEnd ? input.size() : std::min(m_rest, input.size());
        message.body += input.substr(0, size);
        input.erase(0, size);
        m_rest -= m_untilEnd ? 0 : size;
        message.isWhole = !m_untilEnd && m_rest == 0;
        return message.isWhole;
    }
    void clear() { *this = Reader(); }
    Message message;

private:
    bool readChunks(std::string& input)
    {
        while (true) {
            if (m_inChunk) {
                const std::size_t size = std::min(m_rest, input.size());
                message.body += input.substr(0, size);
                input.erase(0, size);
                m_rest -= size;
                if (m_rest > 0 || input.size() < 2)
                    return false;
                input.erase(0, 2);
                m_inChunk = false;
            }
            const std::size_t end = input.find("\r\n");
            if (end == std::string::npos)
                return false;
            m_rest = std::strtoull(input.c_str(), nullptr, 16);
            if (m_rest == 0) {
                if (input.size() < end + 4)
                    return false;
                input.erase(0, end + 4);
                message.isWhole = true;
                return true;
            }
            input.erase(0, end + 2);
            m_inChunk = true;
        }
    }
    bool m_chunked = false;
    bool m_untilEnd = false;
    bool m_inChunk = false;
    std::size_t m_rest = 0;
};

inline std::string headText(const std::string& first, const Headers& headers)
{
    std::string text = first + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

inline std::string wholeAnswer(int status, Headers headers, const std::string& body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    return headText("HTTP/1.1 " + std::to_string(status) + " X", headers) + body;
}

inline std::string jsonAnswer(int status, const Json& body)
{
    return wholeAnswer(status, { { "Content-Type", "application/json" } }, body.dump());
}

// Calls the handler for each request that arrives on the port.
using Handler = std::function<void(ConnectionPtr, const Message&)>;
inline std::uint16_t serveHttp(Loop& loop, std::uint16_t port, Handler handler,
    std::function<void(ConnectionPtr)> closed = {}, int* descriptor = nullptr)
{
    return loop.listen(
        port,
        [handler, closed](ConnectionPtr connection) {
            auto reader = std::make_shared<Reader>();
            connection->onData = [handler, reader](Connection& c) {
                while (c.isOpen() && reader->read(c.in, false)) {
                    const Message message = reader->message;
                    reader->clear();
                    handler(c.shared_from_this(), message);
                }
            };
            connection->onClosed = [closed](Connection& c, bool) {
                if (closed)
                    closed(c.shared_from_this());
            };
        },
        descriptor);
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
        value |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
        value |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        text += digits[value >> 18 & 63];
        text += digits[value >> 12 & 63];
        text += i + 1 < bytes.size() ? digits[value >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? digits[value & 63] : '=';
    }
    return text;
}

inline std::string decoded(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// The platform's metadata store, as PROTOCOL.md describes it. Values stay in base64.
class Store {
public:
    explicit Store(Loop& loop)
        : m_loop(loop)
    {
        port = serveHttp(loop, 0, [this](ConnectionPtr c, const Message& m) { handle(c, m); });
        expireLeases();
    }
    void put(const std::string& key, const std::string& value) { write(key, base64(value), 0); answerWatches(); }
    void erase(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "deleted", true } });
        answerWatches();
    }
    std::string valueOf(const std::string& key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? "" : found->second.value("value", "");
    }
    // The first key that begins with the prefix and is held under the lease of some host.
    const std::map<std::string, Json>& items() const { return m_items; }
    std::uint16_t port = 0;

private:
    struct Watch {
        ConnectionPtr connection;
        std::string prefix;
        std::uint64_t after = 0;
        std::int64_t until = 0;
    };
    struct Lease {
        std::int64_t ttl = 0;
        std::int64_t endsAt = 0;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        std::size_t start = target.find('?');
        while (start != std::string::npos) {
            const std::size_t end = target.find('&', start + 1);
            const std::string pair = target.substr(start + 1, end - start - 1);
            if (pair.starts_with(name + "="))
                return decoded(pair.substr(name.size() + 1));
            start = end;
        }
        return "";
    }

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        Json& item = m_items[key];
        const std::uint64_t created = item.is_object() ? item["create_revision"].get<std::uint64_t>() : m_revision + 1;
        item = { { "key", key }, { "value", value }, { "revision", ++m_revision }, { "create_revision", created },
            { "lease", lease } };
        m_events.push_back(item);
    }

    void handle(ConnectionPtr c, const Message& m)
    {
        const std::string method = m.word(0);
        const std::string target = m.word(1);
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/kv-key") {
            const auto found = m_items.find(parameter(target, "key"));
            if (found == m_items.end())
                return c->write(jsonAnswer(404, { { "store_revision", m_revision } }));
            Json item = found->second;
            item["store_revision"] = m_revision;
            c->write(jsonAnswer(200, item));
        } else if (path == "/kv-range") {
            range(c, parameter(target, "prefix"), parameter(target, "after"));
        } else if (path == "/kv-watch") {
            m_watches.push_back({ c, parameter(target, "prefix"), std::stoull("0" + parameter(target, "after")),
                nowMs() + std::atoi(parameter(target, "wait_ms").c_str()) });
            answerWatches();
        } else if (path == "/kv-txn" && method == "POST") {
            transact(c, Json::parse(m.body));
        } else if (path == "/kv-lease") {
            const std::int64_t ttl = std::max<std::int64_t>(1000, Json::parse(m.body).value("ttl_ms", 1000));
            m_leases[++m_lastLease] = { ttl, nowMs() + ttl };
            c->write(jsonAnswer(200, { { "lease", m_lastLease }, { "ttl_ms", ttl } }));
        } else if (path.starts_with("/kv-keep/")) {
            const auto lease = m_leases.find(std::stoull("0" + path.substr(9)));
            if (lease == m_leases.end())
                return c->write(jsonAnswer(404, Json::object()));
            lease->second.endsAt = nowMs() + lease->second.ttl;
            c->write(jsonAnswer(200, { { "ttl_ms", lease->second.ttl } }));
        } else if (path.starts_with("/kv-lease-end/")) {
            const std::uint64_t id = std::stoull("0" + path.substr(14));
            const bool isKnown = m_leases.contains(id);
            endLease(id);
            c->write(jsonAnswer(isKnown ? 200 : 404, Json::object()));
        } else {
            c->write(jsonAnswer(404, Json::object()));
        }
    }

    void range(const ConnectionPtr& c, const std::string& prefix, const std::string& after)
    {
        Json items = Json::array();
        bool isTruncated = false;
        for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item) {
            if (!after.empty() && item->first <= after)
                continue;
            if (items.size() >= 500) {
                isTruncated = true;
                break;
            }
            items.push_back(item->second);
        }
        c->write(jsonAnswer(200, { { "items", items }, { "truncated", isTruncated }, { "store_revision", m_revision } }));
    }

    void transact(const ConnectionPtr& c, const Json& call)
    {
        bool holds = true;
        Json current = Json::array();
        for (const Json& row : call.value("expected", Json::array())) {
            const auto found = m_items.find(row["key"].get<std::string>());
            const std::uint64_t revision
                = found == m_items.end() ? 0 : found->second["revision"].get<std::uint64_t>();
            holds = holds && revision == row["revision"].get<std::uint64_t>();
            if (found != m_items.end())
                current.push_back(found->second);
        }
        if (!holds)
            return c->write(jsonAnswer(412, { { "items", current } }));
        for (const Json& row : call.value("writes", Json::array())) {
            const std::uint64_t lease = row.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return c->write(jsonAnswer(404, Json::object()));
        }
        for (const Json& row : call.value("writes", Json::array()))
            write(row["key"], row["value"], row.value("lease", std::uint64_t { 0 }));
        for (const Json& key : call.value("deletes", Json::array())) {
            if (m_items.erase(key.get<std::string>()) > 0)
                m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "deleted", true } });
        }
        c->write(jsonAnswer(200, { { "revision", m_revision } }));
        answerWatches();
    }

    void answerWatches()
    {
        std::vector<Watch> waiting;
        for (Watch& watch : m_watches) {
            if (!watch.connection->isOpen())
                continue;
            Json events = Json::array();
            for (const Json& event : m_events) {
                if (event["revision"].get<std::uint64_t>() > watch.after
                    && event["key"].get_ref<const std::string&>().starts_with(watch.prefix))
                    events.push_back(event);
            }
            if (events.empty() && nowMs() < watch.until)
                waiting.push_back(watch);
            else
                watch.connection->write(jsonAnswer(200, { { "events", events }, { "store_revision", m_revision } }));
        }
        m_watches = std::move(waiting);
    }

    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item["lease"].get<std::uint64_t>() == id)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            erase(key);
    }

    void expireLeases()
    {
        std::vector<std::uint64_t> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.endsAt <= nowMs())
                ended.push_back(id);
        }
        for (const std::uint64_t id : ended)
            endLease(id);
        while (m_events.size() > 20000)
            m_events.erase(m_events.begin(), m_events.begin() + 10000);
        answerWatches();
        m_loop.after(20, [this] { expireLeases(); });
    }

    Loop& m_loop;
    std::map<std::string, Json> m_items;
    std::vector<Json> m_events;
    std::vector<Watch> m_watches;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 500;
};

// A gateway process, started with the command of the deploy file and settings as the platform's template fills them.
class Gateway {
public:
    std::string name;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t peer = 0;
    std::uint16_t metrics = 0;
    pid_t pid = -1;
    int starts = 0;
    int endedByItself = 0;
    int lastStatus = 0;
    int memoryMb = 0;

    void start(const std::string& folder)
    {
        pid = fork();
        if (pid == 0) {
            // The gateway ends with the test, whatever ends that.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("CATKINWELL_NODE_FILE", (folder + "/" + name + ".json").c_str(), 1);
            const int log = open((folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            if (maxFds > 0) {
                const rlimit limit { maxFds, maxFds };
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            execl("target/catkinwell", "catkinwell", "gateway", "--config-variable", "CATKINWELL_NODE_FILE", nullptr);
            _exit(127);
        }
        ++starts;
    }
    // Returns whether the process has ended without a signal of this test.
    bool hasEnded()
    {
        int status = 0;
        if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid)
            return false;
        pid = -1;
        ++endedByItself;
        lastStatus = status;
        return true;
    }
    void kill(int number)
    {
        if (pid > 0)
            ::kill(pid, number);
    }
    void killAndWait()
    {
        if (pid <= 0)
            return;
        ::kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
    // Resident memory in MB.
    double residentMb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
    rlim_t maxFds = 6150;
};

inline bool isFree(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_ANY);
    const bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    return isFree;
}

// The first of two free ports in a row, below those that the kernel gives to connections.
inline std::uint16_t freePort()
{
    static int next = 12000 + getpid() % 300 * 64;
    while (!isFree(next) || !isFree(next + 1))
        next += 2;
    next += 2;
    return static_cast<std::uint16_t>(next - 2);
}

inline Gateway makeGateway(const std::string& folder, const std::string& name, const std::string& zone,
    std::uint16_t storePort, int memoryMb = 390)
{
    Gateway gateway;
    gateway.name = name;
    gateway.zone = zone;
    gateway.front = freePort();
    gateway.ready = freePort();
    gateway.metrics = freePort();
    // The relay listens on the port after that of the peers.
    gateway.peer = freePort();
    gateway.memoryMb = memoryMb;
    gateway.maxFds = memoryMb > 400 ? 8200 : 6150;
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const Json settings { { "host", name }, { "data_centre", zone }, { "caller_address", address(gateway.front) },
        { "status_address", address(gateway.ready) }, { "peer_address", address(gateway.peer) },
        { "metrics_address", address(gateway.metrics) }, { "store_address", address(storePort) },
        { "lease_ttl_ms", 2000 }, { "store_reconnect_ms", 3000 }, { "configuration_bound_ms", 2000 },
        { "owner_silence_ms", 3000 }, { "shutdown_grace_ms", 8e3 }, { "memory_mb", memoryMb },
        { "processor_share", 0.38 },
        { "requests", { { "retry_fraction", 0.2 }, { "retry_constant", 54 }, { "retry_window_ms", 10e3 } } },
        { "placement", { { "store_load_window_ms", 5e3 } } } };
    std::ofstream(folder + "/" + name + ".json") << settings.dump(2);
    return gateway;
}

// A temporary folder that ends with the test.
class Folder {
public:
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace Stand
