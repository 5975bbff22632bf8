#include <algorithm>
#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/routing/CrashQuarantine.h>
#include <catkinwell/routing/RetryBudget.h>
#include <rapidcheck.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start { 1h };
constexpr RequestFingerprint culprit = 1;

// Hosts with one endpoint each. Only the culprit crashes endpoints, and it crashes every endpoint that runs it.
struct Fleet {
    std::vector<CrashQuarantine> hosts;
    RandomGenerator random;
    MonotonicTime now = start;
    int crashes = 0;

    Fleet(std::size_t count, std::uint64_t seed)
        : hosts(count)
        , random(seed)
    {
    }

    void run(std::size_t host, std::vector<RequestFingerprint> batch)
    {
        const EndpointId endpoint("engine-" + std::to_string(host));
        auto& quarantine = hosts[host];
        std::erase_if(batch, [&](auto fingerprint) { return quarantine.isRefused(fingerprint, now); });
        for (const auto fingerprint : batch)
            quarantine.attemptStarted(endpoint, fingerprint);
        now += 1s;
        const bool dies = std::find(batch.begin(), batch.end(), culprit) != batch.end();
        for (const auto fingerprint : batch) {
            // A broken connection is often noticed before the death of the endpoint is detected.
            if (!dies || random.below(2) == 0)
                quarantine.attemptEnded(endpoint, fingerprint, !dies, now);
        }
        if (dies) {
            ++crashes;
            quarantine.endpointDied(endpoint, now);
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            const auto shared = hosts[from].nextDigest(now);
            for (std::size_t to = 0; to < hosts.size(); ++to) {
                if (to != from)
                    hosts[to].merge(HostId("host-" + std::to_string(from)), shared, now);
            }
        }
    }
};

} // namespace

// Guards against a request that crashes endpoints repeatedly, and against refusing requests that only ran beside it.
TEST_CASE("a crashing request is refused after at most 3 crashes across all hosts, and other requests are cleared")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        Fleet fleet(1 + seed % 4, seed);
        for (int round = 0; round < 30; ++round) {
            std::vector<RequestFingerprint> batch;
            if (fleet.random.below(2) == 0)
                batch.push_back(culprit);
            for (RequestFingerprint innocent = 2; innocent < 8; ++innocent) {
                if (fleet.random.below(3) == 0)
                    batch.push_back(innocent);
            }
            const auto host = fleet.random.below(fleet.hosts.size());
            const int crashes = fleet.crashes;
            const auto refusedBefore = fleet.hosts[host];
            fleet.run(host, batch);
            fleet.exchange();
            for (const auto fingerprint : batch) {
                const bool ranClean = fleet.crashes == crashes && fingerprint != culprit
                    && !refusedBefore.isRefused(fingerprint, fleet.now);
                for (const auto& other : fleet.hosts)
                    RC_ASSERT(!ranClean || !other.isRefused(fingerprint, fleet.now));
            }
        }
        RC_ASSERT(fleet.crashes <= 3);
    });
    CHECK(holds);
}

// Guards against a refusal after 2 crashes while other participants in each of them are still suspects.
TEST_CASE("two crashes suffice only if every other participant in one of them was cleared")
{
    Fleet fleet(1, 0);
    fleet.run(0, { culprit, 2 });
    fleet.run(0, { culprit, 3 });
    auto& host = fleet.hosts[0];
    CHECK_FALSE(host.isRefused(culprit, fleet.now));
    fleet.run(0, { 2 });
    CHECK(host.isRefused(culprit, fleet.now));
    CHECK(host.takeNewlyRefused() == std::vector<RequestFingerprint> { culprit });
    CHECK_FALSE(host.isRefused(2, fleet.now));
    SECTION("a release by an operator clears the fingerprint")
    {
        host.release(culprit);
        CHECK_FALSE(host.isRefused(culprit, fleet.now));
    }
    SECTION("a suspicion expires after an hour")
    {
        CHECK(host.isRefused(culprit, fleet.now + 59min));
        CHECK_FALSE(host.isRefused(culprit, fleet.now + 61min));
    }
}

// Guards against memory usage that grows with the number of crashes.
TEST_CASE("the quarantine's memory is bounded")
{
    CrashQuarantineSettings settings;
    settings.maximumFingerprints = 50;
    CrashQuarantine quarantine(settings);
    for (RequestFingerprint fingerprint = 1; fingerprint <= 500; ++fingerprint) {
        quarantine.attemptStarted(EndpointId("engine"), fingerprint);
        quarantine.endpointDied(EndpointId("engine"), start + fingerprint * 1ms);
    }
    CHECK(quarantine.size() == 50);
}

// Guards against retries that multiply the load on failing endpoints.
TEST_CASE("retries are limited to a tenth of the requests plus a constant rate")
{
    RetryBudget budget;
    int retries = 0;
    const int requests = 10000;
    for (int i = 0; i < requests; ++i) {
        const auto now = start + i * 1ms;
        budget.requestStarted(now);
        retries += budget.tryRetry(now);
    }
    // 10000 requests in 10 s allow 1000 retries by the fraction, 10 by the constant rate, and the initial one.
    CHECK(retries <= 0.1 * requests + 10 + 1);
    CHECK(retries >= 0.1 * requests);
}
