#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/http/HttpClient.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Catkinwell {

struct LoadSettings {
    // IP address and port of a host, or of an engine for a direct comparison.
    std::string address;
    std::string key;
    std::string model;
    std::uint64_t requests = 1000;
    // The number of requests in flight; with a rate, the maximum number of them.
    std::uint32_t concurrency = 16;
    // Requests started per second, regardless of whether earlier ones are answered. 0 starts a request whenever another
    // one ends.
    double rate = 0;
    bool stream = false;
    std::uint32_t maxTokens = 16;
    std::uint32_t promptBytes = 64;
    Duration timeout = std::chrono::seconds(60);
};

struct LoadResult {
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::map<std::string, std::uint64_t> failures;
    double seconds = 0;
    std::uint64_t tokens = 0;
    // Latencies in milliseconds.
    std::vector<double> latencies;
    std::vector<double> firstTokenTimes;
    std::vector<double> tokenGaps;
};

// Returns the quantile of the samples at the given fraction, or 0 if there are no samples.
double quantile(std::vector<double> samples, double fraction);

// Sends completion requests and measures the answers. Not thread safe.
class LoadGenerator {
public:
    // Precondition: the loop, the client and the clock outlive this object.
    LoadGenerator(EventLoop&, HttpClient&, const Clock&, LoadSettings);
    ~LoadGenerator();

    // Sends all requests and stops the loop after the last answer.
    void start();
    const LoadResult& result() const { return m_result; }

private:
    struct Request;

    void launch();
    void launchByRate();
    void finished(const std::shared_ptr<Request>&, bool complete, const std::string& failure);
    void noteTokens(Request&, std::string_view data);

    EventLoop& m_loop;
    HttpClient& m_client;
    const Clock& m_clock;
    LoadSettings m_settings;
    LoadResult m_result;
    std::string m_body;
    std::uint64_t m_started = 0;
    std::uint64_t m_ended = 0;
    MonotonicTime m_startedAt {};
};

std::string loadResultToJson(const LoadResult&);

} // namespace Catkinwell
