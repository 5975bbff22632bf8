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
    MonotonicTime sentAt;
    // If the request takes up a stream: the request that began it, and the last event of that one's answer.
    std::string resumes {};
    unsigned lastEvent = 0;
    // If the caller keeps its connection: when the exchange ended, and whether the connection closed after the whole
    // request was written and before its answer was complete.
    MonotonicTime endedAt {};
    bool wasClosed = false;
    // If the caller writes requests without waiting for answers: when all before it on its connection were answered.
    MonotonicTime firstAt {};
    // Whether the host need not have read it: an answer before it on the connection announced the end of the
    // connection, or a request before it got no answer.
    bool mayBeUnread = false;
};

// Returns the call that sends the request to the port, with a caller that waits for an answer for the given time.
HttpCall callOf(const CallerRequest&, std::uint16_t port, const std::string& model, std::chrono::milliseconds patience);

// Runs callers that send orders, reads and streams to all hosts. Each caller sends one request at a time. A stream that
// breaks after its first event is taken up again, once, at any host; nothing else is retried.
class CallerLoad {
public:
    static constexpr std::chrono::milliseconds usualPatience = std::chrono::seconds(8);

    // Callers wait for an answer for the time of their patience, which their requests state.
    CallerLoad(
        GatewayFleet&, std::size_t callers, std::uint64_t seed, std::chrono::milliseconds patience = usualPatience);
    ~CallerLoad();

    // Ends the load and returns all requests.
    std::vector<CallerRequest> stop();

private:
    void run(std::size_t caller, std::uint64_t seed);
    void resume(std::size_t caller, const std::string& model, std::size_t host);

    GatewayFleet& m_fleet;
    std::chrono::milliseconds m_patience;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::vector<CallerRequest>> m_requests;
    std::vector<std::thread> m_threads;
};

// A caller that sends the same request again and again, each time under another identifier and at any host, whatever
// the answer.
class RepeatingCaller {
public:
    RepeatingCaller(GatewayFleet&, std::string path, std::chrono::milliseconds pause, std::uint64_t seed);
    ~RepeatingCaller();

    // Ends the caller and returns its requests.
    std::vector<CallerRequest> stop();

private:
    void run(std::chrono::milliseconds pause, std::uint64_t seed);

    GatewayFleet& m_fleet;
    std::string m_path;
    std::atomic<bool> m_isStopping = false;
    std::vector<CallerRequest> m_requests;
    std::thread m_thread;
};

// Checks the requests and the endpoints' records against the guarantees of the gateways. Returns one line for each
// violation: orders that ran twice, refused requests that ran, answers to other requests, complete streams with wrong
// content, streams with events of two software versions, requests that ran for another account, engines that were
// ordered to load more than fits, and orders of two hosts to one engine in quick succession.
std::vector<std::string> findViolations(const std::vector<CallerRequest>&, const EndpointHistory&, GatewayFleet&);

} // namespace Catkinwell::Testing
