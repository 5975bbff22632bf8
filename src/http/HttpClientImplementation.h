#pragma once

#include "http/ExchangeText.h"
#include "http/MessageReader.h"
#include "http/SocketAddress.h"
#include "http/SocketOptions.h"
#include <catkinwell/http/HttpClient.h>
#include <event2/bufferevent.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// The exchanges of a client and its pool of connections. Not thread safe.
class HttpClient::Implementation {
public:
    Implementation(EventLoop& loop, std::string sourceAddress)
        : m_loop(loop)
        , m_sourceAddress(std::move(sourceAddress))
        , m_alive(std::make_shared<bool>(true))
    {
        m_loop.callEvery(std::chrono::milliseconds(500), [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                closeStaleIdleConnections();
        });
    }

    ExchangeId start(const HttpExchange& request, HttpExchangeObserver observer);
    void cancel(ExchangeId id);
    void failOverdue(ExchangeId id);
    void withholdUnsent(const std::string& key);
    void setPaused(ExchangeId id, bool paused);
    std::size_t runningExchanges() const { return m_running.size(); }
    sigc::signal<void(const InvalidResponseReceived&)>& signalInvalidResponse() { return m_signalInvalidResponse; }

private:
    class Connection;
    using ConnectionList = std::vector<std::unique_ptr<Connection>>;

    // Returns a connection that has not carried a request with the same identifier.
    std::unique_ptr<Connection> takeIdleConnection(const std::string& address, const std::string& echoValue);
    void failLater(const HttpExchangeObserver&, std::string reason);
    // Moves the connection of a finished exchange to the idle pool, or closes it.
    void release(Connection&, bool reusable);
    void dropIdle(Connection&);
    void destroyLater(std::unique_ptr<Connection>);
    void closeStaleIdleConnections();

    // Returns a socket that begins at the source address; -1 if there is none or it cannot be used.
    int sourceSocket(int family) const;

    EventLoop& m_loop;
    std::string m_sourceAddress;
    SystemClock m_clock;
    std::shared_ptr<bool> m_alive;
    ExchangeId m_lastId = 0;
    std::unordered_map<ExchangeId, std::unique_ptr<Connection>> m_running;
    std::map<std::string, ConnectionList> m_idle;
    sigc::signal<void(const InvalidResponseReceived&)> m_signalInvalidResponse;
};

// One connection and its current exchange, if any.
class HttpClient::Implementation::Connection final : public MessageObserver {
public:
    Connection(Implementation& owner, std::string address)
        : m_owner(owner)
        , m_address(std::move(address))
        , m_reader(MessageReader::Kind::Response, *this)
    {
    }
    ~Connection() override
    {
        if (!m_stream)
            return;
        // Resets the connection so that unsent bytes of a cancelled request are not delivered later, for example after
        // a network partition ends.
        if (m_exchange != 0)
            resetOnClose(bufferevent_getfd(m_stream));
        bufferevent_free(m_stream);
    }

    // Starts connecting. Returns false if that failed at once.
    bool open(const SocketAddress&, Duration connectTimeout);
    void begin(ExchangeId, const HttpExchange&, HttpExchangeObserver);
    void failOverdue() { fail(AttemptFailure::Silence, "the response did not end in time"); }
    bool canBeWithheld(const std::string& key) const { return !m_isOpen && m_withholdKey == key; }
    void withhold() { fail(AttemptFailure::Withheld, "this host gave the request up before its connection opened"); }
    // Ensures that the observer is not called again.
    void detach() { m_detached = true; }
    void setPaused(bool paused);
    // Whether the idle connection can be reused at this time.
    bool isUsableAt(MonotonicTime now) const { return m_isOpen && now < m_usableUntil; }
    // Whether a request with this identifier was sent before. A second copy of its response would pass for that of a
    // new request with the same identifier.
    bool hasCarried(const std::string& echoValue) const;
    void becomeIdle(MonotonicTime now);

    ExchangeId exchange() const { return m_exchange; }
    const std::string& address() const { return m_address; }

private:
    static void readable(bufferevent*, void* context);
    static void eventOccurred(bufferevent*, short what, void* context);

    bool headRead(MessageHead) override;
    void bodyRead(std::string_view) override;
    void messageEnded() override;

    void readAvailable();
    void fail(AttemptFailure, const std::string& reason);
    void finish(bool reusable);
    void send();
    void setSilenceTimeout();
    // Whether the timeout says nothing about the peer, because the loop was behind. The exchange then goes on.
    bool goOnAfterLag(short what);

    Implementation& m_owner;
    std::string m_address;
    MessageReader m_reader;
    bufferevent* m_stream = nullptr;
    HttpExchangeObserver m_observer;
    ExchangeId m_exchange = 0;
    // The request until the connection is open.
    std::string m_unsent;
    std::optional<MonotonicTime> m_sendBefore;
    std::string m_withholdKey;
    Duration m_silenceTimeout {};
    // When the silence timeout was set, or bytes were read after that.
    MonotonicTime m_lastReadAt {};
    Duration m_idleTime = defaultIdleTime;
    MonotonicTime m_usableUntil {};
    std::string m_echoHeader;
    std::string m_echoValue;
    // Digests of the identifiers of all requests sent.
    std::vector<std::uint64_t> m_carried;
    bool m_isOpen = false;
    bool m_detached = false;
    bool m_isHeadRequest = false;
    // State of the current message.
    bool m_isSkipped = false;
    bool m_keepsAlive = false;
    int m_status = 0;
    // Bytes read since the request was sent: before the expected response, and of its body.
    std::size_t m_skippedBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_maximumBodyBytes = 0;
};

} // namespace Catkinwell
