#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/EndpointReturn.h>
#include <catkinwell/gateway/EvacuatedDataCentres.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const std::string evacuateA = "configuration/evacuate/a";
const std::string evacuateB = "configuration/evacuate/b";

// The load that these tests answer: requests arrive at all hosts all the time.
constexpr int requestsPerHost = 20;

// Hosts with the service "orders" at o1 in the data centre "a" and at o2 in "b".
class EvacuationFleet : public SimulatedFleet {
public:
    explicit EvacuationFleet(std::size_t hosts = 3, std::size_t engines = 0)
        : SimulatedFleet(hosts, engines)
    {
        putEndpoint("o1", "a");
        putEndpoint("o2", "b");
        run(2s);
    }

    void putEndpoint(const std::string& id, const std::string& zone, const std::string& service = "orders",
        const std::vector<std::string>& models = {})
    {
        store.put("endpoints/" + id,
            nlohmann::json {
                { "service", service }, { "heartbeat", ++m_heartbeat }, { "zone", zone }, { "models", models } }
                .dump());
    }

    // Endpoints of the attempts of requests that arrive at all hosts from now on.
    std::set<std::string> chosenNow(const std::string& target = "/order/1", const std::string& model = "")
    {
        attempts.clear();
        attemptHosts.clear();
        for (int i = 0; i < requestsPerHost; ++i) {
            for (std::size_t host = 0; host < hostCount(); ++host) {
                if (isRunning(host))
                    arrive(host, target, model);
            }
            run(20ms);
        }
        return chosen();
    }

    std::set<std::string> chosen() const
    {
        std::set<std::string> endpoints;
        for (const StartAttempt& attempt : attempts)
            endpoints.insert(attempt.endpoint.value);
        return endpoints;
    }

    std::size_t logged(LogEvent event) const
    {
        return static_cast<std::size_t>(
            std::count_if(logs.begin(), logs.end(), [event](const LogEntry& entry) { return entry.event == event; }));
    }

private:
    std::uint64_t m_heartbeat = 0;
};

using Chosen = std::set<std::string>;

std::size_t refusalsOf(const SimulatedFleet& fleet, const std::string& reason)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.answers.begin(), fleet.answers.end(), [&reason](const SendWholeResponse& answer) {
            return answer.status == 503 && answer.body.find("\"" + reason + "\"") != std::string::npos
                && answer.body.find("not_run") != std::string::npos;
        }));
}

bool statesRetryAfter(const SendWholeResponse& answer)
{
    return std::any_of(
        answer.headers.begin(), answer.headers.end(), [](const auto& header) { return header.first == "Retry-After"; });
}

} // namespace

// Guards against hosts that go on sending to an evacuated data centre, or that never return to it.
TEST_CASE("No host sends requests to a data centre while its key exists, whatever its value")
{
    const auto value = GENERATE(as<std::string>(), "", "{}", "\xff\xfe not readable");
    EvacuationFleet fleet;
    REQUIRE(fleet.chosenNow() == Chosen { "o1", "o2" });
    fleet.store.put(evacuateA, value);
    fleet.run(100ms);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(fleet.logged(LogEvent::EvacuationChanged) == fleet.hostCount());
    CHECK(fleet.status(0)["evacuated_data_centres"] == nlohmann::json { "a" });
    // A key that is written again is still the same evacuation.
    fleet.store.put(evacuateA, "again");
    fleet.run(100ms);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(fleet.logged(LogEvent::EvacuationChanged) == fleet.hostCount());
    fleet.store.erase(evacuateA);
    fleet.run(EndpointReturn::limitedTime() + 1s);
    CHECK(fleet.chosenNow() == Chosen { "o1", "o2" });
}

// Guards against evacuations that change decisions of deployments without them.
TEST_CASE("Without a key of an evacuation the same endpoints are chosen, and nothing is logged or withheld")
{
    std::vector<std::string> sequences[2];
    for (const bool hasOtherKey : { false, true }) {
        EvacuationFleet fleet;
        if (hasOtherKey)
            fleet.store.put("configuration/other", "a");
        else
            fleet.store.put("unrelated", "");
        fleet.run(100ms);
        fleet.chosenNow();
        for (const StartAttempt& attempt : fleet.attempts)
            sequences[hasOtherKey].push_back(attempt.endpoint.value);
        CHECK(fleet.withheld.empty());
        CHECK(fleet.logged(LogEvent::EvacuationChanged) + fleet.logged(LogEvent::EvacuationUnmatched)
                + fleet.logged(LogEvent::ServiceEvacuated)
            == 0);
    }
    CHECK(sequences[0] == sequences[1]);
}

