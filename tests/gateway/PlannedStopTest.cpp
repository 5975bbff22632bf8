#include "gateway/GatewayFixture.h"
#include "http/HeaderText.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>
#include <catkinwell/gateway/GatewayReducer.h>
#include <catkinwell/relay/RelayMessage.h>
#include <nlohmann/json.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration grace = 8s;

// Engines have the model m1 in their hosts' memory, from which a load takes 0.8 s.
class MemoryProtocol final : public PlainProtocol {
public:
    Result<EndpointRecord> readEndpoint(std::string_view key, std::string_view document) const override
    {
        auto record = PlainProtocol::readEndpoint(key, document);
        if (!isError(record))
            std::get<EndpointRecord>(record).inHostMemory = { ModelId("m1") };
        return record;
    }
};

// Replies like a store that holds a configuration, two plain endpoints and an engine.
std::optional<StoreReply> replyTo(const StoreCall& call)
{
    if (std::holds_alternative<StoreWatchPrefix>(call.operation))
        return std::nullopt;
    StoreReply reply;
    reply.id = call.id;
    reply.status = StoreStatus::Ok;
    reply.version = 5;
    reply.value = "7";
    if (const auto* list = std::get_if<StoreList>(&call.operation)) {
        reply.isWholeList = true;
        if (list->prefix == "configuration")
            reply.entries = { { "configuration", "1", 1 } };
        else if (list->prefix == "endpoints/")
            reply.entries
                = { { "endpoints/o1", "orders", 2 }, { "endpoints/o2", "orders", 3 }, { "endpoints/e1", "notes", 4 } };
        else
            reply.entries = { { "catkinwell/secret", "s", 5 } };
    }
    return reply;
}

// A gateway with two plain endpoints and an engine that holds no model. Counts the requests that arrived and did not
// end.
class StopFixture {
public:
    StopFixture() { advance(900ms); }

    void advance(Duration duration)
    {
        for (const MonotonicTime end = now + duration; now < end;) {
            now += tickTime;
            apply(Tick {});
        }
    }

    void advanceTo(MonotonicTime time)
    {
        if (now < time)
            advance(time - now);
    }

    void stop()
    {
        stoppedAt = now;
        apply(ShutdownSignal {});
    }

    RequestId arrive(const std::string& path, Duration timeLeft = 10s)
    {
        RequestArrived request;
        request.id = RequestId(++m_lastRequest);
        request.method = "POST";
        request.target = path;
        request.keyDigest = sha256Hex("key-a");
        request.headers = { { "Host", "h:80" }, { "id", std::to_string(m_lastRequest) },
            { "left", std::to_string(millisecondsOf(timeLeft)) } };
        if (path.starts_with("/note/"))
            request.headers.emplace_back("model", "m1");
        ++openRequests;
        apply(request);
        return request.id;
    }

    RequestId arriveRelayed(const std::string& path)
    {
        RelayedRequestArrived relayed;
        relayed.arrived.id = RequestId(++m_lastRequest);
        relayed.arrived.method = "POST";
        relayed.arrived.target = path;
        relayed.arrived.headers = { { "Host", "h:80" }, { "id", std::to_string(m_lastRequest) } };
        relayed.terms.account = AccountId("a");
        relayed.terms.timeLeft = 10s;
        relayed.terms.firstByteTimeLeft = 10s;
        relayed.from = HostId("b");
        ++openRequests;
        apply(relayed);
        return relayed.arrived.id;
    }

    // Has requests of the route answered after this time, of which the endpoint sends a part in each tick.
    void measure(const std::string& path, std::size_t count, Duration time)
    {
        for (std::size_t i = 0; i < count; ++i)
            arrive(path, time + 5s);
        const std::vector<StartAttempt> attempts = takeAttempts();
        REQUIRE(attempts.size() == count);
        for (const StartAttempt& attempt : attempts)
            apply(AttemptHead { attempt.id, 200, { { "sealed", "1" } } });
        for (const MonotonicTime end = now + time; now < end;) {
            advance(tickTime);
            for (const StartAttempt& attempt : attempts)
                apply(AttemptData { attempt.id, "x" });
        }
        for (const StartAttempt& attempt : attempts)
            apply(AttemptFinished { attempt.id });
        REQUIRE(openRequests == 0);
        answers.clear();
    }

