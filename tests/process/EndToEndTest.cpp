#include "fleet/KeptConnection.h"
#include "http/RawSockets.h"
#include "process/FleetFixture.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using Json = nlohmann::json;

namespace {

Json parsed(const HttpAnswer& answer)
{
    INFO("status " << answer.status << ", body " << answer.body.substr(0, 300));
    const Json body = Json::parse(answer.body, nullptr, false);
    REQUIRE_FALSE(body.is_discarded());
    return body;
}

std::string errorCode(const HttpAnswer& answer) { return parsed(answer).at("error").at("code").get<std::string>(); }

} // namespace

// Guards against a failure anywhere on the path between caller and engine.
TEST_CASE("A request for a cold model, a streamed one and the model list are answered")
{
    FleetFixture fleet;
    const HttpAnswer cold = send(fleet.completion("notes", "hinge 4"));
    REQUIRE(cold.status == 200);
    CHECK(parsed(cold)["usage"]["completion_tokens"] == 8);
    const HttpAnswer streamed = send(fleet.completion("notes", "hinge 4", true));
    CHECK(streamed.complete);
    CHECK(streamed.headers.at("Content-Type") == "text/event-stream");
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(streamed.body.find("usage") == std::string::npos);
    const HttpAnswer adapter = send(fleet.completion("notes/de", "hinge 4"));
    CHECK(adapter.status == 200);
    HttpCall list { fleet.callerPort(), "GET", "/v1/models",
        { { "Authorization", std::string("Bearer ") + FleetFixture::key } } };
    CHECK(parsed(send(list))["data"].size() == 2);
}

// Guards against repeated loads of a model for a burst of first requests.
TEST_CASE("First requests that arrive together lead to one load")
{
    FleetFixture fleet;
    std::vector<HttpCall> calls;
    for (int i = 0; i < 12; ++i)
        calls.push_back(fleet.completion("notes", "request " + std::to_string(i)));
    for (const HttpAnswer& answer : sendTogether(calls))
        CHECK(answer.status == 200);
    std::size_t loaded = 0;
    for (std::size_t engine = 0; engine < 2; ++engine) {
        const Json report = parsed(send({ fleet.enginePort(engine), "GET", "/v2/repository/report" }));
        loaded += report["models"].size();
    }
    CHECK(loaded == 1);
}

// Guards against untyped errors, and against a process that exits on bad input.
TEST_CASE("Bad requests get a typed error that says the request did not run")
{
    FleetFixture fleet;
    const std::map<std::string, std::string> keyed { { "Authorization", std::string("Bearer ") + FleetFixture::key } };
    struct Case {
        HttpCall call;
        int status;
        const char* code;
    };
    HttpCall negativeDeadline = fleet.completion("notes", "x");
    negativeDeadline.headers["X-Request-Deadline-Ms"] = "-5";
    HttpCall wrongPriority = fleet.completion("notes", "x");
    wrongPriority.headers["X-Request-Priority"] = "high";
    const std::uint16_t port = fleet.callerPort();
    const std::vector<Case> cases {
        { { port, "POST", "/v1/completions", {}, "{}" }, 401, "invalid_api_key" },
        { { port, "POST", "/v1/completions", { { "Authorization", "Bearer nope" } }, "{}" }, 401, "invalid_api_key" },
        { { port, "GET", "/nowhere", keyed }, 404, "unknown_route" },
        { { port, "GET", "/v1/modelsx", keyed }, 404, "unknown_route" },
        { { port, "GET", "/v1/completions", keyed }, 405, "method_not_allowed" },
        { { port, "POST", "/v1/completions", keyed, "{\"model\":" }, 400, "invalid_json" },
        { { port, "POST", "/v1/completions", keyed, std::string(5000, '[') }, 400, "invalid_json" },
        { { port, "POST", "/v1/completions", keyed, std::string(5 << 20, 'x') }, 413, "body_too_large" },
        { fleet.completion("no-such-model", "x"), 404, "model_not_found" },
        { negativeDeadline, 400, "invalid_request" },
        { wrongPriority, 400, "invalid_request" },
    };
    for (const Case& test : cases) {
        const HttpAnswer answer = send(test.call);
        INFO(test.call.method << " " << test.call.target << " " << test.call.body.substr(0, 40));
        CHECK(answer.status == test.status);
        CHECK(errorCode(answer) == test.code);
        CHECK(parsed(answer)["outcome"] == "not_run");
        CHECK_FALSE(parsed(answer)["remedy"].get<std::string>().empty());
    }
    CHECK(send(fleet.completion("notes", "still alive")).status == 200);
}

