#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The platform's bounds: in one time of brittle endpoints, so many may fall over; hosts have this time to react.
std::size_t allowedFalls(std::size_t endpoints) { return 2 + endpoints / 10; }
constexpr Duration reactionTime = 3s;
constexpr unsigned slots = 4;
constexpr Duration runTime = 800ms;

struct BrittleCase {
    const char* name;
    const char* path;
    std::size_t hosts;
    std::size_t endpoints;
    // Rejections in a second under which an endpoint falls over if there are more.
    unsigned rejections;
    // Requests as a multiple of what the endpoints can run.
    double load;
    // Whether one host gets most of the requests.
    bool isUneven = false;
    // Whether the endpoints become brittle in the middle of the load.
    bool beginsLate = false;
};

// Endpoints that turn away what they have no room for, and fall over if that happens too often in a second.
class BrittleSimulation {
public:
    explicit BrittleSimulation(const BrittleCase& test)
        : m_test(test)
        , fleet(test.hosts)
    {
        fleet.answersAttempts = false;
        fleet.callerTime = 6s;
        for (std::size_t i = 0; i < test.endpoints; ++i) {
            m_endpoints[EndpointId("x" + std::to_string(i))];
            put(EndpointId("x" + std::to_string(i)));
        }
        fleet.run(2s);
        m_brittleFrom = fleet.now + (test.beginsLate ? 4s : 0s);
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = fleet.now + duration; fleet.now < end;)
            step();
    }

    std::vector<std::string> problems() const
    {
        std::vector<std::string> found;
        if (m_falls > allowedFalls(m_test.endpoints))
            found.push_back(
                std::to_string(m_falls) + " of " + std::to_string(m_test.endpoints) + " brittle endpoints fell over");
        const double possible = std::min(1.0, m_test.load) * capacity() * m_judgedSeconds;
        if (static_cast<double>(m_served) < possible * 0.6)
            found.push_back(std::to_string(m_served) + " requests were served where "
                + std::to_string(static_cast<int>(possible)) + " were possible");
        return found;
    }