    std::vector<StartAttempt> takeAttempts() { return std::exchange(m_attempts, {}); }

    void apply(const GatewayEvent& event)
    {
        for (const Effect& effect : reducer.apply(event, now))
            std::visit([this](const auto& item) { note(item); }, effect);
    }

    std::map<RequestId, SendWholeResponse> answers;
    std::set<RequestId> aborted;
    std::vector<LogEntry> log;
    int openRequests = 0;
    std::optional<MonotonicTime> exitAt;
    Duration longestFlush {};
    Duration tickTime = 20ms;
    MonotonicTime now { std::chrono::hours(1) };
    MonotonicTime stoppedAt {};

private:
    template <typename Other> void note(const Other&) { }
    void note(const StartAttempt& start)
    {
        // Only requests of callers have an identifier.
        if (findHeader(start.headers, "id"))
            m_attempts.push_back(start);
    }
    void note(const StoreCall& call)
    {
        if (const auto reply = replyTo(call))
            apply(*reply);
    }
    void note(const SendWholeResponse& answer)
    {
        --openRequests;
        answers[answer.id] = answer;
    }
    void note(const FinishResponse&) { --openRequests; }
    void note(const AbortResponse& abort)
    {
        --openRequests;
        aborted.insert(abort.id);
    }
    void note(const LogEntry& entry) { log.push_back(entry); }
    void note(const ExitProcess& exit)
    {
        exitAt = now;
        longestFlush = exit.longestFlush;
    }

    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.host = HostId("self");
        settings.dataCentre = DataCentreId("here");
        settings.peerAddress = "127.0.0.1:8";
        settings.shutdownGrace = grace;
        return settings;
    }

    MemoryProtocol m_protocol;
    std::uint64_t m_lastRequest = 0;
    std::vector<StartAttempt> m_attempts;

public:
    GatewayReducer reducer { settings(), m_protocol, 1, 1, "s" };
};

// Whether the answer says truthfully, and in time for another host, that the stopping host did not run the request.
bool isStoppingRefusal(const SendWholeResponse& answer)
{
    const auto error = nlohmann::json::parse(answer.body).at("error");
    const std::string* retryAfter = findHeader(answer.headers, "retry-after");
    return answer.status == 503 && error.at("code") == "stopping" && error.at("outcome") == "not_run" && retryAfter
        && std::strtod(retryAfter->c_str(), nullptr) <= 1;
}

struct ArrivalCase {
    const char* name;
    const char* path;
    // Times of earlier answers: how many took how long, and how many more took another time.
    std::size_t answers;
    Duration answerTime;
    std::size_t slowAnswers;
    Duration slowAnswerTime;
    // When the request comes after the signal, and its own time limit.
    Duration arrival;
    Duration timeLeft;
    bool isExpectedToRun;
};

} // namespace

// Guards against requests that come late in the grace time, are passed on and are cut off at its end.
TEST_CASE("A stopping gateway passes on only what can be expected to end in the time left")
{
    const auto test = GENERATE(values<ArrivalCase>({
        { "short answers", "/order/1", 40, 300ms, 0, {}, 2500ms, 10s, true },
        { "long answers", "/order/1", 20, 5s, 0, {}, 2500ms, 10s, false },
        { "long answers, early", "/order/1", 20, 5s, 0, {}, 100ms, 10s, true },
        { "long answers, a short limit of its own", "/order/1", 20, 5s, 0, {}, 2500ms, 2s, true },
        { "one long answer, not repeatable", "/order/1", 40, 300ms, 1, 6s, 2500ms, 10s, false },
        { "one long answer, repeatable", "/read/1", 40, 300ms, 1, 6s, 2500ms, 10s, true },
        { "long answers, repeatable", "/read/1", 20, 6s, 0, {}, 2500ms, 10s, false },
        { "no answer so far", "/order/1", 0, {}, 0, {}, 2500ms, 10s, false },
        { "no answer so far, a short limit of its own", "/order/1", 0, {}, 0, {}, 2500ms, 2s, true },
    }));
    INFO(test.name);
    StopFixture fixture;
    if (test.answers > 0)
        fixture.measure(test.path, test.answers, test.answerTime);
    if (test.slowAnswers > 0)
        fixture.measure(test.path, test.slowAnswers, test.slowAnswerTime);
    fixture.stop();
    fixture.advance(test.arrival);
    const RequestId id = fixture.arrive(test.path, test.timeLeft);
    CHECK(fixture.takeAttempts().size() == (test.isExpectedToRun ? 1 : 0));
    CHECK(fixture.answers.contains(id) != test.isExpectedToRun);
    if (fixture.answers.contains(id))
        CHECK(isStoppingRefusal(fixture.answers.at(id)));
    fixture.advance(grace);
    CHECK(fixture.exitAt);
    CHECK(fixture.openRequests == 0);
}

