#include "gateway/FakeEngine.h"
#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

const HostId self("self");

LoadedModels holding(std::initializer_list<const char*> names)
{
    LoadedModels models;
    for (const char* name : names)
        models[ModelId(name)];
    return models;
}

// One owner, its engines and the demand of one host, simulated in steps of 20 ms.
class PlacementFixture {
public:
    explicit PlacementFixture(EngineFaults faults = {}, std::uint64_t seed = 1, EnginePlacementSettings settings = {})
        : placement(settings, directory)
        , m_random(seed)
        , m_faults(faults)
    {
        placement.configure(sampleConfiguration());
    }

    FakeEngine& add(const std::string& id, LoadedModels models)
    {
        engines.push_back(std::make_unique<FakeEngine>(id, std::move(models), m_faults, m_random.next()));
        publish(*engines.back());
        return *engines.back();
    }

    void grantPermission()
    {
        placement.setPermission(PlacementPermission { self, 7, now, now + std::chrono::hours(1) }, now);
    }

    // Reports demand until the variant's waiting requests and total arrivals have these values.
    void demand(const std::string& model, unsigned waiting, std::uint64_t arrivals)
    {
        const std::size_t slash = model.find('/');
        const ServiceVariant variant(
            "notes", { ModelId(model.substr(0, slash)), slash == std::string::npos ? "" : model.substr(slash + 1) });
        auto& [previousWaiting, previousArrivals] = m_reported[variant];
        for (; previousArrivals < arrivals; ++previousArrivals)
            m_demand.arrived(variant, now);
        for (; previousWaiting < waiting; ++previousWaiting)
            m_demand.waitBegan(variant, now);
        for (; previousWaiting > waiting; --previousWaiting)
            m_demand.waitEnded(variant, now);
        placement.handle(self, m_demand.report(false, now), now);
    }

    // Reports streams of one software version that wait for the model.
    void waitAtVersion(const std::string& model, const std::string& adapter, const std::string& version)
    {
        DemandReport report;
        report.versionWaits = { { "notes", { ModelId(model), adapter }, version } };
        placement.handle(self, report, now);
    }

    void run(Duration duration)
    {
        for (const MonotonicTime end = now + duration; now < end;)
            step();
    }

    // Whether an engine holds the model.
    bool isLoaded(const std::string& model) const
    {
        return std::any_of(engines.begin(), engines.end(),
            [&model](const auto& engine) { return engine->models().contains(ModelId(model)); });
    }

    std::vector<std::string> violations() const
    {
        std::vector<std::string> all;
        for (const auto& engine : engines)
            all.insert(all.end(), engine->violations().begin(), engine->violations().end());
        return all;
    }

    void publish(const FakeEngine& engine)
    {
        EffectList ignored;
        directory.put(engine.record(), now, ignored);
        placement.put(engine.record(), now);
    }

    MonotonicTime now { std::chrono::hours(1) };
    EndpointDirectory directory { DataCentreId("here"), 1 };
    EnginePlacement placement;
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::vector<EngineOrder> orders;

private:
    FakeEngine* find(const EndpointId& id)
    {
        for (const auto& engine : engines) {
            if (engine->record().id == id)
                return engine.get();
        }
        return nullptr;
    }

    void step()
    {
        now += std::chrono::milliseconds(20);
        for (const auto& engine : engines) {
            const std::uint64_t heartbeat = engine->record().heartbeat;
            engine->advance(now);
            if (engine->record().heartbeat != heartbeat)
                publish(*engine);
        }
        EffectList effects;
        placement.tick(now, effects);
        while (!effects.empty()) {
            const EffectList current = std::exchange(effects, {});
            for (const Effect& effect : current)
                carryOut(effect, effects);
        }
        if (const auto update = placement.takeUpdate(now))
            directory.handle(*update, now);
    }

