#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

struct ManyHostsCase {
    const char* name;
    std::size_t hosts;
    // Requests per second of the fleet, and how many of 100 are rejected at
    // first.
    double rate;
    unsigned rejected;
    // Least share of the rejected requests that are tried again, of 100.
    double triedAgain;
};

} // namespace

// Guards against a part of the retry budget that is less than one retry, so
// that a host of many never tries again, and against hosts that together try
// again more often than the service may.
TEST_CASE("The hosts of a large fleet share the retry budget")
{
    const auto test = GENERATE(values<ManyHostsCase>({
        { "4 hosts", 4, 100, 10, 95 },
        { "25 hosts", 25, 100, 8, 75 },
        { "65 hosts", 65, 200, 8, 60 },
        { "65 hosts, half of the requests rejected", 65, 200, 50, 10 },
    }));
    std::vector<std::unique_ptr<RequestsFixture>> hosts;
    for (std::size_t i = 0; i < test.hosts; ++i) {
        RequestsFixture& host = *hosts.emplace_back(std::make_unique<RequestsFixture>(i + 1));
        host.requests.setHostCount(test.hosts);
        for (const char* id : { "x0", "x1" })
            host.directory.put(sampleEndpoint(id, "orders"), host.now, host.effects);
    }
    std::minstd_rand random { 3 };
    std::vector<std::size_t> requests;
    std::vector<std::size_t> retries;
    std::size_t rejections = 0;
    for (Duration passed {}; passed < 40s; passed += 100ms) {
        requests.push_back(0);
        retries.push_back(0);
        for (auto& host : hosts)
            host->advance(100ms);
        for (int left = static_cast<int>(test.rate / 10); left > 0; --left) {
            RequestsFixture& host = *hosts[random() % hosts.size()];
            host.arrive("/order/1");
            ++requests.back();
            const bool isRejected = random() % 100 < test.rejected;
            host.answer(host.takeAttempts().at(0).id, isRejected ? 503 : 200,
                { { isRejected ? "not-executed" : "sealed", "1" } });
            rejections += isRejected;
            for (const StartAttempt& retry : host.takeAttempts()) {
                ++retries.back();
                host.answer(retry.id, 200);
            }
            host.effects.clear();
        }
    }
    INFO(test.name);
    const auto total = std::accumulate(retries.begin(), retries.end(), 0.0);
    CHECK(total >= static_cast<double>(rejections) * test.triedAgain / 100);
    constexpr std::size_t window = 100;
    for (std::size_t from = 0; from + window <= requests.size(); ++from) {
        const auto sum = [from](const std::vector<std::size_t>& counts) {
            const auto begin = counts.begin() + static_cast<std::ptrdiff_t>(from);
            return std::accumulate(begin, begin + window, 0.0);
        };
        REQUIRE(sum(retries) <= 0.2 * sum(requests) + 50);
    }
}
