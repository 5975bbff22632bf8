#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

struct Change {
    const char* what;
    void (*apply)(GatewayConfiguration&);
};

const std::vector<Change> changes {
    { "only a new version", [](GatewayConfiguration&) {} },
    { "the routes go away", [](GatewayConfiguration& configuration) { configuration.routes.clear(); } },
    { "the services go away", [](GatewayConfiguration& configuration) { configuration.services.clear(); } },
    { "the accounts go away",
        [](GatewayConfiguration& configuration) {
            configuration.accounts.erase(AccountId("a"));
            configuration.accountOfKeyDigest.clear();
        } },
    { "the models go away",
        [](GatewayConfiguration& configuration) { configuration.services.at("notes").engine->models.clear(); } },
    { "the engines become plain",
        [](GatewayConfiguration& configuration) { configuration.services.at("notes").engine.reset(); } },
    { "the routes lead to another service",
        [](GatewayConfiguration& configuration) {
            for (Route& route : configuration.routes)
                route.targets = { { "elsewhere", 1 } };
        } },
    { "the time limits are shortened",
        [](GatewayConfiguration& configuration) {
            for (Route& route : configuration.routes)
                route.timeout = 1ms;
        } },
    { "nothing may be repeated",
        [](GatewayConfiguration& configuration) {
            for (Route& route : configuration.routes) {
                route.isIdempotent = false;
                route.isResumable = false;
                route.maximumAttempts = 1;
            }
        } },
    { "the rates are zero",
        [](GatewayConfiguration& configuration) {
            for (auto& [id, account] : configuration.accounts)
                account.unitsPerSecond = account.burst = 0;
        } },
    { "all goes away",
        [](GatewayConfiguration& configuration) {
            configuration = GatewayConfiguration();
            configuration.version = 1;
        } },
};

const HeaderList sealedEvents { { "sealed", "1" }, { "Content-Type", "text/event-stream" } };

class ChangeFixture : public RequestsFixture {
public:
    void addEndpoints()
    {
        directory.put(sampleEndpoint("o1", "orders"), now, effects);
        directory.put(sampleEndpoint("e1", "notes", { { ModelId("m1"), {} } }), now, effects);
    }

    void change(const Change& change)
    {
        GatewayConfiguration changed = sampleConfiguration(2);
        change.apply(changed);
        requests.configure(changed, now);
        quota.configure(changed.accounts, now);
        advance(40ms);
    }
};

} // namespace

// Guards against a change of configuration that loses the answer to a request which runs.
TEST_CASE("A request that runs gets its answer whatever the configuration becomes")
{
    const auto change = GENERATE(from_range(changes));
    const auto path = GENERATE(values<std::string>({ "/order/1", "/read/1" }));
    const bool isHeadRead = GENERATE(false, true);
    const bool endsWithConnection = GENERATE(false, true);
    INFO(change.what << ", " << path << (isHeadRead ? ", its head was read" : "")
                     << (endsWithConnection ? ", it ends with its connection" : ""));
    ChangeFixture fixture;
    fixture.addEndpoints();
    fixture.arrive(path);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    const AttemptHead head { attempts[0].id, 200, { { "sealed", "1" } } };
    if (isHeadRead)
        fixture.requests.handle(head, fixture.now, fixture.effects);
    fixture.change(change);
    if (!isHeadRead)
        fixture.requests.handle(head, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { attempts[0].id, "body" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { attempts[0].id, endsWithConnection }, fixture.now, fixture.effects);
    if (endsWithConnection) {
        const auto checks = fixture.takeAttempts();
        REQUIRE(checks.size() == 1);
        CHECK(checks[0].address == attempts[0].address);
        fixture.requests.handle(AttemptHead { checks[0].id, 200, {} }, fixture.now, fixture.effects);
    }
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == "body");
    CHECK(fixture.requests.ends().endedBy(RequestEnd::Finished) == 1);
}

// Guards against a change of configuration that breaks off a stream.
TEST_CASE("A stream goes on to its end whatever the configuration becomes")
{
    const auto change = GENERATE(from_range(changes));
    const auto path = GENERATE(values<std::string>({ "/note/1", "/dossier/1" }));
    const bool endsWithConnection = GENERATE(false, true);
    INFO(change.what << ", " << path << (endsWithConnection ? ", it ends with its connection" : ""));
    ChangeFixture fixture;
    fixture.addEndpoints();
    fixture.arrive(path);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    const AttemptId id = attempts[0].id;
    fixture.requests.handle(AttemptHead { id, 200, sealedEvents }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { id, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.change(change);
    fixture.requests.handle(AttemptData { id, "id: 2\ndata: b\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { id, endsWithConnection }, fixture.now, fixture.effects);
    if (endsWithConnection) {
        const auto checks = fixture.takeAttempts();
        REQUIRE(checks.size() == 1);
        fixture.requests.handle(AttemptHead { checks[0].id, 200, {} }, fixture.now, fixture.effects);
    }
    std::string data;
    for (const SendResponseData& part : effectsOf<SendResponseData>(fixture.effects))
        data += part.data;
    CHECK(data == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}

// Guards against a waiting request that is forgotten or fails without having run.
TEST_CASE("A request that waits is served or refused whatever the configuration becomes")
{
    const auto change = GENERATE(from_range(changes));
    const auto path = GENERATE(values<std::string>({ "/order/1", "/read/1", "/note/1", "/dossier/1" }));
    const bool endpointsCome = GENERATE(false, true);
    INFO(change.what << ", " << path << (endpointsCome ? ", endpoints come" : ""));
    ChangeFixture fixture;
    // The engine can load the model before a stream would be too late.
    EndpointRecord engine = sampleEndpoint("e1", "notes");
    engine.onDisk.insert(ModelId("m1"));
    fixture.directory.put(engine, fixture.now, fixture.effects);
    fixture.arrive(path);
    REQUIRE(fixture.takeAttempts().empty());
    REQUIRE(fixture.takeAnswers().empty());
    fixture.change(change);
    if (endpointsCome)
        fixture.addEndpoints();
    fixture.advance(100ms);
    const auto attempts = fixture.takeAttempts();
    if (!attempts.empty())
        fixture.answer(attempts[0].id, 200, sealedEvents, "id: 1\ndata: a\n\n");
    fixture.advance(12s);
    const RequestEnds& ends = fixture.requests.ends();
    CHECK(ends.open() == 0);
    CHECK(ends.endedBy(endpointsCome ? RequestEnd::Finished : RequestEnd::Refused) == 1);
}

// Guards against a request whose attempt fails after the change and that neither is repeated nor fails.
TEST_CASE("A request whose attempt breaks after a change is answered")
{
    const auto change = GENERATE(from_range(changes));
    const auto path = GENERATE(values<std::string>({ "/order/1", "/read/1", "/note/1", "/dossier/1" }));
    INFO(change.what << ", " << path);
    ChangeFixture fixture;
    fixture.addEndpoints();
    fixture.arrive(path);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.change(change);
    fixture.requests.handle(AttemptFailed { attempts[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    fixture.advance(12s);
    CHECK(fixture.requests.ends().open() == 0);
    CHECK(fixture.takeAnswers().size() == 1);
}