// Guards against a request that was admitted early in the grace time, is rejected by its first endpoint late, and is
// then passed on to the next one although the host is about to end.
TEST_CASE("A stopping gateway passes a rejected request on only if enough time is left")
{
    const Duration lateness = GENERATE(Duration(1s), Duration(6500ms));
    const bool isRejected = GENERATE(true, false);
    INFO(millisecondsOf(lateness) << " ms after the signal, " << (isRejected ? "rejected" : "not sent"));
    StopFixture fixture;
    fixture.measure("/order/1", 40, 300ms);
    fixture.stop();
    fixture.advance(100ms);
    const RequestId id = fixture.arrive("/order/1");
    const auto first = fixture.takeAttempts();
    REQUIRE(first.size() == 1);
    fixture.advanceTo(fixture.stoppedAt + lateness);
    if (isRejected) {
        fixture.apply(AttemptHead { first[0].id, 503, { { "not-executed", "1" } } });
        fixture.apply(AttemptFinished { first[0].id });
    } else {
        fixture.apply(AttemptFailed { first[0].id, AttemptOutcome::NotSent, "timeout", AttemptFailure::Connect });
    }
    const bool isLate = lateness > 5s;
    CHECK(fixture.takeAttempts().size() == (isLate ? 0 : 1));
    REQUIRE(fixture.answers.contains(id) == isLate);
    if (isLate)
        CHECK(isStoppingRefusal(fixture.answers.at(id)));
}

// Guards against a relayed request that is kept until the serving host ends, when no other host can have it served in
// time.
TEST_CASE("A stopping gateway tells a relaying host early that it does not serve a request")
{
    StopFixture fixture;
    fixture.measure("/order/1", 20, 5s);
    fixture.stop();
    fixture.advance(2500ms);
    const RequestId id = fixture.arriveRelayed("/order/1");
    CHECK(fixture.takeAttempts().empty());
    REQUIRE(fixture.answers.contains(id));
    HeaderList headers = fixture.answers.at(id).headers;
    CHECK(takeRelayAnswer(headers).outcome == RelayOutcome::NotServed);
}

// Guards against callers that wait for a model at a host that will refuse them before it is loaded.
TEST_CASE("A stopping gateway refuses at once to wait for a model that is ready too late")
{
    // 2.9 s after the signal all that wait are refused.
    const auto [arrival, isRefused]
        = GENERATE(values<std::pair<Duration, bool>>({ { 100ms, false }, { 2500ms, true } }));
    StopFixture fixture;
    fixture.stop();
    fixture.advance(arrival);
    const RequestId id = fixture.arrive("/note/1", 4s);
    REQUIRE(fixture.answers.contains(id) == isRefused);
    if (isRefused)
        CHECK(isStoppingRefusal(fixture.answers.at(id)));
}

namespace {

struct EndCase {
    const char* name;
    // Time between two ticks.
    Duration tickTime;
    // When the answer ends after the signal.
    Duration answeredAt;
    bool isExpectedToArrive;
};

} // namespace