// Guards against a request whose connection opens after the evacuation was read.
TEST_CASE("A request whose connection is still being opened goes elsewhere, and its endpoint is not blamed")
{
    EvacuationFleet fleet(1);
    fleet.answersAttempts = false;
    std::size_t unsent = 0;
    do {
        fleet.arrive(0, "/order/1");
        unsent = fleet.attempts.size() - 1;
    } while (fleet.attempts[unsent].endpoint.value != "o1");
    CHECK(fleet.attempts[unsent].mayBeWithheld);
    fleet.store.put(evacuateA, "");
    fleet.run(100ms);
    CHECK(fleet.withheld == std::vector { EndpointId("o1") });
    const std::size_t before = fleet.attempts.size();
    fleet.fail(unsent, AttemptOutcome::NotSent, AttemptFailure::Withheld);
    REQUIRE(fleet.attempts.size() == before + 1);
    CHECK(fleet.attempts.back().endpoint.value == "o2");
    CHECK(fleet.logged(LogEvent::GatewayEndpointSuspected) == 0);
    CHECK(fleet.logged(LogEvent::GatewayPathLost) == 0);
}

// Guards against retries and resumed streams, which are chosen long after their requests arrived.
TEST_CASE("Retries and resumed streams do not go to an evacuated data centre")
{
    const auto isStream = GENERATE(false, true);
    EvacuationFleet fleet(1);
    fleet.putEndpoint("n1", "a", "notes", { "m1" });
    fleet.putEndpoint("n2", "b", "notes", { "m1" });
    fleet.run(1s);
    fleet.answersAttempts = false;
    std::size_t first = 0;
    const std::string evacuated = isStream ? "n1" : "o1";
    do {
        fleet.arrive(0, isStream ? "/dossier/1" : "/read/1", isStream ? "m1" : "");
        first = fleet.attempts.size() - 1;
    } while (fleet.attempts[first].endpoint.value == evacuated);
    if (isStream)
        fleet.begin(first, 2);
    fleet.store.put(evacuateA, "");
    fleet.run(100ms);
    fleet.breakOff(first);
    fleet.run(1s);
    // Without the evacuation, only its endpoint is left for the request.
    fleet.attempts.erase(fleet.attempts.begin(), fleet.attempts.begin() + static_cast<std::ptrdiff_t>(first) + 1);
    CHECK_FALSE(fleet.chosen().contains(evacuated));
}

// Guards against streams that are cut although their endpoint goes on with them, and against prompts that are accused
// because an evacuated data centre was shut down.
TEST_CASE("Running work goes on in an evacuated data centre, and what fails there resumes elsewhere")
{
    EvacuationFleet fleet(1);
    fleet.putEndpoint("n1", "a", "notes", { "m1" });
    fleet.run(1s);
    fleet.answersAttempts = false;
    fleet.arrive(0, "/dossier/1", "m1");
    fleet.begin(0, 2);
    fleet.putEndpoint("n2", "b", "notes", { "m1" });
    fleet.store.put(evacuateA, "");
    fleet.run(300ms);
    CHECK(fleet.attempts.size() == 1);
    fleet.breakOff(0);
    REQUIRE(fleet.attempts.size() == 2);
    CHECK(fleet.attempts[1].endpoint.value == "n2");
}

// Guards against requests that waited for an endpoint before the evacuation began.
TEST_CASE("A waiting request is not dispatched to an evacuated data centre later")
{
    EvacuationFleet fleet(1);
    fleet.answersAttempts = false;
    fleet.callerTime = 9s;
    fleet.arrive(0, "/order/1");
    fleet.fail(0, AttemptOutcome::NotSent, AttemptFailure::Connect);
    REQUIRE(fleet.attempts.size() == 2);
    // Now the request waits until an endpoint is tried again.
    fleet.fail(1, AttemptOutcome::NotSent, AttemptFailure::Connect);
    for (int i = 0; i < 8; ++i)
        fleet.arrive(0, "/order/1");
    REQUIRE(fleet.attempts.size() == 2);
    fleet.attempts.clear();
    fleet.store.put(evacuateA, "");
    fleet.run(1500ms);
    CHECK(fleet.chosen() == Chosen { "o2" });
}

// Guards against a host that serves the requests of another one without regard to the evacuation.
TEST_CASE("A relayed request does not go to an evacuated data centre")
{
    EvacuationFleet fleet(2);
    fleet.reaches = [](std::size_t host, const EndpointId&) { return host != 0; };
    fleet.answersAttempts = false;
    fleet.store.put(evacuateA, "");
    fleet.run(100ms);
    // Host 0 loses its path; its later requests are relayed.
    for (int i = 0; i < 40; ++i) {
        fleet.arrive(0, "/order/1");
        for (std::size_t attempt = 0; attempt < fleet.attempts.size(); ++attempt) {
            if (fleet.attemptHosts[attempt] == 0)
                fleet.fail(attempt, AttemptOutcome::NotSent, AttemptFailure::Connect);
        }
        fleet.run(100ms);
    }
    REQUIRE(fleet.relays > 0);
    CHECK(std::find(fleet.attemptHosts.begin(), fleet.attemptHosts.end(), 1U) != fleet.attemptHosts.end());
    CHECK(fleet.chosen() == Chosen { "o2" });
}

