#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <sigc++/sigc++.h>
#include <string>
#include <string_view>

namespace Catkinwell {

// One request to another process.
struct HttpExchange {
    // IP address and port.
    std::string address;
    std::string method = "GET";
    std::string target;
    HeaderList headers;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Longest silence of the peer, before the head and between pieces of the body.
    Duration silenceTimeout = std::chrono::seconds(30);
    // Opens a connection of its own instead of using an idle one. A connection that was
    // idle can be lost at the moment of sending, and the outcome is then unknown.
    bool needsFreshConnection = false;
    // Uses the connection that became idle last and fails with NotSent if there is none. The
    // peer closes idle connections, so what this process delays for long is lost instead of late.
    bool needsIdleConnection = false;
    // The name of a request header that the peer repeats in its answer. An answer with another value belongs to another
    // request and is skipped. Empty for none.
    std::string echoHeader;
};

// Receives what becomes of an exchange: head, data, then exactly one of finished and failed.
struct HttpExchangeObserver {
    sigc::slot<void(int status, const HeaderList&)> onHead;
    sigc::slot<void(std::string data)> onData;
    sigc::slot<void()> onFinished;
    sigc::slot<void(AttemptOutcome, AttemptFailure, std::string reason)> onFailed;
};

// An HTTP/1.1 client on the event loop with a pool of idle connections for each
// address and one request at a time on a connection. A connection with bytes that
// no request asked for is closed, never used again. Not thread safe.
class HttpClient {
public:
    using ExchangeId = std::uint64_t;

    explicit HttpClient(EventLoop&);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts an exchange. The observer is never called before start() has returned.
    // Errors: an address that is not IP:port fails with NotSent.
    ExchangeId start(const HttpExchange&, HttpExchangeObserver);

    // Gives an exchange up and closes its connection; the observer is not called again.
    // An unknown identifier is ignored.
    void cancel(ExchangeId);

    // Stops or resumes reading the answer. The peer is slowed down by TCP meanwhile.
    void setPaused(ExchangeId, bool paused);

    std::size_t runningExchanges() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
