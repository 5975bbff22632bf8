#include <admin/AdminFixture.h>
#include <catkinwell/core/RandomGenerator.h>

using namespace Catkinwell;
using namespace std::chrono_literals;
using trompeloeil::_;
using Json = nlohmann::json;
using Catch::Matchers::Contains;

// Guards against requests that are allowed more than the token's roles, and against error answers
// that do not name the fault.
TEST_CASE_METHOD(AdminFixture, "AdminApi answers requests by role, path and content")
{
    struct Case {
        const char* token;
        const char* method;
        const char* path;
        const char* body;
        int status;
        const char* text;
    };
    const Case one = GENERATE(values<Case>({
        { "", "GET", "/healthz", "", 200, "ok" },
        { "", "GET", "/readyz", "", 200, "ready" },
        { "", "POST", "/readyz", "", 405, "method_not_allowed" },
        { "", "GET", "/metrics", "", 401, "unauthorized" },
        { "wrong", "GET", "/admin/v1/keys", "", 401, "unauthorized" },
        { "read", "GET", "/metrics", "", 200, "# TYPE catkinwell_requests_total counter" },
        { "read", "POST", "/metrics", "", 405, "use GET" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3?dryrun=true", "{\"rate_tokens_per_second\":5}", 400, "dry_run" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3?dry_run", "{\"rate_tokens_per_second\":5}", 400, "name=value" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3?dry_run=true&dry_run=false", "{\"rate_tokens_per_second\":5}",
            400, "once" },
        { "read", "GET", "/elsewhere", "", 404, "not_found" },
        { "read", "GET", "/admin/v1/configuration", "", 200, "\"version\":17" },
        { "read", "GET", "/admin/v1/configuration?view=other", "", 400, "view" },
        { "read", "GET", "/admin/v1/accounts", "", 200,
            "\"items\":[{\"burst_tokens\":10000,\"id\":\"quay-3\",\"rate_tokens_per_second\":1000,\"weight\":1}]" },
        { "read", "GET", "/admin/v1/accounts/quay-3", "", 200, "\"item\":{\"burst_tokens\":10000,\"id\":\"quay-3\"" },
        { "read", "GET", "/admin/v1/accounts/none", "", 404, "GET /admin/v1/accounts" },
        { "read", "GET", "/admin/v1/accounts/%ff", "", 400, "printable" },
        { "read", "GET", "/admin/v1/adapters", "", 200, "\"items\":[{\"base_model\":\"notes-7b\"," },
        { "read", "GET", "/admin/v1/keys/old-key", "", 200, "\"label\":\"old-key\"" },
        { "read", "GET", "/admin/v1/quarantine", "", 200, "\"fingerprint\":\"beef\"" },
        { "read", "GET", "/admin/v1/status/nothing", "", 404, "membership" },
        { "read", "GET", "/admin/v1/explain/99", "", 404, "journal" },
        { "read", "GET", "/admin/v1/report", "", 200, "\"since\":\"2019-12-20T00:00:00Z\"" },
        { "read", "PATCH", "/admin/v1/accounts/quay-3", "", 405, "GET, PUT, DELETE" },
        { "read", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":5}", 403, "operate" },
        { "grant", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":5}", 403, "operate" },
        { "operate", "POST", "/admin/v1/keys", "{}", 403, "grant_keys" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":5,\"hue\":1}", 400,
            "unknown field \\\"hue\\\"" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":\"x\"}", 400,
            "invalid_configuration" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "{\"id\":\"other\",\"rate_tokens_per_second\":5}", 400,
            "differs" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "[", 400, "not valid JSON" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "", 400, "JSON object" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":5,\"expected_version\":16}", 400,
            "version" },
        { "operate", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":1000}", 200,
            "\"changed\":false" },
        { "operate", "DELETE", "/admin/v1/accounts/quay-3", "", 400, "expected the id of an account" },
        { "operate", "PUT", "/admin/v1/adapters/tone", "{}", 400, "base_model" },
        { "operate", "PUT", "/admin/v1/exceptions/account/quay-3/rate_tokens_per_second", "{\"value\":1}", 400,
            "written reason" },
        { "operate", "PUT", "/admin/v1/exceptions/rate_tokens_per_second",
            "{\"value\":1,\"reason\":\"traffic peak in December\"}", 400, "scope" },
        { "operate", "PUT", "/admin/v1/exceptions/account/quay-3/rate_tokens_per_second",
            "{\"value\":1,\"reason\":\"x\",\"expires\":\"1999-01-01T00:00:00Z\"}", 400, "future" },
        { "operate", "PUT", "/admin/v1/configuration",
            "{\"defaults\":{},\"accounts\":[],\"keys\":[],\"models\":[],\"endpoints\":[],\"routes\":[],"
            "\"exceptions\":[]}",
            403, "grant_keys" },
        { "operate", "PUT", "/admin/v1/drains/none", "", 404, "drains" },
        { "operate", "DELETE", "/admin/v1/quarantine/beef", "", 200, "released" },
        { "operate", "DELETE", "/admin/v1/quarantine/xyz", "", 404, "not_found" },
        { "grant", "POST", "/admin/v1/keys", "{\"account\":\"none\",\"label\":\"a\"}", 404, "account" },
        { "grant", "POST", "/admin/v1/keys", "{\"account\":\"quay-3\",\"label\":\"old-key\"}", 409, "label" },
        { "grant", "POST", "/admin/v1/keys", "{\"account\":\"quay-3\",\"label\":\"a\",\"key\":\"b\"}", 400, "key" },
        { "grant", "DELETE", "/admin/v1/keys/0123", "", 404, "8 digits" },
        { "grant", "POST", "/admin/v1/revocations", "{\"key\":\"no such\"}", 404, "8 digits" },
        { "grant", "POST", "/admin/v1/revocations", "{}", 400, "key" },
    }));
    INFO(one.token << " " << one.method << " " << one.path << " " << one.body);
    const auto answer = change(one.token, one.method, one.path, one.body);
    CHECK(answer.status == one.status);
    CHECK_THAT(answer.body, Contains(one.text));
    if (answer.status >= 400) {
        const Json json = Json::parse(answer.body);
        CHECK(json["error"].size() == 4);
        CHECK(!json["remedy"].get<std::string>().empty());
    }
}

// Guards against changes without a version or a reason, and against one operator overwriting another's change.
TEST_CASE_METHOD(AdminFixture, "a change needs a reason and the current version")
{
    const char* path = "/admin/v1/accounts/quay-3";
    const char* body = "{\"rate_tokens_per_second\":5}";
    CHECK(send(request("operate", "PUT", path, body, { { "If-Match", "17" } })).status == 400);
    CHECK(send(request("operate", "PUT", path, body, { { "X-Audit-Reason", "a" } })).status == 428);
    for (const char* version : { "16", "18" }) {
        const auto answer = change("operate", "PUT", path, body, "", version);
        CHECK(answer.status == 409);
        CHECK(Json::parse(answer.body)["current_version"] == 17);
    }
    CHECK(change("operate", "PUT", path, body, "", "*").status == 400);
}

// Guards against an answer before the store has confirmed the change, a wrong version in the answer, and a missing
// audit entry.
TEST_CASE_METHOD(AdminFixture, "an accepted change is answered after its result and audited")
{
    std::uint64_t ticket = 0;
    REQUIRE_CALL(access, propose(_, 17U, _, _, _, _))
        .WITH(_3.accounts.at(AccountId("quay-3")).rate == 5)
        .LR_SIDE_EFFECT(ticket = _1);
    CHECK(send(request("operate", "PUT", "/admin/v1/accounts/quay-3",
                   "{\"rate_tokens_per_second\":5,\"expected_version\":17,\"reason\":\"less traffic\"}"))
              .status
        == 0);
    CHECK(poll().status == 0);
    CHECK(api.pendingChanges() == 1);
    results.push_back({ ticket, ConfigurationVersion(18) });
    const auto answer = poll();
    CHECK(answer.status == 200);
    const Json json = Json::parse(answer.body);
    CHECK(json["version"] == 18);
    CHECK(json["changes"] == Json::parse(R"([{"path":"/accounts/0/rate_tokens_per_second","old":1000,"new":5}])"));
    REQUIRE(api.audit().entries().size() == 1);
    const AuditEntry& entry = api.audit().entries().front();
    CHECK(entry.who == "operator");
    CHECK(entry.action == "PUT accounts/quay-3");
    CHECK(entry.reason == "less traffic");
    CHECK(entry.version == 18);
    CHECK(entry.paths == std::vector<std::string> { "/accounts/0/rate_tokens_per_second" });
    CHECK_THAT(send(request("read", "GET", "/admin/v1/audit")).body, Contains("less traffic"));
}

// Guards against a dry run that changes something or generates a key.
TEST_CASE_METHOD(AdminFixture, "a dry run shows the change and makes none")
{
    FORBID_CALL(access, propose(_, _, _, _, _, _));
    FORBID_CALL(access, revokeKeyLocally(_, _, _));
    FORBID_CALL(drains, setDraining(_, _, _, _, _));
    struct Case {
        const char* token;
        const char* method;
        const char* path;
        const char* body;
        const char* changed;
    };
    const Case one = GENERATE(values<Case>({
        { "operate", "PUT", "/admin/v1/accounts/new", "{\"rate_tokens_per_second\":5}", "/accounts/0" },
        { "operate", "PUT", "/admin/v1/defaults", "{\"monthly_accelerator_hours\":9}", "/defaults/monthly" },
        { "operate", "DELETE", "/admin/v1/models/style", "", "/models/1" },
        { "operate", "PUT", "/admin/v1/routes/%2Fpad", "{\"pool\":\"pad\"}", "/routes/0" },
        { "operate", "PUT", "/admin/v1/exceptions/account/quay-3/rate_tokens_per_second",
            "{\"value\":1,\"reason\":\"traffic peak in December\"}", "/exceptions/0" },
        { "operate", "PUT", "/admin/v1/drains/engine-1", "", "/drains/engine-1" },
        { "operate", "DELETE", "/admin/v1/quarantine/beef", "", "/quarantine/beef" },
        { "grant", "POST", "/admin/v1/keys", "{\"account\":\"quay-3\",\"label\":\"a\"}", "/keys/" },
        { "grant", "DELETE", "/admin/v1/keys/old-key", "", "/keys/0" },
        { "grant", "POST", "/admin/v1/revocations", "{\"key\":\"old-key\"}", "/keys/" },
    }));
    const auto answer = change(one.token, one.method, std::string(one.path) + "?dry_run=true", one.body);
    INFO(one.path << " " << answer.body);
    CHECK(answer.status == 200);
    const Json json = Json::parse(answer.body);
    CHECK(json["dry_run"] == true);
    REQUIRE(json["changes"].size() == 1);
    CHECK_THAT(json["changes"][0]["path"].get<std::string>(), Catch::StartsWith(one.changed));
    CHECK(!json.contains("key"));
    CHECK(host.secrets == 0);
    CHECK(host.entries.size() == 1);
    CHECK(api.audit().entries().empty());
}

// Guards against a change that is made twice or reported as failed because its answer was lost.
TEST_CASE_METHOD(AdminFixture, "a repeat with the same change identifier is answered like the first")
{
    const char* path = "/admin/v1/accounts/quay-3";
    std::uint64_t ticket = 0;
    ALLOW_CALL(access, propose(_, 17U, _, "change-1", _, _)).LR_SIDE_EFFECT(ticket = _1);
    CHECK(change("operate", "PUT", path, "{\"rate_tokens_per_second\":5}", "change-1").status == 0);
    CHECK_THAT(
        change("operate", "PUT", path, "{\"rate_tokens_per_second\":5}", "change-1").body, Contains("in_progress"));
    SECTION("after the result")
    {
        results.push_back({ ticket, ConfigurationVersion(18) });
        poll();
        configuration.version = 18;
        const auto repeat = change("operate", "PUT", path, "{\"rate_tokens_per_second\":5}", "change-1");
        CHECK(repeat.status == 200);
        CHECK(Json::parse(repeat.body)["version"] == 18);
        CHECK_THAT(change("operate", "PUT", path, "{\"rate_tokens_per_second\":6}", "change-1").body,
            Contains("change_id_reused"));
    }
    SECTION("after the time is over, on a host that knows the change by now")
    {
        clock.advance(20s);
        const auto unknown = poll();
        CHECK(unknown.status == 504);
        CHECK_THAT(unknown.body, Contains("X-Change-Id: change-1"));
        CHECK(api.audit().entries().back().outcome == AuditOutcome::Unknown);
        const std::uint64_t first = ticket;
        configuration.version = 18;
        // The change identifier takes precedence over the version; the configuration module finds the change in the
        // head.
        CHECK(change("operate", "PUT", path, "{\"rate_tokens_per_second\":5}", "change-1").status == 0);
        CHECK(ticket != first);
        results.push_back({ first, ConfigurationVersion(18) });
        results.push_back({ ticket, ConfigurationVersion(18) });
        CHECK(poll().status == 200);
    }
}

// Guards against an outcome that is reported as a different one.
TEST_CASE_METHOD(AdminFixture, "a change that fails says whether something changed")
{
    auto [kind, expected, text] = GENERATE(table<ErrorKind, int, const char*>({
        { ErrorKind::Conflict, 409, "current_version" },
        { ErrorKind::Unavailable, 503, "nothing was changed" },
        { ErrorKind::Timeout, 504, "may have taken effect" },
        { ErrorKind::InvalidConfiguration, 400, "nothing was changed" },
    }));
    std::uint64_t ticket = 0;
    ALLOW_CALL(access, propose(_, _, _, _, _, _)).LR_SIDE_EFFECT(ticket = _1);
    change("operate", "PUT", "/admin/v1/accounts/quay-3", "{\"rate_tokens_per_second\":5}");
    results.push_back({ ticket, Error { kind, "version 18" } });
    const auto answer = poll();
    CHECK(answer.status == expected);
    CHECK_THAT(answer.body, Contains(text));
}

// Guards against a key that is stored in plain text, logged or returned twice.
TEST_CASE_METHOD(AdminFixture, "a granted key is returned once and only its digest is kept")
{
    std::uint64_t ticket = 0;
    FleetConfiguration proposed;
    EffectList effects;
    ALLOW_CALL(access, propose(_, _, _, _, _, _)).LR_SIDE_EFFECT(ticket = _1; proposed = _3);
    change("grant", "POST", "/admin/v1/keys", "{\"account\":\"quay-3\",\"label\":\"till\"}");
    results.push_back({ ticket, ConfigurationVersion(18) });
    api.poll(clock.monotonicNow(), effects);
    const std::string key = Json::parse(answerIn(effects).body)["key"];
    CHECK(key == "cw_" + std::string(64, 'a'));
    CHECK(proposed.keys.contains(sha256Hex(key)));
    CHECK_THAT(fleetConfigurationToJson(proposed), !Contains(key));
    for (const Effect& effect : effects) {
        if (const auto* entry = std::get_if<LogEntry>(&effect)) {
            for (const auto& [name, value] : entry->fields)
                CHECK_THAT(value, !Contains(key));
        }
    }
    CHECK_THAT(send(request("read", "GET", "/admin/v1/audit")).body, !Contains(key));
    CHECK(change("grant", "POST", "/admin/v1/keys", "{\"account\":\"quay-3\",\"label\":\"b\"}", "id-1").status == 400);
}

// Guards against a revocation that waits for the store or works only for keys that this host knows.
TEST_CASE_METHOD(AdminFixture, "a key is revoked locally by label or whole digest")
{
    const std::string digest = sha256Hex("unknown here");
    REQUIRE_CALL(access, revokeKeyLocally(sha256Hex("old"), _, _));
    REQUIRE_CALL(access, revokeKeyLocally(digest, _, _));
    CHECK(change("grant", "POST", "/admin/v1/revocations", "{\"key\":\"old-key\"}").status == 200);
    CHECK(change("grant", "POST", "/admin/v1/revocations", "{\"key\":\"" + digest + "\"}").status == 200);
    REQUIRE_CALL(drains, setDraining(EndpointId("engine-1"), true, "a test", _, _)).RETURN(Status());
    CHECK(change("operate", "PUT", "/admin/v1/drains/engine-1").status == 200);
    CHECK(api.audit().entries().size() == 3);
    // A refused change must not displace an accepted one from the list.
    CHECK(change("read", "PUT", "/admin/v1/drains/engine-1").status == 403);
    CHECK(api.audit().entries().size() == 3);
}

// Guards against token guessing that fills the log, and against an attacker who locks operators out.
TEST_CASE_METHOD(AdminFixture, "authentication failures are limited for each window")
{
    for (int i = 0; i < 3; ++i)
        CHECK(send(request("wrong", "GET", "/admin/v1/keys")).status == 401);
    EffectList effects;
    api.handle({ request("", "GET", "/admin/v1/keys") }, clock.monotonicNow(), clock.wallNow(), effects);
    CHECK(answerIn(effects).status == 429);
    CHECK(std::none_of(
        effects.begin(), effects.end(), [](const Effect& effect) { return std::holds_alternative<LogEntry>(effect); }));
    CHECK(send(request("read", "GET", "/admin/v1/keys")).status == 200);
    clock.advance(61s);
    CHECK(send(request("wrong", "GET", "/admin/v1/keys")).status == 401);
}

// Guards against explanations with missing entries, and against unbounded growth of the journal.
TEST_CASE_METHOD(AdminFixture, "decisions are explained from the bounded journal")
{
    const auto now = clock.monotonicNow();
    journal.add({ LogEvent::EndpointChosen, { { "request", "7" }, { "model", "notes-7b" } } }, now);
    journal.add({ LogEvent::RequestFinished, { { "request", "7" } } }, now);
    CHECK(Json::parse(send(request("read", "GET", "/admin/v1/explain/7")).body)["entries"].size() == 2);
    const Json model = Json::parse(send(request("read", "GET", "/admin/v1/explain/model/notes-7b")).body);
    CHECK(model["entries"][0]["name"] == "endpoint_chosen");
    DecisionJournal small(10, 2000);
    for (int i = 0; i < 100; ++i)
        small.add({ LogEvent::RequestFinished, { { "request", std::to_string(i) } } }, now);
    CHECK(small.entries() == 10);
    CHECK(small.entriesOfRequest("89").empty());
    CHECK(small.entriesOfRequest("90").size() == 1);
    small.add({ LogEvent::RequestFinished, { { "text", std::string(1500, 'x') } } }, now);
    CHECK(small.bytes() <= 2000);
    small.add({ LogEvent::RequestFinished, { { "text", std::string(3000, 'x') } } }, now);
    CHECK(small.bytes() <= 2000);
    CHECK(small.entries() + small.dropped() == 102);
}

// Guards against a status section that is not valid JSON, and a failed readiness check that gives no reason.
TEST_CASE_METHOD(AdminFixture, "status and readiness come from their sources")
{
    ALLOW_CALL(status, statusJson("shares", _)).RETURN("{\"quay-3\":{\"ppm\":250000}}");
    ALLOW_CALL(status, statusJson("store", _)).RETURN("broken");
    CHECK_THAT(send(request("read", "GET", "/admin/v1/status/shares")).body, Contains("250000"));
    CHECK(send(request("read", "GET", "/admin/v1/status/store")).status == 500);
    host.notReady = "no configuration";
    const auto answer = send(request("", "GET", "/readyz"));
    CHECK(answer.status == 503);
    CHECK_THAT(answer.body, Contains("no configuration"));
}

// Guards against input that crashes the host or leaves a request without an answer.
TEST_CASE_METHOD(AdminFixture, "mutated requests are answered once and change nothing by themselves")
{
    const std::uint64_t seed = GENERATE(11, 12, 13);
    RandomGenerator random(seed);
    int proposals = 0;
    ALLOW_CALL(access, propose(_, _, _, _, _, _)).LR_SIDE_EFFECT(++proposals);
    ALLOW_CALL(access, revokeKeyLocally(_, _, _));
    ALLOW_CALL(access, effective()).LR_RETURN(std::ref(configuration));
    ALLOW_CALL(status, statusJson(_, _)).RETURN("{}");
    ALLOW_CALL(drains, setDraining(_, _, _, _, _)).RETURN(Status());
    struct Valid {
        std::string method;
        std::string path;
        std::string body;
    };
    const std::vector<Valid> requests { { "GET", "configuration?view=effective", "" },
        { "PUT", "accounts/quay-3", "{\"rate_tokens_per_second\":5}" }, { "DELETE", "models/style", "" },
        { "PUT", "exceptions/account/quay-3/rate_tokens_per_second", "{\"value\":[[{}]],\"reason\":\"x\"}" },
        { "POST", "keys", "{\"account\":\"quay-3\",\"label\":\"till\"}" }, { "DELETE", "keys/old-key", "" },
        { "POST", "revocations", "{\"key\":\"old-key\"}" }, { "PUT", "drains/engine-1?dry_run=true", "" },
        { "GET", "explain/model/notes-7b", "" }, { "GET", "status/shares", "" } };
    const std::vector<std::string> inserts { "/", "%ff", "%00", "?", "&a=b", "{", "]", "\"", "\xff\xfe", "1e999",
        "null", std::string(5000, '['), "\n", "-1" };
    const auto mutate = [&](std::string& text) {
        const std::size_t at = random.below(text.size() + 1);
        if (random.below(2) == 0)
            text.insert(at, inserts[random.below(inserts.size())]);
        else if (random.below(2) == 0)
            text.erase(at, 1 + random.below(4));
        else if (at < text.size())
            text[at] = static_cast<char>(random.below(256));
    };
    const std::vector<std::string> tokens { "read", "operate", "grant", "" };
    std::size_t answered = 0;
    for (int i = 0; i < 3000; ++i) {
        auto [method, path, body] = requests[random.below(requests.size())];
        std::string version = "17";
        for (std::string* text : { &method, &path, &body, &version }) {
            if (random.below(4) == 0)
                mutate(*text);
        }
        const auto answer = send(request(tokens[random.below(tokens.size())], method, "/admin/v1/" + path, body,
            { { "X-Audit-Reason", "a test" }, { "If-Match", version } }));
        answered += answer.status != 0 ? 1 : 0;
        if (answer.status >= 400)
            CHECK(Json::accept(answer.body));
    }
    // Each proposal is answered later, at its deadline.
    clock.advance(60s);
    EffectList effects;
    api.poll(clock.monotonicNow(), effects);
    for (const Effect& effect : effects)
        answered += std::holds_alternative<SendWholeResponse>(effect) ? 1 : 0;
    INFO("seed " << seed << " proposals " << proposals);
    CHECK(answered == 3000);
    CHECK(proposals > 0);
}