private:
    struct Endpoint {
        std::set<std::size_t> running;
        std::deque<std::size_t> waiting;
        std::deque<MonotonicTime> rejectedAt;
        std::optional<MonotonicTime> downUntil;
        std::uint64_t incarnation = 1;
    };

    double capacity() const { return static_cast<double>(m_test.endpoints * slots) / secondsOf(runTime); }
    bool isPlain() const { return std::string(m_test.path) == "/order/"; }
    bool isBrittle() const { return fleet.now >= m_brittleFrom; }
    // Before, and for the reaction time, some may wait in the endpoint.
    std::size_t waitingRoom() const { return fleet.now < m_brittleFrom + reactionTime ? slots * 2 : 0; }

    HeaderList statement() const
    {
        if (!isBrittle())
            return {};
        return { { "brittle", std::to_string(m_test.rejections) } };
    }

    void put(const EndpointId& id)
    {
        fleet.store.put("endpoints/" + id.value,
            nlohmann::json { { "service", isPlain() ? "orders" : "notes" }, { "heartbeat", ++m_heartbeat },
                { "incarnation", m_endpoints.at(id).incarnation }, { "models", { "m1" } } }
                .dump());
    }

    void step()
    {
        fleet.run(20ms);
        fleet.answers.clear();
        send();
        for (; m_seen < fleet.attempts.size(); ++m_seen)
            accept(m_seen);
        for (auto& [id, endpoint] : m_endpoints)
            advance(id, endpoint);
    }

    void send()
    {
        for (m_due += m_test.load * capacity() * 0.02; m_due >= 1; m_due -= 1) {
            std::size_t host = m_random() % fleet.hostCount();
            if (m_test.isUneven && m_random() % 10 < 7)
                host = 0;
            fleet.arrive(host, m_test.path + std::to_string(++m_sent), isPlain() ? "" : "m1");
        }
        if (fleet.now >= m_brittleFrom + reactionTime)
            m_judgedSeconds += 0.02;
    }

    void accept(std::size_t attempt)
    {
        Endpoint& endpoint = m_endpoints.at(fleet.attempts[attempt].endpoint);
        if (endpoint.downUntil) {
            fleet.fail(attempt, AttemptOutcome::NotSent, AttemptFailure::Connect);
        } else if (endpoint.running.size() < slots) {
            start(endpoint, attempt);
        } else if (endpoint.waiting.size() < waitingRoom()) {
            endpoint.waiting.push_back(attempt);
        } else {
            fleet.reject(attempt, statement());
            noteRejection(fleet.attempts[attempt].endpoint, endpoint);
        }
    }

    void start(Endpoint& endpoint, std::size_t attempt)
    {
        endpoint.running.insert(attempt);
        m_endsAt[attempt] = fleet.now + runTime;
    }

    void noteRejection(const EndpointId& id, Endpoint& endpoint)
    {
        endpoint.rejectedAt.push_back(fleet.now);
        while (fleet.now - endpoint.rejectedAt.front() >= 1s)
            endpoint.rejectedAt.pop_front();
        // The bound holds from the reaction time on.
        if (fleet.now < m_brittleFrom + reactionTime || endpoint.rejectedAt.size() <= m_test.rejections)
            return;
        ++m_falls;
        endpoint.downUntil = fleet.now + 3s;
        endpoint.rejectedAt.clear();
        endpoint.waiting.clear();
        for (const std::size_t attempt : std::exchange(endpoint.running, {}))
            fleet.breakOff(attempt);
        fleet.store.erase("endpoints/" + id.value);
    }

    void advance(const EndpointId& id, Endpoint& endpoint)
    {
        if (endpoint.downUntil && fleet.now >= *endpoint.downUntil) {
            endpoint.downUntil.reset();
            ++endpoint.incarnation;
            put(id);
        }
        for (const std::size_t attempt : std::set<std::size_t>(endpoint.running)) {
            if (fleet.now < m_endsAt.at(attempt))
                continue;
            endpoint.running.erase(attempt);
            fleet.begin(attempt, isPlain() ? 0 : 1, statement());
            fleet.finish(attempt);
            m_served += fleet.now >= m_brittleFrom + reactionTime;
            if (!endpoint.waiting.empty()) {
                start(endpoint, endpoint.waiting.front());
                endpoint.waiting.pop_front();
            }
        }
    }

    const BrittleCase& m_test;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<std::size_t, MonotonicTime> m_endsAt;
    std::minstd_rand m_random { 11 };
    MonotonicTime m_brittleFrom {};
    double m_due = 0;
    double m_judgedSeconds = 0;
    std::size_t m_sent = 0;
    std::size_t m_seen = 0;
    std::size_t m_served = 0;
    std::size_t m_falls = 0;
    std::uint64_t m_heartbeat = 0;

public:
    SimulatedFleet fleet;
};

} // namespace

// Guards against endpoints that fall over because all hosts together send them more than they have room for.
TEST_CASE("Brittle endpoints are not sent more than they have room for")
{
    const auto test = GENERATE(values<BrittleCase>({
        { "plain endpoints beyond their capacity", "/order/", 4, 3, 2, 1.6 },
        { "engines beyond their capacity", "/note/", 4, 12, 2, 1.6 },
        { "twice the capacity", "/note/", 4, 12, 4, 2 },
        { "most requests at one host", "/note/", 4, 12, 2, 1.3, true },
        { "in the middle of the load", "/note/", 4, 12, 2, 1.5, false, true },
        { "more hosts than slots", "/note/", 12, 12, 2, 1.5 },
        { "within their capacity", "/order/", 4, 3, 2, 0.7 },
    }));
    INFO(test.name);
    BrittleSimulation simulation(test);
    simulation.run(16s);
    CHECK(simulation.problems() == std::vector<std::string> {});
}
