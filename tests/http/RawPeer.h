#pragma once

#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Catkinwell::Testing {

// A peer that speaks raw bytes over loopback sockets, for what no well-behaved library would send.

// Connects to the port, sends the text and runs the loop until the peer closes or the time is over.
// Returns what came back.
std::string exchangeRaw(EventLoop&, std::uint16_t port, const std::string& text, Duration duration);

// Accepts connections and answers each request head with the next scripted text.
class ScriptedServer {
public:
    struct Step {
        std::string answer;
        // Sent on the same connection this much later, without a request.
        std::string later {};
        Duration delay {};
        // Closes in order, or resets, behind the answer.
        bool closes = false;
        bool resets = false;
    };

    // Precondition: the loop outlives the server.
    ScriptedServer(EventLoop&, std::vector<Step>);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    std::uint16_t port() const;
    // Requests that arrived so far.
    std::size_t requests() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell::Testing
