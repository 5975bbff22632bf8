#include "gateway/GatewayFixture.h"
#include "gateway/SimulatedFleet.h"
#include "http/HeaderText.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const EndpointId cold("cold");
constexpr MonotonicTime start { 1h };

std::map<std::string, GatewayService> services(Duration coldStart = 60s, double rate = 11, bool isInvalid = false)
{
    GatewayService service { "orders", "/health", std::nullopt };
    service.coldStart = coldStart;
    service.coldRequestsPerSecond = rate;
    service.isColdInvalid = isInvalid;
    return { { "orders", service } };
}

EndpointRecord record(std::optional<Duration> remaining, std::uint64_t incarnation = 1, bool isInvalid = false)
{
    EndpointRecord record = sampleEndpoint("cold", "orders");
    record.incarnation = incarnation;
    record.coldRemaining = remaining;
    record.isColdTimeInvalid = isInvalid;
    return record;
}

// Hosts that send a cold endpoint all that they may. Their lists of hosts are up to a second old; requests arrive up to
// a second after they were sent, and some are never answered.
class ColdFleet {
public:
    ColdFleet(std::size_t hosts, std::optional<ColdBounds> bounds)
        : m_bounds(bounds)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            addHost();
    }

    void addHost()
    {
        const HostId id("host" + std::to_string(m_hosts.size()));
        Host& host = m_hosts.emplace_back(Host { id, ColdEndpoints(id) });
        host.cold.setBounds(m_bounds);
        host.cold.configure(services(), m_effects);
        // All hosts start within two seconds, as after a loss of power.
        host.startsAt = now + random(0s, m_hosts.size() > 1 ? 2s : 0s);
        host.nextReadAt = host.startsAt;
    }

    // The host ends after it said so, or loses the store and goes on sending.
    void stop(std::size_t host) { m_hosts[host].isStopped = true; }
    void cutOff(std::size_t host) { m_hosts[host].isCutOff = true; }

    void run(Duration duration)
    {
        for (const MonotonicTime end = now + duration; now < end; now += 20ms) {
            for (Host& host : m_hosts)
                step(host);
        }
    }

    // Returns the largest number of arrivals in any second from the time on.
    std::size_t busiestSecond(MonotonicTime from = {})
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        std::size_t most = 0;
        auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from);
        for (auto last = first; last != m_arrivals.end(); ++last) {
            while (*last - *first >= 1s)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }
    double meanRate(MonotonicTime from) const
    {
        const auto count = std::count_if(m_arrivals.begin(), m_arrivals.end(), [from](auto at) { return at >= from; });
        return static_cast<double>(count) / secondsOf(now - from);
    }

    MonotonicTime now = start;
    EndpointRecord published = record(60s);
    // Until then no connection to the endpoint can be opened.
    MonotonicTime downUntil {};
    // Until then the endpoint reads nothing; at most for a second.
    MonotonicTime stalledUntil {};

