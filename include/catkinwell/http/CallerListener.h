#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace Catkinwell {

struct TlsFiles {
    // PEM files of the certificate chain and of its private key.
    std::string certificateFile;
    std::string privateKeyFile;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 32 * 1024;
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

struct ListenerSettings {
    // IP address and port; port 0 takes a free one.
    std::string address;
    // A larger body is refused with a typed error.
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    std::size_t maximumHeaderBytes = 32 * 1024;
    std::uint32_t maximumConnections = 20000;
    // Longest silence of a caller that is sending a request or reading an answer, and of an idle connection.
    Duration idleTimeout = std::chrono::seconds(60);
    // Bytes that may wait for a slow caller before its endpoint is throttled.
    std::size_t outputHighWatermark = 256 * 1024;
    // Longest time from the first byte of a request's head to its last.
    Duration headerTimeout = std::chrono::seconds(10);
    // Names, in lower case, of the request headers that are handed on.
    std::vector<std::string> allowedHeaders;
    // Hands on the target and all headers as the caller sent them, but for Authorization and those that concern one
    // connection only.
    bool forwardsUnchanged = false;
    // Clear for plain HTTP.
    TlsFiles tls;
};

// Receives HTTP requests and sends the answers. It translates only: every
// complete request becomes a RequestArrived event, without the caller's key,
// which is replaced by its digest. Not thread safe; runs on the event loop.
class CallerListener {
public:
    // Request identifiers start after firstRequestId, so that two listeners of a process can share the reducer.
    CallerListener(EventLoop&, ListenerSettings, std::uint64_t firstRequestId);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    // Starts to listen. Errors: Unavailable when the address cannot be bound, InvalidSettings for
    // a wrong address or unusable certificate files.
    Status start();

    // The port in use after start().
    std::uint16_t port() const;

    // Closes the listening socket; open connections go on, and each is closed after its current answer.
    void stopAccepting();

    // Announces with each answer that its connection closes; connections are still accepted.
    void beginClosing();

    // Replaces the bounds on what callers may send; they hold for the next request of each connection.
    void setLimits(const CallerLimits&);

    // Reads the certificate files again; connections that are open keep the old certificate.
    // Errors: InvalidSettings, and the old certificate stays in use.
    Status reloadCertificates();

    void execute(const SendResponseHead&);
    void execute(const SendResponseData&);
    void execute(const FinishResponse&);
    void execute(const SendWholeResponse&);
    void execute(const AbortResponse&);

    std::size_t openRequests() const;
    // Finished answers that have not left completely.
    std::size_t unflushedAnswers() const;

    sigc::signal<void(RequestArrived)>& signalRequest();
    sigc::signal<void(CallerLeft)>& signalCallerLeft();
    sigc::signal<void(CallerBackpressure)>& signalBackpressure();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
