#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/EndpointLimits.h>
#include <deque>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const EndpointId engine("engine");

struct LimitCase {
    const char* name;
    std::size_t hosts;
    double requestsPerSecond;
    // Requests that callers send to the fleet each second.
    double demand;
    // Hosts with smaller numbers cannot reach the others; 0 for no partition.
    std::size_t firstGroup;
    // Whether every host restarts in the middle.
    bool restarts;
};

// Hosts that send requests to one limited endpoint and exchange digests.
class LimitedFleet {
public:
    explicit LimitedFleet(const LimitCase& test)
        : m_test(test)
        , m_random(7)
        , m_digestInterval(std::max<Duration>(200ms, 12ms * static_cast<int>(test.hosts)))
    {
        for (std::size_t host = 0; host < test.hosts; ++host)
            start(host);
    }

    void run(Duration duration, std::optional<double> stated)
    {
        for (const MonotonicTime end = now + duration; now < end; now += 20ms) {
            for (auto& host : m_hosts) {
                host.limits.setPeers(peersOf(host.id), now);
                host.limits.tick(now);
            }
            arrive(stated);
            exchange();
        }
    }

    void restartAll()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
            start(host);
    }

    // Returns the largest number of requests in four seconds that were sent after the time.
    std::size_t mostInWindow(MonotonicTime from) const
    {
        std::deque<MonotonicTime> window;
        std::size_t most = 0;
        for (const MonotonicTime at : sent) {
            if (at < from)
                continue;
            window.push_back(at);
            while (at - window.front() > 4s)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

    MonotonicTime now { 1h };
    std::vector<MonotonicTime> sent;

private:
    struct Host {
        HostId id;
        Incarnation incarnation = 0;
        EndpointLimits limits;
        // Requests that wait until the limit allows one.
        unsigned waiting = 0;
    };

    void start(std::size_t index)
    {
        const HostId id("host-" + std::to_string(index));
        Host host { id, ++m_lastIncarnation, EndpointLimits(id, index + 1) };
        host.limits.setReportInterval(m_digestInterval);
        if (index < m_hosts.size())
            m_hosts[index] = std::move(host);
        else
            m_hosts.push_back(std::move(host));
    }

    std::set<HostId> peersOf(const HostId& self) const
    {
        std::set<HostId> peers;
        for (const Host& host : m_hosts) {
            if (host.id != self)
                peers.insert(host.id);
        }
        return peers;
    }

    void arrive(std::optional<double> stated)
    {
        for (m_due += m_test.demand * 0.02; m_due >= 1; --m_due)
            ++m_hosts[m_random.below(m_hosts.size())].waiting;
        for (Host& host : m_hosts) {
            while (host.waiting > 0 && host.limits.isAvailable(engine, now)) {
                --host.waiting;
                sent.push_back(now);
                host.limits.attemptStarted(engine, now);
                EffectList ignored;
                host.limits.noteAnswer(engine, stated, now, ignored);
            }
            host.waiting = std::min(host.waiting, 5U);
        }
    }

    void exchange()
    {
        if (now < m_nextExchangeAt)
            return;
        m_nextExchangeAt = now + m_digestInterval;
        std::vector<EndpointLimitDigest> digests;
        for (const Host& host : m_hosts)
            digests.push_back(host.limits.digest(now));
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                EffectList ignored;
                if (from != to && (from < m_test.firstGroup) == (to < m_test.firstGroup))
                    m_hosts[to].limits.merge(m_hosts[from].id, m_hosts[from].incarnation, digests[from], now, ignored);
            }
        }
    }

    LimitCase m_test;
    RandomGenerator m_random;
    Duration m_digestInterval;
    MonotonicTime m_nextExchangeAt {};
    std::vector<Host> m_hosts;
    double m_due = 0;
    Incarnation m_lastIncarnation = 0;
};

} // namespace

