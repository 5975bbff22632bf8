#include <catch2/catch.hpp>
#include <catkinwell/gateway/ConfigurationExchange.h>

using namespace Catkinwell;

namespace {

using std::chrono::milliseconds;

const HostId a("a");
const HostId b("b");
const HostId c("c");

class ExchangeFixture {
public:
    ExchangeFixture() { exchange.noteInForce(1, now); }

    // Returns the hosts that are asked within the time.
    std::vector<HostId> questionsWithin(Duration time, bool isStoreAnswering = false)
    {
        std::vector<HostId> hosts;
        for (const MonotonicTime end = now + time; now < end; now += milliseconds(20)) {
            if (const auto host = exchange.takeQuestion(isStoreAnswering, now))
                hosts.push_back(*host);
        }
        return hosts;
    }

    MonotonicTime now { std::chrono::hours(1) };
    ConfigurationExchange exchange { 1 };
};

} // namespace

TEST_CASE("No host is asked without need")
{
    ExchangeFixture fixture;
    CHECK(fixture.questionsWithin(milliseconds(2000)).empty());
    fixture.exchange.noteStated(a, 1, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(2000)).empty());
    CHECK_FALSE(fixture.exchange.behindFor(fixture.now));
    CHECK(fixture.exchange.newestStated() == 1);
}

// Guards against questions that fill a link with answers.
TEST_CASE("One host is asked at a time, and another one if it does not answer")
{
    ExchangeFixture fixture;
    for (const HostId& host : { a, b, c })
        fixture.exchange.noteStated(host, 2, fixture.now);
    const std::vector<HostId> asked = fixture.questionsWithin(milliseconds(2000));
    REQUIRE(asked.size() == 3);
    CHECK(std::set<HostId>(asked.begin(), asked.end()).size() == 3);
    fixture.exchange.noteInForce(2, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(2000)).empty());
}

TEST_CASE("A host with the newest version is asked first")
{
    ExchangeFixture fixture;
    fixture.exchange.noteStated(a, 2, fixture.now);
    fixture.exchange.noteStated(b, 4, fixture.now);
    fixture.exchange.noteStated(c, 3, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(20)) == std::vector<HostId> { b });
    CHECK(fixture.exchange.newestStated() == 4);
}

TEST_CASE("A store that answers is given the time to deliver a version")
{
    ExchangeFixture fixture;
    fixture.exchange.noteStated(a, 2, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(200), true).empty());
    // Further versions do not put the question off.
    fixture.exchange.noteStated(a, 3, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(200), true) == std::vector<HostId> { a });
}

TEST_CASE("After a version came into force, the next one is asked for at once")
{
    ExchangeFixture fixture;
    fixture.exchange.noteStated(a, 2, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(100)).size() == 1);
    fixture.exchange.noteStated(a, 3, fixture.now);
    fixture.exchange.noteInForce(2, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(20)) == std::vector<HostId> { a });
}

// Guards against a host that counts as behind a version which nobody has any more.
TEST_CASE("A host that is gone, or went back to an older version, is not asked")
{
    ExchangeFixture fixture;
    fixture.exchange.noteStated(a, 9, fixture.now);
    fixture.exchange.noteStated(b, 9, fixture.now);
    fixture.exchange.removeHost(a);
    fixture.exchange.noteStated(b, 1, fixture.now);
    CHECK(fixture.questionsWithin(milliseconds(2000)).empty());
    CHECK(fixture.exchange.newestStated() == 1);
}
