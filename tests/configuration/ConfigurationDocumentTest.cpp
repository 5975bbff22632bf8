#include <catch2/catch.hpp>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/core/RandomGenerator.h>
#include <string>

using namespace Catkinwell;

namespace {

const std::string digest(64, 'a');

std::string sampleDocument()
{
    return R"({"version": 7, "defaults": {"request_deadline_seconds": 12.25},
        "accounts": [{"id": "quay-3", "rate_tokens_per_second": 900, "burst_tokens": 4000, "weight": 3}],
        "keys": [{"sha256": ")"
        + digest + R"(", "account": "quay-3", "label": "first"}],
        "endpoints": [
            {"id": "e1", "address": "127.0.0.1:9001", "data_centre": "dc1", "pool": "notes", "memory_bytes": 800},
            {"id": "s1", "address": "[::1]:9002", "data_centre": "dc1", "kind": "service", "pool": "desk"}],
        "models": [{"id": "notes-7b", "pool": "notes", "memory_bytes": 500, "expected_load_seconds": 3.5},
            {"id": "notes-7b/de", "pool": "notes", "base_model": "notes-7b", "memory_bytes": 20}],
        "routes": [{"path_prefix": "/orders/", "pool": "desk", "access": "open", "cost_tokens": 2}],
        "exceptions": [{"scope": "model/notes-7b", "field": "maximum_replicas", "value": 5,
            "reason": "launch of the autumn catalogue", "expires": "2026-12-24T18:00:00Z"}]})";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

// Guards against fields that are lost or changed when a configuration is stored or forwarded.
TEST_CASE("A configuration document survives reading and writing")
{
    const auto first = parseFleetConfiguration(sampleDocument());
    INFO((isError(first) ? errorOf(first).message : ""));
    REQUIRE_FALSE(isError(first));
    const std::string written = fleetConfigurationToJson(valueOf(first));
    const auto second = parseFleetConfiguration(written);
    INFO(written);
    REQUIRE_FALSE(isError(second));
    CHECK(fleetConfigurationToJson(valueOf(second)) == written);
    const auto& configuration = valueOf(second);
    CHECK(configuration.version == 7);
    CHECK(configuration.defaults.requestDeadline == std::chrono::milliseconds(12250));
    CHECK(configuration.accounts.at(AccountId("quay-3")).rate == 900);
    CHECK(configuration.models.at(ModelId("notes-7b/de")).baseModel == ModelId("notes-7b"));
    CHECK(configuration.endpoints.at(EndpointId("s1")).kind == EndpointKind::Service);
    CHECK(configuration.exceptions.at(0).expires.has_value());
}

// Guards against evacuations that are lost when a configuration is stored, and against a field that hosts of earlier
// versions refuse although no data centre is evacuated.
TEST_CASE("Evacuations survive reading and writing, and are written only if there are any")
{
    auto result = parseFleetConfiguration(sampleDocument());
    REQUIRE_FALSE(isError(result));
    FleetConfiguration configuration = valueOf(result);
    CHECK(fleetConfigurationToJson(configuration).find("evacuations") == std::string::npos);
    configuration.evacuations[DataCentreId("north")] = { DataCentreId("north"), "cooling works tonight" };
    result = parseFleetConfiguration(fleetConfigurationToJson(configuration));
    REQUIRE_FALSE(isError(result));
    CHECK(valueOf(result).evacuations.at(DataCentreId("north")).reason == "cooling works tonight");
}

