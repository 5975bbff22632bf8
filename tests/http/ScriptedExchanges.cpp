#include "http/ScriptedExchanges.h"

#include <thread>

namespace Catkinwell::Testing {

ScriptedExchanges::ScriptedExchanges(std::vector<ScriptedServer::Step> steps)
    : server(loop, std::move(steps))
{
}

ExchangeOutcome ScriptedExchanges::request(const std::string& id)
{
    HttpExchange exchange;
    exchange.address = "127.0.0.1:" + std::to_string(server.port());
    exchange.method = method;
    exchange.target = "/";
    exchange.headers = { { "X-Id", id } };
    exchange.echoHeader = echoHeader;
    exchange.silenceTimeout = std::chrono::milliseconds(400);
    exchange.maximumBodyBytes = longestBody;
    exchange.totalTimeout = totalTimeout;
    exchange.sendBefore = sendBefore;
    ExchangeOutcome outcome;
    HttpExchangeObserver observer;
    observer.onHead = [&](int status, const HeaderList& headers) {
        outcome.status = status;
        outcome.headers = headers;
    };
    observer.onData = [&](const std::string& data) { outcome.body += data; };
    observer.onFinished = [&] {
        outcome.isFinished = true;
        loop.stop();
    };
    observer.onFailed = [&](AttemptOutcome, AttemptFailure failure, const std::string& reason) {
        outcome.failure = failure;
        outcome.reason = reason;
        loop.stop();
    };
    client.start(exchange, observer);
    // The process stands still.
    std::this_thread::sleep_for(pauseAfterStart);
    loop.run();
    return outcome;
}

void ScriptedExchanges::pause(Duration duration)
{
    loop.callLater(duration, [this] { loop.stop(); });
    loop.run();
}

} // namespace Catkinwell::Testing