private:
    struct Host {
        HostId id;
        ColdEndpoints cold;
        MonotonicTime startsAt {};
        MonotonicTime nextReadAt {};
        bool isStopped = false;
        bool isCutOff = false;
        // When answers arrive, with the times of their requests.
        std::multimap<MonotonicTime, MonotonicTime> answers {};
        std::set<std::uint64_t> readIncarnations {};
    };

    Duration random(Duration least, Duration most)
    {
        return least
            + Duration(static_cast<std::int64_t>(m_random.unit() * static_cast<double>((most - least).count())));
    }

    void step(Host& host)
    {
        if (host.isStopped || now < host.startsAt)
            return;
        if (now >= host.nextReadAt && !host.isCutOff)
            readStore(host);
        while (!host.answers.empty() && host.answers.begin()->first <= now) {
            host.cold.attemptAnswered(cold, host.answers.begin()->second, now);
            host.answers.erase(host.answers.begin());
        }
        for (int i = 0; i < 30 && !host.readIncarnations.empty() && host.cold.isAvailable(cold, now); ++i)
            send(host);
    }

    void readStore(Host& host)
    {
        host.nextReadAt = now + random(100ms, 1s);
        std::set<HostId> registered;
        std::set<HostId> stopped;
        for (const Host& other : m_hosts) {
            if (other.isStopped)
                stopped.insert(other.id);
            else if (now >= other.startsAt && !other.isCutOff)
                registered.insert(other.id);
        }
        host.cold.setHosts(registered, stopped, now);
        if (now >= downUntil && host.readIncarnations.insert(published.incarnation).second)
            host.cold.noteRecord(published, now, m_effects);
    }

    void send(Host& host)
    {
        host.cold.attemptStarted(cold, now);
        if (now < downUntil) {
            host.cold.attemptNotCounted(cold, now);
            host.cold.noteConnectionLost(cold, now);
            return;
        }
        const Duration delay = m_random.unit() < 0.2 ? random(0ms, 1s) : random(0ms, 30ms);
        const MonotonicTime arrival = std::max(now + delay, stalledUntil);
        m_arrivals.push_back(arrival);
        if (m_random.unit() < 0.9)
            host.answers.emplace(arrival + random(1ms, 200ms), now);
    }

    std::optional<ColdBounds> m_bounds;
    RandomGenerator m_random { 7 };
    std::deque<Host> m_hosts;
    std::vector<MonotonicTime> m_arrivals;
    EffectList m_effects;
};

constexpr ColdBounds bounds { 1.5, 5 };
// Of 11 requests per second, within these bounds.
constexpr std::size_t most = 21;

} // namespace

// Load: after a loss of power all hosts start and send a cold endpoint what they can, while hosts come, go and lose the
// store. Guards against more requests in any second than the endpoint bears, and against hosts that send far less.
TEST_CASE("All hosts together send a cold endpoint no more than it bears")
{
    const std::size_t hosts = GENERATE(4U, 30U, 65U);
    ColdFleet fleet(hosts, bounds);
    fleet.run(12s);
    INFO("hosts " << hosts << ", mean rate " << fleet.meanRate(start + 6s));
    CHECK(fleet.meanRate(start + 6s) > 6);
    fleet.stalledUntil = fleet.now + 1s;
    fleet.run(4s);
    // A part of the hosts after the other loses the store. Those that remain must not take over their parts.
    for (std::size_t end = hosts; end > 1; end /= 2) {
        for (std::size_t i = end / 2; i < end; ++i)
            fleet.cutOff(i);
        fleet.run(4s);
    }
    for (std::size_t i = 1; i < std::min<std::size_t>(hosts, 9); ++i) {
        fleet.addHost();
        fleet.run(700ms);
        if (hosts > 4)
            fleet.stop(i);
        fleet.run(700ms);
    }
    fleet.run(6s);
    CHECK(fleet.busiestSecond() <= most);
    ColdFleet unlimited(hosts, std::nullopt);
    unlimited.run(3s);
    CHECK(unlimited.busiestSecond() > most);
}

// Load: as above, and the endpoint restarts under its identifier. Guards against hosts that take it for warm until they
// read its new record, which may be long if they cannot read the store.
TEST_CASE("An endpoint that restarts is cold for all hosts that lost their connections")
{
    const std::size_t hosts = GENERATE(4U, 30U, 65U);
    ColdFleet fleet(hosts, bounds);
    fleet.published = record(0s);
    fleet.run(5s);
    fleet.cutOff(0);
    fleet.cutOff(1);
    fleet.published = record(60s, 2);
    fleet.downUntil = fleet.now + 2s;
    fleet.run(8s);
    CHECK(fleet.busiestSecond(fleet.downUntil + 1s) <= most);
}

namespace {

// One step in the life of an endpoint, as one host sees it: what it reads, and whether the endpoint is then cold.
struct Step {
    Duration after;
    enum { Record, Notice, Invalid, MaybeCold, ConnectionLost, Removed, Nothing } kind;
    std::optional<Duration> remaining;
    std::uint64_t incarnation;
    bool expectedCold;
};

struct LifeCase {
    const char* name;
    std::vector<Step> steps;
};

} // namespace

