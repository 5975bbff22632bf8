#pragma once

#include "fleet/GatewayFleet.h"
#include <atomic>

namespace Catkinwell::Testing {

// One request of a caller and what became of it.
struct CallerRequest {
    std::string id;
    std::string path;
    std::string account;
    std::size_t host = 0;
    HttpAnswer answer;
    std::chrono::steady_clock::time_point sentAt;
};

// Callers that send orders, reads and streams to all hosts, one request at a time each, without repeats.
class CallerLoad {
public:
    CallerLoad(GatewayFleet&, std::size_t callers, std::uint64_t seed);
    ~CallerLoad();

    // Ends the load and returns all requests.
    std::vector<CallerRequest> stop();

private:
    void run(std::size_t caller, std::uint64_t seed);

    GatewayFleet& m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::vector<CallerRequest>> m_requests;
    std::vector<std::thread> m_threads;
};

// What the requests and the endpoints' records show against the promises of the gateways, one line each: orders that
// ran twice, refusals that ran, answers of other requests, streams that look whole but are not, other accounts,
// engines that were overfilled and hosts that took turns at one engine.
std::vector<std::string> brokenPromises(const std::vector<CallerRequest>&, const EndpointHistory&, GatewayFleet&);

} // namespace Catkinwell::Testing
