#include "gateway/SimulatedFleet.h"
#include <array>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The platform's bounds: hosts without a path have this time to react. From then on their callers' first attempts are
// served at least two thirds as often as those of other hosts, or no more than 10 and one in 50 fail.
constexpr Duration reactionTime = 3s;
constexpr std::size_t allowedFailures = 10;
constexpr std::size_t allowedFailureShare = 50;

enum class CutKind {
    // Connections hang; new ones cannot be opened.
    Silent,
    // Connections are reset, new ones refused.
    Reset,
    // Open connections live on; new ones hang.
    NewOnly,
    // Open connections live on; new ones are refused.
    NewRefused,
};

struct PathCase {
    const char* name;
    CutKind kind;
    // The hosts that lose their path.
    std::set<std::size_t> hosts;
    // Whether only one service is cut off, or only some endpoints of each.
    bool isOneService = false;
    bool areSomeEndpoints = false;
    // Whether the owner of the placement is among the hosts.
    bool isOwnerCut = false;
    // Whether the store is out of reach as well.
    bool isStoreAway = false;
};

// Four hosts before engines and plain endpoints. Requests of all kinds arrive at each host.
class PathSimulation {
public:
    explicit PathSimulation(PathCase test)
        : m_test(std::move(test))
    {
        fleet.answersAttempts = false;
        fleet.reaches = [this](std::size_t host, const EndpointId& endpoint) { return !isCutOff(host, endpoint); };
        for (std::size_t i = 0; i < 6; ++i)
            putEndpoint("n" + std::to_string(i), "notes");
        for (std::size_t i = 0; i < 3; ++i)
            putEndpoint("o" + std::to_string(i), "orders");
        run(5s);
        if (m_test.isOwnerCut)
            m_test.hosts.insert(fleet.owner());
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = fleet.now + duration; fleet.now < end;)
            step();
    }

    void cut()
    {
        m_isCut = true;
        m_cutAt = fleet.now;
        for (const std::size_t host : m_test.hosts)
            fleet.setConnected(host, !m_test.isStoreAway);
        for (Run& run : m_runs) {
            if (!isUnreachable(run))
                continue;
            if (m_test.kind == CutKind::Silent)
                run.failsAt = fleet.now + 1500ms;
            // A reset is noticed with the next packet.
            if (m_test.kind == CutKind::Reset)
                run.failsAt = fleet.now + 10ms * (run.attempt % 10);
        }
    }

    void heal()
    {
        m_isCut = false;
        m_healedAt = fleet.now;
        for (const std::size_t host : m_test.hosts)
            fleet.setConnected(host, true);
    }

    std::vector<std::string> problems()
    {
        std::vector<std::string> found;
        const auto [cutServed, cutSent] = servedOf(true);
        const auto [otherServed, otherSent] = servedOf(false);
        const std::size_t failed = cutSent - cutServed;
        const bool isFarWorse = cutServed * otherSent * 3 < otherServed * cutSent * 2;
        if (cutSent < 50)
            found.emplace_back("too few requests to judge");
        if (isFarWorse && failed > allowedFailures + cutSent / allowedFailureShare)
            found.push_back("hosts without a path served " + std::to_string(cutServed) + " of "
                + std::to_string(cutSent) + " first attempts, the others " + std::to_string(otherServed) + " of "
                + std::to_string(otherSent));
        if (otherServed * 10 < otherSent * 9)
            found.push_back("the other hosts served " + std::to_string(otherServed) + " of " + std::to_string(otherSent)
                + " first attempts");
        if (m_quarantined > 0)
            found.push_back(std::to_string(m_quarantined) + " sound requests were refused as quarantined");
        if (m_duplicates > 0)
            found.push_back(std::to_string(m_duplicates) + " requests that may run once ran twice");
        return found;
    }

    // Attempts that the cut hosts sent to endpoints themselves since the end of the cut.
    std::size_t directAttemptsSinceHealing() const { return m_directSinceHealing; }

    SimulatedFleet fleet { 4 };

