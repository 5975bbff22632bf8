#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>
#include <deque>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t dataCentres = 4;
constexpr std::size_t records = 20;
constexpr Duration step = milliseconds(100);
constexpr std::size_t hosts = 24;
// The interval at which each of 24 hosts reads by itself, and a few steps of the simulation for the call.
constexpr Duration longestAge = hosts * milliseconds(30) + milliseconds(80);

// Hosts in four data centres, of which a third is strong. Endpoints write their records every 0.4 s, each at a time of
// its own, and some change otherwise.
class SharedReadingHistory {
public:
    explicit SharedReadingHistory(unsigned sharedReadingHosts = 5, std::size_t count = hosts)
        : fleet(count, 0, [sharedReadingHosts](std::size_t host, GatewaySettings& settings) {
            settings.dataCentre = DataCentreId("dc" + std::to_string(host % dataCentres));
            settings.processorShare = isStrong(host) ? 0.4 : 0.09;
            settings.sharedReadingHosts = sharedReadingHosts;
        })
    {
        for (std::size_t i = 0; i < records; ++i)
            write(i);
    }

    static bool isStrong(std::size_t host) { return host % 3 == 0; }

    void run(Duration duration)
    {
        for (const MonotonicTime end = fleet.now + duration; fleet.now < end;) {
            for (int i = 0; i < 5; ++i) {
                write(m_next++ % records);
                fleet.run(milliseconds(20));
                if (onStep)
                    onStep();
            }
            // Another software version, which is more than a heartbeat.
            if (++m_steps % 7 == 0)
                ++m_softwareVersions[m_steps % records];
            noteAges();
        }
    }

    // The longest time for which a host that is in contact did not know a change.
    void noteAges()
    {
        for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
            if (!fleet.isRunning(host) || excluded.contains(host))
                continue;
            const auto version = fleet.status(host)["reading"]["version"].get<StoreVersion>();
            const auto unknown = std::find_if(
                m_writes.begin(), m_writes.end(), [version](const auto& write) { return write.first > version; });
            if (unknown == m_writes.end())
                continue;
            if (fleet.now - unknown->second > oldest) {
                oldest = fleet.now - unknown->second;
                oldestHost = host;
            }
        }
        while (m_writes.size() > 4 * records)
            m_writes.pop_front();
    }

    std::string role(std::size_t host) { return fleet.status(host)["reading"]["role"]; }
    // The host that reads for the first data centre.
    std::size_t reader()
    {
        for (std::size_t host = 0; host < fleet.hostCount(); host += dataCentres) {
            if (fleet.isRunning(host) && role(host) == "reader")
                return host;
        }
        return fleet.hostCount();
    }

    // Calls for the endpoints' records within the time.
    std::size_t callsWithin(Duration duration)
    {
        const std::size_t before = fleet.calls[StoreUser::Membership];
        run(duration);
        return fleet.calls[StoreUser::Membership] - before;
    }

    SimulatedFleet fleet;
    std::function<void()> onStep;
    // Hosts that are not in contact.
    std::set<std::size_t> excluded;
    Duration oldest {};
    std::size_t oldestHost = 0;

private:
    void write(std::size_t record)
    {
        const nlohmann::json value { { "service", "notes" }, { "heartbeat", ++m_heartbeat },
            { "version", "v" + std::to_string(m_softwareVersions[record]) } };
        fleet.store.put("endpoints/x" + std::to_string(record), value.dump());
        m_writes.emplace_back(fleet.store.version(), fleet.now);
    }

    std::map<std::size_t, int> m_softwareVersions;
    // Versions of the records that were written, and when.
    std::deque<std::pair<StoreVersion, MonotonicTime>> m_writes;
    std::size_t m_next = 0;
    std::size_t m_steps = 0;
    std::uint64_t m_heartbeat = 0;
};

// What happens to the reader of the first data centre.
struct Fault {
    const char* name;
    void (*begin)(SharedReadingHistory&, std::size_t reader);
};