// Guards against answers that are cut although time is left to deliver them, and against a slow host that is killed
// before it has written its answers out.
TEST_CASE("A stopping gateway lets requests run as long as its own end allows")
{
    const auto test = GENERATE(values<EndCase>({
        { "a host in time", 20ms, 7400ms, true },
        { "a host in time, too late", 20ms, 7600ms, false },
        { "a slow host", 400ms, 6400ms, true },
        { "a slow host, too late", 400ms, 7600ms, false },
    }));
    INFO(test.name);
    StopFixture fixture;
    fixture.tickTime = test.tickTime;
    fixture.measure("/order/1", 20, 400ms);
    const RequestId id = fixture.arrive("/order/1");
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.stop();
    fixture.advance(test.answeredAt);
    fixture.apply(AttemptHead { attempts[0].id, 200, { { "sealed", "1" } } });
    fixture.apply(AttemptFinished { attempts[0].id });
    fixture.advance(grace);
    CHECK(fixture.answers.at(id).status == (test.isExpectedToArrive ? 200 : 504));
    CHECK(fixture.openRequests == 0);
    REQUIRE(fixture.exitAt);
    // The runtime takes 0.3 s at most to write the answers out.
    CHECK(*fixture.exitAt + 300ms + test.tickTime <= fixture.stoppedAt + grace);
}

// Guards against a request that is cut without a line in the log that names it.
TEST_CASE("What a stopping gateway cuts at the end is logged with its request")
{
    StopFixture fixture;
    fixture.measure("/order/1", 20, 400ms);
    const RequestId id = fixture.arrive("/order/1");
    fixture.stop();
    fixture.advance(grace);
    CHECK(fixture.answers.at(id).status == 504);
    const auto hasField = [](const LogEntry& entry, const std::string& name, const std::string& value) {
        return std::find(entry.fields.begin(), entry.fields.end(), std::pair(name, value)) != entry.fields.end();
    };
    const auto isLogged = [&](LogEvent event, const std::string& name, const std::string& value) {
        return std::any_of(fixture.log.begin(), fixture.log.end(),
            [&](const LogEntry& entry) { return entry.event == event && hasField(entry, name, value); });
    };
    CHECK(isLogged(LogEvent::GatewayRequestFailed, "request", std::to_string(id.value)));
    CHECK(isLogged(LogEvent::ShutdownForced, "running", "1"));
}

// Guards against a stop that a second signal cuts short or begins anew.
TEST_CASE("A second signal changes nothing at a stopping gateway")
{
    const bool isFinished = GENERATE(false, true);
    StopFixture fixture;
    fixture.measure("/order/1", 20, 400ms);
    const RequestId id = fixture.arrive("/order/1");
    const auto attempts = fixture.takeAttempts();
    fixture.stop();
    fixture.advance(4s);
    if (!isFinished)
        fixture.apply(ShutdownSignal {});
    fixture.advance(2s);
    fixture.apply(AttemptHead { attempts.at(0).id, 200, { { "sealed", "1" } } });
    fixture.apply(AttemptFinished { attempts.at(0).id });
    CHECK(fixture.answers.at(id).status == 200);
    fixture.advance(20ms);
    REQUIRE(fixture.exitAt);
    const MonotonicTime exitAt = *fixture.exitAt;
    if (isFinished)
        fixture.apply(ShutdownSignal {});
    fixture.advance(1s);
    CHECK(*fixture.exitAt == exitAt);
    CHECK(fixture.openRequests == 0);
}

// Guards against answers that are cut although their callers could have read them in the grace time that is left.
TEST_CASE("Callers may read their answers until the grace time of a stop is over")
{
    const bool isRunningAtEnd = GENERATE(false, true);
    StopFixture fixture;
    fixture.measure("/order/1", 40, 300ms);
    if (isRunningAtEnd)
        fixture.arrive("/order/1", 20s);
    fixture.stop();
    fixture.advance(grace);
    REQUIRE(fixture.exitAt);
    const Duration end = *fixture.exitAt + fixture.longestFlush - fixture.stoppedAt;
    CHECK(end > grace - 600ms);
    CHECK(end < grace - 100ms);
}
