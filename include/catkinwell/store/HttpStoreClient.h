#pragma once

#include <catkinwell/http/HttpClient.h>
#include <catkinwell/store/StoreEpochTracker.h>
#include <catkinwell/store/StoreTypes.h>
#include <memory>
#include <sigc++/sigc++.h>
#include <string>

namespace Catkinwell {

// Maps store operations to the requests and responses of an HTTP API. Implementations are pure and thread safe.
class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;

    // Returns the request without its address.
    virtual HttpExchange requestOf(const StoreOperation&) const = 0;
    // Interprets a complete response. Returns the status Unknown for a body that does not follow the protocol.
    virtual StoreReply replyOf(const StoreOperation&, int httpStatus, const std::string& body) const = 0;
    // Returns the epoch that a response states, or 0.
    virtual StoreEpoch epochOf(const HeaderList&) const { return 0; }
};

// Performs store calls over HTTP. Reads all pages of a paginated list. Detects that the store was restored: a call that
// was sent in one epoch and answered in another ends as a lost reply or a lost history. Not thread safe; runs on the
// event loop.
class HttpStoreClient {
public:
    // Preconditions: the address is IP:port; the loop, client, clock and protocol outlive this object.
    HttpStoreClient(EventLoop&, HttpClient&, const Clock&, std::string address, const StoreProtocol&);

    // Starts the call. Emits signalReply() exactly once, at the latest after the call's timeout, to which a watch adds
    // its wait.
    void execute(const StoreCall&);

    // Returns the number of calls without a reply that may change the store.
    std::size_t runningWrites() const { return m_runningWrites; }

    sigc::signal<void(StoreReply)>& signalReply() { return m_signalReply; }
    // Emitted before the reply that shows the new epoch.
    sigc::signal<void(StoreRestored)>& signalRestored() { return m_signalRestored; }

private:
    struct PendingCall;

    void send(const std::shared_ptr<PendingCall>&);
    void complete(const std::shared_ptr<PendingCall>&, StoreReply);
    void finish(const std::shared_ptr<PendingCall>&);

    EventLoop& m_loop;
    HttpClient& m_client;
    const Clock& m_clock;
    std::string m_address;
    const StoreProtocol& m_protocol;
    sigc::signal<void(StoreReply)> m_signalReply;
    sigc::signal<void(StoreRestored)> m_signalRestored;
    StoreEpochTracker m_epochs;
    std::size_t m_runningWrites = 0;
};

} // namespace Catkinwell