// Guards against orders to evacuated engines, and against models that stay without a replica because the copies there
// still count. The load: all models are requested in turn, and two of four engines are evacuated.
TEST_CASE("The owner orders nothing in an evacuated data centre, and models get replicas elsewhere")
{
    EvacuationFleet fleet(2, 4);
    fleet.zones = { { EndpointId("e0"), "a" }, { EndpointId("e1"), "a" }, { EndpointId("e2"), "b" },
        { EndpointId("e3"), "b" } };
    fleet.callerTime = 9s;
    fleet.runWithDemand(6s);
    fleet.store.put(evacuateA, "");
    fleet.run(100ms);
    fleet.orders.clear();
    fleet.attempts.clear();
    fleet.runWithDemand(20s);
    REQUIRE_FALSE(fleet.orders.empty());
    for (const SimulatedFleet::Order& order : fleet.orders)
        CHECK((order.engine.value == "e2" || order.engine.value == "e3"));
    CHECK(fleet.chosen() == Chosen { "e2", "e3" });
}

// Guards against callers that wait in vain, and against requests that are never served again.
TEST_CASE("If all data centres of a service are evacuated, its requests are refused at once until one returns")
{
    EvacuationFleet fleet(1);
    fleet.callerTime = 9s;
    fleet.answersAttempts = false;
    fleet.store.put(evacuateA, "");
    fleet.run(100ms);
    CHECK(fleet.logged(LogEvent::ServiceEvacuated) == 0);
    fleet.arrive(0, "/order/1");
    REQUIRE(fleet.attempts.size() == 1);
    // Now the request waits until the endpoint is tried again.
    fleet.fail(0, AttemptOutcome::NotSent, AttemptFailure::Connect);
    fleet.run(100ms);
    CHECK(fleet.answers.empty());
    fleet.store.put(evacuateB, "");
    fleet.run(100ms);
    CHECK(refusalsOf(fleet, "evacuated") == 1);
    CHECK(fleet.logged(LogEvent::ServiceEvacuated) == 1);
    fleet.answersAttempts = true;
    fleet.answers.clear();
    CHECK(fleet.chosenNow().empty());
    CHECK(refusalsOf(fleet, "evacuated") == requestsPerHost);
    CHECK(std::all_of(fleet.answers.begin(), fleet.answers.end(), statesRetryAfter));
    CHECK(fleet.logged(LogEvent::ServiceEvacuated) == 1);
    fleet.store.erase(evacuateB);
    fleet.run(EndpointReturn::limitedTime() + 1s);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(fleet.logged(LogEvent::ServiceEvacuated) == 2);
}

// Guards against a restore that ends an evacuation before the store's state has been read again.
TEST_CASE("A restored store ends an evacuation only when its copy has been read")
{
    EvacuationFleet fleet(1);
    fleet.store.saveCopy();
    fleet.store.put(evacuateA, "");
    fleet.run(1s);
    fleet.unansweredPrefix = "configuration";
    fleet.restoreStore();
    fleet.run(15s);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(fleet.logged(LogEvent::EvacuationChanged) == 1);
    fleet.unansweredPrefix.clear();
    fleet.run(EndpointReturn::limitedTime() + 3s);
    CHECK(fleet.logged(LogEvent::EvacuationChanged) == 2);
    CHECK(fleet.chosenNow() == Chosen { "o1", "o2" });
}

// Guards against an evacuation that ends because the store cannot be read.
TEST_CASE("An evacuation lasts while the store is unavailable, and its end is read afterwards")
{
    EvacuationFleet fleet(1);
    fleet.store.put(evacuateA, "");
    fleet.run(1s);
    fleet.setConnected(0, false);
    fleet.store.erase(evacuateA);
    fleet.run(5s);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    fleet.setConnected(0, true);
    fleet.run(EndpointReturn::limitedTime() + 4s);
    CHECK(fleet.chosenNow() == Chosen { "o1", "o2" });
}

// Guards against a host that knows the endpoints, and a configuration from its peers, but not the evacuations.
TEST_CASE("A host that starts during an evacuation serves nothing before it has read it")
{
    EvacuationFleet fleet(2);
    fleet.store.put(evacuateA, "");
    fleet.run(1s);
    fleet.kill(1);
    fleet.run(3s);
    fleet.unansweredPrefix = "configuration";
    fleet.start(1);
    fleet.run(4s);
    CHECK(fleet.status(1)["ready"] == false);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(std::count(fleet.attemptHosts.begin(), fleet.attemptHosts.end(), 1U) == 0);
    fleet.unansweredPrefix.clear();
    fleet.run(3s);
    CHECK(fleet.status(1)["ready"] == true);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    CHECK(std::count(fleet.attemptHosts.begin(), fleet.attemptHosts.end(), 1U) > 0);
}

