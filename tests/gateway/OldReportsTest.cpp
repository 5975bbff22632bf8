#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 4;
// Requests that an endpoint queues beside those that run.
constexpr std::size_t queue = 1;
constexpr Duration meanRunTime = 800ms;
constexpr Duration step = 20ms;

struct OldReportsCase {
    const char* name;
    std::size_t hosts;
    std::size_t endpoints;
    double load;
    // Bounds with ChoiceRule::Spread: rejected of 100 arrivals, and refused of 100 requests.
    double rejected;
    double refused;
    // Whether the load of one second in four is twice as high.
    bool hasBursts = false;
};

struct Totals {
    std::size_t sent = 0;
    std::size_t arrivals = 0;
    std::size_t rejections = 0;
    std::size_t refused = 0;
    std::size_t finished = 0;
};

// Hosts that choose among the endpoints of one model and report to each other every 12 ms times their number.
class OldReportsSimulation {
public:
    OldReportsSimulation(const OldReportsCase& test, std::size_t spreadFromHosts)
        : m_test(test)
        , m_interval(std::max<Duration>(200ms, 12ms * static_cast<int>(test.hosts)))
    {
        for (std::size_t i = 0; i < test.hosts; ++i) {
            RequestsFixture& host = *m_hosts.emplace_back(std::make_unique<RequestsFixture>(i + 1));
            host.requests.setHostCount(test.hosts);
            host.directory.setSpreadFrom(spreadFromHosts);
            host.directory.setHosts(test.hosts, m_interval);
            for (std::size_t k = 0; k < test.endpoints; ++k)
                host.directory.put(sampleEndpoint("x" + std::to_string(k), "notes", { { ModelId("m1"), {} } }),
                    host.now, host.effects);
            m_reportAt.push_back(host.now + m_interval * static_cast<int>(i) / static_cast<int>(test.hosts));
        }
        m_endpoints.resize(test.endpoints);
    }

    Totals run(Duration length)
    {
        for (Duration passed {}; passed < length; passed += step) {
            const bool isBurst = m_test.hasBursts && passed / 1s % 4 == 3;
            const double capacity = static_cast<double>(m_test.endpoints * slots) / secondsOf(meanRunTime);
            std::poisson_distribution<int> count(m_test.load * (isBurst ? 2 : 1) * capacity * secondsOf(step));
            for (int left = count(m_random); left > 0; --left, ++totals.sent)
                m_hosts[m_random() % m_hosts.size()]->arrive("/note/1");
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                advance(i);
            for (std::size_t k = 0; k < m_endpoints.size(); ++k)
                finishRequests(m_endpoints[k]);
        }
        return totals;
    }

    Totals totals;

private:
    struct Job {
        std::size_t host = 0;
        AttemptId attempt;
        Duration length {};
        MonotonicTime endsAt {};
    };
    struct Endpoint {
        std::vector<Job> running;
        std::deque<Job> waiting;
    };

    void advance(std::size_t index)
    {
        RequestsFixture& host = *m_hosts[index];
        if (host.now >= m_reportAt[index]) {
            m_reportAt[index] += m_interval;
            HostDigest digest;
            digest.running = host.directory.running();
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (i != index)
                    m_hosts[i]->directory.handle(HostId(std::to_string(index)), digest, m_hosts[i]->now);
            }
        }
        host.advance(step);
        // Rejections lead to further attempts.
        for (auto attempts = host.takeAttempts(); !attempts.empty(); attempts = host.takeAttempts()) {
            for (const StartAttempt& attempt : attempts)
                accept(index, attempt);
        }
        for (const SendWholeResponse& answer : host.takeAnswers())
            totals.refused += answer.status == 503;
        host.effects.clear();
    }

    void accept(std::size_t index, const StartAttempt& attempt)
    {
        ++totals.arrivals;
        RequestsFixture& host = *m_hosts[index];
        Endpoint& endpoint = m_endpoints[std::stoul(attempt.endpoint.value.substr(1))];
        if (endpoint.running.size() + endpoint.waiting.size() >= slots + queue) {
            ++totals.rejections;
            host.answer(attempt.id, 503, { { "not-executed", "1" } });
            return;
        }
        Job job { index, attempt.id };
        job.length = durationOfSeconds(secondsOf(meanRunTime) * std::lognormal_distribution<double>(-0.5, 1)(m_random));
        if (endpoint.running.size() < slots)
            begin(endpoint, job);
        else
            endpoint.waiting.push_back(job);
    }

    void begin(Endpoint& endpoint, Job job)
    {
        RequestsFixture& host = *m_hosts[job.host];
        host.requests.handle(AttemptHead { job.attempt, 200, { { "sealed", "1" } } }, host.now, host.effects);
        host.requests.handle(AttemptData { job.attempt, "id: 1\ndata: x\n\n" }, host.now, host.effects);
        job.endsAt = host.now + job.length;
        endpoint.running.push_back(job);
    }

    void finishRequests(Endpoint& endpoint)
    {
        std::erase_if(endpoint.running, [this](const Job& job) {
            RequestsFixture& host = *m_hosts[job.host];
            if (job.endsAt > host.now)
                return false;
            host.requests.handle(AttemptFinished { job.attempt }, host.now, host.effects);
            ++totals.finished;
            return true;
        });
        for (; endpoint.running.size() < slots && !endpoint.waiting.empty(); endpoint.waiting.pop_front())
            begin(endpoint, endpoint.waiting.front());
    }

    const OldReportsCase& m_test;
    Duration m_interval;
    std::vector<std::unique_ptr<RequestsFixture>> m_hosts;
    std::vector<MonotonicTime> m_reportAt;
    std::vector<Endpoint> m_endpoints;
    std::minstd_rand m_random { 5 };
};

