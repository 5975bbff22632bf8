#pragma once

#include "fleet/CallerLoad.h"

namespace Catkinwell::Testing {

enum class KeptHabit {
    // The caller goes on at any host when its host announces the end of the connection.
    LeavesWhenAsked,
    // The caller uses its connection until the host closes it, and connects to the same host until that is refused.
    StaysUntilGone,
};

// Runs callers that send orders, reads and streams. Each keeps its connection to a host and sends one request after the
// other on it until the host closes it or announces that it will; then the caller goes on at any host. Nothing is
// retried.
class KeptCallers {
public:
    // Callers wait for an answer for the time of their patience, which their requests state.
    KeptCallers(GatewayFleet&, std::size_t callers, std::uint64_t seed, std::chrono::milliseconds patience,
        KeptHabit = KeptHabit::LeavesWhenAsked);
    ~KeptCallers();

    // Ends the load and returns all requests that were written.
    std::vector<CallerRequest> stop();

private:
    void run(std::size_t caller, std::uint64_t seed);

    GatewayFleet& m_fleet;
    std::chrono::milliseconds m_patience;
    KeptHabit m_habit;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::vector<CallerRequest>> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace Catkinwell::Testing
