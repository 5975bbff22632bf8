#include "gateway/SimulatedFleet.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr int firstEvents = 3;

// Three hosts before engines of two software versions, all of which hold the model "m1".
class VersionFixture {
public:
    explicit VersionFixture(std::vector<std::string> versions = { "v1", "v1", "v2", "v2" })
    {
        fleet.answersAttempts = false;
        fleet.callerTime = 30s;
        for (std::size_t i = 0; i < versions.size(); ++i)
            putEngine("x" + std::to_string(i), versions[i]);
        fleet.run(2s);
    }

    void putEngine(const std::string& id, const std::string& version, std::uint64_t incarnation = 1,
        const std::vector<std::string>& models = { "m1" })
    {
        versionOf[EndpointId(id)] = version;
        fleet.store.put("endpoints/" + id,
            nlohmann::json { { "service", "notes" }, { "heartbeat", ++m_heartbeat }, { "version", version },
                { "incarnation", incarnation }, { "models", models } }
                .dump());
    }

    void removeEngines(const std::string& version)
    {
        for (const auto& [id, other] : versionOf) {
            if (other == version)
                fleet.store.erase("endpoints/" + id.value);
        }
    }

    // A stream of which the caller has received the first events.
    struct Stream {
        RequestId id;
        std::size_t host = 0;
        std::size_t attempt = 0;
    };

    Stream begin(std::size_t host)
    {
        Stream stream { {}, host, fleet.attempts.size() };
        stream.id = fleet.arrive(host, "/dossier/1", "m1");
        REQUIRE(fleet.attempts.size() == stream.attempt + 1);
        fleet.begin(stream.attempt, firstEvents);
        return stream;
    }

    std::vector<Stream> beginMany(std::size_t host, std::size_t count = 12)
    {
        std::vector<Stream> streams;
        for (std::size_t i = 0; i < count; ++i)
            streams.push_back(begin(host));
        fleet.run(100ms);
        return streams;
    }

    // The caller takes the stream up again. Returns the new attempt, or nullopt if the host starts none in time.
    std::optional<std::size_t> resume(const Stream& stream, std::size_t host, bool namesRequest = true)
    {
        HeaderList headers { { "last-event", std::to_string(firstEvents) } };
        if (namesRequest)
            headers.emplace_back("resumes", "r" + std::to_string(stream.id.value));
        const std::size_t next = fleet.attempts.size();
        fleet.answers.clear();
        fleet.arrive(host, "/dossier/1", "m1", "", headers);
        fleet.run(300ms);
        if (fleet.attempts.size() == next)
            return std::nullopt;
        fleet.begin(next, 1);
        fleet.finish(next);
        return next;
    }

    // Ends the caller's first answers in the middle.
    void interrupt(const std::vector<Stream>& streams)
    {
        for (const Stream& stream : streams)
            fleet.callerLeaves(stream.host, stream.id);
        fleet.run(100ms);
    }

    std::string versionOfAttempt(std::size_t attempt) const { return versionOf.at(fleet.attempts[attempt].endpoint); }

    // Whether the last request was refused as one that has not run and may return.
    bool wasRefused() const
    {
        if (fleet.answers.size() != 1 || fleet.answers[0].status != 503)
            return false;
        return std::any_of(fleet.answers[0].headers.begin(), fleet.answers[0].headers.end(),
            [](const auto& header) { return header.first == "Retry-After"; });
    }

    void setStoreReached(bool isReached)
    {
        for (std::size_t i = 0; i < fleet.hostCount(); ++i)
            fleet.setConnected(i, isReached);
    }

    // Kills all hosts and starts them again.
    void restartHosts()
    {
        for (std::size_t i = 0; i < fleet.hostCount(); ++i)
            fleet.kill(i);
        fleet.run(500ms);
        for (std::size_t i = 0; i < fleet.hostCount(); ++i)
            fleet.start(i);
        fleet.run(2s);
    }

    // Returns what went wrong when the streams of each version were taken up again: the share that has to go on, and
    // whether any may be refused.
    std::vector<std::string> problemsOfResuming(const std::vector<Stream>& streams, std::size_t host)
    {
        std::vector<std::string> problems;
        for (const Stream& stream : streams) {
            const std::string name = "the stream of request " + std::to_string(stream.id.value);
            const auto attempt = resume(stream, host);
            if (!attempt)
                problems.push_back(name + " was not taken up again");
            else if (versionOfAttempt(*attempt) != versionOfAttempt(stream.attempt))
                problems.push_back(name + " went on at another version");
        }
        return problems;
    }

