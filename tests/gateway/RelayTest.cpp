#include "gateway/GatewayFixture.h"
#include "http/HeaderText.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

const LoadedModels withM1 { { ModelId("m1"), {} } };

// A host that has lost its path to all endpoints, and other hosts that have not.
class RelayFixture : public RequestsFixture {
public:
    explicit RelayFixture(std::vector<std::string> hosts = { "b", "c" })
    {
        for (const char* service : { "notes", "orders" }) {
            for (int i = 0; i < 3; ++i)
                directory.put(sampleEndpoint(service + std::to_string(i), service,
                                  service == std::string("notes") ? withM1 : LoadedModels()),
                    now, effects);
        }
        std::set<HostId> live;
        for (const std::string& host : hosts)
            live.insert(HostId(host));
        relayPeers.setLive(live);
        for (const HostId& host : live) {
            relayPeers.setAddress(host, DataCentreId("here"), "127.0.0.1:5");
            relayPeers.noteHeard(host, {}, now);
        }
    }

    // Lets every connection to the endpoints fail until the host concludes that its path is lost.
    void losePath(const std::string& path)
    {
        for (int i = 0; i < 4 && !requests.reach().isLost(path == "/order/1" || path == "/read/1" ? "orders" : "notes");
             ++i) {
            arrive(path);
            requests.updateReach(now, effects);
            now += 200ms;
            for (auto attempts = takeAttempts(); !attempts.empty(); attempts = takeAttempts()) {
                for (const StartAttempt& attempt : attempts)
                    requests.handle(
                        AttemptFailed { attempt.id, AttemptOutcome::NotSent, "timeout", AttemptFailure::Connect }, now,
                        effects);
            }
        }
        takeRelays();
        takeAnswers();
        REQUIRE(requests.reach().lostServices().size() == 1);
    }

    std::vector<StartRelay> takeRelays()
    {
        auto found = effectsOf<StartRelay>(effects);
        std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<StartRelay>(effect); });
        return found;
    }

    // The serving host ends the request itself.
    void refuseRelay(AttemptId id, int status, RelayOutcome outcome, const std::string& reason)
    {
        HeaderList headers { { "Retry-After", "0.7" } };
        addRelayAnswer(headers, { outcome, reason, outcome == RelayOutcome::Failed ? 1U : 0U });
        requests.handle(AttemptHead { id, status, headers }, now, effects);
        requests.handle(AttemptFinished { id }, now, effects);
    }

    RequestId relayed(const std::string& path, const RelayTerms& terms, const std::string& id = "r900")
    {
        RelayedRequestArrived event;
        event.arrived.id = RequestId(++m_lastRelayed);
        event.arrived.method = "POST";
        event.arrived.target = path;
        event.arrived.headers = { { "Host", "h:80" }, { "id", id } };
        if (path.starts_with("/note/") || path.starts_with("/dossier/"))
            event.arrived.headers.emplace_back("model", "m1");
        event.terms = terms;
        event.from = HostId("b");
        requests.handle(event, now, effects);
        return event.arrived.id;
    }

private:
    std::uint64_t m_lastRelayed = 1000;
};

RelayTerms termsWith(Duration timeLeft)
{
    RelayTerms terms;
    terms.account = AccountId("a");
    terms.timeLeft = timeLeft;
    terms.firstByteTimeLeft = timeLeft;
    return terms;
}

struct OutcomeCase {
    const char* name;
    const char* path;
    // How the first host answers; nothing for a connection that fails.
    std::optional<RelayOutcome> outcome;
    int status;
    AttemptOutcome failure;
    // Hosts that get the request, and the answer of the caller.
    std::size_t expectedRelays;
    int expectedStatus;
};

} // namespace

