#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <optional>
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
    // Longest time without data from the peer, before the head and between parts of the body.
    Duration silenceTimeout = std::chrono::seconds(30);
    // Longest time for the whole exchange, for a peer that never ends its response; zero if the caller cancels in time.
    Duration totalTimeout {};
    // A longer response body fails with Garbage.
    std::size_t maximumBodyBytes = 16 * 1024 * 1024;
    // Opens a new connection instead of reusing an idle one. The peer may close an idle connection while the request is
    // being sent, which leaves the outcome unknown.
    bool needsFreshConnection = false;
    // Reuses the most recently used idle connection and fails with NotSent if there is none. Because the peer closes
    // idle connections, a request that this process delays for long is lost instead of arriving late.
    bool needsIdleConnection = false;
    // No byte of the request is sent at this time or later, also if the process stood still meanwhile; it then fails
    // with NotSent. Absent if it may be sent at any time.
    std::optional<MonotonicTime> sendBefore {};
    // Key by which withholdUnsent() finds the exchange; empty if it may not be withheld. Such a request is written as
    // soon as its connection is open, not in the event loop's next round.
    std::string withholdKey {};
    // Name of a request header that the peer repeats in its response. A response with another value belongs to another
    // request and is discarded. Empty to disable the check.
    std::string echoHeader;
};

// Callbacks of an exchange: onOpened if a new connection was opened for it, onUnframed if the response has neither a
// length nor chunks, onHead, then onData any number of times, then onFinished. onFailed ends the exchange at any point
// instead.
struct HttpExchangeObserver {
    // May be left empty.
    sigc::slot<void()> onOpened;
    sigc::slot<void()> onUnframed;
    sigc::slot<void(int status, const HeaderList&)> onHead;
    sigc::slot<void(std::string data)> onData;
    sigc::slot<void()> onFinished;
    sigc::slot<void(AttemptOutcome, AttemptFailure, std::string reason)> onFailed;
};

// An HTTP/1.1 client on the event loop with a pool of idle connections for each address. A connection carries one
// request at a time. A connection that received unsolicited bytes is closed and not reused, so that they cannot become
// part of another response. Nor is one that has carried a request with the same identifier, or that a refusal without
// an identifier came on, so that a second copy of a refusal cannot pass for the response to the next request. Not
// thread safe.
class HttpClient {
public:
    using ExchangeId = std::uint64_t;

    // Connections begin at the source address, an IP address of this host; the system chooses one if it is empty.
    explicit HttpClient(EventLoop&, std::string sourceAddress = "");
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts an exchange. The observer is never called before start() has returned.
    // Errors: an address that is not IP:port fails with NotSent.
    ExchangeId start(const HttpExchange&, HttpExchangeObserver);

    // Aborts an exchange and closes its connection; the observer is not called again. Does nothing for an unknown
    // identifier.
    void cancel(ExchangeId);

    // Fails all exchanges with this key whose connections are still being opened, with NotSent and Withheld.
    void withholdUnsent(const std::string& key);

    // Stops or resumes reading the response. While paused, TCP flow control slows the peer down.
    void setPaused(ExchangeId, bool paused);

    std::size_t runningExchanges() const;

    // Emitted before the exchange fails with Garbage.
    sigc::signal<void(const InvalidResponseReceived&)>& signalInvalidResponse();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
