#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/relay/EndpointReach.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char* service = "notes";

struct Failure {
    const char* endpoint;
    AttemptFailure kind;
    Duration after;
};

struct ReachCase {
    const char* name;
    std::size_t endpoints;
    std::vector<Failure> failures;
    // Whether an answer arrives before the last failure, on a new or an old connection.
    bool isAnswered;
    bool isNewConnection;
    // Whether a probe fails before the last failure.
    bool isProbeFailed;
    bool expectedLost;
};

// The reach of one host, with a manual clock.
struct ReachFixture {
    void fail(const Failure& failure, std::size_t endpoints)
    {
        now += failure.after;
        reach.noteFailure(service, EndpointId(failure.endpoint), failure.kind, endpoints, now, effects);
    }

    EndpointReach reach;
    EffectList effects;
    MonotonicTime now { 1h };
};

} // namespace

// Guards against blaming the endpoints, or the host, for what the other did.
TEST_CASE("A path is lost when several endpoints fail and none answers")
{
    using enum AttemptFailure;
    const auto test = GENERATE(values<ReachCase>({
        { "three endpoints fall silent", 12, { { "a", Silence, 0s }, { "b", Connect, 1s }, { "c", Silence, 1s } },
            false, false, true, true },
        { "three connections are reset", 12, { { "a", Broken, 0s }, { "b", Broken, 0s }, { "c", Broken, 0s } }, false,
            false, true, true },
        { "one endpoint fails again and again", 12,
            { { "a", Connect, 0s }, { "a", Connect, 0s }, { "a", Connect, 0s }, { "a", Connect, 0s } }, false, false,
            true, false },
        { "two of many fail", 12, { { "a", Connect, 0s }, { "b", Connect, 0s }, { "a", Connect, 0s } }, false, false,
            true, false },
        { "both of two fail", 2, { { "a", Connect, 0s }, { "b", Connect, 0s }, { "a", Connect, 0s } }, false, false,
            true, true },
        { "the only one fails three times", 1, { { "a", Connect, 0s }, { "a", Connect, 0s } }, false, false, true,
            true },
        { "the only one fails once", 1, { { "a", Connect, 0s } }, false, false, false, false },
        { "another endpoint answers between", 12, { { "a", Silence, 0s }, { "b", Silence, 0s }, { "c", Silence, 0s } },
            true, false, true, false },
        { "old connections go on, no new one opens", 12,
            { { "a", Connect, 0s }, { "b", Connect, 0s }, { "c", Connect, 0s } }, true, false, true, true },
        { "a new connection opens between", 12, { { "a", Connect, 0s }, { "b", Connect, 0s }, { "c", Connect, 0s } },
            true, true, false, false },
        { "three endpoints fail, no probe does", 12,
            { { "a", Connect, 0s }, { "b", Connect, 0s }, { "c", Connect, 0s } }, false, false, false, false },
        { "old failures", 12, { { "a", Connect, 0s }, { "b", Connect, 3s }, { "c", Connect, 3s } }, false, false, true,
            false },
    }));
    INFO(test.name);
    ReachFixture fixture;
    for (std::size_t i = 0; i < test.failures.size(); ++i) {
        if (test.isAnswered && i + 1 == test.failures.size())
            fixture.reach.noteAnswer(service, test.isNewConnection, fixture.now, fixture.effects);
        if (test.isProbeFailed && i + 1 == test.failures.size())
            fixture.reach.noteProbeFailed(service, EndpointId(test.failures[i - 1].endpoint), AttemptFailure::Connect,
                test.endpoints, fixture.now, fixture.effects);
        fixture.fail(test.failures[i], test.endpoints);
    }
    CHECK(fixture.reach.isLost(service) == test.expectedLost);
    CHECK(fixture.reach.lostServices().size() == (test.expectedLost ? 1 : 0));
    CHECK(fixture.reach.takeNewlyLost().size() == (test.expectedLost ? 1 : 0));
    CHECK_FALSE(fixture.reach.isLost("orders"));
}