// Guards against a relayed request that runs twice, or that is given up although another host could serve it.
TEST_CASE("A request goes to a second host only if it cannot have run at the first or may be repeated")
{
    const auto test = GENERATE(values<OutcomeCase>({
        { "no connection", "/order/1", std::nullopt, 0, AttemptOutcome::NotSent, 2, 0 },
        { "a broken connection", "/order/1", std::nullopt, 0, AttemptOutcome::Unknown, 1, 502 },
        { "a broken connection, repeatable", "/read/1", std::nullopt, 0, AttemptOutcome::Unknown, 2, 0 },
        { "a host that has no path either", "/order/1", RelayOutcome::NotServed, 503, {}, 2, 0 },
        { "a host that stops", "/note/1", RelayOutcome::NotServed, 503, {}, 2, 0 },
        { "no replica", "/note/1", RelayOutcome::Refused, 503, {}, 1, 503 },
        { "a quarantined request", "/note/1", RelayOutcome::Refused, 500, {}, 1, 500 },
        { "endpoints that failed", "/order/1", RelayOutcome::Failed, 502, {}, 1, 502 },
        { "endpoints that failed, repeatable", "/read/1", RelayOutcome::Failed, 504, {}, 1, 504 },
    }));
    INFO(test.name);
    RelayFixture fixture;
    fixture.losePath(test.path);
    fixture.arrive(test.path);
    auto relays = fixture.takeRelays();
    REQUIRE(relays.size() == 1);
    CHECK(fixture.takeAttempts().empty());
    if (test.outcome)
        fixture.refuseRelay(relays[0].id, test.status, *test.outcome, "a reason");
    else
        fixture.requests.handle(AttemptFailed { relays[0].id, test.failure, "failed", AttemptFailure::Broken },
            fixture.now, fixture.effects);
    const auto second = fixture.takeRelays();
    CHECK(1 + second.size() == test.expectedRelays);
    if (!second.empty())
        CHECK(second[0].to != relays[0].to);
    const auto answers = fixture.takeAnswers();
    CHECK((answers.empty() ? 0 : answers.back().status) == test.expectedStatus);
    if (test.expectedStatus == 503)
        CHECK(findHeader(answers.back().headers, "Retry-After"));
    for (const SendWholeResponse& answer : answers)
        CHECK_FALSE(findHeader(answer.headers, "Relay-Outcome"));
}

// Guards against requests that travel from host to host.
TEST_CASE("A relayed request is not relayed again")
{
    RelayFixture fixture;
    fixture.losePath("/order/1");
    fixture.relayed("/order/1", termsWith(1s));
    CHECK(fixture.takeRelays().empty());
    CHECK(fixture.takeAttempts().empty());
    auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    const RelayAnswer answer = takeRelayAnswer(answers[0].headers);
    CHECK(answer.outcome == RelayOutcome::NotServed);
    CHECK(answer.reason == "no_path");
}

