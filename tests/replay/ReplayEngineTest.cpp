#include <catch2/catch.hpp>
#include <catkinwell/replay/ReplayEngine.h>

using namespace Catkinwell;

namespace {

constexpr Duration step = std::chrono::milliseconds(5);
const ModelVariant model { ModelId("m"), "" };

class EngineFixture {
public:
    explicit EngineFixture(const EngineShape& shape = {})
        : engine(EndpointId("e"), DataCentreId("dc"), shape)
    {
        engine.hold(ModelId("m"));
        engine.advance(now, 0);
    }

    // Adds a job and returns whether the engine accepted it.
    bool add(unsigned ownTokens, unsigned outputTokens, const std::string& sharedPart = "", unsigned sharedTokens = 0)
    {
        return engine.add({ AttemptId(++m_last), model, sharedPart, sharedTokens, ownTokens, outputTokens }, now);
    }

    // Runs until no job is left and returns the time at which the last job finished.
    double secondsUntilDone(unsigned storeLoads = 0)
    {
        const MonotonicTime start = now;
        MonotonicTime last = now;
        for (int i = 0; i < 20000; ++i) {
            now += step;
            for (const JobEvent& event : engine.advance(now, storeLoads))
                last = event.kind == JobEvent::Kind::Finished ? event.at : last;
        }
        return std::chrono::duration<double>(last - start).count();
    }

    EngineOrderOutcome order(EngineOrderKind kind, const char* name, std::uint64_t expected)
    {
        EngineOrder order;
        order.endpoint = EndpointId("e");
        order.kind = kind;
        order.model = ModelId(name);
        order.expectedOrderCount = expected;
        return engine.handle(order, now);
    }

    MonotonicTime now { std::chrono::hours(1) };
    ReplayEngine engine;

private:
    std::uint64_t m_last = 0;
};

} // namespace

// Guards against an emulated engine whose timing does not match its EngineShape.
TEST_CASE("A request takes the time of its prompt and of its steps")
{
    EngineFixture fixture;
    REQUIRE(fixture.add(2200, 100));
    // 2,200 prompt tokens at 22 per millisecond, and a hundred steps of slightly more than 8.5 ms.
    CHECK(fixture.secondsUntilDone() == Approx(0.1 + 0.852).epsilon(0.05));
}

TEST_CASE("A part of a prompt that the engine keeps is not read again")
{
    EngineFixture fixture;
    REQUIRE(fixture.add(100, 1, "part", 22000));
    const double first = fixture.secondsUntilDone();
    REQUIRE(fixture.add(100, 1, "part", 22000));
    CHECK(fixture.secondsUntilDone() < first / 10);
}

TEST_CASE("Requests beyond the memory for tokens wait or begin anew")
{
    EngineShape shape;
    shape.memoryTokens = 3000;
    EngineFixture fixture(shape);
    for (int i = 0; i < 3; ++i)
        REQUIRE(fixture.add(900, 300));
    fixture.secondsUntilDone();
    CHECK(fixture.engine.preemptions() > 0);
}

TEST_CASE("Loads from the weight store slow each other down beyond its full speed")
{
    const auto [loads, expectedSeconds] = GENERATE(table<unsigned, double>({ { 1, 6.5 }, { 4, 6.5 }, { 8, 13 } }));
    EngineFixture fixture;
    REQUIRE(fixture.order(EngineOrderKind::Load, "n", 0) == EngineOrderOutcome::Accepted);
    CHECK(fixture.order(EngineOrderKind::Load, "o", 1) == EngineOrderOutcome::Conflict);
    const MonotonicTime start = fixture.now;
    while (fixture.engine.isLoadingFromStore()) {
        fixture.now += step;
        fixture.engine.advance(fixture.now, loads);
    }
    CHECK(std::chrono::duration<double>(fixture.now - start).count() == Approx(expectedSeconds).epsilon(0.02));
    CHECK(fixture.order(EngineOrderKind::Load, "n", 1) == EngineOrderOutcome::AlreadyDone);
}

// Guards against an engine that runs requests for models that are not loaded.
TEST_CASE("A request for a model that is not in memory is refused")
{
    EngineFixture fixture;
    REQUIRE(fixture.add(10, 1));
    const ModelVariant other { ModelId("other"), "" };
    CHECK_FALSE(fixture.engine.add({ AttemptId(100), other, "", 0, 10, 1 }, fixture.now));
    const auto lost = fixture.engine.leave(fixture.now);
    CHECK(lost.size() == 1);
    CHECK_FALSE(fixture.add(10, 1));
}