    // Resumes each stream and checks that it goes on at the version that began it.
    void checkGoesOn(const std::vector<Stream>& streams, std::size_t host)
    {
        for (const Stream& stream : streams) {
            const auto attempt = resume(stream, host);
            INFO("stream " << stream.id.value << " begun at " << versionOfAttempt(stream.attempt));
            REQUIRE(attempt);
            CHECK(versionOfAttempt(*attempt) == versionOfAttempt(stream.attempt));
        }
    }

    void checkRefused(const std::vector<Stream>& streams, std::size_t host)
    {
        for (const Stream& stream : streams) {
            CHECK_FALSE(resume(stream, host));
            CHECK(wasRefused());
        }
    }

    std::map<EndpointId, std::string> versionOf;
    SimulatedFleet fleet { 3 };

private:
    std::uint64_t m_heartbeat = 0;
};

} // namespace

// Guards against one answer with the events of two versions.
TEST_CASE("A stream that breaks goes on within its answer at the version that began it")
{
    VersionFixture fixture;
    for (int i = 0; i < 12; ++i) {
        const auto stream = fixture.begin(0);
        fixture.fleet.breakOff(stream.attempt);
        fixture.fleet.run(200ms);
        REQUIRE(fixture.fleet.attempts.size() == stream.attempt + 2);
        CHECK(fixture.versionOfAttempt(stream.attempt + 1) == fixture.versionOfAttempt(stream.attempt));
        fixture.fleet.begin(stream.attempt + 1, 1);
        fixture.fleet.finish(stream.attempt + 1);
        // The retry budget fills again.
        fixture.fleet.run(2s);
    }
}

// Guards against an answer that is held although nothing can go on with it, and against one that goes on elsewhere.
TEST_CASE("A stream whose version has no other endpoint ends at once")
{
    VersionFixture fixture({ "v1", "v2", "v2" });
    for (int i = 0; i < 12; ++i) {
        const auto stream = fixture.begin(0);
        if (fixture.versionOfAttempt(stream.attempt) != "v1")
            continue;
        fixture.fleet.breakOff(stream.attempt);
        fixture.fleet.run(200ms);
        CHECK(fixture.fleet.attempts.size() == stream.attempt + 1);
        CHECK(fixture.fleet.status(0)["requests"] == 0);
        return;
    }
    FAIL("no stream began at v1");
}

// Guards against a caller's next try at an endpoint of another version, at the same host and at another one.
TEST_CASE("A stream that its caller takes up again goes on at the version that began it")
{
    const std::size_t host = GENERATE(0, 1);
    VersionFixture fixture;
    const auto streams = fixture.beginMany(0);
    fixture.interrupt(streams);
    fixture.checkGoesOn(streams, host);
}

// Guards against versions that only the host knows that began the stream.
TEST_CASE("A stream goes on at its version after its host was killed")
{
    VersionFixture fixture;
    const bool isStoreAway = GENERATE(false, true);
    const auto streams = fixture.beginMany(0);
    if (isStoreAway) {
        for (std::size_t i = 0; i < fixture.fleet.hostCount(); ++i)
            fixture.fleet.setConnected(i, false);
    }
    fixture.fleet.kill(0);
    fixture.fleet.run(1s);
    SECTION("at another host") { fixture.checkGoesOn(streams, 1); }
    SECTION("at the restarted host")
    {
        if (isStoreAway)
            return;
        fixture.fleet.start(0);
        fixture.fleet.run(2s);
        fixture.checkGoesOn(streams, 0);
    }
}

