#pragma once

#include <atomic>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
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

// Accepts connections and answers each request head with a step.
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
        // Send each byte of the answer by itself.
        bool isSlow = false;
    };

    // Returns the step that answers a request with this head.
    using Script = std::function<Step(const std::string& head)>;

    // Answers each request with the next step; the last step is repeated. Precondition: the loop outlives the server.
    ScriptedServer(EventLoop&, std::vector<Step>);
    ScriptedServer(EventLoop&, Script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::uint16_t port() const;
    // The number of requests received.
    std::size_t requests() const;
    // The number of connections accepted.
    std::size_t connections() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// A scripted server on a thread of its own, which also calls the script.
class ScriptedServerThread {
public:
    explicit ScriptedServerThread(ScriptedServer::Script);
    ~ScriptedServerThread();
    ScriptedServerThread(const ScriptedServerThread&) = delete;
    ScriptedServerThread& operator=(const ScriptedServerThread&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    EventLoop m_loop;
    ScriptedServer m_server;
    std::uint16_t m_port;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Catkinwell::Testing