// Guards against endpoints that are used because their records are new, after their data centre was cut off.
TEST_CASE("Endpoints that come back during the evacuation are not used")
{
    EvacuationFleet fleet;
    fleet.store.put(evacuateA, "");
    fleet.run(1s);
    fleet.store.erase("endpoints/o1");
    fleet.run(2s);
    fleet.putEndpoint("o1", "a");
    fleet.putEndpoint("o4", "a");
    fleet.run(2s);
    CHECK(fleet.chosenNow() == Chosen { "o2" });
    // The evacuated endpoints do not hide that the other ones are gone.
    fleet.store.erase("endpoints/o2");
    fleet.run(2s);
    CHECK(fleet.chosenNow().empty());
}

// Guards against a misspelt name that nobody notices.
TEST_CASE("The evacuation of a data centre that no endpoint names is kept and logged once")
{
    EvacuationFleet fleet(1);
    fleet.store.put("configuration/evacuate/c", "");
    fleet.run(2s);
    CHECK(fleet.logged(LogEvent::EvacuationUnmatched) == 1);
    fleet.putEndpoint("o3", "c");
    fleet.run(1s);
    CHECK(fleet.chosenNow() == Chosen { "o1", "o2" });
}

// Guards against endpoints that are overrun when they return cold. The load: 65 hosts with more requests than the
// endpoint may get.
TEST_CASE("After an evacuation the rate of all hosts at an endpoint grows in steps")
{
    const auto hosts = GENERATE(std::size_t { 1 }, std::size_t { 4 }, std::size_t { 65 });
    const EndpointId endpoint("o1");
    std::vector<EndpointReturn> returns;
    for (std::size_t i = 0; i < hosts; ++i) {
        returns.emplace_back(i + 1);
        returns.back().setHosts(hosts);
    }
    const MonotonicTime end { 1h };
    std::vector<unsigned> perSecond(static_cast<std::size_t>(EndpointReturn::limitedTime() / 1s));
    for (MonotonicTime now = end; now < end + EndpointReturn::limitedTime(); now += 5ms) {
        for (EndpointReturn& host : returns) {
            if (!host.isAvailable(endpoint, end, now))
                continue;
            host.attemptStarted(endpoint, end, now);
            ++perSecond[static_cast<std::size_t>((now - end) / 1s)];
        }
    }
    for (std::size_t second = 0; second < perSecond.size(); ++second) {
        const double rate = 2.0 * (1U << (second / 2));
        INFO("second " << second);
        CHECK(perSecond[second] <= 2 * rate + 3);
    }
    CHECK(perSecond.back() > perSecond.front());
    CHECK(returns[0].isAvailable(endpoint, end, end + EndpointReturn::limitedTime()));
}

TEST_CASE("The end of an evacuation is known until the next one")
{
    EvacuatedDataCentres evacuated;
    const DataCentreId a("a");
    const MonotonicTime now { 1h };
    CHECK(evacuated.isEmpty());
    CHECK(evacuated.apply(a, { "k", "", 5 }, now));
    CHECK_FALSE(evacuated.apply(a, { "k", "x", 6 }, now));
    CHECK(evacuated.evacuations().at(a).version == 6);
    CHECK_FALSE(evacuated.endedAt(a));
    CHECK(evacuated.apply(a, { "k", "", 7, true }, now + 1s));
    CHECK_FALSE(evacuated.apply(a, { "k", "", 7, true }, now + 2s));
    CHECK(evacuated.endedAt(a) == now + 1s);
    CHECK(evacuated.apply(a, { "k", "", 8 }, now + 3s));
    CHECK_FALSE(evacuated.endedAt(a));
}

// Guards against a whole document whose evacuations are not compared with those before.
TEST_CASE("The whole set of evacuated data centres is replaced")
{
    EvacuatedDataCentres evacuated;
    const DataCentreId a("a");
    const DataCentreId b("b");
    const MonotonicTime now { 1h };
    using Changed = std::vector<DataCentreId>;
    CHECK(evacuated.replaceAll({ a }, 1, now) == Changed { a });
    CHECK(evacuated.replaceAll({ a }, 2, now).empty());
    CHECK(evacuated.replaceAll({ b }, 3, now + 1s) == Changed { a, b });
    CHECK(evacuated.endedAt(a) == now + 1s);
    CHECK(evacuated.takeUnchecked() == Changed { b });
    CHECK(evacuated.takeUnchecked().empty());
    CHECK(evacuated.replaceAll({}, 4, now + 2s) == Changed { b });
    CHECK(evacuated.isEmpty());
}
