#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/StoreLoadForecast.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

constexpr Duration loadTime = std::chrono::seconds(8);

struct QueueCase {
    const char* name;
    unsigned concurrency;
    // Remaining seconds of the running loads.
    std::vector<int> running;
    std::size_t waiting;
    // Seconds until the last of the waiting models, and another one, are ready.
    int expectedLast;
    int expectedOther;
};

StoreQueue queueOf(const QueueCase& test)
{
    StoreQueue queue { "notes", {}, test.concurrency, loadTime, {} };
    for (const int seconds : test.running)
        queue.running.push_back(std::chrono::seconds(seconds));
    for (std::size_t i = 0; i < test.waiting; ++i)
        queue.waiting.emplace_back("m" + std::to_string(i));
    return queue;
}

} // namespace

// Guards against requests that wait for a load which cannot begin in time.
TEST_CASE("The forecast follows the loads that run and the models that wait")
{
    const auto test = GENERATE(values<QueueCase>({
        { "idle", 3, {}, 0, 0, 8 },
        { "one load runs", 3, { 5 }, 0, 0, 8 },
        { "one model waits", 3, { 5 }, 1, 8, 8 },
        { "all places taken", 3, { 2, 5, 7 }, 0, 0, 10 },
        { "a queue", 3, { 2, 5, 7 }, 4, 18, 21 },
        { "more loads than places", 2, { 1, 2, 3, 4 }, 0, 0, 14 },
        { "many models wait", 3, {}, 12, 32, 40 },
        { "no place", 0, { 4 }, 1, 12, 20 },
    }));
    INFO(test.name);
    const StoreLoadForecast forecast = forecastStoreLoads(queueOf(test));
    REQUIRE(forecast.next.size() == test.waiting);
    if (test.waiting > 0)
        CHECK(forecast.next.back().readyInMilliseconds == static_cast<std::uint32_t>(test.expectedLast * 1000));
    CHECK(forecast.otherReadyInMilliseconds == static_cast<std::uint32_t>(test.expectedOther * 1000));
}

// Guards against updates that grow with the number of models.
TEST_CASE("A forecast names only the next models")
{
    const StoreLoadForecast forecast = forecastStoreLoads(queueOf({ "", 2, {}, 500, 0, 0 }));
    CHECK(forecast.next.size() == 16);
    CHECK(forecast.otherReadyInMilliseconds == 2008 * 1000);
}

namespace {

struct RefusalCase {
    const char* name;
    // Seconds until the model is ready, and those until a model that the forecast does not name is.
    int named;
    int others;
    // Age of the forecast in seconds.
    int age;
    bool expectedRefused;
    // What the caller is told, in seconds.
    const char* expectedRetryAfter;
};

} // namespace

// Replays many cold models at a slow weight store: guards against requests that wait in vain until their time is over,
// and against callers that return too early.
TEST_CASE("A request whose model the weight store cannot deliver in time is refused at once")
{
    const auto test = GENERATE(values<RefusalCase>({
        { "no forecast", 0, 0, 0, false, "" },
        { "named, in time", 4, 60, 0, false, "" },
        { "named, too late", 15, 60, 0, true, "15.000" },
        { "not named", 0, 60, 0, true, "60.000" },
        { "not named, idle store", 0, 3, 0, false, "" },
        { "outdated forecast", 0, 60, 3, false, "" },
    }));
    INFO(test.name);
    RequestsFixture fixture;
    // Callers who wait for longer than a load takes.
    GatewayConfiguration configuration = sampleConfiguration();
    for (Route& route : configuration.routes)
        route.latencyGoal = std::chrono::seconds(3);
    fixture.requests.configure(configuration, fixture.now);
    fixture.directory.put(sampleEndpoint("notes0", "notes"), fixture.now, fixture.effects);
    PlacementUpdate update { 1, 1, {}, {} };
    if (test.others > 0)
        update.forecasts.push_back({ "notes", {}, static_cast<std::uint32_t>(test.others * 1000) });
    if (test.named > 0)
        update.forecasts.at(0).next.push_back({ ModelId("m1"), static_cast<std::uint32_t>(test.named * 1000) });
    fixture.directory.handle(update, fixture.now);
    fixture.now += std::chrono::seconds(test.age);
    fixture.arrive("/dossier/1");
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == (test.expectedRefused ? 1 : 0));
    if (!test.expectedRefused)
        return;
    CHECK(answers[0].status == 503);
    const std::string* retryAfter = nullptr;
    for (const auto& [name, value] : answers[0].headers)
        retryAfter = name == "Retry-After" ? &value : retryAfter;
    REQUIRE(retryAfter);
    CHECK(*retryAfter == test.expectedRetryAfter);
}
