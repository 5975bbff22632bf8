#pragma once

#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Catkinwell::Testing {

// Raw sockets on the loopback address, to send bytes that an HTTP library would not send.

// Connects to the port, sends the text and runs the loop until the peer closes the connection or the duration has
// passed. Returns the bytes received, followed by "<closed>" if the connection ended in order, or "<reset>".
std::string exchangeRaw(EventLoop&, std::uint16_t port, const std::string& text, Duration duration);

// A caller that sends its text at once and may leave before the listener has read it. Throws std::runtime_error if a
// socket call fails.
class BlockingCaller {
public:
    explicit BlockingCaller(std::uint16_t port);
    ~BlockingCaller() { leave(); }
    BlockingCaller(const BlockingCaller&) = delete;
    BlockingCaller& operator=(const BlockingCaller&) = delete;

    void send(const std::string& text) const;
    // Returns what has arrived so far.
    std::string received() const;
    // Whether the peer has closed the connection and all that it sent was received.
    bool isClosed() const;
    void leave();

private:
    int m_socket;
};

// Accepts connections and answers each request head with the next step; the last step is repeated.
class ScriptedServer {
public:
    struct Step {
        std::string answer;
        // Unsolicited bytes, sent on the same connection after the delay.
        std::string later {};
        Duration delay {};
        // Close the connection in order, or reset it, after the answer.
        bool closes = false;
        bool resets = false;
    };

    // Precondition: the loop outlives the server.
    ScriptedServer(EventLoop&, std::vector<Step>);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::uint16_t port() const;
    // The number of requests received.
    std::size_t requests() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell::Testing