// Guards against a guess when nobody who can be asked knows the version.
TEST_CASE("A stream whose version is not known is refused with a time to return")
{
    VersionFixture fixture;
    SECTION("behind a cut")
    {
        fixture.fleet.setIsolated(1, true);
        const auto streams = fixture.beginMany(0);
        fixture.interrupt(streams);
        fixture.checkRefused(streams, 1);
        fixture.fleet.setIsolated(1, false);
        fixture.fleet.run(2s);
        fixture.checkGoesOn({ streams[0] }, 1);
    }
    SECTION("after all hosts were restarted that could not record it")
    {
        fixture.setStoreReached(false);
        const auto streams = fixture.beginMany(0);
        for (std::size_t i = 0; i < fixture.fleet.hostCount(); ++i) {
            fixture.fleet.kill(i);
            fixture.fleet.start(i);
        }
        fixture.fleet.run(3s);
        fixture.checkRefused(streams, 1);
    }
    SECTION("after all hosts were restarted that could not record it, and one version has gone")
    {
        fixture.setStoreReached(false);
        const auto streams = fixture.beginMany(0);
        fixture.fleet.run(1s);
        for (std::size_t i = 0; i < fixture.fleet.hostCount(); ++i)
            fixture.fleet.kill(i);
        fixture.removeEngines("v1");
        for (std::size_t i = 0; i < fixture.fleet.hostCount(); ++i)
            fixture.fleet.start(i);
        fixture.fleet.run(3s);
        fixture.checkRefused(streams, 1);
    }
    SECTION("without the request that began it")
    {
        const auto streams = fixture.beginMany(0);
        fixture.interrupt(streams);
        CHECK_FALSE(fixture.resume(streams[0], 1, false));
        CHECK(fixture.wasRefused());
    }
}

// Guards against refusals that only a second version could justify.
TEST_CASE("Where one version serves, every stream goes on")
{
    VersionFixture fixture({ "v1", "v1", "v1" });
    const auto streams = fixture.beginMany(0, 3);
    fixture.interrupt(streams);
    SECTION("without the request that began it") { CHECK(fixture.resume(streams[0], 1, false)); }
    SECTION("after all hosts were restarted")
    {
        for (std::size_t i = 0; i < fixture.fleet.hostCount(); ++i) {
            fixture.fleet.kill(i);
            fixture.fleet.start(i);
        }
        fixture.fleet.run(3s);
        fixture.checkGoesOn(streams, 1);
    }
    SECTION("behind a cut")
    {
        fixture.fleet.setIsolated(1, true);
        fixture.fleet.run(1s);
        fixture.checkGoesOn(streams, 1);
    }
}

// Guards against a stream that is given up although its model may be loaded again at the same version.
TEST_CASE("Where one version serves, a stream whose only endpoint failed waits for another")
{
    VersionFixture fixture({ "v1" });
    const auto stream = fixture.begin(0);
    fixture.fleet.breakOff(stream.attempt);
    fixture.fleet.run(300ms);
    CHECK(fixture.fleet.status(0)["requests"] == 1);
    fixture.putEngine("y1", "v1");
    fixture.fleet.run(1s);
    CHECK(fixture.fleet.attempts.size() == stream.attempt + 2);
}

// Guards against a stream that is refused for good although its version's endpoints can load its model again.
TEST_CASE("A stream whose model only another version holds waits, or returns, until it is loaded at its own")
{
    VersionFixture fixture({ "v1", "v2" });
    const auto streams = fixture.beginMany(0);
    const auto ofFirst = std::find_if(streams.begin(), streams.end(),
        [&](const auto& stream) { return fixture.versionOfAttempt(stream.attempt) == "v1"; });
    REQUIRE(ofFirst != streams.end());
    fixture.interrupt(streams);
    fixture.putEngine("x0", "v1", 1, { "m2" });
    fixture.fleet.run(500ms);
    // Loading takes longer than the caller waits for an event, so it is told to come back.
    CHECK_FALSE(fixture.resume(*ofFirst, 1));
    CHECK(fixture.wasRefused());
    CHECK(fixture.fleet.answers.at(0).body.find("no_replica") != std::string::npos);
    fixture.putEngine("x0", "v1", 1, { "m1" });
    fixture.fleet.run(500ms);
    fixture.checkGoesOn({ *ofFirst }, 1);
}

// Guards against streams that began before the second version appeared.
TEST_CASE("A stream that began before a second version served goes on at the first")
{
    VersionFixture fixture({ "v1", "v1" });
    const auto streams = fixture.beginMany(0);
    if (GENERATE(false, true))
        fixture.interrupt(streams);
    fixture.putEngine("y1", "v2");
    fixture.putEngine("y2", "v2");
    fixture.fleet.run(1s);
    fixture.fleet.kill(0);
    fixture.fleet.run(500ms);
    fixture.checkGoesOn(streams, 1);
}