    void carryOut(const Effect& effect, EffectList& following)
    {
        if (const auto* order = std::get_if<EngineOrder>(&effect)) {
            orders.push_back(*order);
            FakeEngine* engine = find(order->endpoint);
            const auto outcome = engine ? engine->handle(*order, now) : std::nullopt;
            placement.handle(
                EngineOrderFinished { *order, outcome.value_or(EngineOrderOutcome::Unknown) }, now, following);
        } else if (const auto* fetch = std::get_if<FetchEngineStatus>(&effect)) {
            if (FakeEngine* engine = find(fetch->endpoint))
                placement.handle(engine->status(now), now, following);
        }
    }

    RandomGenerator m_random;
    EngineFaults m_faults;
    HostDemand m_demand;
    // Waiting requests and arrivals of each variant.
    std::map<ServiceVariant, std::pair<unsigned, std::uint64_t>> m_reported;
};

} // namespace

// Guards against waiting requests whose model is never loaded.
TEST_CASE("A model with waiting requests is loaded where it is ready soonest")
{
    PlacementFixture fixture;
    FakeEngine& without = fixture.add("without", holding({ "m2", "m3" }));
    FakeEngine& withCopy = fixture.add("with", holding({ "m2", "m3" }));
    withCopy.putOnDisk(ModelId("m1"));
    without.putOnDisk(ModelId("m4"));
    fixture.publish(withCopy);
    fixture.publish(without);
    fixture.grantPermission();
    fixture.run(std::chrono::milliseconds(500));
    fixture.demand("m1", 1, 1);
    // A load from the weight store would take six seconds.
    fixture.run(std::chrono::milliseconds(2200));
    CHECK(withCopy.models().contains(ModelId("m1")));
    CHECK(fixture.violations().empty());
}

// Guards against a load from the weight store while an engine with a copy is busy only briefly.
TEST_CASE("A model waits for a busy engine that has its weights")
{
    PlacementFixture fixture;
    fixture.add("without", holding({ "m2", "m3" }));
    FakeEngine& withCopy = fixture.add("with", holding({ "m2", "m3" }));
    withCopy.putOnDisk(ModelId("m1"));
    withCopy.putOnDisk(ModelId("m4"));
    fixture.publish(withCopy);
    fixture.grantPermission();
    fixture.run(std::chrono::milliseconds(500));
    fixture.demand("m4", 1, 1);
    fixture.run(std::chrono::milliseconds(400));
    fixture.demand("m1", 1, 1);
    fixture.run(std::chrono::milliseconds(4500));
    CHECK(withCopy.models().contains(ModelId("m1")));
    unsigned storeLoads = 0;
    for (const auto& engine : fixture.engines)
        storeLoads += engine->storeLoads();
    CHECK(storeLoads == 0);
}

namespace {

// One load from the weight store at a time, and none reserved.
EnginePlacementSettings oneStoreLoad()
{
    EnginePlacementSettings settings;
    settings.concurrentStoreLoads = 1;
    settings.reservedStoreLoads = 0;
    return settings;
}

} // namespace

// Guards against a copy of an idle model that takes the store load of a model whose engine still unloads others.
TEST_CASE("A planned load from the weight store stays reserved while its engine unloads other models")
{
    PlacementFixture fixture({}, 1, oneStoreLoad());
    for (const char* id : { "e0", "e1", "e2" })
        fixture.add(id, holding({ "m2", "m3" }));
    for (const auto& engine : fixture.engines) {
        engine->keepRunning(ModelId("m2"), fixture.now + std::chrono::milliseconds(1800));
        engine->keepRunning(ModelId("m3"), fixture.now + std::chrono::milliseconds(1800));
    }
    fixture.grantPermission();
    fixture.demand("m1", 1, 1);
    // The unload takes up to 1.8 s, the load six seconds. The model m4 has no copy either.
    fixture.run(std::chrono::milliseconds(9000));
    CHECK(fixture.isLoaded("m1"));
    CHECK(fixture.violations().empty());
}

