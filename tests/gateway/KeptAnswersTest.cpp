#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

constexpr std::size_t partBytes = 64 * 1024;
constexpr std::size_t maximumAnswerBytes = 1024 * 1024;
constexpr std::size_t requestCount = 24;

struct KeptCase {
    const char* name;
    const char* path;
    const char* start;
};

} // namespace

// Guards against a host that runs out of memory because each of many answers without end stays within its own bound.
TEST_CASE("The bytes kept of all answers together are bounded and the small answer is delivered")
{
    const auto test = GENERATE(values<KeptCase>({
        { "collected answers of orders", "/order/1", "" },
        { "collected answers of idempotent requests", "/read/1", "" },
        { "open events of resumable streams", "/dossier/1", "data: " },
    }));
    INFO(test.name);
    GatewayRequestSettings settings;
    settings.maximumAnswerBytes = maximumAnswerBytes;
    settings.retryConstant = 1000;
    RequestsFixture fixture;
    fixture.requests.setSettings(settings);
    const LoadedModels withM1 { { ModelId("m1"), {} } };
    for (const char* service : { "orders", "notes" }) {
        EndpointRecord endpoint = sampleEndpoint(service, service, withM1);
        endpoint.slots = 1000;
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
        endpoint.id = EndpointId(std::string(service) + "-2");
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
    }
    const RequestId plain = fixture.arrive("/order/1");
    const AttemptId plainAttempt = fixture.takeAttempts().at(0).id;
    const HeaderList head { { "sealed", "1" } };
    fixture.requests.handle(AttemptHead { plainAttempt, 200, head }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { plainAttempt, "whole " }, fixture.now, fixture.effects);
    for (std::size_t i = 0; i < requestCount; ++i)
        fixture.arrive(test.path);
    const std::string part(partBytes, 'x');
    std::size_t largestSum = 0;
    for (auto attempts = fixture.takeAttempts(); !attempts.empty(); attempts = fixture.takeAttempts()) {
        for (const StartAttempt& attempt : attempts) {
            fixture.requests.handle(AttemptHead { attempt.id, 200, head }, fixture.now, fixture.effects);
            fixture.requests.handle(AttemptData { attempt.id, test.start }, fixture.now, fixture.effects);
        }
        for (std::size_t sent = 0; sent < maximumAnswerBytes; sent += partBytes) {
            for (const StartAttempt& attempt : attempts) {
                fixture.requests.handle(AttemptData { attempt.id, part }, fixture.now, fixture.effects);
                largestSum = std::max(largestSum, fixture.requests.bufferedBytes());
            }
        }
    }
    CHECK(largestSum <= maximumAnswerBytes + partBytes);
    fixture.requests.handle(AttemptData { plainAttempt, "answer" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { plainAttempt }, fixture.now, fixture.effects);
    std::size_t delivered = 0;
    for (const SendWholeResponse& answer : fixture.takeAnswers()) {
        // Nothing here may say that a request has not run.
        CHECK((answer.id == plain ? answer.status == 200 : answer.status == 502));
        delivered += answer.id == plain && answer.body == "whole answer" ? 1 : 0;
    }
    CHECK(delivered == 1);
}