// Guards against streams that go on at the remaining version after the last endpoint of theirs has left.
TEST_CASE("A stream whose version has left is refused at once")
{
    VersionFixture fixture;
    const auto streams = fixture.beginMany(0);
    fixture.interrupt(streams);
    fixture.removeEngines("v1");
    fixture.fleet.run(2s);
    for (const auto& stream : streams) {
        const bool hasLeft = fixture.versionOfAttempt(stream.attempt) == "v1";
        const auto attempt = fixture.resume(stream, 1);
        CHECK(attempt.has_value() != hasLeft);
        if (hasLeft)
            CHECK(fixture.wasRefused());
        else if (attempt)
            CHECK(fixture.versionOfAttempt(*attempt) == "v2");
    }
}

// Guards against a version that the endpoint had before it restarted under the same identifier.
TEST_CASE("An endpoint that restarts with another version does not go on with its earlier streams")
{
    VersionFixture fixture({ "v1", "v2", "v2" });
    std::vector<VersionFixture::Stream> streams;
    const auto all = fixture.beginMany(0);
    for (const auto& stream : all) {
        if (fixture.versionOfAttempt(stream.attempt) == "v1")
            streams.push_back(stream);
    }
    REQUIRE_FALSE(streams.empty());
    fixture.interrupt(all);
    fixture.putEngine("x0", "v3", 2);
    fixture.fleet.run(1500ms);
    fixture.checkRefused(streams, 1);
}

// Guards against a resumed stream at another service of a route that is split between two.
TEST_CASE("A resumed stream goes on at the service that its first request chose")
{
    VersionFixture fixture({ "v1", "v1" });
    fixture.fleet.store.put("endpoints/other",
        nlohmann::json { { "service", "drafts" }, { "heartbeat", 1 }, { "version", "v1" }, { "models", { "m1" } } }
            .dump());
    fixture.fleet.store.put("configuration", "2 split");
    fixture.fleet.run(1s);
    for (int i = 0; i < 12; ++i) {
        const auto stream = fixture.begin(0);
        fixture.fleet.callerLeaves(0, stream.id);
        const auto attempt = fixture.resume(stream, 1);
        REQUIRE(attempt);
        const EndpointId other("other");
        CHECK((fixture.fleet.attempts[*attempt].endpoint == other)
            == (fixture.fleet.attempts[stream.attempt].endpoint == other));
    }
}

namespace {

struct RestartCase {
    const char* name;
    // Whether the second version appears only after the streams began.
    bool isSecondVersionLate;
    // Whether the store is restored from a copy of before the streams.
    bool isStoreRestored;
    // Whether the old version leaves before the kill.
    bool hasOldVersionLeft;
    // Whether the hosts are killed twice.
    bool isKilledTwice;
    // Whether the hosts of the streams lose the store for a while before the kill.
    bool wasStoreAway;
};

} // namespace

// Guards against streams that are refused for minutes because all hosts that knew their versions were killed at once.
TEST_CASE("Streams go on at their versions after all hosts were killed")
{
    const auto test = GENERATE(values<RestartCase>({
        { "two versions", false, false, false, false, false },
        { "a second version that came later", true, false, false, false, false },
        { "a restored store", false, true, false, false, false },
        { "an old version that has left", false, false, true, false, false },
        { "two kills", false, false, false, true, false },
        { "a store that was away", false, false, false, false, true },
    }));
    INFO(test.name);
    VersionFixture fixture(test.isSecondVersionLate ? std::vector<std::string> { "v1", "v1" }
                                                    : std::vector<std::string> { "v1", "v1", "v2", "v2" });
    fixture.fleet.store.saveCopy();
    fixture.setStoreReached(!test.wasStoreAway);
    auto streams = fixture.beginMany(0);
    fixture.fleet.run(1s);
    fixture.setStoreReached(true);
    if (test.isSecondVersionLate) {
        fixture.putEngine("y1", "v2");
        fixture.putEngine("y2", "v2");
    }
    if (test.isStoreRestored)
        fixture.fleet.restoreStore();
    fixture.fleet.run(2s);
    if (test.hasOldVersionLeft) {
        fixture.removeEngines("v1");
        std::erase_if(streams, [&](const auto& stream) { return fixture.versionOfAttempt(stream.attempt) == "v1"; });
    }
    for (int i = 0; i < (test.isKilledTwice ? 2 : 1); ++i)
        fixture.restartHosts();
    REQUIRE_FALSE(streams.empty());
    CHECK(fixture.problemsOfResuming(streams, 1) == std::vector<std::string> {});
}
