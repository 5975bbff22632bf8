#include "platform/PlatformProtocol.h"

#include "http/HeaderText.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>

using namespace Catkinwell;

namespace {

const char* const configurationText = R"({"version":7,
 "routes":[{"name":"r","host":"h","prefix":"/p/","route_type":"streaming","timeout_ms":30000,
   "target_latency_ms":4000,"priority":1,"max_attempts":2,"public":false,"resumable":true,"gap_aim_ms":300,
   "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
  {"name":"q","host":"h","prefix":"/q/","route_type":"safe","service":"t"}],
 "services":[{"name":"s","health_path":"/health","engine":{"slots":64,"weights_mb":220000.0,"adapter_slots":8,
   "loads_per_s":2.8,"models":[{"name":"m","weights_mb":72700.0,"load_time_s":6.9,"adapter_mb":66.0,"warm_s":0.81,
   "disk_s":1.7}]}},{"name":"t"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1,"unit":"token_count","plain_tokens":200,
   "rate_per_s":35953,"burst":35953}]})";

struct RecordCase {
    const char* what;
    const char* text;
    bool isUsable;
};

} // namespace

TEST_CASE("The operators' configuration is parsed")
{
    const auto result = PlatformProtocol().readConfiguration(configurationText);
    REQUIRE_FALSE(isError(result));
    const GatewayConfiguration& configuration = valueOf(result);
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    const Route& route = configuration.routes[0];
    CHECK(route.isStream);
    CHECK(route.isResumable);
    CHECK(route.maximumAttempts == 2);
    CHECK(route.timeout == std::chrono::seconds(30));
    CHECK(route.targets.size() == 2);
    CHECK(configuration.routes[1].isIdempotent);
    REQUIRE(configuration.engineOf("s"));
    CHECK(configuration.engineOf("s")->models.at(ModelId("m")).loadFromDisk == std::chrono::milliseconds(1700));
    CHECK_FALSE(configuration.engineOf("t"));
    CHECK(configuration.accountOfKeyDigest.at(sha256Hex("k2")) == AccountId("a"));
    CHECK(configuration.accounts.at(AccountId("a")).plainUnits == 200);
    CHECK(configuration.limits.idleTimeout == std::chrono::seconds(15));
}

TEST_CASE("An invalid configuration is rejected with a typed error")
{
    const auto text = GENERATE(values<std::string>({ "", "[]", "{}", R"({"version":"7"})", R"({"version":-1})" }));
    const auto result = PlatformProtocol().readConfiguration(text);
    REQUIRE(isError(result));
    CHECK(errorOf(result).kind == ErrorKind::InvalidConfiguration);
}

// Guards against requests that are sent to the address of an incomplete or foreign record.
TEST_CASE("Only a complete record is accepted as an endpoint")
{
    const auto test = GENERATE(values<RecordCase>({
        { "a record",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":64,"born":9,"sequence":4})",
            true },
        { "a leaving endpoint",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"draining","slots":64,"remaining_ms":900})",
            true },
        { "no address", R"({"service":"s","zone":"z","state":"ready","slots":64})", false },
        { "an address of another type", R"({"service":"s","address":7,"zone":"z","state":"ready","slots":6})", false },
        { "an unknown state", R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"resting","slots":6})",
            false },
        { "no slots", R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready"})", false },
        { "not JSON", "\x01\x02", false },
        { "a port out of range", R"({"service":"s","address":"1.2.3.4:65536","zone":"z","state":"ready","slots":6})",
            false },
        { "port 0", R"({"service":"s","address":"1.2.3.4:0","zone":"z","state":"ready","slots":6})", false },
        { "a host name", R"({"service":"s","address":"localhost:5","zone":"z","state":"ready","slots":6})", false },
        { "a number too large", R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":6e999})",
            false },
        { "invalid UTF-8",
            "{\"service\":\"\xff\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":\"ready\",\"slots\":6}", false },
        { "a field twice, and unknown ones",
            R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":64,"slots":6,"x":[{}],"y":1e20})",
            true },
        { "a list", "[1,2]", false },
    }));
    const auto result = PlatformProtocol().readEndpoint("servers/i-1", test.text);
    INFO(test.what);
    CHECK_FALSE(isError(result) == test.isUsable);
    if (!isError(result))
        CHECK(valueOf(result).id == EndpointId("i-1"));
}

// Guards against a record that ends every host that reads it: serializing and copying recurse for each level.
TEST_CASE("A record that is nested deeply is not accepted")
{
    const auto field = GENERATE(values<std::string>({ "version", "models", "at_hand", "born", "other" }));
    constexpr std::size_t levels = 100'000;
    const std::string record = R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":6,")" + field
        + "\":" + std::string(levels, '[') + std::string(levels, ']') + "}";
    INFO(field);
    CHECK(isError(PlatformProtocol().readEndpoint("servers/i-1", record)));
    CHECK(isError(PlatformProtocol().readConfiguration(R"({"version":7,"routes":)" + record + "}")));
}

