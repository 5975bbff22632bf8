#pragma once

#include "fleet/GatewayFleet.h"
#include <atomic>

namespace Catkinwell::Testing {

// A request of a caller and its answer.
struct CallerRequest {
    std::string id;
    std::string path;
    std::string account;
    std::size_t host = 0;
    HttpAnswer answer;
    std::chrono::steady_clock::time_point sentAt;
    // If the request takes up a stream: the request that began it, and the last event of that one's answer.
    std::string resumes {};
    unsigned lastEvent = 0;
};

// Runs callers that send orders, reads and streams to all hosts. Each caller sends one request at a time. A stream that
// breaks after its first event is taken up again, once, at any host; nothing else is retried.
class CallerLoad {
public:
    CallerLoad(GatewayFleet&, std::size_t callers, std::uint64_t seed);
    ~CallerLoad();

    // Ends the load and returns all requests.
    std::vector<CallerRequest> stop();

private:
    void run(std::size_t caller, std::uint64_t seed);
    void resume(std::size_t caller, const std::string& model, std::size_t host);

    GatewayFleet& m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::vector<CallerRequest>> m_requests;
    std::vector<std::thread> m_threads;
};

// Checks the requests and the endpoints' records against the guarantees of the gateways. Returns one line for each
// violation: orders that ran twice, refused requests that ran, answers to other requests, complete streams with wrong
// content, streams with events of two software versions, requests that ran for another account, engines that were
// ordered to load more than fits, and orders of two hosts to one engine in quick succession.
std::vector<std::string> findViolations(const std::vector<CallerRequest>&, const EndpointHistory&, GatewayFleet&);

} // namespace Catkinwell::Testing