const Fault faults[] = {
    { "nothing happens", [](SharedReadingHistory&, std::size_t) {} },
    { "the reader is killed", [](SharedReadingHistory& history, std::size_t reader) { history.fleet.kill(reader); } },
    { "the reader stands still",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.excluded.insert(reader);
            history.fleet.setFrozen(reader, true);
        } },
    { "the reader is cut from the store",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.excluded.insert(reader);
            history.fleet.setConnected(reader, false);
        } },
    { "the reader is cut from its hosts",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.fleet.links = [reader](std::size_t from, std::size_t to) { return from != reader && to != reader; };
        } },
    { "the reader does not reach its hosts, but hears them",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.fleet.links = [reader](std::size_t from, std::size_t) { return from != reader; };
        } },
    { "the reader lags by 0.7 s",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.excluded.insert(reader);
            history.onStep
                = [&history, reader, steps = 0]() mutable { history.fleet.setFrozen(reader, ++steps % 36 != 0); };
        } },
    { "two hosts read, because they do not hear each other",
        [](SharedReadingHistory& history, std::size_t reader) {
            history.fleet.links = [reader](std::size_t from, std::size_t to) {
                const bool isBetween = from == reader || to == reader;
                const std::size_t other = from == reader ? to : from;
                return !isBetween || other % 2 == 1 || !SharedReadingHistory::isStrong(other);
            };
        } },
};

// What the store does to some hosts of the first data centre, of which one reads for the others.
const Fault storeFaults[] = {
    { "the store rejects the reader's calls",
        [](SharedReadingHistory& history, std::size_t reader) { history.fleet.setConnected(reader, false); } },
    { "the store does not answer the reader",
        [](SharedReadingHistory& history, std::size_t reader) { history.fleet.setSilent(reader, true); } },
    { "the store rejects the calls of all but one",
        [](SharedReadingHistory& history, std::size_t reader) {
            for (std::size_t host = 0; host < hosts; host += dataCentres)
                history.fleet.setConnected(host, host == (reader + dataCentres) % hosts);
        } },
    { "the store rejects the followers' calls, and each misses a batch",
        [](SharedReadingHistory& history, std::size_t reader) {
            for (std::size_t host = 0; host < hosts; host += dataCentres)
                history.fleet.setConnected(host, host == reader);
            history.fleet.links = [&history, until = history.fleet.now + milliseconds(400)](
                                      std::size_t, std::size_t) { return history.fleet.now >= until; };
        } },
    { "the store does not answer the followers, and each misses a batch",
        [](SharedReadingHistory& history, std::size_t reader) {
            for (std::size_t host = 0; host < hosts; host += dataCentres)
                history.fleet.setSilent(host, host != reader);
            history.fleet.links = [&history, until = history.fleet.now + milliseconds(400)](
                                      std::size_t, std::size_t) { return history.fleet.now >= until; };
        } },
};

} // namespace

// Guards against a host that sends requests to an endpoint which has left, because it missed a change and the store
// does not let it read.
TEST_CASE("A host whose calls fail knows what another host of its data centre reads")
{
    const Fault& fault = storeFaults[GENERATE(range(std::size_t { 0 }, std::size(storeFaults)))];
    INFO(fault.name);
    SharedReadingHistory history;
    history.run(seconds(4) + GENERATE(milliseconds(0), milliseconds(100), milliseconds(200), milliseconds(300)));
    const std::size_t reader = history.reader();
    REQUIRE(reader < history.fleet.hostCount());
    fault.begin(history, reader);
    // The hosts learn who reads now, and what they missed.
    history.run(longestAge + milliseconds(400));
    history.oldest = Duration::zero();
    history.run(seconds(6));
    INFO("host " << history.oldestHost << ", reader " << reader);
    CHECK(millisecondsOf(history.oldest) <= millisecondsOf(longestAge));
}

