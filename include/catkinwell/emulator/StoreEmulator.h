#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Catkinwell {

// Emulates the part of Consul's HTTP API that ConsulStoreClient uses on the platform's key-value service: reads,
// blocking queries, lists, transactions with one write, and sessions with a TTL. PUT /emulator/faults with {"down":
// bool, "drop_answers": n, "delay_ms": n, "save_copy": bool, "restore": bool} causes outages, answers that are lost
// after the write took effect, delays, and a restore from the last copy. GET /emulator/statistics counts reads, writes
// and waiting watches. Not thread safe.
class StoreEmulator {
public:
    StoreEmulator(EventLoop&, std::string address);
    ~StoreEmulator();

    // Errors: as CallerListener::start().
    Status start();
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