// Guards against an endpoint that gets far more requests than the limit it stated. The bound is the platform's: one and
// a half times the limit and 5 requests in four seconds, from 3 s on.
TEST_CASE("All hosts together keep within an endpoint's stated limit and use it")
{
    const auto test = GENERATE(values<LimitCase>({
        { "one host", 1, 1, 10, 0, false },
        { "four hosts", 4, 1, 10, 0, false },
        { "four hosts, high limit", 4, 10, 40, 0, false },
        { "many hosts, low limit", 34, 1, 8, 0, false },
        { "many hosts", 34, 4, 30, 0, false },
        { "partition", 4, 4, 30, 1, false },
        { "partition of many", 26, 2, 20, 10, false },
        { "restart of all", 4, 2, 20, 0, true },
    }));
    INFO(test.name);
    LimitedFleet fleet(test);
    fleet.run(20s, test.requestsPerSecond);
    const MonotonicTime restartedAt = fleet.now;
    if (test.restarts)
        fleet.restartAll();
    fleet.run(20s, test.requestsPerSecond);
    const double bound = 1.5 * test.requestsPerSecond * 4 + 5;
    if (!test.restarts)
        CHECK(static_cast<double>(fleet.mostInWindow(MonotonicTime(1h) + 3s)) <= bound);
    CHECK(static_cast<double>(fleet.mostInWindow(restartedAt + 3s)) <= bound);
    const double used = static_cast<double>(fleet.sent.size()) / (40 * test.requestsPerSecond);
    CHECK(used >= 0.5);
}

// Guards against a limit that outlasts its reason.
TEST_CASE("A limit ends with an answer that states none, with the endpoint, and without news after a minute")
{
    EndpointLimits limits { HostId("self"), 1 };
    EndpointLimits peer { HostId("peer"), 2 };
    MonotonicTime now { 1h };
    EffectList effects;
    limits.noteAnswer(engine, 1, now, effects);
    peer.merge(HostId("self"), 1, limits.digest(now), now, effects);
    REQUIRE(limits.isLimited(engine));
    REQUIRE(peer.isLimited(engine));
    now += 1s;
    SECTION("an answer without a limit, at any host")
    {
        limits.noteAnswer(engine, std::nullopt, now, effects);
        peer.merge(HostId("self"), 1, limits.digest(now), now, effects);
        CHECK_FALSE(limits.isLimited(engine));
        CHECK_FALSE(peer.isLimited(engine));
        CHECK(effectsOf<LogEntry>(effects).size() == 4);
    }
    SECTION("the endpoint is gone")
    {
        limits.remove(engine);
        CHECK_FALSE(limits.isLimited(engine));
    }
    SECTION("no news")
    {
        limits.tick(now + 1min);
        CHECK_FALSE(limits.isLimited(engine));
        peer.merge(HostId("self"), 1, { { { engine, 1, 61s, false } }, {} }, now + 1min, effects);
        peer.tick(now + 1min);
        CHECK_FALSE(peer.isLimited(engine));
    }
}

TEST_CASE("An older statement does not replace a newer one")
{
    EndpointLimits limits { HostId("self"), 1 };
    const MonotonicTime now { 1h };
    EffectList effects;
    limits.noteAnswer(engine, 3, now, effects);
    limits.merge(HostId("peer"), 1, { { { engine, 0, 1s, false } }, {} }, now, effects);
    CHECK(limits.isLimited(engine));
}

// Guards against requests that reach a limited endpoint on arrival, as retries, or when they stop waiting.
TEST_CASE("Requests of every kind keep within an endpoint's stated limit")
{
    const char* path = GENERATE("/order/1", "/read/1", "/note/1", "/dossier/1");
    const bool isEngine = std::string(path) == "/note/1" || std::string(path) == "/dossier/1";
    RequestsFixture fixture;
    fixture.directory.put(
        sampleEndpoint("only", isEngine ? "notes" : "orders", { { ModelId("m1"), {} } }), fixture.now, fixture.effects);
    std::size_t attempts = 0;
    const MonotonicTime end = fixture.now + 8s;
    while (fixture.now < end) {
        fixture.arrive(path);
        for (const StartAttempt& attempt : fixture.takeAttempts()) {
            ++attempts;
            fixture.answer(attempt.id, 200, { { "sealed", "1" }, { "limit", "1" } }, "id: 1\n\n");
        }
        fixture.advance(200ms);
    }
    INFO(path);
    CHECK(attempts <= 1 + 8 + 2);
    CHECK(attempts >= 4);
}