// Guards against a host that stays without endpoints after its links work again, and against one probe a request.
TEST_CASE("A lost path is probed and regained with a new connection")
{
    ReachFixture fixture;
    for (const char* endpoint : { "a", "b" })
        fixture.fail({ endpoint, AttemptFailure::Connect, 0s }, 12);
    CHECK_FALSE(fixture.reach.isLost(service));
    fixture.reach.noteProbeFailed(service, EndpointId("c"), AttemptFailure::Connect, 12, fixture.now, fixture.effects);
    REQUIRE(fixture.reach.isLost(service));
    CHECK(fixture.reach.takeDueProbes(fixture.now).empty());
    fixture.now += 500ms;
    CHECK(fixture.reach.takeDueProbes(fixture.now) == std::vector<std::string> { service });
    fixture.now += 1s;
    // One probe at a time.
    CHECK(fixture.reach.takeDueProbes(fixture.now).empty());
    fixture.reach.noteProbeFailed(service, EndpointId("d"), AttemptFailure::Connect, 12, fixture.now, fixture.effects);
    CHECK(fixture.reach.takeDueProbes(fixture.now).size() == 1);
    fixture.reach.noteAnswer(service, false, fixture.now, fixture.effects);
    CHECK(fixture.reach.isLost(service));
    fixture.reach.noteAnswer(service, true, fixture.now, fixture.effects);
    CHECK_FALSE(fixture.reach.isLost(service));
    CHECK(fixture.reach.takeRegained() == std::set<std::string> { service });
    fixture.now += 10s;
    CHECK(fixture.reach.takeDueProbes(fixture.now).empty());
}

// Guards against a loss that is noticed only after many requests have failed.
TEST_CASE("A path in doubt is probed at an endpoint that has not failed")
{
    ReachFixture fixture;
    fixture.fail({ "a", AttemptFailure::Connect, 0s }, 12);
    CHECK(fixture.reach.takeDueProbes(fixture.now).empty());
    fixture.fail({ "b", AttemptFailure::Connect, 0s }, 12);
    CHECK(fixture.reach.takeDueProbes(fixture.now).size() == 1);
    CHECK(fixture.reach.hasFailed(service, EndpointId("b")));
    CHECK_FALSE(fixture.reach.hasFailed(service, EndpointId("c")));
}

// Guards against a path that counts as regained because something on the way accepts connections.
TEST_CASE("Connections that open and stay silent show no path")
{
    ReachFixture fixture;
    for (const char* endpoint : { "a", "b" })
        fixture.fail({ endpoint, AttemptFailure::Silence, 0s }, 12);
    fixture.reach.noteProbeFailed(service, EndpointId("c"), AttemptFailure::Silence, 12, fixture.now, fixture.effects);
    CHECK(fixture.reach.isLost(service));
    fixture.now += 1s;
    CHECK(fixture.reach.takeDueProbes(fixture.now).size() == 1);
    fixture.reach.noteProbeFailed(service, EndpointId("d"), AttemptFailure::Silence, 12, fixture.now, fixture.effects);
    CHECK(fixture.reach.isLost(service));
}

namespace {

struct ProbeCase {
    const char* name;
    std::set<std::string> failed;
    std::set<std::string> expected;
};

} // namespace

// Replays a data centre that is cut off: guards against hosts that take the loss of its endpoints, a part of all, for
// the loss of their own path, and have other hosts serve their requests.
TEST_CASE("A probe goes to a data centre in which no endpoint has failed, the own one first")
{
    const auto test = GENERATE(values<ProbeCase>({
        { "another data centre is cut off", { "a1" }, { "c1", "c2" } },
        { "all others are cut off", { "a1", "b2" }, { "c1", "c2" } },
        { "endpoints of the own one fail", { "c1" }, { "a1", "a2", "b1", "b2" } },
        { "one of the others is left", { "a2", "c1" }, { "b1", "b2" } },
        { "failures everywhere", { "a1", "b1", "c1" }, { "a2", "b2", "c2" } },
        { "all failed", { "a1", "a2", "b1", "b2", "c1", "c2" }, { "a1", "a2", "b1", "b2", "c1", "c2" } },
    }));
    INFO(test.name);
    EndpointDirectory directory { DataCentreId("c"), 1 };
    const MonotonicTime now { 1h };
    EffectList effects;
    for (const char* id : { "a1", "a2", "b1", "b2", "c1", "c2" }) {
        EndpointRecord record = sampleEndpoint(id, service);
        record.dataCentre = DataCentreId(std::string(1, id[0]));
        directory.put(record, now, effects);
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 200; ++i) {
        const auto probe = directory.chooseForProbe(
            service, [&test](const EndpointId& id) { return test.failed.contains(id.value); }, now);
        REQUIRE(probe);
        chosen.insert(probe->endpoint.value);
    }
    CHECK(chosen == test.expected);
}