// Guards against invalid documents that are accepted, and against errors without a path or an expected value.
TEST_CASE("A wrong document is refused with its path and the expected value")
{
    struct Case {
        const char* from;
        const char* to;
        const char* path;
        const char* expected;
    };
    const auto [from, to, path, expected] = GENERATE(values<Case>({
        { "\"weight\"", "\"wieght\"", "accounts[0]", "did you mean \"weight\"?" },
        { "\"accounts\"", "\"acounts\"", "document", "did you mean \"accounts\"?" },
        { "900", "0", "accounts[0].rate_tokens_per_second", "an integer from 1 to" },
        { "900", "9.5", "accounts[0].rate_tokens_per_second", "an integer from 1 to" },
        { "900", "99999999999999999999999", "accounts[0].rate_tokens_per_second", "an integer from 1 to" },
        { "\"burst_tokens\": 4000", "\"weight\": 4000", "document", "appears twice" },
        { "\"account\": \"quay-3\"", "\"account\": \"quay-4\"", "keys[", "did you mean \"quay-3\"?" },
        { "127.0.0.1:9001", "127.0.0.1", "endpoints[0].address", "a numeric IP address and a port" },
        { "127.0.0.1:9001", "localhost:9001", "endpoints[0].address", "a numeric IP address and a port" },
        { "\"kind\": \"service\"", "\"kind\": \"servce\"", "endpoints[1].kind", "did you mean \"service\"?" },
        { "\"id\": \"s1\"", "\"id\": \"e1\"", "endpoints[1].id", "no other entry" },
        { "\"memory_bytes\": 800", "\"memory_bytes\": 510", "models[notes-7b/de].memory_bytes", "largest engine" },
        { "\"base_model\": \"notes-7b\"", "\"base_model\": \"notes-7c\"", "models[notes-7b/de].base_model",
            "did you mean \"notes-7b\"?" },
        { "\"pool\": \"desk\", \"access\"", "\"pool\": \"dask\", \"access\"", "routes[/orders/].pool", "\"service\"" },
        { "\"reason\": \"launch of the autumn catalogue\", ", "", "exceptions[0].reason", "required" },
        { "launch of the autumn catalogue", "          ", "exceptions[0].reason", "a reason of 10" },
        { "model/notes-7b\"", "model/notes-8b\"", "exceptions[0].scope", "did you mean" },
        { "\"field\": \"maximum_replicas\"", "\"field\": \"max_replicas\"", "exceptions[0].field",
            "did you mean \"maximum_replicas\"?" },
        { "\"field\": \"maximum_replicas\"", "\"field\": \"pool\"", "exceptions[0].field", "may replace" },
        { "\"value\": 5", "\"value\": \"5\"", "exceptions[0].value", "an integer from 1 to" },
        { "2026-12-24T18", "2026-02-31T18", "exceptions[0].expires", "a time in UTC" },
        { "{\"version\"", "[{\"version\"", "document", "not valid JSON" },
    }));
    const auto result = parseFleetConfiguration(replaced(sampleDocument(), from, to));
    INFO(from << " replaced by " << to);
    REQUIRE(isError(result));
    CHECK(errorOf(result).kind == ErrorKind::InvalidConfiguration);
    CHECK_THAT(errorOf(result).message, Catch::Contains(path) && Catch::Contains(expected));
}

// Guards against a set of exceptions that is valid at first and becomes invalid when one of them expires.
TEST_CASE("Exceptions must be valid together before and after each expiry")
{
    const std::string second = R"(, {"scope": "model/notes-7b", "field": "minimum_replicas", "value": 4,
        "reason": "launch of the autumn catalogue"}]})";
    const auto result = parseFleetConfiguration(replaced(sampleDocument(), "18:00:00Z\"}]}", "18:00:00Z\"}" + second));
    REQUIRE(isError(result));
    CHECK_THAT(errorOf(result).message, Catch::Contains("models[notes-7b].minimum_replicas"));
}

// Guards against exceptions that stay in force after their expiry or change the accepted document.
TEST_CASE("applyExceptions uses the exceptions that have not expired")
{
    const auto configuration = takeValue(parseFleetConfiguration(sampleDocument()));
    const WallTime expires = *configuration.exceptions.at(0).expires;
    const ModelId model("notes-7b");
    CHECK(applyExceptions(configuration, expires - std::chrono::seconds(1)).models.at(model).maximumReplicas == 5);
    CHECK(applyExceptions(configuration, expires).models.at(model).maximumReplicas == 2);
    CHECK(configuration.models.at(model).maximumReplicas == 2);
}

// Guards against input that crashes the process. A failure prints the seed.
TEST_CASE("Mutated documents give an error or a valid configuration")
{
    constexpr std::uint64_t seed = 20261204;
    RandomGenerator random(seed);
    const std::string original = sampleDocument();
    const std::string characters = "{}[]\",:0123456789-.eE\\ntf\xff";
    int valid = 0;
    for (int round = 0; round < 5000; ++round) {
        std::string text = original;
        for (std::uint64_t changes = 1 + random.below(3); changes > 0; --changes) {
            const std::size_t position = random.below(text.size());
            if (random.below(2) == 0)
                text[position] = characters[random.below(characters.size())];
            else
                text.erase(position, random.below(40));
        }
        INFO("seed " << seed << " round " << round);
        const auto result = parseFleetConfiguration(text);
        if (isError(result)) {
            REQUIRE(errorOf(result).kind == ErrorKind::InvalidConfiguration);
            continue;
        }
        ++valid;
        REQUIRE_FALSE(isError(parseFleetConfiguration(fleetConfigurationToJson(valueOf(result)))));
    }
    CHECK(valid > 50);
    CHECK(isError(parseFleetConfiguration(std::string(1000000, '['))));
}
