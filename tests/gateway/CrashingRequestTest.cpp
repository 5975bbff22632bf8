#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <random>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The platform allows this many tries of a request later than this time after three endpoints ended under it.
constexpr std::size_t allowedTries = 3;
constexpr Duration allowedTime = 3s;

struct CrashCase {
    const char* name;
    const char* path;
    // Events that an endpoint sends before it ends; the head alone for 0. Nothing for -1.
    int eventsBeforeCrash;
    // Whether all crashing requests are repetitions of one, or different requests with a common part.
    bool isOneRequest;
    // Whether the common part is the last of the prompt, which usually belongs to one request.
    bool isLastPart = false;
    // Crashing requests that arrive at once at each host, and how often.
    int copies = 1;
    Duration interval = 400ms;
    // Whether all hosts are killed after the third endpoint has ended.
    bool areHostsKilled = false;
    // Whether hosts 0 and 1 cannot reach the store.
    bool isStoreAway = false;
};

// Hosts before endpoints that end under some requests, taking the requests beside them along, and that are back some
// seconds later under other identifiers. Sound requests arrive at all hosts.
class CrashSimulation {
public:
    explicit CrashSimulation(const CrashCase& test)
        : m_test(test)
    {
        fleet.answersAttempts = false;
        fleet.areBodiesEqual = true;
        fleet.reaches = [this](std::size_t, const EndpointId& endpoint) { return m_live.contains(endpoint); };
        fleet.callerTime = 10s;
        for (int i = 0; i < 6; ++i)
            addEndpoint();
        fleet.run(2s);
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = fleet.now + duration; fleet.now < end;)
            step();
    }

    // Kills all hosts and starts them again.
    void restartHosts()
    {
        m_runs.clear();
        for (std::size_t i = 0; i < fleet.hostCount(); ++i)
            fleet.start(i);
        run(1500ms);
    }

    // The sending of crashing requests goes on, or pauses.
    void setCrashing(bool isCrashing) { m_isCrashing = isCrashing; }
    std::size_t ended() const { return m_endedUnderCrashing; }
    std::size_t soundArrivals() const { return m_soundArrivals; }

    // Tries of crashing requests later than the allowed time after the third endpoint ended.
    std::size_t lateTries() const
    {
        return static_cast<std::size_t>(std::count_if(m_tries.begin(), m_tries.end(),
            [this](MonotonicTime at) { return m_thirdEndAt && at > *m_thirdEndAt + allowedTime; }));
    }

    std::vector<std::string> problems() const
    {
        std::vector<std::string> found;
        if (!m_thirdEndAt)
            found.emplace_back("fewer than three endpoints ended");
        if (lateTries() > allowedTries)
            found.push_back("a request under which three endpoints had ended was sent to endpoints "
                + std::to_string(lateTries()) + " times more");
        if (m_soundRefusals > 0)
            found.push_back(std::to_string(m_soundRefusals) + " sound requests were refused as quarantined");
        if (m_soundFinished * 10 < m_soundArrivals * 8)
            found.push_back(std::to_string(m_soundFinished) + " of " + std::to_string(m_soundArrivals)
                + " sound requests were answered");
        return found;
    }

    SimulatedFleet fleet { 4 };