TEST_CASE("A key without a printable identifier names no endpoint")
{
    const auto key = GENERATE(values<std::string>({ "servers/", "servers/i 1", "servers/i\r\nX: 1", "servers/\x01" }));
    const char* const record = R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":6})";
    CHECK(isError(PlatformProtocol().readEndpoint(key, record)));
}

namespace {

struct NoticeCase {
    int status;
    HeaderList headers;
    bool expectedLeaving;
    std::optional<std::int64_t> expectedPauseMs;
};

} // namespace

// Guards against statements of endpoints that are not obeyed, and texts that pass for one.
TEST_CASE("What an endpoint states of itself is read from its answers")
{
    const auto test = GENERATE(values<NoticeCase>({
        { 200, {}, false, {} },
        { 200, { { "server-leaving", "1" } }, true, {} },
        { 503, { { "Server-Leaving", " 1 " }, { "Retry-After", "2" } }, true, 2000 },
        { 200, { { "Server-Leaving", "0" } }, false, {} },
        { 200, { { "Server-Leaving", "" } }, false, {} },
        { 503, { { "Retry-After", "0.25" } }, false, 250 },
        { 503, { { "Retry-After", "0" } }, false, 0 },
        { 503, { { "Retry-After", "-1" } }, false, {} },
        { 503, { { "Retry-After", "nan" } }, false, {} },
        { 503, { { "Retry-After", "inf" } }, false, {} },
        { 503, { { "Retry-After", "1e99" } }, false, {} },
        { 503, { { "Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT" } }, false, {} },
        { 503, { { "Retry-After", "" } }, false, {} },
        { 503, { { "Retry-After", "1" }, { "retry-after", "3" } }, false, 3000 },
        { 503, { { "Retry-After", "x" }, { "Retry-After", "3" } }, false, 3000 },
        { 429, { { "Retry-After", "1" } }, false, {} },
        { 200, { { "Retry-After", "1" } }, false, {} },
    }));
    const EndpointNotice notice = PlatformProtocol().termsOf(test.status, test.headers).notice;
    INFO(test.status << ' ' << (test.headers.empty() ? "" : test.headers.back().second));
    CHECK(notice.isLeaving == test.expectedLeaving);
    CHECK(notice.pause.has_value() == test.expectedPauseMs.has_value());
    if (notice.pause && test.expectedPauseMs)
        CHECK(millisecondsOf(*notice.pause) == *test.expectedPauseMs);
}

// Guards against callers that set headers reserved for the platform.
TEST_CASE("An attempt carries the caller's headers and those that the gateway sets")
{
    const HeaderList sent { { "Host", "h" }, { "Catkinwell-Request-Id", "id" }, { "X-Own", "1" },
        { "Catkinwell-Tenant", "other" }, { "Catkinwell-Hold", "1" }, { "catkinwell-pin-ms", "1" },
        { "Catkinwell-Kv-Backup", "1.2.3.4:5" }, { "Kv-From", "x" }, { "Kv-Fetch", "x" },
        { "Catkinwell-Expect-Instance", "wrong" }, { "Catkinwell-Deadline-Ms", "99999" },
        { "Catkinwell-Request-Priority", "0" }, { "Last-Event-Id", "3" } };
    AttemptTerms terms;
    terms.timeLeft = std::chrono::milliseconds(1500);
    terms.endpoint = EndpointId("i-1");
    terms.account = AccountId("mine");
    terms.priority = 12;
    terms.lastEventId = "8";
    const HeaderList headers = PlatformProtocol().attemptHeaders(sent, terms);
    const auto count = [&headers](std::string_view name) {
        return std::count_if(headers.begin(), headers.end(),
            [name](const auto& header) { return equalIgnoringCase(header.first, name); });
    };
    CHECK(*findHeader(headers, "X-Own") == "1");
    CHECK(*findHeader(headers, "Catkinwell-Request-Id") == "id");
    CHECK(*findHeader(headers, "Catkinwell-Tenant") == "mine");
    CHECK(*findHeader(headers, "Catkinwell-Expect-Instance") == "i-1");
    CHECK(*findHeader(headers, "Catkinwell-Deadline-Ms") == "1500");
    CHECK(*findHeader(headers, "Catkinwell-Request-Priority") == "9");
    CHECK(*findHeader(headers, "Last-Event-Id") == "8");
    for (const char* name : { "Catkinwell-Tenant", "Catkinwell-Expect-Instance", "Catkinwell-Deadline-Ms",
             "Catkinwell-Request-Priority", "Last-Event-Id" })
        CHECK(count(name) == 1);
    for (const char* name : { "Catkinwell-Hold", "Catkinwell-Pin-Ms", "Catkinwell-Kv-Backup", "Kv-From", "Kv-Fetch" })
        CHECK(count(name) == 0);
}