double percent(std::size_t part, std::size_t whole)
{
    return 100.0 * static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
}

} // namespace

// Guards against hosts that all send their requests to the endpoint that was least loaded in the last reports, so that
// it rejects most of them, and against requests that are refused although there would be room in time.
TEST_CASE("Many hosts with old reports use the room of all endpoints")
{
    const auto test = GENERATE(values<OldReportsCase>({
        { "25 hosts", 25, 6, 0.7, 11, 2 },
        { "65 hosts", 65, 12, 0.7, 10, 6 },
        { "65 hosts, bursts above the capacity", 65, 12, 0.6, 14, 9, true },
    }));
    const Totals least = OldReportsSimulation(test, 1000).run(30s);
    const Totals spread = OldReportsSimulation(test, 12).run(30s);
    INFO(test.name << ": rejected of 100 arrivals " << percent(least.rejections, least.arrivals) << " -> "
                   << percent(spread.rejections, spread.arrivals) << ", refused of 100 requests "
                   << percent(least.refused, least.sent) << " -> " << percent(spread.refused, spread.sent)
                   << ", finished of 100 " << percent(least.finished, least.sent) << " -> "
                   << percent(spread.finished, spread.sent));
    CHECK(percent(spread.rejections, spread.arrivals) < test.rejected);
    CHECK(percent(spread.refused, spread.sent) < test.refused);
    CHECK(percent(spread.rejections, spread.arrivals) < percent(least.rejections, least.arrivals));
    CHECK(percent(spread.refused, spread.sent) < percent(least.refused, least.sent) * 0.75);
    CHECK(spread.finished >= least.finished);
}

namespace {

// A host of many, whose two endpoints have rejected a request each.
class FullEndpointsFixture : public RequestsFixture {
public:
    FullEndpointsFixture()
    {
        directory.setHosts(20, 240ms);
        for (const char* id : { "x0", "x1" })
            directory.put(sampleEndpoint(id, "notes", { { ModelId("m1"), {} } }), now, effects);
        HostDigest digest;
        digest.running
            = { { EndpointId("x0"), { ModelId("m1"), "" }, 3 }, { EndpointId("x1"), { ModelId("m1"), "" }, 4 } };
        directory.handle(HostId("peer"), digest, now);
        arrive("/note/own");
        own = takeAttempts().at(0).id;
        requests.handle(AttemptHead { own, 200, { { "sealed", "1" } } }, now, effects);
        requests.handle(AttemptData { own, "id: 1\ndata: x\n\n" }, now, effects);
    }
    void reject(const StartAttempt& attempt) { answer(attempt.id, 503, { { "not-executed", "1" } }); }

    // A request of this host that runs at one of them.
    AttemptId own;
};

} // namespace

// Guards against a request that is sent to endpoints that reject it and then refused, although its caller has time.
TEST_CASE("A request with time left waits at the host while all endpoints are full")
{
    FullEndpointsFixture fixture;
    fixture.arrive("/note/1");
    for (auto attempts = fixture.takeAttempts(); !attempts.empty(); attempts = fixture.takeAttempts())
        fixture.reject(attempts.at(0));
    CHECK(fixture.takeAnswers().empty());
    SECTION("it is sent when a request of this host ends")
    {
        // Meanwhile the retry budget has filled.
        fixture.advance(500ms);
        CHECK(fixture.takeAttempts().empty());
        fixture.requests.handle(AttemptFinished { fixture.own }, fixture.now, fixture.effects);
        fixture.advance(20ms);
        CHECK(fixture.takeAttempts().size() == 1);
    }
    SECTION("it is refused while its caller still waits")
    {
        fixture.advance(1600ms);
        const auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].status == 503);
        CHECK(answers[0].body.find("endpoints_full") != std::string::npos);
        CHECK(answers[0].body.find("not_run") != std::string::npos);
    }
    SECTION("a caller without time is refused at once")
    {
        fixture.arrive("/note/2", "key-a", 300);
        for (auto attempts = fixture.takeAttempts(); !attempts.empty(); attempts = fixture.takeAttempts())
            fixture.reject(attempts.at(0));
        CHECK(fixture.takeAnswers().size() == 1);
    }
}
