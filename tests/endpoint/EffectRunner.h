#pragma once

#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/HttpClient.h>
#include <optional>

namespace Catkinwell::Testing {

// A client for endpoints and an endpoint that gives one answer, on one loop.
class EffectRunner {
public:
    explicit EffectRunner(const std::string& answer)
        : m_server(loop, { { answer } })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    // Lets the client execute the effect, runs the loop until the signal is emitted, and returns what it told.
    template <typename Event, typename Client, typename Effect>
    Event wait(sigc::signal<void(Event)>& signal, Client& client, const Effect& effect)
    {
        std::optional<Event> received;
        signal.connect([&](const Event& event) {
            received = event;
            loop.stop();
        });
        client.execute(effect);
        loop.callLater(std::chrono::seconds(5), [this] { loop.stop(); });
        loop.run();
        REQUIRE(received);
        return *received;
    }

    EventLoop loop;
    SystemClock clock;
    HttpClient http { loop };

private:
    ScriptedServer m_server;
};

} // namespace Catkinwell::Testing