// Guards against copies of idle models that keep a busy model from getting the replicas that its load needs.
TEST_CASE("A busy model gets the next load from the weight store before copies of idle models")
{
    PlacementFixture fixture({}, 1, oneStoreLoad());
    fixture.add("e0", holding({ "m1", "m2" }));
    for (const char* id : { "e1", "e2", "e3" })
        fixture.add(id, holding({ "m2" }));
    fixture.grantPermission();
    // The copy of m3 starts; that of m4 is next.
    fixture.run(std::chrono::seconds(1));
    for (int i = 0; i < 40; ++i)
        fixture.directory.attemptStarted(EndpointId("e0"), { ModelId("m1"), "" }, fixture.now);
    fixture.demand("m1", 0, 40);
    fixture.run(std::chrono::seconds(14));
    const auto replicas = std::count_if(fixture.engines.begin(), fixture.engines.end(),
        [](const auto& engine) { return engine->models().contains(ModelId("m1")); });
    CHECK(replicas >= 2);
    CHECK(fixture.violations().empty());
}

TEST_CASE("An adapter is loaded where its model is, and replaces the least recently used adapter")
{
    PlacementFixture fixture;
    FakeEngine& engine = fixture.add("e", holding({ "m1", "m2" }));
    // Prevents loads of model copies during the test.
    for (const char* model : { "m3", "m4" })
        engine.putOnDisk(ModelId(model));
    fixture.publish(engine);
    fixture.grantPermission();
    fixture.run(std::chrono::seconds(1));
    for (const char* adapter : { "m1/a1", "m1/a2", "m1/a3" }) {
        fixture.demand(adapter, 1, 1);
        fixture.run(std::chrono::seconds(2));
        fixture.demand(adapter, 0, 1);
    }
    const std::set<std::string> expected { "a2", "a3" };
    CHECK(fixture.engines[0]->models().at(ModelId("m1")) == expected);
    CHECK(fixture.violations().empty());
}

namespace {

struct AdapterSizeCase {
    const char* name;
    double busyAdapterMb;
    double nextAdapterMb;
    double nextModelMb;
};

} // namespace

