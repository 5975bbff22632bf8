#include "requests/RequestFlowFixture.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// A host that has lost its path to the endpoints, and has another host serve a request.
class RelayingFixture : public RequestFlowFixture {
public:
    explicit RelayingFixture(const std::string& path)
    {
        relayPeers.setLive({ other });
        relayPeers.setAddress(other, DataCentreId("here"), "127.0.0.1:5");
        hear();
        for (int i = 0; i < 100 && countOf<StartRelay>() == 0; ++i) {
            arrive(path);
            advance(100ms);
            hear();
            for (const StartAttempt& attempt : takeAttempts())
                requests.handle(
                    AttemptFailed { attempt.id, AttemptOutcome::NotSent, "timeout", AttemptFailure::Connect }, now,
                    effects);
            requests.advance(now, effects);
        }
        REQUIRE(countOf<StartRelay>() > 0);
    }

    void hear() { relayPeers.noteHeard(other, {}, now); }

    template <typename Kind> std::ptrdiff_t countOf() const
    {
        return std::count_if(
            effects.begin(), effects.end(), [](const Effect& effect) { return std::holds_alternative<Kind>(effect); });
    }

private:
    const HostId other { "other" };
};

} // namespace

// Guards against a host that takes its own pause for the end of the host that serves its requests: orders that run
// there fail, and idempotent requests run twice.
TEST_CASE("A host's own pause does not end the requests that another host serves for it")
{
    const auto path = GENERATE(values<std::string>({ "/read/1", "/order/1" }));
    INFO(path);
    RelayingFixture fixture(path);
    fixture.now += 4s;
    fixture.requests.tick(fixture.now, fixture.effects);
    CHECK(fixture.countOf<CancelAttempt>() == 0);
    SECTION("the other host is heard again")
    {
        for (int i = 0; i < 40; ++i) {
            fixture.advance(100ms);
            fixture.hear();
        }
        CHECK(fixture.countOf<CancelAttempt>() == 0);
    }
    SECTION("the other host is not heard again")
    {
        fixture.advance(4s);
        CHECK(fixture.countOf<CancelAttempt>() > 0);
    }
}