// Guards against an order that runs twice, and against a retry that gets a different answer.
TEST_CASE("A keyed order runs once whichever way it is repeated")
{
    FleetFixture fleet;
    const std::vector<HttpAnswer> together
        = sendTogether({ fleet.order("grease 4", "order-1"), fleet.order("grease 4", "order-1") });
    int first = 0;
    for (const HttpAnswer& answer : together)
        first += answer.status == 200 ? 1 : 0;
    CHECK(first >= 1);
    const HttpAnswer repeat = send(fleet.order("grease 4", "order-1"));
    CHECK(repeat.status == 200);
    CHECK(repeat.headers.contains("Idempotent-Replayed"));
    CHECK(errorCode(send(fleet.order("grease 5", "order-1"))) == "idempotency_key_reused");
    CHECK(fleet.serviceExecutions().size() == 1);
    CHECK(send(fleet.order("grease 6", "")).status == 200);
    CHECK(fleet.serviceExecutions().size() == 2);
}

// Guards against an order that is reported as not run although it may have run, or that runs without a claim.
TEST_CASE("An order that finds no store is refused and has not run")
{
    FleetFixture fleet;
    fleet.setStoreFaults({ { "down", true } });
    HttpCall call = fleet.order("grease 7", "order-2");
    call.headers["X-Request-Deadline-Ms"] = "3000";
    const HttpAnswer refused = send(call);
    CHECK(refused.status >= 500);
    CHECK(parsed(refused)["outcome"] == "not_run");
    CHECK(fleet.serviceExecutions().empty());
    fleet.setStoreFaults({ { "down", false } });
    CHECK(eventually([&] { return send(fleet.order("grease 7", "order-2")).status == 200; }, std::chrono::seconds(15)));
    CHECK(fleet.serviceExecutions().size() == 1);
}

// Guards against an order whose outcome is reported as known after its endpoint crashed.
TEST_CASE("An order that crashes its endpoint has an unknown outcome and is not sent again")
{
    FleetFixture fleet;
    const HttpAnswer answer = send(fleet.order("emulate-crash", "order-3"));
    CHECK(answer.status == 502);
    CHECK(errorCode(answer) == "outcome_unknown");
    CHECK(parsed(answer)["outcome"] == "unknown");
    const HttpAnswer repeat = send(fleet.order("emulate-crash", "order-3"));
    CHECK(errorCode(repeat) == "earlier_outcome_unknown");
}

// Guards against endpoints that receive the caller's key or headers outside the allow-list.
TEST_CASE("Endpoints see neither the caller's key nor unlisted headers")
{
    FleetFixture fleet;
    HttpCall call { fleet.callerPort(), "GET", "/stock?sku=12&api_key=" + std::string(FleetFixture::key),
        { { "Authorization", std::string("Bearer ") + FleetFixture::key }, { "Cookie", "session=1" },
            { "X-Api-Key", FleetFixture::key }, { "X-Request-Id", "r-1" } } };
    CHECK(send(call).status == 200);
    const Json executions = fleet.serviceExecutions();
    REQUIRE(executions.size() == 1);
    CHECK(executions[0]["query"] == "sku=12");
    CHECK(executions[0]["headers"] == Json { { "x-request-id", "r-1" } });
    CHECK(executions[0]["key_digest"] == "");
    CHECK(fleet.host().output().find(FleetFixture::key) == std::string::npos);
}

