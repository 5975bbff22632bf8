#pragma once

#include "fleet/PipelinedConnection.h"
#include <catkinwell/core/RandomGenerator.h>
#include <optional>

namespace Catkinwell::Testing {

// What a caller on a slow link does with one connection.
struct SlowHabits {
    // Requests that it keeps under way.
    std::size_t depth = 0;
    // Bytes that it reads at a time.
    std::size_t pace = 0;
    int receiveBuffer = 0;
    // Whether it sends no streams, which keep a host longer.
    bool isPlain = false;
};

// Runs callers on slow links: each sends many requests at once on a connection with a small receive buffer, reads their
// answers a few bytes at a time, and sends a new request for each answer, so that answers pile up at the host. When the
// host closes the connection the caller reads what has arrived and goes on at any host. Nothing is retried.
class SlowCallers {
public:
    // The seed determines the habits of each connection if none are given. Hosts are asked for an answer within the
    // patience.
    SlowCallers(GatewayFleet&, std::size_t callers, std::uint64_t seed, std::chrono::milliseconds patience,
        std::optional<SlowHabits> = std::nullopt);
    ~SlowCallers();

    // Ends the load, waits for the answers to what was sent, and returns all requests that were written.
    std::vector<CallerRequest> stop();

private:
    struct Caller {
        std::string name;
        RandomGenerator random;
        unsigned number = 0;
        std::vector<CallerRequest> requests {};
    };

    void run(Caller&);
    void useConnection(Caller&);
    void fill(Caller&, PipelinedConnection&, std::size_t host, const SlowHabits&);

    GatewayFleet& m_fleet;
    std::chrono::milliseconds m_patience;
    std::optional<SlowHabits> m_habits;
    std::atomic<bool> m_isStopping = false;
    std::deque<Caller> m_callers;
    std::vector<std::thread> m_threads;
};

} // namespace Catkinwell::Testing
