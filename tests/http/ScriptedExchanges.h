#pragma once

#include "http/RawSockets.h"
#include <catkinwell/http/HttpClient.h>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell::Testing {

// How one exchange of a client ended.
struct ExchangeOutcome {
    int status = 0;
    HeaderList headers;
    std::string body;
    bool isFinished = false;
    std::optional<AttemptFailure> failure;
    std::string reason;
};

// A client and a scripted server on one loop.
class ScriptedExchanges {
public:
    static constexpr std::size_t longestBody = 1024 * 1024;

    explicit ScriptedExchanges(std::vector<ScriptedServer::Step>);

    // Sends a request with the identifier and waits for its end.
    ExchangeOutcome request(const std::string& id);
    // Runs the loop for the duration.
    void pause(Duration);

    EventLoop loop;
    ScriptedServer server;
    HttpClient client { loop };
    Duration totalTimeout = std::chrono::seconds(5);
    std::string method = "GET";
    std::string echoHeader = "X-Id";
    std::optional<MonotonicTime> sendBefore;
    Duration pauseAfterStart {};
};

} // namespace Catkinwell::Testing
