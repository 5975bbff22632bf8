#pragma once

#include <catkinwell/http/HttpClient.h>
#include <catkinwell/store/StoreTypes.h>
#include <sigc++/sigc++.h>
#include <string>

namespace Catkinwell {

// Performs store calls over Consul's published HTTP API: /v1/kv for reads, blocking
// queries and lists, /v1/txn for writes (it returns the new version), /v1/session for leases.
// A write with a lease uses the verb "lock": it succeeds if no other lease holds the
// key, whatever the expected version. Not thread safe; runs on the event loop.
class ConsulStoreClient {
public:
    // Preconditions: the address is IP:port; the loop, client and clock outlive this object.
    ConsulStoreClient(EventLoop&, HttpClient&, const Clock&, std::string address);

    // Starts the call; exactly one reply follows through signalReply(), at the latest after the call's timeout.
    void execute(const StoreCall&);

    sigc::signal<void(StoreReply)>& signalReply() { return m_signalReply; }

private:
    struct PendingCall;

    void complete(const std::shared_ptr<PendingCall>&, StoreReply);
    void finish(const std::shared_ptr<PendingCall>&);

    EventLoop& m_loop;
    HttpClient& m_client;
    const Clock& m_clock;
    std::string m_address;
    sigc::signal<void(StoreReply)> m_signalReply;
};

} // namespace Catkinwell
