#pragma once

#include "http/MessageReader.h"
#include "process/ProcessHarness.h"

namespace Catkinwell::Testing {

// How an exchange on a kept connection ended.
enum class ExchangeEnd {
    Answered,
    // The peer closed or reset the connection after the whole request was written, before its answer was complete.
    Closed,
    // The peer closed or reset it before that.
    NotSent,
    TimedOut,
};

struct KeptExchange {
    ExchangeEnd end = ExchangeEnd::NotSent;
    HttpAnswer answer;
};

// Connects the socket to the port on 127.0.0.1. Returns whether it could.
bool connectToLoopback(int socket, std::uint16_t port);

// Returns the bytes of the request.
std::string textOf(const HttpCall&);

enum class CloseAnnouncement {
    Followed,
    // The caller goes on until the peer closes the connection.
    Ignored,
};

// A connection to 127.0.0.1 on which a caller sends one request after the other until the peer closes it or announces
// that it will. Blocks; not thread safe.
class KeptConnection {
public:
    // A caller on a slow link has small buffers, the segments of Ethernet, and reads this many bytes per second; zero
    // means as many as arrive.
    explicit KeptConnection(
        std::uint16_t port, CloseAnnouncement = CloseAnnouncement::Followed, std::size_t bytesPerSecond = 0);
    ~KeptConnection();
    KeptConnection(const KeptConnection&) = delete;
    KeptConnection& operator=(const KeptConnection&) = delete;

    bool isOpen() const { return m_socket >= 0; }
    // Whether an answer has announced that the peer closes the connection.
    bool isCloseAnnounced() const { return m_isCloseAnnounced; }
    // Precondition: isOpen(). Any end but an answer closes the connection.
    KeptExchange exchange(const HttpCall&);

private:
    class AnswerReader;

    bool write(const std::string&) const;
    ExchangeEnd read(AnswerReader&, std::chrono::milliseconds timeout) const;
    void close();
    std::size_t maximumRead() const;
    // Waits until so many bytes are due since the start.
    void waitForLink(std::chrono::steady_clock::time_point start, std::size_t bytes) const;

    std::size_t m_bytesPerSecond;
    int m_socket = -1;
    CloseAnnouncement m_announcement;
    bool m_isCloseAnnounced = false;
};

} // namespace Catkinwell::Testing
