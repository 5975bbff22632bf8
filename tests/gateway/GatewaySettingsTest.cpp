#include <catch2/catch.hpp>
#include <catkinwell/gateway/GatewaySettings.h>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

nlohmann::json sample()
{
    return { { "host", "h" }, { "data_centre", "dc" }, { "caller_address", "127.0.0.1:1" },
        { "status_address", "127.0.0.1:2" }, { "peer_address", "127.0.0.1:3" }, { "store_address", "127.0.0.1:4" },
        { "requests", { { "retry_fraction", 0.2 } } }, { "log", { { "severity", "warning" } } } };
}

struct WrongCase {
    const char* pointer;
    nlohmann::json value;
    // Text that the message must contain.
    const char* expected;
};

} // namespace

TEST_CASE("Valid settings are parsed")
{
    const auto settings = parseGatewaySettings(sample().dump());
    REQUIRE_FALSE(isError(settings));
    CHECK(valueOf(settings).host == HostId("h"));
    CHECK(valueOf(settings).requests.retryFraction == Approx(0.2));
    CHECK(valueOf(settings).log.minimumSeverity == LogSeverity::Warning);
    CHECK(valueOf(settings).relayAddress == "127.0.0.1:4");
    CHECK_FALSE(valueOf(settings).coldBounds);
    nlohmann::json cold = sample();
    cold["cold_over"] = 1.5;
    cold["cold_slack"] = 5;
    CHECK(valueOf(parseGatewaySettings(cold.dump())).coldBounds == ColdBounds { 1.5, 5 });
}

// Guards against an invalid setting that is silently ignored.
TEST_CASE("The error of an invalid setting names its field")
{
    const auto test = GENERATE(values<WrongCase>({
        { "/host", 3, "\"host\" is 3" },
        { "/store_address", "nowhere", "store_address" },
        { "/store_key_prefix", "catkinwell", "end it with a slash" },
        { "/relay_address", "nowhere", "relay_address" },
        { "/source_address", "127.0.0.1:80", "source_address" },
        { "/lease_ttl_ms", -1, "lease_ttl_ms" },
        { "/memory_mb", 0, "memory_mb" },
        { "/cold_over", -1, "cold_over" },
        { "/cold_slack", "much", "cold_slack" },
        { "/processor_share", 0, "processor_share" },
        { "/shared_reading_hosts", -1, "shared_reading_hosts" },
        { "/requests/retry_fraction", "much", "requests.retry_fraction" },
        { "/requests/retries", 1, "requests.retries" },
        { "/log/severity", "loud", "log.severity" },
        { "/colour", "red", "colour" },
    }));
    nlohmann::json document = sample();
    document[nlohmann::json::json_pointer(test.pointer)] = test.value;
    const auto settings = parseGatewaySettings(document.dump());
    REQUIRE(isError(settings));
    INFO(errorOf(settings).message);
    CHECK(errorOf(settings).kind == ErrorKind::InvalidSettings);
    CHECK(errorOf(settings).message.find(test.expected) != std::string::npos);
}

namespace {

struct ReloadCase {
    const char* pointer;
    nlohmann::json value;
    std::vector<std::string> expected;
};

} // namespace

// Guards against a changed setting that is neither applied nor reported.
TEST_CASE("Changed settings that need a restart are listed")
{
    const auto test = GENERATE(values<ReloadCase>({
        { "/host", "other", { "host" } },
        { "/data_centre", "other", { "data_centre" } },
        { "/store_address", "127.0.0.1:9", { "store_address" } },
        { "/lease_ttl_ms", 1500, { "lease_ttl_ms" } },
        { "/requests/retry_fraction", 0.1, {} },
        { "/owner_silence_ms", 4000, {} },
        { "/shutdown_grace_ms", 5000, {} },
        { "/shutdown_accepting_ms", 2000, {} },
        { "/store_reconnect_ms", 5000, {} },
        { "/configuration_bound_ms", 2000, {} },
        { "/memory_mb", 100, {} },
        { "/processor_share", 0.09, {} },
        { "/shared_reading_hosts", 0, {} },
        { "/log/severity", "error", {} },
    }));
    const GatewaySettings running = valueOf(parseGatewaySettings(sample().dump()));
    nlohmann::json document = sample();
    document[nlohmann::json::json_pointer(test.pointer)] = test.value;
    const auto wanted = parseGatewaySettings(document.dump());
    REQUIRE_FALSE(isError(wanted));
    INFO(test.pointer);
    CHECK(fieldsThatNeedRestart(running, valueOf(wanted)) == test.expected);
}
