#include "requests/RequestFlowFixture.h"
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// What becomes of a request that waits for a replica of the model when its engine loads the model after the change.
enum class Waiting {
    Served,
    RefusedAtOnce,
    // Another engine may still come.
    RefusedAtDeadline,
};

struct Change {
    const char* what;
    Waiting waiting;
    void (*apply)(FleetConfiguration&);
};

const std::vector<Change> changes {
    { "only a new version", Waiting::Served, [](FleetConfiguration&) {} },
    { "the routes go away", Waiting::Served, [](FleetConfiguration& fleet) { fleet.routes.clear(); } },
    { "the endpoints go away", Waiting::RefusedAtDeadline, [](FleetConfiguration& fleet) { fleet.endpoints.clear(); } },
    { "the account goes away", Waiting::Served, [](FleetConfiguration& fleet) { fleet.accounts.clear(); } },
    { "the model goes away", Waiting::RefusedAtOnce, [](FleetConfiguration& fleet) { fleet.models.clear(); } },
    { "the model moves to another pool", Waiting::Served,
        [](FleetConfiguration& fleet) {
            fleet.models.at(ModelId("m1")).pool = "elsewhere";
            fleet.endpoints.at(EndpointId("e1")).pool = "elsewhere";
        } },
    { "the deadline is shortened", Waiting::Served,
        [](FleetConfiguration& fleet) { fleet.defaults.requestDeadline = 1ms; } },
    { "the queues are shortened", Waiting::Served,
        [](FleetConfiguration& fleet) {
            fleet.defaults.maximumQueuedPerAccountAndModel = 0;
            fleet.defaults.maximumQueuedPerHost = 0;
        } },
    { "all goes away", Waiting::RefusedAtOnce, [](FleetConfiguration& fleet) { fleet = FleetConfiguration(); } },
};

void apply(RequestFlowFixture& fixture, const Change& change)
{
    FleetConfiguration changed = fixture.configuration.value;
    change.apply(changed);
    ++changed.version;
    fixture.configure(changed);
}

} // namespace

// Guards against a change of configuration that loses the answer to a request which runs.
TEST_CASE("A running request gets its answer whatever the configuration becomes")
{
    const auto change = GENERATE(from_range(changes));
    const auto path = GENERATE(values<std::string>({ "/read/1", "/order/1" }));
    const bool endsWithConnection = GENERATE(false, true);
    INFO(change.what << ", " << path << (endsWithConnection ? ", ending with its connection" : ""));
    RequestFlowFixture fixture;
    fixture.arrive(path);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.requests.handle(AttemptHead { attempts[0].id, 200, {} }, fixture.now, fixture.effects);
    apply(fixture, change);
    fixture.requests.handle(AttemptData { attempts[0].id, "answer" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { attempts[0].id, endsWithConnection }, fixture.now, fixture.effects);
    if (endsWithConnection) {
        const auto checks = fixture.takeAttempts();
        REQUIRE(checks.size() == 1);
        CHECK(checks[0].address == attempts[0].address);
        fixture.requests.handle(AttemptHead { checks[0].id, 404, {} }, fixture.now, fixture.effects);
    }
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == "answer");
    CHECK(fixture.requests.isIdle());
}

// Guards against a process that ends because the model goes away for which a request waits, and against a request that
// waits for nothing.
TEST_CASE("A request that waits for a model is served or refused whatever the configuration becomes")
{
    const auto change = GENERATE(from_range(changes));
    INFO(change.what);
    RequestFlowFixture fixture;
    fixture.arriveForModel("m1");
    REQUIRE(fixture.takeAttempts().empty());
    REQUIRE(fixture.takeAnswers().empty());
    apply(fixture, change);
    fixture.endpoints.noteReplica(EndpointId("e1"), ModelId("m1"), true);
    fixture.advance(100ms);
    const auto attempts = fixture.takeAttempts();
    CHECK(attempts.size() == (change.waiting == Waiting::Served ? 1 : 0));
    auto answers = fixture.takeAnswers();
    CHECK(answers.size() == (change.waiting == Waiting::RefusedAtOnce ? 1 : 0));
    if (!attempts.empty()) {
        fixture.requests.handle(AttemptHead { attempts[0].id, 200, {} }, fixture.now, fixture.effects);
        fixture.requests.handle(AttemptData { attempts[0].id, "{}" }, fixture.now, fixture.effects);
        fixture.requests.handle(AttemptFinished { attempts[0].id }, fixture.now, fixture.effects);
    } else {
        fixture.advance(61s);
    }
    const auto late = fixture.takeAnswers();
    answers.insert(answers.end(), late.begin(), late.end());
    REQUIRE(answers.size() == 1);
    if (attempts.empty())
        CHECK(answers[0].body.find("\"not_run\"") != std::string::npos);
    else
        CHECK(answers[0].status == 200);
    CHECK(fixture.requests.isIdle());
}

// Guards against a request that waits between two attempts and is forgotten because the queues were shortened
// meanwhile.
TEST_CASE("A request that waits for its next attempt keeps its place when the queues are shortened")
{
    RequestFlowFixture fixture;
    fixture.arrive("/read/1");
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.requests.handle(AttemptFailed { attempts[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    FleetConfiguration changed = fixture.configuration.value;
    changed.defaults.maximumQueuedPerAccountAndModel = 0;
    changed.defaults.maximumQueuedPerHost = 0;
    fixture.configure(changed);
    REQUIRE(fixture.takeAttempts().empty());
    REQUIRE(fixture.takeAnswers().empty());
    fixture.advance(1s);
    // A lost path is probed as well.
    const auto next = fixture.takeAttempts();
    CHECK(std::count_if(next.begin(), next.end(), [](const StartAttempt& attempt) { return attempt.method == "POST"; })
        == 1);
}

// Guards against a request that waits until its deadline for a model that went away while its attempt was open.
TEST_CASE("A request whose model went away is refused when its attempt was not sent")
{
    RequestFlowFixture fixture;
    fixture.endpoints.noteReplica(EndpointId("e1"), ModelId("m1"), true);
    fixture.arriveForModel("m1");
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    FleetConfiguration changed = fixture.configuration.value;
    changed.models.clear();
    ++changed.version;
    fixture.configure(changed);
    fixture.requests.handle(
        AttemptFailed { attempts[0].id, AttemptOutcome::NotSent, "refused", AttemptFailure::Connect }, fixture.now,
        fixture.effects);
    fixture.advance(1s);
    const std::vector<SendWholeResponse> answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body.find("not_run") != std::string::npos);
}
