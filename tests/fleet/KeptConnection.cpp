#include "fleet/KeptConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Catkinwell::Testing {

namespace {

    constexpr int segmentBytes = 1460;
    constexpr int slowReceiveBuffer = 32 * 1024;
    constexpr std::size_t usualRead = 16384;
    constexpr std::size_t slowReadsPerSecond = 50;

} // namespace

bool connectToLoopback(int socket, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

std::string textOf(const HttpCall& call)
{
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

class KeptConnection::AnswerReader final : public MessageObserver {
public:
    // Returns false if the bytes are no answer.
    bool consume(std::string_view bytes)
    {
        while (!bytes.empty() && !m_reader.hasEnded() && !m_reader.hasFailed())
            bytes.remove_prefix(m_reader.consume(bytes));
        return !m_reader.hasFailed();
    }
    void noteClosed() { m_reader.connectionEnded(); }
    bool hasEnded() const { return m_reader.hasEnded(); }
    bool keepsAlive() const { return m_keepsAlive; }
    HttpAnswer takeAnswer()
    {
        m_answer.complete = hasEnded();
        return std::move(m_answer);
    }

private:
    bool headRead(MessageHead head) override
    {
        m_answer.status = head.status;
        m_answer.headers = { head.headers.begin(), head.headers.end() };
        m_keepsAlive = head.keepAlive && !head.endsWithConnection;
        return true;
    }
    void bodyRead(std::string_view data) override { m_answer.body += data; }
    void messageEnded() override { }

    MessageReader m_reader { MessageReader::Kind::Response, *this };
    HttpAnswer m_answer;
    bool m_keepsAlive = false;
};

KeptConnection::KeptConnection(std::uint16_t port, CloseAnnouncement announcement, std::size_t bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
    , m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_announcement(announcement)
{
    if (m_bytesPerSecond > 0) {
        // Without these, the kernel takes in a large answer at once.
        setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &slowReceiveBuffer, sizeof(slowReceiveBuffer));
    }
    if (!connectToLoopback(m_socket, port))
        close();
}

KeptConnection::~KeptConnection() { close(); }

void KeptConnection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool KeptConnection::write(const std::string& text) const
{
    std::string_view rest = text;
    while (!rest.empty()) {
        const ssize_t written = send(m_socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

std::size_t KeptConnection::maximumRead() const
{
    return m_bytesPerSecond == 0 ? usualRead : std::min(usualRead, m_bytesPerSecond / slowReadsPerSecond);
}

void KeptConnection::waitForLink(std::chrono::steady_clock::time_point start, std::size_t bytes) const
{
    if (m_bytesPerSecond > 0)
        std::this_thread::sleep_until(start + std::chrono::milliseconds(bytes * 1000 / m_bytesPerSecond));
}

ExchangeEnd KeptConnection::read(AnswerReader& reader, std::chrono::milliseconds timeout) const
{
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + timeout;
    std::size_t bytesRead = 0;
    while (!reader.hasEnded()) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd readable { m_socket, POLLIN, 0 };
        if (left.count() <= 0 || poll(&readable, 1, static_cast<int>(left.count())) == 0)
            return ExchangeEnd::TimedOut;
        waitForLink(start, bytesRead);
        std::array<char, usualRead> bytes {};
        const ssize_t size = recv(m_socket, bytes.data(), maximumRead(), 0);
        if (size == 0)
            reader.noteClosed();
        if (size <= 0)
            return reader.hasEnded() ? ExchangeEnd::Answered : ExchangeEnd::Closed;
        if (!reader.consume({ bytes.data(), static_cast<std::size_t>(size) }))
            return ExchangeEnd::Closed;
        bytesRead += static_cast<std::size_t>(size);
    }
    return ExchangeEnd::Answered;
}

KeptExchange KeptConnection::exchange(const HttpCall& call)
{
    if (!write(textOf(call))) {
        close();
        return {};
    }
    AnswerReader reader;
    const ExchangeEnd end = read(reader, call.timeout);
    m_isCloseAnnounced = m_isCloseAnnounced || (end == ExchangeEnd::Answered && !reader.keepsAlive());
    if (end != ExchangeEnd::Answered || (m_isCloseAnnounced && m_announcement == CloseAnnouncement::Followed))
        close();
    return { end, reader.takeAnswer() };
}

} // namespace Catkinwell::Testing