TEST_CASE("The terms of a request are parsed from its headers")
{
    RequestArrived request;
    request.headers
        = { { "Catkinwell-Request-Id", "id" }, { "Catkinwell-Deadline-Ms", "2500" }, { "Catkinwell-Model", "m/a3" },
              { "Catkinwell-Token-Usage", "1460,80" }, { "Catkinwell-Prompt-Prefix", "5c1e:800, 91bd:410" } };
    const RequestTerms terms = PlatformProtocol().termsOf(request);
    CHECK(terms.callerRequestId == "id");
    CHECK(terms.timeLeft == Duration(std::chrono::milliseconds(2500)));
    CHECK(terms.variant.text() == "m/a3");
    CHECK(terms.tokens == 1540);
    CHECK(terms.promptParts == std::vector<std::string> { "5c1e", "91bd" });
}

namespace {

struct StatementCase {
    const char* name;
    const char* value;
    std::optional<double> expectedRequests;
    std::optional<double> expectedRejections;
};

} // namespace

// Guards against limits of endpoints that are not read, or that are read from a damaged header.
TEST_CASE("What an endpoint states about the requests that it accepts is read from its answer")
{
    const auto test = GENERATE(values<StatementCase>({
        { "Server-Limit", "12.5", 12.5, std::nullopt },
        { "Server-Brittle", "3", std::nullopt, 3.0 },
        { "server-brittle", " 0 ", std::nullopt, 0.0 },
        { "Server-Brittle", "many", std::nullopt, std::nullopt },
        { "Server-Brittle", "-1", std::nullopt, std::nullopt },
        { "Server", "3", std::nullopt, std::nullopt },
    }));
    INFO(test.name << ": " << test.value);
    const AnswerTerms terms = PlatformProtocol().termsOf(503, { { test.name, test.value } });
    CHECK(terms.requestsPerSecond == test.expectedRequests);
    CHECK(terms.rejectionsPerSecond == test.expectedRejections);
}

// Guards against evacuations that are overlooked, and other keys of the operators that pass for one.
TEST_CASE("Only a key of an evacuation names an evacuated data centre")
{
    struct Case {
        const char* key;
        std::optional<DataCentreId> expected;
    };
    const Case test = GENERATE(values<Case>({
        { "op/evacuate/zone-a", DataCentreId("zone-a") },
        { "op/evacuate/a/b", DataCentreId("a/b") },
        { "op/evacuate/", std::nullopt },
        { "op/evacuate", std::nullopt },
        { "op/config", std::nullopt },
        { "servers/op/evacuate/a", std::nullopt },
    }));
    const PlatformProtocol protocol;
    CHECK(protocol.evacuatedDataCentre(test.key) == test.expected);
    CHECK(std::string("op/evacuate/a").starts_with(protocol.operatorPrefix()));
    CHECK(protocol.configurationKey().starts_with(protocol.operatorPrefix()));
}

namespace {

// A cold time as text, and what is read from it in milliseconds; absent for an invalid one.
struct ColdCase {
    const char* text;
    std::optional<std::int64_t> expectedMs;
};

} // namespace

// Guards against a damaged cold time that passes for a valid one, in records, answers and the configuration.
TEST_CASE("Cold times are read, and invalid ones are told apart")
{
    const auto test = GENERATE(values<ColdCase>({ { "0", 0 }, { "2500", 2500 }, { "3600000", 3'600'000 }, { "-1", {} },
        { "1e99", {} }, { "99999999999", {} }, { "\"soon\"", {} }, { "[]", {} }, { "nan", {} } }));
    INFO(test.text);
    const std::string text = test.text;
    const PlatformProtocol protocol;
    const EndpointNotice notice = protocol.termsOf(200, { { "Catkinwell-Cold-Ms", text } }).notice;
    CHECK(notice.isColdTimeInvalid == !test.expectedMs);
    CHECK(notice.coldRemaining.has_value() == test.expectedMs.has_value());
    CHECK_FALSE(protocol.termsOf(421, { { "Catkinwell-Cold-Ms", text } }).notice.coldRemaining);
    if (text == "nan")
        return;
    const auto record = protocol.readEndpoint("servers/i-1",
        R"({"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","slots":1,"cold_remaining_ms":)" + text
            + "}");
    REQUIRE_FALSE(isError(record));
    CHECK(valueOf(record).isColdTimeInvalid == !test.expectedMs);
    if (test.expectedMs)
        CHECK(millisecondsOf(valueOf(record).coldRemaining.value()) == *test.expectedMs);
    const auto configuration = protocol.readConfiguration(
        R"({"version":1,"services":[{"name":"s","cold_per_s":11,"cold_start_s":)" + text + "}]}");
    REQUIRE_FALSE(isError(configuration));
    const GatewayService& service = valueOf(configuration).services.at("s");
    // The configuration states seconds, of which 2500 are the most among the valid values.
    CHECK(service.isColdInvalid == (!test.expectedMs || *test.expectedMs > 2500));
    CHECK(service.coldRequestsPerSecond == (service.isColdInvalid ? 0 : 11));
}
