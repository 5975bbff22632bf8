#pragma once

#include <catkinwell/store/HttpStoreClient.h>

namespace Catkinwell {

// Performs store calls through Consul's HTTP API: /v1/kv for reads, blocking queries and lists, /v1/txn for writes
// because it returns the new version, /v1/session for leases. A write with a lease uses the verb "lock": it succeeds
// unless another lease holds the key, and ignores the expected version. Not thread safe; runs on the event loop.
class ConsulStoreClient : public HttpStoreClient {
public:
    // Preconditions: the address is IP:port; the loop, client and clock outlive this object.
    ConsulStoreClient(EventLoop&, HttpClient&, const Clock&, std::string address);
};

} // namespace Catkinwell
