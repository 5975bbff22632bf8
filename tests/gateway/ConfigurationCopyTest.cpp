#include "gateway/SimulatedFleet.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t dataCentres = 3;
constexpr std::size_t hosts = 24;
// The shortest time within which operators ask for a version to be in force.
constexpr Duration applyBound = seconds(2);
constexpr Duration step = milliseconds(20);
// 40 kB on a link of 10 Mbit/s, of which requests and answers take half.
constexpr Duration documentTime = milliseconds(66);

// How the store treats every third host, which gets new versions from the other hosts alone.
struct StoreTrouble {
    const char* name;
    void (*begin)(SimulatedFleet&, std::size_t host);
};

const StoreTrouble troubles[] = {
    { "the store rejects its calls", [](SimulatedFleet& fleet, std::size_t host) { fleet.setConnected(host, false); } },
    { "the store does not answer it", [](SimulatedFleet& fleet, std::size_t host) { fleet.setSilent(host, true); } },
};

bool isWithoutStore(std::size_t host) { return host % 3 == 1; }

// Versions follow each other, and the loops of the hosts without the store come round every few steps.
class VersionsInARow {
public:
    explicit VersionsInARow(const StoreTrouble& trouble)
        : fleet(hosts, 0, [](std::size_t host, GatewaySettings& settings) {
            settings.dataCentre = DataCentreId("dc" + std::to_string(host % dataCentres));
        })
    {
        fleet.run(seconds(4));
        fleet.documentTime = documentTime;
        for (std::size_t host = 0; host < hosts; ++host) {
            if (isWithoutStore(host))
                trouble.begin(fleet, host);
        }
        run(seconds(1));
        fleet.documents.clear();
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = fleet.now + duration; fleet.now < end;) {
            ++m_steps;
            for (std::size_t host = 0; host < hosts; ++host)
                fleet.setFrozen(host, isWithoutStore(host) && (m_steps + host) % loopSteps != 0);
            fleet.run(step);
        }
    }

    void accept(std::uint64_t version)
    {
        fleet.store.put("configuration", std::to_string(version));
        m_acceptedAt[version] = fleet.now;
    }

    // The longest time since a version was accepted that is not in force on some host.
    Duration longestDelay()
    {
        Duration longest {};
        for (std::size_t host = 0; host < hosts; ++host) {
            fleet.setFrozen(host, false);
            const auto missing = m_acceptedAt.upper_bound(fleet.status(host)["configuration"].get<std::uint64_t>());
            if (missing != m_acceptedAt.end())
                longest = std::max<Duration>(longest, fleet.now - missing->second);
        }
        return longest;
    }

    SimulatedFleet fleet;

private:
    // A loop that comes round every 0.2 s.
    static constexpr std::size_t loopSteps = 10;

    std::map<std::uint64_t, MonotonicTime> m_acceptedAt;
    std::size_t m_steps = 0;
};

} // namespace

// Guards against a host that asks all others for the same document, and whose link is busy with the answers when the
// next version comes.
TEST_CASE("Versions in a row are in force in time on hosts that get them from others, for few documents")
{
    constexpr std::uint64_t versions = 15;
    const StoreTrouble& trouble = troubles[GENERATE(range(std::size_t { 0 }, std::size(troubles)))];
    INFO(trouble.name);
    VersionsInARow history(trouble);
    Duration longest {};
    for (std::uint64_t version = 2; version < 2 + versions; ++version) {
        history.accept(version);
        history.run(milliseconds(340));
        longest = std::max(longest, history.longestDelay());
    }
    history.run(applyBound);
    CHECK(millisecondsOf(longest) <= millisecondsOf(applyBound));
    CHECK(history.longestDelay() == Duration::zero());
    for (const auto& [host, documents] : history.fleet.documents) {
        INFO("host " << host);
        CHECK(documents <= 2 * versions);
    }
}

namespace {

// What happens to the first of two hosts while a version with another route is accepted.
struct RefusalCase {
    const char* name;
    void (*begin)(SimulatedFleet&);
    Duration time;
    // Of a request on the route, and of one on a route that never existed.
    int addedStatus;
    int unknownStatus;
};

void silence(SimulatedFleet& fleet)
{
    fleet.setSilent(0, true);
    fleet.links = [](std::size_t, std::size_t) { return false; };
}

const RefusalCase refusalCases[] = {
    { "nothing happens", [](SimulatedFleet&) {}, seconds(1), 200, 404 },
    { "nothing happens for long", [](SimulatedFleet&) {}, seconds(20), 200, 404 },
    { "the store does not answer", [](SimulatedFleet& fleet) { fleet.setSilent(0, true); }, seconds(1), 200, 404 },
    { "it hears neither the store nor the other host, for a moment", silence, seconds(1), 404, 404 },
    { "it hears neither the store nor the other host", silence, seconds(4), 503, 503 },
    { "the store rejects its calls, and no host hears it",
        [](SimulatedFleet& fleet) {
            fleet.setConnected(0, false);
            fleet.links = [](std::size_t from, std::size_t) { return from != 0; };
        },
        seconds(1), 503, 503 },
};

int statusOf(SimulatedFleet& fleet, const std::string& target)
{
    fleet.answers.clear();
    const RequestId id = fleet.arrive(0, target);
    fleet.run(step);
    const auto answer = std::find_if(fleet.answers.begin(), fleet.answers.end(),
        [id](const SendWholeResponse& response) { return response.id == id; });
    REQUIRE(answer != fleet.answers.end());
    return answer->status;
}

} // namespace

// Guards against a host that refuses a request by a version that has long been replaced, and against one that refuses
// without need.
TEST_CASE("A host refuses a request by its configuration only if no newer version can have to be in force")
{
    const RefusalCase& test = refusalCases[GENERATE(range(std::size_t { 0 }, std::size(refusalCases)))];
    INFO(test.name);
    SimulatedFleet fleet(2);
    fleet.store.put("endpoints/o1", R"({"service":"orders","heartbeat":1})");
    fleet.run(seconds(4) + GENERATE(milliseconds(0), milliseconds(700), milliseconds(1400)));
    test.begin(fleet);
    // The space at the end stands for a version with the route.
    fleet.store.put("configuration", "2 ");
    fleet.run(test.time);
    CHECK(statusOf(fleet, "/added/1") == test.addedStatus);
    CHECK(statusOf(fleet, "/never/1") == test.unknownStatus);
}

// Guards against a host that waits for the answer to a call which was lost, although others are answered again.
TEST_CASE("A host that the store answers again soon knows the newest version")
{
    // The shortest time after which a host counts as being in contact again.
    constexpr Duration contact = seconds(3);
    const int quarters = GENERATE(range(32, 52));
    INFO("silent for " << quarters << " quarters of a second");
    SimulatedFleet fleet(2);
    fleet.run(seconds(4));
    silence(fleet);
    fleet.run(seconds(2));
    fleet.store.put("configuration", "2");
    fleet.run(quarters * milliseconds(250));
    fleet.setSilent(0, false);
    fleet.run(contact);
    CHECK(fleet.status(0)["configuration"] == 2);
}