// Guards against a serving host that asks for a key, takes the account's rate twice, or gives the endpoint more time
// than the caller has left.
TEST_CASE("A relayed request is served with the terms of the relaying host")
{
    RelayFixture fixture;
    RelayTerms terms = termsWith(700ms);
    terms.attempts = 1;
    terms.excluded = { EndpointId("notes0"), EndpointId("notes1") };
    terms.lastEventId = "4";
    terms.firstRequestId = "r77";
    terms.softwareVersion = "";
    const double level = fixture.quota.level(AccountId("a"));
    const RequestId id = fixture.relayed("/dossier/1", terms);
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    CHECK(attempts[0].endpoint == EndpointId("notes2"));
    CHECK(headerValue(attempts[0].headers, "account") == "a");
    CHECK(headerValue(attempts[0].headers, "after") == "4");
    CHECK(fixture.quota.level(AccountId("a")) == level);
    SECTION("the answer states the attempts")
    {
        fixture.requests.handle(
            AttemptHead { attempts[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
        auto heads = effectsOf<SendResponseHead>(fixture.effects);
        REQUIRE(heads.size() == 1);
        const RelayAnswer answer = takeRelayAnswer(heads[0].headers);
        CHECK(answer.outcome == RelayOutcome::Answered);
        CHECK(answer.attempts == 2);
    }
    SECTION("the time left bounds it")
    {
        fixture.advance(800ms);
        auto answers = fixture.takeAnswers();
        REQUIRE(answers.size() == 1);
        CHECK(takeRelayAnswer(answers[0].headers).outcome == RelayOutcome::Failed);
    }
    SECTION("it ends when the relaying host cancels it")
    {
        fixture.requests.handle(CallerLeft { id }, fixture.now, fixture.effects);
        CHECK(effectsOf<CancelAttempt>(fixture.effects).size() == 1);
        CHECK(fixture.requests.activeRequests() == 0);
    }
}

// Guards against a host that takes on more than it can hold for others.
TEST_CASE("A host refuses relayed requests beyond a number")
{
    RelayFixture fixture;
    std::size_t refused = 0;
    for (int i = 0; i < 600; ++i) {
        fixture.relayed("/order/1", termsWith(5s), "x" + std::to_string(i));
        for (SendWholeResponse& answer : fixture.takeAnswers())
            refused += takeRelayAnswer(answer.headers).reason == "relay_full";
    }
    CHECK(refused == 600 - 512);
}

// Guards against work that goes on for a caller that has left, or that floods the relaying host.
TEST_CASE("Cancellation and back pressure reach the other host")
{
    RelayFixture fixture;
    fixture.losePath("/note/1");
    const RequestId id = fixture.arrive("/note/1");
    const auto relays = fixture.takeRelays();
    REQUIRE(relays.size() == 1);
    fixture.requests.handle(AttemptHead { relays[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(CallerBackpressure { id, true }, fixture.effects);
    REQUIRE(effectsOf<ThrottleAttempt>(fixture.effects).size() == 1);
    CHECK(effectsOf<ThrottleAttempt>(fixture.effects)[0].id == relays[0].id);
    fixture.requests.handle(CallerLeft { id }, fixture.now, fixture.effects);
    const auto cancelled = effectsOf<CancelAttempt>(fixture.effects);
    REQUIRE_FALSE(cancelled.empty());
    CHECK(cancelled.back().id == relays[0].id);
}

// Guards against a stream that begins anew, or at another version, when the host that served it dies.
TEST_CASE("A relayed stream that breaks goes on at the next host after its last event")
{
    RelayFixture fixture;
    fixture.losePath("/dossier/1");
    fixture.arrive("/dossier/1");
    const auto first = fixture.takeRelays();
    REQUIRE(first.size() == 1);
    fixture.requests.handle(AttemptHead { first[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(
        AttemptData { first[0].id, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto second = fixture.takeRelays();
    REQUIRE(second.size() == 1);
    CHECK(second[0].to != first[0].to);
    CHECK(second[0].request.terms.lastEventId == "2");
    CHECK_FALSE(second[0].request.terms.firstRequestId.empty());
    CHECK(second[0].request.terms.attempts >= 1);
    fixture.requests.handle(AttemptHead { second[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { second[0].id, "id: 3\ndata: c\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { second[0].id }, fixture.now, fixture.effects);
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
    CHECK(effectsOf<SendResponseHead>(fixture.effects).size() == 1);
}

namespace {

struct StatedVersionCase {
    const char* name;
    std::optional<std::string> stated;
    // The version at which the stream has to go on.
    std::string expected;
};

} // namespace

// Guards against a stream that is joined from two software versions because the host that served its beginning is gone.
TEST_CASE("A relayed stream that breaks goes on at the version that the serving host stated")
{
    const auto test = GENERATE(values<StatedVersionCase>({
        { "one of the versions", "v2", "v2" },
        { "another text", "\r\nv\xc3\xa9 \"2\"", "\r\nv\xc3\xa9 \"2\"" },
        { "a version that cannot be told", "", "" },
        { "nothing", std::nullopt, "" },
    }));
    INFO(test.name);
    RelayFixture fixture;
    for (int i = 0; i < 3; ++i) {
        EndpointRecord endpoint = sampleEndpoint("notes" + std::to_string(i), "notes", withM1);
        endpoint.softwareVersion = i == 0 ? "v1" : "v2";
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
    }
    fixture.losePath("/dossier/1");
    fixture.arrive("/dossier/1");
    const auto first = fixture.takeRelays();
    REQUIRE(first.size() == 1);
    HeaderList headers { { "sealed", "1" } };
    addRelayAnswer(headers, { RelayOutcome::Answered, "", 1, test.stated });
    fixture.requests.handle(AttemptHead { first[0].id, 200, headers }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { first[0].id, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFailed { first[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    const auto second = fixture.takeRelays();
    REQUIRE(second.size() == 1);
    CHECK(second[0].request.terms.softwareVersion == test.expected);
}

// Guards against a serving host that states one version in the head and sends events of another.
TEST_CASE("A relayed stream keeps the version of its head")
{
    RelayFixture fixture;
    for (int i = 0; i < 3; ++i) {
        EndpointRecord endpoint = sampleEndpoint("notes" + std::to_string(i), "notes", withM1);
        endpoint.softwareVersion = "v" + std::to_string(i);
        fixture.directory.put(endpoint, fixture.now, fixture.effects);
    }
    fixture.relayed("/dossier/1", termsWith(20s));
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.requests.handle(AttemptHead { attempts[0].id, 200, { { "sealed", "1" } } }, fixture.now, fixture.effects);
    auto heads = effectsOf<SendResponseHead>(fixture.effects);
    REQUIRE(heads.size() == 1);
    const std::string version = fixture.directory.find(attempts[0].endpoint)->softwareVersion;
    CHECK(takeRelayAnswer(heads[0].headers).softwareVersion == version);
    fixture.requests.handle(AttemptFailed { attempts[0].id, AttemptOutcome::Unknown, "reset", AttemptFailure::Broken },
        fixture.now, fixture.effects);
    CHECK(fixture.takeAttempts().empty());
}

// Guards against an endpoint whose headers pass for the statement of another host.
TEST_CASE("Headers of an endpoint are no relay answer")
{
    RelayFixture fixture;
    fixture.arrive("/order/1");
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    HeaderList headers { { "sealed", "1" } };
    addRelayAnswer(headers, { RelayOutcome::NotServed, "a reason", 0 });
    fixture.requests.handle(AttemptHead { attempts[0].id, 200, headers }, fixture.now, fixture.effects);
    fixture.requests.handle(AttemptFinished { attempts[0].id }, fixture.now, fixture.effects);
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(fixture.takeRelays().empty());
}

// Guards against waiting out the deadline where it is known that no host reaches an endpoint.
TEST_CASE("Without a host that reaches the service a request is refused in time with a time to come back")
{
    RelayFixture fixture({ "b" });
    fixture.losePath("/order/1");
    fixture.relayPeers.noteHeard(HostId("b"), { "orders" }, fixture.now);
    fixture.arrive("/order/1", "key-a", 1500);
    CHECK(fixture.takeRelays().empty());
    CHECK(fixture.takeAttempts().empty());
    fixture.advance(500ms);
    const auto answers = fixture.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    CHECK(findHeader(answers[0].headers, "Retry-After"));
}

namespace {

struct PeerCase {
    const char* name;
    std::function<void(RelayPeers&, MonotonicTime)> prepare;
    std::string expected;
};

} // namespace

// Guards against relaying to a host that cannot serve.
TEST_CASE("A host that reaches the service is chosen, preferably in the same data centre")
{
    const auto test = GENERATE(values<PeerCase>({
        { "the nearer one", [](RelayPeers&, MonotonicTime) {}, "near" },
        { "one that reaches the service",
            [](RelayPeers& peers, MonotonicTime now) { peers.noteHeard(HostId("near"), { "notes" }, now); }, "far" },
        { "one that could be reached a moment ago",
            [](RelayPeers& peers, MonotonicTime now) { peers.noteFailure(HostId("near"), now); }, "far" },
        { "one that is live", [](RelayPeers& peers, MonotonicTime) { peers.setLive({ HostId("far") }); }, "far" },
        { "one that was heard",
            [](RelayPeers& peers, MonotonicTime now) { peers.noteHeard(HostId("near"), {}, now - 3s); }, "far" },
        { "one with an address",
            [](RelayPeers& peers, MonotonicTime) { peers.setAddress(HostId("near"), DataCentreId("here"), ""); },
            "far" },
        { "none", [](RelayPeers& peers, MonotonicTime) { peers.setLive({}); }, "" },
    }));
    INFO(test.name);
    constexpr MonotonicTime now { 1h };
    RelayPeers peers(DataCentreId("here"), 1);
    peers.setLive({ HostId("near"), HostId("far") });
    for (const char* host : { "near", "far" }) {
        peers.setAddress(HostId(host), DataCentreId(host == std::string("near") ? "here" : "there"), "127.0.0.1:5");
        peers.noteHeard(HostId(host), {}, now);
    }
    test.prepare(peers, now);
    const auto choice = peers.choose("notes", {}, now);
    CHECK((choice ? choice->host.value : "") == test.expected);
    CHECK(peers.isReachedBySome("notes", now) == !test.expected.empty());
}

// Guards against a body, or a version that cannot be told, that changes on the way.
TEST_CASE("A relayed request is unchanged after encoding and decoding")
{
    RelayedRequest request { termsWith(1200ms), "POST", "/a/b?c=d", { { "Host", "h" }, { "X", "\x01 y" } },
        std::string("\0\xff body", 7) };
    request.terms.excluded = { EndpointId("e1"), EndpointId("e2") };
    request.terms.attempts = 2;
    request.terms.lastEventId = "9";
    request.terms.firstRequestId = "r";
    request.terms.softwareVersion = GENERATE(as<std::optional<std::string>> {}, std::nullopt, "", "v2");
    const std::string bytes = encodeRelayedRequest(request);
    const auto decoded = decodeRelayedRequest(bytes);
    REQUIRE_FALSE(isError(decoded));
    CHECK(encodeRelayedRequest(valueOf(decoded)) == bytes);
    CHECK(valueOf(decoded).body == request.body);
    CHECK(valueOf(decoded).terms.softwareVersion == request.terms.softwareVersion);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK(isError(decodeRelayedRequest(bytes.substr(0, length))));
}

// Guards against a stream that is closed for its caller because the host that should go on with it has no room.
TEST_CASE("A stream that has begun waits for another chance if the other host refuses it")
{
    const auto reason = GENERATE(values<std::string>({ "no_replica", "endpoints_full" }));
    INFO(reason);
    RelayFixture fixture({ "b" });
    fixture.arrive("/dossier/900");
    const AttemptId open = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { open, 200, { { "sealed", "1" }, { "Content-Type", "text/event-stream" } } },
        fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { open, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.losePath("/note/1");
    for (int i = 0; i < 65; ++i) {
        fixture.advance(20ms);
        fixture.relayPeers.noteHeard(HostId("b"), {}, fixture.now);
    }
    const auto relays = fixture.takeRelays();
    REQUIRE(relays.size() == 1);
    fixture.refuseRelay(relays[0].id, 503, RelayOutcome::Refused, reason);
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}

namespace {

struct RoomCase {
    const char* name;
    std::vector<std::string> hosts;
    RelayOutcome outcome;
};

} // namespace

// Guards against a begun stream that waits until its deadline for hosts that had no room for it once.
TEST_CASE("A begun stream goes on at a host that has room again after it refused the stream")
{
    const auto test = GENERATE(values<RoomCase>({
        { "one host, full", { "b" }, RelayOutcome::Refused },
        { "one host, without memory", { "b" }, RelayOutcome::NotServed },
        { "two hosts", { "b", "c" }, RelayOutcome::Refused },
        { "more hosts than are tried in a row", { "b", "c", "d", "e", "f" }, RelayOutcome::Refused },
    }));
    INFO(test.name);
    RelayFixture fixture(test.hosts);
    const auto hearAll = [&] {
        for (const std::string& host : test.hosts)
            fixture.relayPeers.noteHeard(HostId(host), {}, fixture.now);
    };
    fixture.arrive("/dossier/900");
    const AttemptId open = fixture.takeAttempts().at(0).id;
    fixture.requests.handle(AttemptHead { open, 200, { { "sealed", "1" }, { "Content-Type", "text/event-stream" } } },
        fixture.now, fixture.effects);
    fixture.requests.handle(AttemptData { open, "id: 1\ndata: a\n\n" }, fixture.now, fixture.effects);
    fixture.losePath("/note/1");
    std::vector<StartRelay> relays;
    std::size_t refusals = 0;
    for (int i = 0; i < 150; ++i) {
        fixture.advance(20ms);
        hearAll();
        relays = fixture.takeRelays();
        if (!relays.empty() && ++refusals > test.hosts.size())
            break;
        for (const StartRelay& relay : relays)
            fixture.refuseRelay(relay.id, 503, test.outcome, "a reason");
    }
    REQUIRE(relays.size() == 1);
    CHECK(relays[0].request.terms.lastEventId == "1");
    fixture.answer(
        relays[0].id, 200, { { "sealed", "1" }, { "Content-Type", "text/event-stream" } }, "id: 2\ndata: b\n\n");
    CHECK(effectsOf<FinishResponse>(fixture.effects).size() == 1);
    CHECK(effectsOf<AbortResponse>(fixture.effects).empty());
}