// Guards against truncated answers that look complete, and against engine failures that reach the caller.
TEST_CASE("Requests with broken answers are retried, or end in an error")
{
    FleetFixture fleet;
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    const HttpAnswer streamed = send(fleet.completion("notes", "emulate-truncation", true));
    CHECK(streamed.body.find("[DONE]") == std::string::npos);
    CHECK(streamed.body.find("\"endpoint_failed\"") != std::string::npos);
    HttpCall call = fleet.completion("notes", "emulate-truncation");
    call.headers["X-Request-Deadline-Ms"] = "12000";
    const HttpAnswer whole = send(call);
    CHECK(whole.status >= 500);
    CHECK(errorCode(whole) != "");
}

// Guards against a request that waits for a silent engine beyond its deadline.
TEST_CASE("A silent engine is given up at the request's deadline")
{
    FleetFixture fleet;
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    HttpCall call = fleet.completion("notes", "emulate-silence");
    call.headers["X-Request-Deadline-Ms"] = "700";
    const auto start = std::chrono::steady_clock::now();
    const HttpAnswer answer = send(call);
    const auto waited = std::chrono::steady_clock::now() - start;
    CHECK(answer.status == 504);
    CHECK(parsed(answer)["outcome"] == "unknown");
    CHECK(waited < std::chrono::milliseconds(1700));
}