private:
    struct Run {
        std::size_t attempt = 0;
        std::size_t host = 0;
        MonotonicTime startedAt {};
        bool hasBegun = false;
        std::optional<MonotonicTime> failsAt {};
    };

    struct Sent {
        RequestId id;
        std::size_t host = 0;
        MonotonicTime at {};
    };

    void putEndpoint(const std::string& id, const std::string& service)
    {
        fleet.store.put("endpoints/" + id,
            nlohmann::json { { "service", service }, { "heartbeat", ++m_heartbeat }, { "models", { "m1" } } }.dump());
    }

    bool isCutOff(std::size_t host, const EndpointId& endpoint) const
    {
        if (!m_isCut || !m_test.hosts.contains(host))
            return false;
        if (m_test.isOneService)
            return endpoint.value.starts_with("n");
        return !m_test.areSomeEndpoints || (endpoint.value.back() - '0') % 2 == 0;
    }

    bool isUnreachable(const Run& run) const { return isCutOff(run.host, fleet.attempts[run.attempt].endpoint); }

    void step()
    {
        fleet.run(20ms);
        for (const SendWholeResponse& answer : std::exchange(fleet.answers, {})) {
            m_statuses[answer.id] = answer.status;
            m_quarantined += answer.status == 500;
        }
        sendRequests();
        takeAttempts();
        advanceRuns();
    }

    void sendRequests()
    {
        constexpr std::array<const char*, 4> paths { "/order/", "/read/", "/note/", "/dossier/" };
        if (fleet.now < m_nextRequestAt)
            return;
        m_nextRequestAt = fleet.now + 40ms;
        const std::size_t host = m_count % fleet.hostCount();
        const std::string path = paths[(m_count / fleet.hostCount()) % paths.size()];
        ++m_count;
        const bool isPlain = path == "/order/" || path == "/read/";
        fleet.callerTime = isPlain ? 1500ms : 8s;
        const RequestId id
            = fleet.arrive(host, path + std::to_string(m_count), isPlain ? "" : "m1", isPlain ? "" : "popular");
        m_sent.push_back({ id, host, fleet.now });
    }

    void takeAttempts()
    {
        for (; m_seen < fleet.attempts.size(); ++m_seen) {
            Run run { m_seen, fleet.attemptHosts[m_seen], fleet.now };
            if (m_healedAt && m_test.hosts.contains(run.host))
                ++m_directSinceHealing;
            if (isUnreachable(run)) {
                const bool isRefused = m_test.kind == CutKind::Reset || m_test.kind == CutKind::NewRefused;
                run.failsAt = fleet.now + (isRefused ? 10ms : fleet.attempts[m_seen].connectTimeout);
            }
            m_runs.push_back(run);
        }
    }

    void advanceRuns()
    {
        std::vector<Run> running;
        for (Run& run : std::exchange(m_runs, {})) {
            if (run.failsAt && fleet.now >= *run.failsAt)
                failRun(run);
            else if (run.failsAt || !advance(run))
                running.push_back(run);
        }
        m_runs.insert(m_runs.begin(), running.begin(), running.end());
    }

    void failRun(const Run& run)
    {
        if (!run.hasBegun && run.startedAt >= m_cutAt)
            return fleet.fail(run.attempt, AttemptOutcome::NotSent, AttemptFailure::Connect);
        fleet.fail(run.attempt, AttemptOutcome::Unknown,
            m_test.kind == CutKind::Reset ? AttemptFailure::Broken : AttemptFailure::Silence);
    }

    // Returns whether the run has ended.
    bool advance(Run& run)
    {
        const StartAttempt& attempt = fleet.attempts[run.attempt];
        const bool isPlain = attempt.endpoint.value.starts_with("o");
        if (!run.hasBegun && fleet.now - run.startedAt >= 60ms) {
            run.hasBegun = true;
            if (attempt.target.starts_with("/order/") && !m_orders.insert(attempt.target).second)
                ++m_duplicates;
            fleet.begin(run.attempt, isPlain ? 0 : 3);
        }
        if (fleet.now - run.startedAt < (isPlain ? 80ms : 400ms))
            return false;
        fleet.finish(run.attempt);
        return true;
    }

    // Served and sent first attempts of the time in which the rule holds.
    std::pair<std::size_t, std::size_t> servedOf(bool isCut) const
    {
        std::size_t served = 0;
        std::size_t sent = 0;
        for (const Sent& request : m_sent) {
            if (m_test.hosts.contains(request.host) != isCut || request.at < m_cutAt + reactionTime
                || request.at >= *m_healedAt)
                continue;
            ++sent;
            const auto status = m_statuses.find(request.id);
            served
                += fleet.finishedStreams.contains(request.id) || (status != m_statuses.end() && status->second == 200);
        }
        return { served, sent };
    }

    PathCase m_test;
    std::vector<Run> m_runs;
    std::vector<Sent> m_sent;
    std::map<RequestId, int> m_statuses;
    std::set<std::string> m_orders;
    bool m_isCut = false;
    MonotonicTime m_cutAt {};
    std::optional<MonotonicTime> m_healedAt;
    MonotonicTime m_nextRequestAt {};
    std::size_t m_count = 0;
    std::size_t m_seen = 0;
    std::size_t m_quarantined = 0;
    std::size_t m_duplicates = 0;
    std::size_t m_directSinceHealing = 0;
    std::uint64_t m_heartbeat = 100;
};

} // namespace

// Guards against callers that are refused because their host cannot reach endpoints that other hosts reach.
TEST_CASE("Hosts without a path to endpoints have their callers served")
{
    const auto test = GENERATE(values<PathCase>({
        { "a silent cut", CutKind::Silent, { 0 } },
        { "connections that are reset", CutKind::Reset, { 0 } },
        { "open connections that live on", CutKind::NewOnly, { 0 } },
        { "open connections that live on, new ones refused", CutKind::NewRefused, { 0 } },
        { "two hosts", CutKind::Silent, { 0, 1 } },
        { "three of four hosts", CutKind::Reset, { 0, 1, 2 } },
        { "one service", CutKind::Silent, { 1 }, true },
        { "some endpoints", CutKind::Silent, { 1 }, false, true },
        { "some endpoints, with resets", CutKind::Reset, { 1 }, false, true },
        { "the owner of the placement", CutKind::Silent, {}, false, false, true },
        { "the store as well", CutKind::Silent, { 2 }, false, false, false, true },
    }));
    INFO(test.name);
    PathSimulation simulation(test);
    simulation.cut();
    simulation.run(16s);
    simulation.heal();
    simulation.run(4s);
    CHECK(simulation.problems() == std::vector<std::string> {});
    // A healed host serves by itself again.
    CHECK(simulation.directAttemptsSinceHealing() > 20);
}
