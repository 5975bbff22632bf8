#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

const LoadedModels withM1 { { ModelId("m1"), {} } };
const HeaderList eventHeaders { { "sealed", "1" }, { "Content-Type", "text/event-stream" } };

// A resumable stream of which the caller has the first event, and two endpoints that can serve it.
class SlowCallerFixture : public RequestsFixture {
public:
    SlowCallerFixture()
    {
        for (const char* id : { "notes0", "notes1" })
            directory.put(sampleEndpoint(id, "notes", withM1), now, effects);
        request = arrive("/dossier/1");
        first = takeAttempts().at(0).id;
        requests.handle(AttemptHead { first, 200, eventHeaders }, now, effects);
        requests.handle(AttemptData { first, "id: 1\ndata: a\n\n" }, now, effects);
        takeEffects();
    }

    void setFull(bool full) { requests.handle(CallerBackpressure { request, full }, effects); }

    RequestId request;
    AttemptId first;
};

} // namespace

// Guards against a sound stream that is broken off, and an endpoint that counts as unreachable, because the host itself
// does not read the stream of a slow caller.
TEST_CASE("A stream that is paused for its caller is not taken for a silent one")
{
    SlowCallerFixture fixture;
    fixture.setFull(true);
    fixture.advance(std::chrono::seconds(4));
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    CHECK(fixture.takeAttempts().empty());
    fixture.setFull(false);
    fixture.advance(std::chrono::milliseconds(500));
    CHECK(effectsOf<CancelAttempt>(fixture.effects).empty());
    fixture.requests.handle(AttemptData { fixture.first, "id: 2\ndata: b\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { fixture.first }, fixture.now, fixture.effects);
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
}

// Guards against a stream that goes on at another endpoint and fills the memory, because its caller's connection was
// full before and does not say so again.
TEST_CASE("The rest of a stream is paused as well if its caller does not read")
{
    SlowCallerFixture fixture;
    fixture.setFull(true);
    fixture.takeEffects();
    fixture.requests.handle(AttemptFailed { fixture.first, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto rest = fixture.takeAttempts();
    REQUIRE(rest.size() == 1);
    const auto pauses = effectsOf<ThrottleAttempt>(fixture.effects);
    REQUIRE(pauses.size() == 1);
    CHECK(pauses[0].id == rest[0].id);
    CHECK(pauses[0].paused);
}