// Guards against running requests that are cut off by a graceful shutdown.
TEST_CASE("SIGTERM lets running requests finish and refuses new ones as not run")
{
    FleetOptions options;
    options.tokenMilliseconds = 100;
    FleetFixture fleet(options);
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    auto running = std::async(std::launch::async, [&] { return send(fleet.completion("notes", "long", true)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    fleet.host().signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(send({ fleet.callerPort(), "GET", "/readyz" }).status == 503);
    const HttpAnswer refused = send(fleet.completion("notes", "too late"));
    CHECK(errorCode(refused) == "shutting_down");
    CHECK(parsed(refused)["outcome"] == "not_run");
    const HttpAnswer finished = running.get();
    CHECK(finished.complete);
    CHECK(finished.body.ends_with("data: [DONE]\n\n"));
    CHECK(fleet.host().waitForExit(std::chrono::seconds(15)) == 0);
}

// Guards against a planned stop that cuts an answer which its caller still reads, with grace time left.
TEST_CASE("SIGTERM leaves a caller on a slow link the time to read its whole answer")
{
    // About 4 MB, which take 10 s on the link.
    constexpr unsigned tokens = 500'000;
    constexpr std::size_t bytesPerSecond = 400'000;
    FleetOptions options;
    options.tokenMilliseconds = 0;
    FleetFixture fleet(options);
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    HttpCall call = fleet.completion("notes", "large");
    call.headers["Host"] = "test.example";
    Json body = Json::parse(call.body);
    body["max_tokens"] = tokens;
    call.body = body.dump();
    auto reading = std::async(std::launch::async,
        [&call] { return KeptConnection(call.port, CloseAnnouncement::Followed, bytesPerSecond).exchange(call); });
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fleet.host().signal(SIGTERM);
    const KeptExchange exchange = reading.get();
    INFO(exchange.answer.body.size() << " bytes");
    REQUIRE(exchange.end == ExchangeEnd::Answered);
    CHECK(exchange.answer.status == 200);
    CHECK(parsed(exchange.answer)["usage"]["completion_tokens"] == tokens);
    CHECK(fleet.host().waitForExit(std::chrono::seconds(5)) == 0);
}

// Guards against callers that keep their connections to a stopping host until it is gone, and lose a request with each.
TEST_CASE("A stopping host announces to its callers that it closes their connections")
{
    FleetOptions options;
    options.tokenMilliseconds = 100;
    FleetFixture fleet(options);
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    auto running = std::async(std::launch::async, [&] { return send(fleet.completion("notes", "long", true)); });
    const auto isRunningOn = [&fleet](std::size_t engine) {
        const HttpAnswer report = send({ fleet.enginePort(engine), "GET", "/v2/repository/report" });
        return parsed(report).at("running").get<int>() > 0;
    };
    REQUIRE(eventually([&] { return isRunningOn(0) || isRunningOn(1); }, std::chrono::seconds(5)));
    EventLoop loop;
    const std::string request = "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string before = exchangeRaw(loop, fleet.callerPort(), request, std::chrono::milliseconds(100));
    CHECK(before.find("Connection: close") == std::string::npos);
    CHECK(before.find("<closed>") == std::string::npos);
    fleet.host().signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::string after = exchangeRaw(loop, fleet.callerPort(), request, std::chrono::milliseconds(500));
    CHECK(after.starts_with("HTTP/1.1 503"));
    CHECK(after.find("Connection: close") != std::string::npos);
    CHECK(after.ends_with("<closed>"));
    CHECK(running.get().complete);
}

TEST_CASE("A second SIGTERM ends the process at once and names the cut requests")
{
    FleetOptions options;
    options.tokenMilliseconds = 500;
    FleetFixture fleet(options);
    auto running = std::async(std::launch::async, [&] { return send(fleet.completion("notes", "long", true)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fleet.host().signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fleet.host().signal(SIGTERM);
    CHECK(fleet.host().waitForExit(std::chrono::seconds(5)) == 1);
    CHECK_FALSE(running.get().complete);
    CHECK(fleet.host().output().find("\"name\":\"shutdown_forced\"") != std::string::npos);
}

// Guards against streams that continue after their key was revoked.
TEST_CASE("A revoked key ends running streams and is refused from then on")
{
    FleetOptions options;
    options.tokenMilliseconds = 1000;
    FleetFixture fleet(options);
    REQUIRE(send(fleet.completion("notes", "warm up")).status == 200);
    auto running = std::async(std::launch::async, [&] { return send(fleet.completion("notes", "long", true)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    HttpCall revoke = fleet.admin("DELETE", "/admin/v1/keys/test");
    revoke.headers["If-Match"] = "1";
    revoke.headers["X-Audit-Reason"] = "key was leaked in a screenshot";
    const HttpAnswer revoked = send(revoke);
    INFO(revoked.body);
    REQUIRE(revoked.status == 200);
    const auto start = std::chrono::steady_clock::now();
    const HttpAnswer stream = running.get();
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
    CHECK(stream.body.find("key_revoked") != std::string::npos);
    CHECK(stream.body.find("[DONE]") == std::string::npos);
    CHECK(send(fleet.completion("notes", "again")).status == 401);
}

// Guards against requests to a data centre that operators evacuate, and against one that stays out of use afterwards.
TEST_CASE("An evacuated data centre gets no requests until it is restored")
{
    FleetFixture fleet;
    REQUIRE(send(fleet.order("grease 4", "")).status == 200);
    const auto change = [&](const std::string& method, const Json& body, const char* version) {
        HttpCall call = fleet.admin(method, "/admin/v1/evacuations/dc1", body);
        call.headers["If-Match"] = version;
        call.headers["X-Audit-Reason"] = "cooling works tonight";
        const HttpAnswer answer = send(call);
        INFO(answer.body);
        CHECK(answer.status == 200);
    };
    const auto isServed = [&] { return send(fleet.order("grease 5", "")).status == 200; };
    change("PUT", { { "reason", "cooling works tonight" } }, "1");
    REQUIRE(eventually([&] { return !isServed(); }, std::chrono::seconds(3)));
    const std::size_t before = fleet.serviceExecutions().size();
    CHECK(send(fleet.order("grease 6", "")).status == 503);
    CHECK(fleet.serviceExecutions().size() == before);
    const Json status = parsed(send(fleet.admin("GET", "/admin/v1/status/membership")));
    CHECK(status["status"]["evacuated_data_centres"] == Json { "dc1" });
    CHECK(fleet.host().output().find("\"name\":\"evacuation_changed\"") != std::string::npos);
    change("DELETE", {}, "2");
    CHECK(eventually(isServed, std::chrono::seconds(3)));
}
