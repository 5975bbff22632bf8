#include <catch2/catch.hpp>
#include <catkinwell/routing/EndpointTable.h>

using namespace Catkinwell;

namespace {

const ModelId model("m");

EndpointSettings engine(const std::string& id, const std::string& dataCentre)
{
    EndpointSettings settings;
    settings.id = EndpointId(id);
    settings.address = "127.0.0.1:1";
    settings.dataCentre = DataCentreId(dataCentre);
    settings.pool = "p";
    settings.capacity = 4;
    return settings;
}

EndpointReport report(const std::string& id, std::uint32_t running, MonotonicTime at)
{
    EndpointReport result;
    result.endpoint = EndpointId(id);
    result.running = running;
    result.capacity = 4;
    result.requestedAt = at;
    result.receivedAt = at;
    result.replicas = { { model, ReplicaState::Loaded, 1, CommandId() } };
    return result;
}

struct TableFixture {
    TableFixture()
    {
        for (const auto& settings : { engine("near-1", "here"), engine("near-2", "here"), engine("far", "there") })
            configuration.endpoints[settings.id] = settings;
        table.configure(configuration);
        for (const char* id : { "near-1", "near-2", "far" })
            table.handle(report(id, 0, now), now, effects);
    }

    std::string choose(std::uint64_t prefix = 0)
    {
        const auto chosen = table.choose({ RequestId(1), "p", model, prefix, excluded }, now, effects);
        return chosen ? chosen->id.value : "none";
    }

    FleetConfiguration configuration;
    EndpointTable table { DataCentreId("here"), 7 };
    EffectList effects;
    std::set<EndpointId> excluded;
    MonotonicTime now { std::chrono::hours(1) };
};

} // namespace

// Guards against bursts of requests that all go to one endpoint until its next report.
TEST_CASE("The host's own attempts count as load until a report includes them")
{
    TableFixture fixture;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 6; ++i)
        ++chosen[fixture.choose()];
    CHECK(chosen["near-1"] == 3);
    CHECK(chosen["near-2"] == 3);
}

TEST_CASE("Another data centre is used only if the local endpoints have a higher load plus penalty")
{
    TableFixture fixture;
    fixture.table.handle(report("near-1", 3, fixture.now), fixture.now, fixture.effects);
    fixture.table.handle(report("near-2", 3, fixture.now), fixture.now, fixture.effects);
    CHECK(fixture.choose() == "far");
}

// Guards against new attempts on an endpoint that is being removed.
TEST_CASE("Leaving, suspected and excluded endpoints receive no attempts")
{
    TableFixture fixture;
    fixture.table.setLeaving({ EndpointId("near-1") }, fixture.now, fixture.effects);
    fixture.table.attemptFailed(EndpointId("near-2"), AttemptFailure::Broken, fixture.now, fixture.effects);
    fixture.excluded = { EndpointId("far") };
    CHECK(fixture.choose() == "none");
    fixture.now += std::chrono::seconds(10);
    CHECK(fixture.choose() == "near-2");
}

TEST_CASE("Full endpoints receive no attempts, and requests prefer the endpoint that has cached their prefix")
{
    TableFixture fixture;
    const std::string first = fixture.choose(99);
    CHECK(fixture.choose(99) == first);
    for (const char* id : { "near-1", "near-2", "far" })
        fixture.table.handle(report(id, 4, fixture.now), fixture.now, fixture.effects);
    CHECK(fixture.choose(99) == "none");
}

// Guards against a polling rate that grows with the fleet: with every host polling every endpoint, the total would
// grow quadratically.
TEST_CASE("Reports are fetched at a limited rate independent of the number of endpoints")
{
    const int count = GENERATE(4, 40, 400);
    FleetConfiguration configuration;
    for (int i = 0; i < count; ++i) {
        const auto settings = engine("e" + std::to_string(i), "here");
        configuration.endpoints[settings.id] = settings;
    }
    EndpointTable table(DataCentreId("here"), 7);
    table.configure(configuration);
    MonotonicTime now { std::chrono::hours(1) };
    std::size_t fetches = 0;
    const int seconds = 400;
    for (int tick = 0; tick < seconds * 5; ++tick) {
        now += std::chrono::milliseconds(200);
        EffectList effects;
        table.tick(now, effects);
        for (const Effect& effect : effects) {
            if (const auto* fetch = std::get_if<FetchEndpointReport>(&effect)) {
                ++fetches;
                auto answer = report(fetch->endpoint.value, 0, now);
                EffectList ignored;
                table.handle(answer, now, ignored);
            }
        }
    }
    INFO("endpoints " << count << ", fetches " << fetches);
    // Allows twice the rate of four per second, and one round at the start.
    CHECK(fetches <= static_cast<std::size_t>(seconds) * 8 + static_cast<std::size_t>(count));
}

