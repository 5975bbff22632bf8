#include <catch2/catch.hpp>
#include <catkinwell/routing/AnsweredParts.h>
#include <catkinwell/routing/SuspectTrials.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr PromptPartHash part = 1;
constexpr PromptPartHash otherPart = 2;
constexpr MonotonicTime crashAt { 1h };

Suspicion weak(PromptParts parts) { return { std::move(parts), {}, crashAt }; }
Suspicion strong(PromptParts parts) { return { parts, parts, crashAt }; }

// Hosts that hear of each other's trials with a delay.
struct TrialFleet {
    explicit TrialFleet(std::size_t count)
    {
        std::set<HostId> all;
        for (std::size_t i = 0; i < count; ++i)
            all.insert(idOf(i));
        for (std::size_t i = 0; i < count; ++i) {
            hosts.emplace_back(idOf(i));
            std::set<HostId> peers = all;
            peers.erase(idOf(i));
            hosts.back().setPeers(peers);
        }
    }

    static HostId idOf(std::size_t host) { return HostId("host" + std::to_string(host)); }

    // Every host sends a request with the part as soon as it may, for the time given. Returns the number of trials that
    // ran at the same time.
    std::size_t startAll(const Suspicion& suspicion, Duration duration, bool isConnected = true)
    {
        std::set<std::size_t> running;
        std::vector<std::vector<PromptPartHash>> reports(hosts.size());
        for (const MonotonicTime end = now + duration; now < end; now += 20ms) {
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                if (!running.contains(i) && hosts[i].mayStart(suspicion, now)) {
                    hosts[i].started(RequestId(1), suspicion);
                    running.insert(i);
                }
            }
            for (std::size_t from = 0; isConnected && from < hosts.size(); ++from) {
                for (std::size_t to = 0; to < hosts.size(); ++to) {
                    if (to != from)
                        hosts[to].merge(idOf(from), reports[from], now);
                }
                reports[from] = hosts[from].report(now);
            }
        }
        return running.size();
    }

    std::vector<SuspectTrials> hosts;
    MonotonicTime now = crashAt + 10s;
};

struct TrialCase {
    const char* name;
    std::size_t hosts;
    Suspicion suspicion;
    bool isConnected;
    std::size_t expectedTrials;
    std::size_t expectedMost;
};

} // namespace

// Guards against requests with a suspected part that are all sent at once.
TEST_CASE("Requests with a strongly suspected part are tried one at a time in the fleet")
{
    const auto test = GENERATE(values<TrialCase>({
        { "one host", 1, strong({ part }), true, 1, 1 },
        { "several hosts", 4, strong({ part }), true, 1, 1 },
        { "more hosts than turns", 12, strong({ part }), true, 1, 1 },
        { "one of several parts", 4, { { part, otherPart }, { part }, crashAt }, true, 1, 1 },
        { "one crash accuses the part", 4, weak({ part }), false, 4, 4 },
        { "hosts that do not hear of each other", 4, strong({ part }), false, 4, 4 },
        { "nothing is suspected", 4, {}, true, 4, 4 },
    }));
    INFO(test.name);
    TrialFleet fleet(test.hosts);
    const std::size_t trials = fleet.startAll(test.suspicion, 2s, test.isConnected);
    CHECK(trials >= test.expectedTrials);
    CHECK(trials <= test.expectedMost);
}

// Guards against requests that wait for a trial that has ended, or that nobody reports any more.
TEST_CASE("A trial that ended lets the next one start")
{
    SuspectTrials trials(HostId("a"));
    trials.setPeers({ HostId("b") });
    const MonotonicTime now = crashAt + 10s;
    SECTION("at this host")
    {
        trials.started(RequestId(1), weak({ part }));
        CHECK_FALSE(trials.mayStart(weak({ part, otherPart }), now));
        CHECK(trials.mayStart(weak({ otherPart }), now));
        trials.ended(RequestId(1), now);
        CHECK(trials.mayStart(weak({ part }), now));
        // The peers hear of the outcome first.
        CHECK(trials.report(now) == std::vector<PromptPartHash> { part });
        CHECK(trials.report(now + 300ms).empty());
    }
    SECTION("at another host that reports no trial any more")
    {
        trials.merge(HostId("b"), { part }, now);
        CHECK_FALSE(trials.mayStart(weak({ part }), now + 1s));
        trials.merge(HostId("b"), {}, now);
        CHECK(trials.mayStart(weak({ part }), now + 1s));
    }
    SECTION("at another host that fell silent or left")
    {
        trials.merge(HostId("b"), { part }, now);
        CHECK(trials.mayStart(weak({ part }), now + 4s));
        trials.setPeers({});
        CHECK(trials.mayStart(weak({ part }), now));
    }
}

// Guards against a trial that starts before the hosts have heard of the crash before it.
TEST_CASE("A strongly suspected part is not tried right after a crash")
{
    SuspectTrials trials(HostId("a"));
    CHECK_FALSE(trials.mayStart(strong({ part }), crashAt + 100ms));
    CHECK(trials.mayStart(strong({ part }), crashAt + 700ms));
    CHECK(trials.mayStart(weak({ part }), crashAt + 100ms));
}

// Guards against memory that grows with the number of different prompts.
TEST_CASE("Answered parts are remembered for a time and up to a number")
{
    AnsweredParts parts(100, 10min);
    MonotonicTime now { 1h };
    parts.insert(part, now);
    CHECK(parts.contains(part, now + 4min));
    CHECK_FALSE(parts.contains(part, now + 10min));
    CHECK_FALSE(parts.contains(otherPart, now));
    for (std::uint64_t i = 0; i < 1000; ++i)
        parts.insert(1000 + i, now);
    CHECK_FALSE(parts.contains(part, now));
    CHECK(parts.contains(1999, now));
}
