#include <catch2/catch.hpp>
#include <catkinwell/relay/EndpointDeaths.h>
#include <functional>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const std::string pool = "notes";
const EndpointId dead("a");
const EndpointId other("b");

// One host, to which the endpoint "a" seems to have died just now.
struct DeathFixture {
    explicit DeathFixture(bool isOnlyEndpoint = false) { deaths.noteDied(dead, pool, isOnlyEndpoint, now); }

    bool isShownAfter(Duration time)
    {
        now += time;
        return deaths.takeDied(now) == std::vector<EndpointId> { dead };
    }

    EndpointDeaths deaths;
    MonotonicTime now { 1h };
};

struct DeathCase {
    const char* name;
    bool isOnlyEndpoint;
    std::function<void(DeathFixture&)> evidence;
    Duration after;
    bool expectedShown;
};

} // namespace

// Guards against requests that are refused for good because the links of the host which sent them broke, and against
// requests that crash endpoints unnoticed.
TEST_CASE("A death counts once the host's own links are shown to work")
{
    const auto test = GENERATE(values<DeathCase>({
        { "no evidence", false, [](DeathFixture&) {}, 1s, false },
        { "no evidence, for long", false, [](DeathFixture&) {}, 1h, false },
        { "another endpoint answers on a new connection", false,
            [](DeathFixture& f) { f.deaths.noteConnected(pool, other, f.now); }, 0s, true },
        { "another endpoint answers on a connection from before", false,
            [](DeathFixture& f) { f.deaths.noteConnected(pool, other, f.now - 1ms); }, 1h, false },
        { "an endpoint of another pool answers", false,
            [](DeathFixture& f) { f.deaths.noteConnected("desk", EndpointId("c"), f.now); }, 1s, false },
        { "the endpoint itself answers on a new connection", false,
            [](DeathFixture& f) { f.deaths.noteConnected(pool, dead, f.now); }, 1s, false },
        { "the only endpoint answers on a new connection", true,
            [](DeathFixture& f) { f.deaths.noteConnected(pool, dead, f.now); }, 0s, true },
        { "the endpoint goes on answering, then another answers", false,
            [](DeathFixture& f) {
                f.deaths.noteAnswered(dead, f.now - 1ms);
                f.deaths.noteConnected(pool, other, f.now);
            },
            0s, false },
        { "the path is lost and nobody is asked", false, [](DeathFixture& f) { f.deaths.noteLost(pool, f.now, f.now); },
            3s, true },
        { "the path is lost, not decided yet", false, [](DeathFixture& f) { f.deaths.noteLost(pool, f.now, f.now); },
            2s, false },
        { "another host is asked and has not answered yet", false,
            [](DeathFixture& f) {
                f.deaths.noteLost(pool, f.now, f.now);
                f.deaths.noteAskedElsewhere(pool, f.now + 2s);
            },
            4s, false },
        { "another host was asked and nothing came of it", false,
            [](DeathFixture& f) {
                f.deaths.noteLost(pool, f.now, f.now);
                f.deaths.noteAskedElsewhere(pool, f.now + 2s);
            },
            5s, true },
        { "another host was answered", false,
            [](DeathFixture& f) {
                f.deaths.noteLost(pool, f.now, f.now);
                f.deaths.noteServedElsewhere(pool, f.now);
            },
            1h, false },
        { "the path is back, and nothing was heard elsewhere", false,
            [](DeathFixture& f) {
                f.deaths.noteLost(pool, f.now, f.now);
                f.deaths.noteRegained(pool, f.now);
                f.deaths.noteConnected(pool, other, f.now);
            },
            0s, true },
        { "the path is back after another host was answered", false,
            [](DeathFixture& f) {
                f.deaths.noteLost(pool, f.now, f.now);
                f.deaths.noteServedElsewhere(pool, f.now);
                f.deaths.noteRegained(pool, f.now);
                f.deaths.noteConnected(pool, other, f.now);
            },
            0s, false },
    }));
    INFO(test.name);
    DeathFixture fixture(test.isOnlyEndpoint);
    test.evidence(fixture);
    CHECK(fixture.isShownAfter(test.after) == test.expectedShown);
    CHECK(fixture.deaths.takeDied(fixture.now).empty());
}

TEST_CASE("A probe that fails after another host was answered shows that this host's links are broken")
{
    DeathFixture fixture;
    const MonotonicTime lostAt = fixture.now;
    fixture.deaths.noteLost(pool, lostAt, fixture.now);
    CHECK_FALSE(fixture.deaths.noteProbeFailed(pool, fixture.now).has_value());
    fixture.deaths.noteServedElsewhere(pool, fixture.now + 10ms);
    // It was started before the other host was answered.
    CHECK_FALSE(fixture.deaths.noteProbeFailed(pool, fixture.now).has_value());
    CHECK(fixture.deaths.noteProbeFailed(pool, fixture.now + 20ms) == lostAt);
    CHECK_FALSE(fixture.deaths.isInDoubt(dead));
}

// Guards against reports which failed because of the host's own links, but after that was known.
TEST_CASE("Nothing seems to die behind links that are known to be broken, or were just now")
{
    DeathFixture fixture;
    fixture.deaths.noteLost(pool, fixture.now, fixture.now);
    fixture.deaths.noteServedElsewhere(pool, fixture.now);
    REQUIRE(fixture.deaths.noteProbeFailed(pool, fixture.now).has_value());
    fixture.deaths.noteDied(dead, pool, false, fixture.now);
    CHECK_FALSE(fixture.deaths.isInDoubt(dead));
    fixture.now += 2s;
    fixture.deaths.noteRegained(pool, fixture.now);
    fixture.deaths.noteDied(dead, pool, false, fixture.now + 900ms);
    CHECK_FALSE(fixture.deaths.isInDoubt(dead));
    fixture.deaths.noteDied(dead, pool, false, fixture.now + 1100ms);
    CHECK(fixture.deaths.isInDoubt(dead));
}

TEST_CASE("Another endpoint is probed while a death is undecided")
{
    DeathFixture fixture;
    CHECK(fixture.deaths.undecidedPools() == std::set<std::string> { pool });
    fixture.deaths.noteLost(pool, fixture.now, fixture.now);
    CHECK(fixture.deaths.undecidedPools().empty());
    CHECK(DeathFixture(true).deaths.undecidedPools().empty());
}