// Guards against an endpoint that counts as warm too early, or stays cold for ever.
TEST_CASE("An endpoint is cold as long as it states, or for the cold time of its service")
{
    const auto test = GENERATE(values<LifeCase>({
        { "stated, counted from the reading",
            { { 0s, Step::Record, 20s, 1, true }, { 19s, Step::Nothing, {}, 1, true },
                { 2s, Step::Nothing, {}, 1, false } } },
        { "not stated",
            { { 0s, Step::Record, {}, 1, true }, { 59s, Step::Record, {}, 1, true },
                { 2s, Step::Nothing, {}, 1, false } } },
        { "read again",
            { { 0s, Step::Record, 20s, 1, true }, { 15s, Step::Record, 20s, 1, true },
                { 6s, Step::Nothing, {}, 1, false } } },
        { "warm at the first reading", { { 0s, Step::Record, 0s, 1, false } } },
        { "restarted", { { 0s, Step::Record, 0s, 1, false }, { 1s, Step::Record, {}, 2, true } } },
        { "cold again",
            { { 0s, Step::Record, 0s, 1, false }, { 9s, Step::Notice, 5s, 1, true }, { 1s, Step::Record, 1ms, 1, true },
                { 5s, Step::Nothing, {}, 1, false } } },
        { "warm early", { { 0s, Step::Record, 50s, 1, true }, { 9s, Step::Notice, 0s, 1, false } } },
        { "invalid",
            { { 0s, Step::Record, 20s, 1, true }, { 1s, Step::Invalid, {}, 1, true },
                { 20s, Step::Invalid, {}, 1, false } } },
        { "invalid from the beginning", { { 0s, Step::Invalid, {}, 1, true }, { 61s, Step::Nothing, {}, 1, false } } },
        { "end of an evacuation",
            { { 0s, Step::Record, 0s, 1, false }, { 9s, Step::MaybeCold, {}, 1, true },
                { 9s, Step::Record, 1ms, 1, true }, { 52s, Step::Nothing, {}, 1, false } } },
        { "connection lost",
            { { 0s, Step::Record, 0s, 1, false }, { 9s, Step::ConnectionLost, {}, 1, true },
                { 2s, Step::Nothing, {}, 1, true }, { 2s, Step::Nothing, {}, 1, false } } },
        { "the same run returns",
            { { 0s, Step::Record, 0s, 1, false }, { 1s, Step::Removed, {}, 1, false },
                { 1s, Step::Record, {}, 1, false } } },
        { "another run returns",
            { { 0s, Step::Record, 0s, 1, false }, { 1s, Step::Removed, {}, 1, false },
                { 1s, Step::Record, {}, 2, true } } },
    }));
    ColdEndpoints endpoints { HostId("self") };
    EffectList effects;
    endpoints.setBounds(bounds);
    endpoints.configure(services(), effects);
    MonotonicTime now = start;
    for (std::size_t i = 0; i < test.steps.size(); ++i) {
        const Step& step = test.steps[i];
        now += step.after;
        if (step.kind == Step::Record || step.kind == Step::Invalid)
            endpoints.noteRecord(record(step.remaining, step.incarnation, step.kind == Step::Invalid), now, effects);
        else if (step.kind == Step::Notice)
            endpoints.noteNotice(cold, { false, {}, step.remaining, false }, now, effects);
        else if (step.kind == Step::MaybeCold)
            endpoints.noteMaybeCold(cold, now);
        else if (step.kind == Step::ConnectionLost)
            endpoints.noteConnectionLost(cold, now);
        else if (step.kind == Step::Removed)
            endpoints.remove(cold, now);
        endpoints.tick(true, now, effects);
        INFO(test.name << ", step " << i);
        CHECK(endpoints.isCold(cold, now) == step.expectedCold);
    }
    const auto entries = effectsOf<LogEntry>(effects);
    CHECK(std::count_if(entries.begin(), entries.end(), [](const LogEntry& entry) {
        return entry.event == LogEvent::GatewayColdTimeInvalid;
    }) == (std::string(test.name).starts_with("invalid") ? 1 : 0));
    // An invalid value in the configuration leaves the last one in force.
    endpoints.noteRecord(record(20s, 9), now, effects);
    endpoints.configure(services(-1s, 11, true), effects);
    CHECK(endpoints.isCold(cold, now));
    endpoints.configure(services(0s), effects);
    CHECK_FALSE(endpoints.isCold(cold, now));
}