// Answers the load that the calls of each host are at 65 hosts. Guards against hosts that act on records older than
// those that they would read by themselves.
TEST_CASE("Whatever happens to the reader, no records are older than those that a host would read by itself")
{
    const Fault& fault = faults[GENERATE(range(std::size_t { 0 }, std::size(faults)))];
    INFO(fault.name);
    SharedReadingHistory history;
    // Times between the last digest, the last batch and the fault differ.
    history.run(seconds(4) + GENERATE(milliseconds(0), milliseconds(100), milliseconds(200)));
    const std::size_t reader = history.reader();
    REQUIRE(reader < history.fleet.hostCount());
    CHECK(SharedReadingHistory::isStrong(reader));
    history.oldest = Duration::zero();
    fault.begin(history, reader);
    history.run(seconds(3));
    INFO("host " << history.oldestHost << ", reader " << reader);
    CHECK(millisecondsOf(history.oldest) <= millisecondsOf(longestAge));
    // A host that reads for its data centre again is found.
    history.excluded.erase(reader);
    history.onStep = {};
    history.fleet.links = [](std::size_t, std::size_t) { return true; };
    if (!history.fleet.isRunning(reader))
        history.fleet.start(reader);
    history.fleet.setFrozen(reader, false);
    history.fleet.setConnected(reader, true);
    history.excluded.insert(reader);
    history.run(seconds(4));
    CHECK(millisecondsOf(history.oldest) <= millisecondsOf(longestAge));
    CHECK(history.reader() < history.fleet.hostCount());
    for (std::size_t host = 0; host < history.fleet.hostCount(); ++host)
        CHECK(history.fleet.status(host)["endpoints"] == records);
}

TEST_CASE("One reader for each data centre needs less than a third of the calls of 65 hosts")
{
    SharedReadingHistory alone(0, 65);
    alone.run(seconds(4));
    const std::size_t before = alone.callsWithin(seconds(6));
    SharedReadingHistory shared(5, 65);
    shared.run(seconds(6));
    const std::size_t after = shared.callsWithin(seconds(6));
    INFO(before << " calls in 6 s before, " << after << " after");
    CHECK(3 * after < before);
}

// Guards against records of another history that a reader passes on.
TEST_CASE("After a restore of the store each host lists by itself before it follows again")
{
    SharedReadingHistory history;
    history.run(seconds(5));
    history.fleet.store.saveCopy();
    history.run(seconds(2));
    const std::size_t lists = history.fleet.lists;
    history.fleet.restoreStore();
    history.run(seconds(1));
    CHECK(history.fleet.lists - lists >= hosts);
    history.run(seconds(8));
    CHECK(history.reader() < history.fleet.hostCount());
}

TEST_CASE("Hosts of a small data centre read by themselves")
{
    SharedReadingHistory history(5, 16);
    history.run(seconds(4));
    for (std::size_t host = 0; host < 16; ++host)
        CHECK(history.role(host) == "alone");
}

// Guards against endpoints that stay in a follower's copy because their deletion reached it before an older record.
TEST_CASE("An endpoint that is deleted disappears everywhere within the interval")
{
    SharedReadingHistory history;
    history.run(seconds(5));
    history.fleet.store.put("endpoints/y", R"({"service":"notes","heartbeat":1})");
    history.run(milliseconds(1300));
    for (std::size_t host = 0; host < hosts; ++host)
        CHECK(history.fleet.status(host)["endpoints"] == records + 1);
    history.fleet.store.erase("endpoints/y");
    history.run(milliseconds(1300));
    for (std::size_t host = 0; host < hosts; ++host)
        CHECK(history.fleet.status(host)["endpoints"] == records);
}

// Guards against followers that know no heartbeats and use an endpoint which a restored store brings back.
TEST_CASE("An endpoint that is gone stays unused where a restored store has its record")
{
    SharedReadingHistory history;
    for (int heartbeat = 1; heartbeat < 4; ++heartbeat) {
        history.fleet.store.put("endpoints/y", R"({"service":"notes","heartbeat":)" + std::to_string(heartbeat) + "}");
        history.run(seconds(2));
    }
    history.fleet.store.saveCopy();
    history.fleet.store.put("endpoints/y", R"({"service":"notes","heartbeat":4})");
    history.run(seconds(2));
    history.fleet.store.erase("endpoints/y");
    history.run(seconds(2));
    history.fleet.restoreStore();
    history.run(seconds(3));
    for (std::size_t host = 0; host < hosts; ++host)
        CHECK(history.fleet.status(host)["endpoints"] == records);
}
