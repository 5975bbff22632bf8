#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/http/RequestCounts.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace Catkinwell {

class InputBudget;

struct TlsFiles {
    // PEM files of the certificate chain and of its private key.
    std::string certificateFile;
    std::string privateKeyFile;
};

// Limits on the size of a caller's request and on the time it may take to send it.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 32 * 1024;
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

struct ListenerSettings {
    // IP address and port; port 0 selects a free port.
    std::string address;
    // A larger body is rejected with status 413 and a typed error.
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    std::size_t maximumHeaderBytes = 32 * 1024;
    std::uint32_t maximumConnections = 20000;
    // Longest pause within a request's body, longest time that an idle connection stays open, and longest time for
    // which the caller may read nothing of a response.
    Duration idleTimeout = std::chrono::seconds(60);
    // Output bytes buffered for a slow caller above which its endpoint is throttled.
    std::size_t outputHighWatermark = 256 * 1024;
    // Longest time from the first to the last byte of a request's head.
    Duration headerTimeout = std::chrono::seconds(10);
    // A body that arrives more slowly than this, over the time beyond one idle timeout, is rejected; 0 for no minimum.
    // The slowest modems bring twenty times as much.
    std::size_t minimumBodyBytesPerSecond = 64;
    // Lower-case names of the request headers that are forwarded.
    std::vector<std::string> allowedHeaders;
    // Forwards the target and all headers as the caller sent them, except Authorization and hop-by-hop headers.
    bool forwardsUnchanged = false;
    // The header in which callers state the identifiers of their requests, for AnswerCut; empty if there is none.
    std::string requestIdHeader;
    // Empty file names select plain HTTP.
    TlsFiles tls;
};

// Receives HTTP requests and sends the responses. Emits a RequestArrived event for each complete request, with the
// caller's key replaced by its digest. Makes no routing or admission decisions. Not thread safe; runs on the event
// loop.
class CallerListener {
public:
    // Request identifiers start after firstRequestId, so that two listeners of a process can feed one reducer with
    // distinct identifiers.
    CallerListener(EventLoop&, ListenerSettings, std::uint64_t firstRequestId);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    // Accounts for the bytes of unfinished requests together with the other listeners that share the budget; without
    // one the listener has a budget without limits. Precondition: start() was not called.
    void shareInput(std::shared_ptr<InputBudget>);

    // Starts listening. Errors: Unavailable if the address cannot be bound, InvalidSettings for an invalid address or
    // unusable certificate files.
    Status start();

    // Returns the bound port. Precondition: start() succeeded.
    std::uint16_t port() const;

    // Accepts the connections that callers have opened so far and closes the listening socket. Open connections stay
    // open; each is closed after its current or next response.
    void stopAccepting();

    // Sends "Connection: close" with each response from now on and closes the connection after it. New connections are
    // still accepted.
    void beginClosing();

    // Replaces the limits on callers' requests. They apply at once, also to requests that are being read.
    void setLimits(const CallerLimits&);

    // Reloads the certificate files. Open connections keep the old certificate.
    // Errors: InvalidSettings; the old certificate stays in use.
    Status reloadCertificates();

    void execute(const SendResponseHead&);
    void execute(const SendResponseData&);
    void execute(const FinishResponse&);
    void execute(const SendWholeResponse&);
    void execute(const AbortResponse&);

    std::size_t openRequests() const;
    // All requests so far. Each one that was read whole is counted with one end at most.
    const RequestCounts& counts() const;
    // Reports the requests whose complete answer is not written as ended with the process. Precondition: the event loop
    // has stopped and does not run again.
    void endAtProcessEnd();
    // The number of connections on which a request has arrived in part, waits for its response, or has a response that
    // is not yet written to the socket completely.
    std::size_t busyConnections() const;

    // The bytes of responses that are buffered because callers have not read them yet, over all connections.
    std::size_t unsentBytes() const;

    sigc::signal<void(RequestArrived)>& signalRequest();
    sigc::signal<void(AnswerCut)>& signalAnswerCut();
    sigc::signal<void(CallerLeft)>& signalCallerLeft();
    sigc::signal<void(CallerBackpressure)>& signalBackpressure();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