// Guards against an engine that is overfilled, and crashes, because adapters were counted and not measured.
TEST_CASE("Adapters of any size fit into the memory beside the models")
{
    const auto test = GENERATE(values<AdapterSizeCase>({
        { "the next model has larger adapters", 12, 200, 99'000 },
        { "the next model has smaller adapters", 200, 12, 99'000 },
        { "the next model fills the engine", 12, 60, 199'900 },
    }));
    INFO(test.name);
    GatewayConfiguration configuration = sampleConfiguration();
    GatewayEngine& settings = *configuration.services["notes"].engine;
    settings.memoryMb = 200'000;
    settings.adapterSlots = 8;
    settings.models[ModelId("m1")].memoryMb = 100'000;
    settings.models[ModelId("m1")].adapterMb = test.busyAdapterMb;
    settings.models[ModelId("m2")].memoryMb = test.nextModelMb;
    settings.models[ModelId("m2")].adapterMb = test.nextAdapterMb;
    PlacementFixture fixture;
    fixture.placement.configure(configuration);
    FakeEngine& engine = fixture.add("e", holding({ "m1" }));
    engine.setSizes({ settings.memoryMb, settings.adapterSlots, settings.models });
    for (const char* model : { "m2", "m3", "m4" })
        engine.putOnDisk(ModelId(model));
    fixture.publish(engine);
    fixture.grantPermission();
    fixture.run(std::chrono::seconds(1));
    for (int i = 1; i <= 8; ++i)
        fixture.demand("m1/a" + std::to_string(i), 1, 1);
    fixture.run(std::chrono::seconds(4));
    for (int i = 1; i <= 8; ++i)
        fixture.demand("m1/a" + std::to_string(i), 0, 1);
    for (int i = 1; i <= 16; ++i)
        fixture.demand("m2/a" + std::to_string(i), 1, 1);
    fixture.run(std::chrono::seconds(20));
    CHECK(fixture.violations().empty());
    REQUIRE(engine.models().contains(ModelId("m2")));
    CHECK_FALSE(engine.models().at(ModelId("m2")).empty());
}

namespace {

// An engine that holds two models, while no load of a copy is due.
class AdapterFixture : public PlacementFixture {
public:
    AdapterFixture()
    {
        FakeEngine& engine = add("e", holding({ "m1", "m2" }));
        for (const char* model : { "m3", "m4" })
            engine.putOnDisk(ModelId(model));
        publish(engine);
        grantPermission();
        run(std::chrono::seconds(1));
    }

    // Lets one request wait for the adapter of the first model until it is loaded.
    void load(const std::string& adapter)
    {
        demand("m1/" + adapter, 1, 1);
        run(std::chrono::milliseconds(400));
        demand("m1/" + adapter, 0, 1);
    }
};

} // namespace

// Guards against an adapter that is loaded into the place of one that requests still use.
TEST_CASE("An adapter in use keeps its place after it was ordered to leave")
{
    AdapterFixture fixture;
    FakeEngine& engine = *fixture.engines[0];
    for (const char* adapter : { "a1", "a2" }) {
        fixture.load(adapter);
        engine.useAdapter({ ModelId("m1"), adapter }, fixture.now + std::chrono::seconds(4));
    }
    fixture.demand("m1/a3", 1, 1);
    fixture.run(std::chrono::seconds(3));
    CHECK(fixture.violations().empty());
    CHECK(engine.models().at(ModelId("m1")).size() == 2);
    fixture.run(std::chrono::seconds(3));
    CHECK(fixture.violations().empty());
    CHECK(engine.models().at(ModelId("m1")).contains("a3"));
}

// Guards against requests that wait for an adapter as long as a stream uses another one that was ordered to leave.
TEST_CASE("An adapter that stays in use does not keep the place of an unused one")
{
    AdapterFixture fixture;
    FakeEngine& engine = *fixture.engines[0];
    for (const char* adapter : { "a1", "a2" })
        fixture.load(adapter);
    engine.useAdapter({ ModelId("m1"), "a1" }, fixture.now + std::chrono::seconds(60));
    fixture.demand("m1/a3", 1, 1);
    fixture.run(std::chrono::seconds(5));
    CHECK(fixture.violations().empty());
    CHECK(engine.models().at(ModelId("m1")) == std::set<std::string> { "a1", "a3" });
}

// Guards against orders from a host that has no permission, or whose permission has not started or has ended.
TEST_CASE("No order is sent outside the permission")
{
    PlacementFixture fixture;
    fixture.add("e", holding({ "m2" }));
    fixture.demand("m1", 1, 1);
    fixture.run(std::chrono::seconds(1));
    CHECK(fixture.orders.empty());
    const MonotonicTime from = fixture.now + std::chrono::seconds(3);
    fixture.placement.setPermission(PlacementPermission { self, 8, from, from + std::chrono::seconds(1) }, fixture.now);
    fixture.run(std::chrono::milliseconds(2900));
    CHECK(fixture.orders.empty());
    fixture.run(std::chrono::milliseconds(300));
    CHECK_FALSE(fixture.orders.empty());
    fixture.run(std::chrono::seconds(2));
    const std::size_t given = fixture.orders.size();
    fixture.run(std::chrono::seconds(2));
    CHECK(fixture.orders.size() == given);
}

// Guards against loads from the weight store that exceed the configured rate.
TEST_CASE("Loads from the weight store stay within their rate limit")
{
    PlacementFixture fixture;
    for (int i = 0; i < 12; ++i)
        fixture.add("e" + std::to_string(i), {});
    fixture.grantPermission();
    unsigned most = 0;
    std::vector<unsigned> totals;
    for (int step = 0; step < 100; ++step) {
        fixture.run(std::chrono::milliseconds(100));
        unsigned total = 0;
        for (const auto& engine : fixture.engines)
            total += engine->storeLoads();
        totals.push_back(total);
        const unsigned before = step >= 50 ? totals[static_cast<std::size_t>(step) - 50] : 0;
        most = std::max(most, total - before);
    }
    // The sample configuration allows one load per second.
    CHECK(most <= 5);
    CHECK(totals.back() > 0);
}

namespace {

struct HistoryCase {
    double lostAnswers;
    double lateOrders;
    bool restarts;
};

} // namespace

// Guards against orders to load more than an engine can hold, after refused unloads, lost answers, orders that are
// carried out late, reports of a busy engine and restarts.
TEST_CASE("No engine is ordered to exceed its capacity in random histories")
{
    const auto test = GENERATE(values<HistoryCase>({
        { 0, 0, false },
        { 0.3, 0, false },
        { 0.4, 0.7, false },
        { 0.3, 0.5, true },
    }));
    const std::uint64_t seed = GENERATE(range(1, 41));
    PlacementFixture fixture({ test.lostAnswers, test.lateOrders }, seed);
    RandomGenerator random(seed);
    fixture.add("e0", holding({ "m1", "m2" }));
    fixture.add("e1", holding({ "m3", "m1" }));
    fixture.add("e2", holding({ "m4", "m1" }));
    fixture.grantPermission();
    const std::vector<std::string> variants { "m1", "m2", "m3", "m4", "m1/a1", "m1/a2", "m1/a3", "m2/a1" };
    std::uint64_t arrivals = 0;
    for (int step = 0; step < 300; ++step) {
        const std::string& variant = variants[random.below(variants.size())];
        fixture.demand(variant, static_cast<unsigned>(random.below(2)), ++arrivals);
        FakeEngine& engine = *fixture.engines[random.below(3)];
        if (random.unit() < 0.2)
            engine.keepRunning(ModelId(variants[random.below(4)]), fixture.now + std::chrono::milliseconds(900));
        if (random.unit() < 0.2)
            engine.useAdapter({ ModelId(variants[random.below(2)]), "a" + std::to_string(1 + random.below(3)) },
                fixture.now + std::chrono::milliseconds(1500));
        if (test.restarts && random.unit() < 0.01) {
            engine.restart(fixture.now);
            fixture.publish(engine);
        }
        fixture.run(std::chrono::milliseconds(100));
    }
    INFO("seed " << seed << ", lost " << test.lostAnswers << ", late " << test.lateOrders);
    const auto violations = fixture.violations();
    CHECK(violations == std::vector<std::string> {});
}

namespace {

struct VersionWaitCase {
    const char* name;
    std::string adapter;
    std::string version;
    // The engine that holds the model, or the adapter as well, afterwards; empty for none.
    std::string expected;
};

} // namespace

// Guards against streams that are refused although endpoints of their version could load their model.
TEST_CASE("A model for which streams of one version wait is loaded at an engine of that version")
{
    const auto test = GENERATE(values<VersionWaitCase>({
        { "a model that another version holds", "", "v1", "old" },
        { "the version that holds it", "", "v2", "new" },
        { "an adapter", "x", "v1", "old" },
        { "a version that has left", "", "v0", "" },
    }));
    INFO(test.name);
    PlacementFixture fixture;
    fixture.add("old", holding({ "m2" })).setVersion("v1");
    fixture.add("new", holding({ "m1" })).setVersion("v2");
    for (const auto& engine : fixture.engines)
        fixture.publish(*engine);
    fixture.grantPermission();
    fixture.demand("m1", 1, 1);
    for (int i = 0; i < 10; ++i) {
        fixture.waitAtVersion("m1", test.adapter, test.version);
        fixture.run(std::chrono::seconds(1));
    }
    for (const auto& engine : fixture.engines) {
        const bool isExpected = engine->record().id.value == test.expected;
        if (isExpected || engine->record().id.value == "old")
            CHECK(engine->models().contains(ModelId("m1")) == isExpected);
        if (isExpected && !test.adapter.empty())
            CHECK(engine->models().at(ModelId("m1")).contains(test.adapter));
    }
    CHECK(fixture.violations().empty());
}