namespace {

struct FailedServiceCase {
    const char* name;
    std::vector<AttemptFailure> failures;
    std::size_t endpoints;
    bool isUsable;
};

} // namespace

// Guards against callers of a service that are refused for seconds because one answer broke off.
TEST_CASE("The last endpoint of a service is still tried after an answer that failed")
{
    const auto test = GENERATE(values<FailedServiceCase>({
        { "one broken answer", { AttemptFailure::Broken }, 1, true },
        { "one answer that cannot be read", { AttemptFailure::Garbage }, 1, true },
        { "no connection", { AttemptFailure::Connect }, 1, false },
        { "both endpoints broke an answer", { AttemptFailure::Broken, AttemptFailure::Broken }, 2, true },
        { "neither accepts a connection", { AttemptFailure::Connect, AttemptFailure::Connect }, 2, false },
    }));
    INFO(test.name);
    FleetConfiguration configuration;
    EndpointTable table { DataCentreId("here"), 7 };
    EffectList effects;
    const MonotonicTime now { std::chrono::hours(1) };
    for (std::size_t i = 0; i < test.endpoints; ++i) {
        EndpointSettings service = engine("desk-" + std::to_string(i), "here");
        service.kind = EndpointKind::Service;
        configuration.endpoints[service.id] = service;
    }
    table.configure(configuration);
    for (std::size_t i = 0; i < test.failures.size(); ++i)
        table.attemptFailed(EndpointId("desk-" + std::to_string(i)), test.failures[i], now, effects);
    CHECK(table.hasUsableEndpoint("p", now) == test.isUsable);
    CHECK(table.choose({ RequestId(1), "p", ModelId(), 0, {} }, now, effects).has_value() == test.isUsable);
}

// Guards against a dead endpoint, which is the least loaded of all, that is tried again before its next reports fail.
TEST_CASE("An endpoint that ended gets no attempts between its failed reports")
{
    TableFixture fixture;
    fixture.excluded = { EndpointId("near-2"), EndpointId("far") };
    fixture.table.attemptFailed(EndpointId("near-1"), AttemptFailure::Broken, fixture.now, fixture.effects);
    EndpointReportFailed failure;
    failure.endpoint = EndpointId("near-1");
    failure.connectionFailed = true;
    const int failedReports = GENERATE(1, 2, 3, 6);
    for (int i = 0; i < failedReports; ++i) {
        fixture.table.handle(failure, fixture.now, fixture.effects);
        fixture.now += std::chrono::milliseconds(1700);
        CHECK(fixture.choose() == "none");
    }
    fixture.table.handle(report("near-1", 0, fixture.now), fixture.now, fixture.effects);
    fixture.now += std::chrono::seconds(3);
    CHECK(fixture.choose() == "near-1");
}

// Guards against requests that are sent to endpoints which ended while this host had no path to any.
TEST_CASE("When a path is back, suspicions end with an answer")
{
    TableFixture fixture;
    const bool isAnswered = GENERATE(true, false);
    // Whether a report was under way when the path came back; that one fails.
    const bool isReportPending = GENERATE(true, false);
    fixture.excluded = { EndpointId("near-2"), EndpointId("far") };
    fixture.table.tick(fixture.now, fixture.effects);
    EndpointReportFailed failure;
    failure.endpoint = EndpointId("near-1");
    failure.connectionFailed = true;
    if (!isReportPending)
        fixture.table.handle(failure, fixture.now, fixture.effects);
    fixture.table.attemptFailed(EndpointId("near-1"), AttemptFailure::Broken, fixture.now, fixture.effects);
    fixture.table.recheckSuspected("p", fixture.now);
    if (isReportPending)
        fixture.table.handle(failure, fixture.now, fixture.effects);
    fixture.now += std::chrono::milliseconds(20);
    fixture.effects.clear();
    fixture.table.tick(fixture.now, fixture.effects);
    const bool isFetched = std::any_of(fixture.effects.begin(), fixture.effects.end(), [](const Effect& effect) {
        const auto* fetch = std::get_if<FetchEndpointReport>(&effect);
        return fetch && fetch->endpoint == EndpointId("near-1");
    });
    CHECK(isFetched);
    CHECK(fixture.choose() == "none");
    if (isAnswered)
        fixture.table.handle(report("near-1", 0, fixture.now), fixture.now, fixture.effects);
    else
        fixture.table.handle(failure, fixture.now, fixture.effects);
    CHECK(fixture.choose() == (isAnswered ? "near-1" : "none"));
}