// Load: a burst at a service whose only endpoint is cold. Guards against retries and refused requests that do not
// count, against 421 answers that do, and against a Retry-After that is not true.
TEST_CASE("A host sends a cold endpoint its part, and holds or refuses the rest")
{
    RequestsFixture fixture;
    EffectList& effects = fixture.effects;
    fixture.directory.cold().setBounds(bounds);
    fixture.directory.cold().configure(services(), effects);
    fixture.directory.cold().setHosts({}, {}, fixture.now);
    fixture.directory.put(record(50s), fixture.now, effects);
    fixture.arrive("/read/0", "key-a", 1000);
    CHECK(fixture.takeAttempts().empty());
    const auto early = fixture.takeAnswers();
    REQUIRE(early.size() == 1);
    CHECK(findHeader(early[0].headers, "retry-after"));
    fixture.advance(4s);
    for (int i = 0; i < 30; ++i)
        fixture.arrive("/read/1");
    auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 11);
    CHECK(fixture.takeAnswers().empty());
    const Duration untilNext = fixture.directory.cold().timeUntilAvailable(cold, fixture.now);
    CHECK(untilNext == 2s);
    for (std::size_t i = 0; i < attempts.size(); ++i)
        fixture.answer(attempts[i].id, i < 4 ? 503 : 200, { { i < 4 ? "not-executed" : "sealed", "1" } });
    CHECK(fixture.takeAttempts().empty());
    CHECK(fixture.directory.cold().timeUntilAvailable(cold, fixture.now) == 1s);
    fixture.advance(900ms);
    CHECK(fixture.takeAttempts().empty());
    fixture.advance(200ms);
    attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 11);
    CHECK_FALSE(fixture.directory.cold().isAvailable(cold, fixture.now));
    fixture.answer(attempts[0].id, 421);
    CHECK(fixture.directory.cold().isAvailable(cold, fixture.now));
    // An answer that ends with its connection needs a health check, which takes a place and may have to wait for one.
    for (std::size_t i = 1; i < 3; ++i) {
        fixture.requests.handle(AttemptHead { attempts[i].id, 200, { { "sealed", "1" } } }, fixture.now, effects);
        fixture.requests.handle(AttemptFinished { attempts[i].id, true }, fixture.now, effects);
        CHECK(fixture.takeAttempts().size() == 2 - i);
    }
    fixture.advance(1100ms);
    const auto checks = fixture.takeAttempts();
    REQUIRE(checks.size() == 1);
    CHECK(checks[0].method == "GET");
}

// Guards against parts that are not wired to the settings, the configuration, the list of hosts and the records.
TEST_CASE("Gateways divide the rate of a cold endpoint by the hosts in the store")
{
    SimulatedFleet fleet(3);
    const bool isEnabled = GENERATE(true, false);
    if (isEnabled)
        fleet.coldBounds = bounds;
    for (std::size_t host = 0; host < fleet.hostCount(); ++host)
        fleet.start(host);
    fleet.store.put("configuration", "100");
    fleet.store.put("endpoints/cold", R"({"service":"orders"})");
    fleet.run(6s);
    const auto burst = [&fleet] {
        fleet.attempts.clear();
        for (int i = 0; i < 60; ++i)
            fleet.arrive(static_cast<std::size_t>(i % 3), "/read/" + std::to_string(i));
        return fleet.attempts.size();
    };
    CHECK(burst() == (isEnabled ? 11 : 60));
    fleet.run(30s);
    CHECK(burst() == 60);
}