private:
    struct Run {
        std::size_t attempt = 0;
        bool isCrashing = false;
        bool hasBegun = false;
        MonotonicTime startedAt {};
    };

    std::string service() const { return std::string(m_test.path).starts_with("/order/") ? "orders" : "notes"; }

    void addEndpoint()
    {
        const std::string id = "x" + std::to_string(m_lastEndpoint++);
        m_live.insert(EndpointId(id));
        fleet.store.put("endpoints/" + id,
            nlohmann::json { { "service", service() }, { "heartbeat", ++m_heartbeat }, { "models", { "m1" } } }.dump());
    }

    void step()
    {
        fleet.run(20ms);
        readAnswers();
        for (; !m_restarts.empty() && m_restarts.front() <= fleet.now; m_restarts.erase(m_restarts.begin()))
            addEndpoint();
        sendRequests();
        takeAttempts();
        advanceRuns();
    }

    void readAnswers()
    {
        for (const SendWholeResponse& answer : fleet.answers)
            m_soundRefusals += answer.status == 500 && m_sound.contains(answer.id);
        fleet.answers.clear();
    }

    void sendRequests()
    {
        if (fleet.now >= m_nextSoundAt) {
            m_nextSoundAt = fleet.now + 60ms;
            ++m_soundArrivals;
            // Their prompts share one part with those that crash endpoints.
            m_sound.insert(fleet.arrive(m_random() % fleet.hostCount(),
                m_test.path + ("sound" + std::to_string(m_soundArrivals)), model(), "popular"));
        }
        if (!m_isCrashing || fleet.now < m_nextCrashingAt)
            return;
        m_nextCrashingAt = fleet.now + m_test.interval;
        for (int i = 0; i < m_test.copies; ++i) {
            const std::size_t host
                = m_test.copies == 1 ? m_random() % fleet.hostCount() : static_cast<std::size_t>(i) % fleet.hostCount();
            sendCrashing(host);
        }
    }

    void sendCrashing(std::size_t host)
    {
        const std::string number = m_test.isOneRequest ? "" : std::to_string(++m_lastCrashing);
        HeaderList headers;
        std::string part = "popular";
        if (m_test.isLastPart)
            headers.emplace_back("session", "deadly");
        else if (!m_test.isOneRequest)
            part = "deadly";
        fleet.arrive(host, m_test.path + ("crash" + number), model(), part, headers);
    }

    std::string model() const { return service() == "notes" ? "m1" : ""; }

    void takeAttempts()
    {
        for (; m_seen < fleet.attempts.size(); ++m_seen) {
            const bool isCrashing = fleet.attempts[m_seen].target.find("crash") != std::string::npos;
            if (isCrashing)
                m_tries.push_back(fleet.now);
            m_runs.push_back({ m_seen, isCrashing, false, fleet.now });
        }
    }

    EndpointId endpointOf(const Run& run) const { return fleet.attempts[run.attempt].endpoint; }

    void advanceRuns()
    {
        std::set<EndpointId> ending;
        for (Run& run : m_runs) {
            const Duration age = fleet.now - run.startedAt;
            const bool isPlain = service() == "orders";
            if (!run.hasBegun && age >= 60ms && !isPlain && !(run.isCrashing && m_test.eventsBeforeCrash < 0)) {
                run.hasBegun = true;
                fleet.begin(run.attempt, run.isCrashing ? m_test.eventsBeforeCrash : 3);
            }
            if (run.isCrashing && age >= 80ms && m_live.contains(endpointOf(run)))
                ending.insert(endpointOf(run));
        }
        for (const EndpointId& endpoint : ending)
            end(endpoint);
        std::erase_if(m_runs, [this](const Run& run) {
            if (run.isCrashing || fleet.now - run.startedAt < 400ms)
                return false;
            finish(run);
            return true;
        });
    }

    void finish(const Run& run)
    {
        if (service() == "orders")
            fleet.begin(run.attempt, 0);
        fleet.finish(run.attempt);
        ++m_soundFinished;
    }

    void end(const EndpointId& endpoint)
    {
        m_live.erase(endpoint);
        m_endedUnderCrashing += 1;
        if (m_endedUnderCrashing == 3)
            m_thirdEndAt = fleet.now;
        fleet.store.erase("endpoints/" + endpoint.value);
        m_restarts.push_back(fleet.now + 3s);
        std::vector<std::size_t> broken;
        for (const Run& run : m_runs) {
            if (endpointOf(run) == endpoint)
                broken.push_back(run.attempt);
        }
        std::erase_if(m_runs, [&](const Run& run) { return endpointOf(run) == endpoint; });
        for (const std::size_t attempt : broken) {
            if (fleet.isRunning(fleet.attemptHosts[attempt]))
                fleet.breakOff(attempt);
        }
    }

    const CrashCase& m_test;
    std::minstd_rand m_random { 7 };
    std::set<EndpointId> m_live;
    std::vector<MonotonicTime> m_restarts;
    std::vector<Run> m_runs;
    std::vector<MonotonicTime> m_tries;
    std::set<RequestId> m_sound;
    std::optional<MonotonicTime> m_thirdEndAt;
    MonotonicTime m_nextSoundAt {};
    MonotonicTime m_nextCrashingAt {};
    std::size_t m_seen = 0;
    std::size_t m_endedUnderCrashing = 0;
    std::size_t m_soundArrivals = 0;
    std::size_t m_soundFinished = 0;
    std::size_t m_soundRefusals = 0;
    std::size_t m_lastCrashing = 0;
    std::size_t m_lastEndpoint = 0;
    std::uint64_t m_heartbeat = 100;
    bool m_isCrashing = true;
};

} // namespace

// Guards against a request that ends one endpoint after the other, also after its answer has begun.
TEST_CASE("A request that ends its endpoints is refused at all hosts")
{
    const auto test = GENERATE(values<CrashCase>({
        { "one request without a head", "/note/", -1, true },
        { "one request after the head", "/note/", 0, true },
        { "one request after an event", "/note/", 1, true },
        { "one resumable request after three events", "/dossier/", 3, true },
        { "one request at plain endpoints", "/order/", -1, true },
        { "different requests after an event", "/note/", 1, false },
        { "different resumable requests after three events", "/dossier/", 3, false },
        { "different requests with a common last part", "/note/", 1, false, true },
        { "copies at once", "/note/", 0, true, false, 12, 4s },
        { "different requests at once with a common last part", "/note/", 1, false, true, 12, 4s },
        { "one request every two seconds", "/note/", 1, true, false, 1, 2s },
        { "a kill of all hosts", "/note/", 1, true, false, 1, 400ms, true },
        { "hosts without the store", "/note/", 1, true, false, 1, 400ms, false, true },
    }));
    INFO(test.name);
    CrashSimulation simulation(test);
    for (const std::size_t host : { 0U, 1U })
        simulation.fleet.setConnected(host, !test.isStoreAway);
    simulation.run(4s);
    if (test.areHostsKilled) {
        simulation.run(4s);
        simulation.setCrashing(false);
        simulation.restartHosts();
        simulation.setCrashing(true);
    }
    simulation.run(16s);
    CHECK(simulation.problems() == std::vector<std::string> {});
}
