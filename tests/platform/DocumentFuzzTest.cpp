#include "platform/EngineState.h"
#include "platform/KeyValueProtocol.h"
#include "platform/PlatformProtocol.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/GatewaySettings.h>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

using Json = nlohmann::json;

const char* const configurationText
    = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","route_type":"streaming","timeout_ms":30000,
"max_attempts":2,"resumable":true,"traffic_split":[{"service":"s","weight":90}]}],"services":[{"name":"s",
"engine":{"slots":64,"weights_mb":220000.0,"adapter_slots":8,"loads_per_s":2.8,"models":[{"name":"m",
"weights_mb":72700.0,"load_time_s":6.9,"adapters":3,"adapter_mb":66.0}]}}],"limits":{"max_header_bytes":16384},
"tenants":[{"name":"a","api_keys":["k1"],"unit":"token_count","rate_per_s":35953,"burst":35953}]})";
const char* const recordText
    = R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":64,"born":9,"sequence":4,
"models":[{"name":"m","version":1,"adapters":["a1"]}],"coming":["m/a2@1"],"at_hand":{"in_memory":["m"],
"on_disk":["m","n"]}})";
const char* const replyText
    = R"({"items":[{"key":"p/a","value":"eA==","revision":3,"lease":0}],"events":[{"key":"p/b","revision":4,
"deleted":true}],"truncated":false,"store_revision":9,"lease":7,"ttl_ms":2000})";
const char* const settingsText
    = R"({"host":"h","data_centre":"d","caller_address":"127.0.0.1:1","status_address":"127.0.0.1:2",
"peer_address":"127.0.0.1:3","store_address":"127.0.0.1:4","requests":{"retry_fraction":0.2},
"placement":{"busy_share":0.1},"log":{"severity":"info"}})";

// Field values that a writer of another version or a faulty writer could store.
const std::vector<Json> unexpectedValues { nullptr, true, -1, 1e300, 18446744073709551615ULL, "", "x", Json::array(),
    Json::object(), Json::array({ nullptr, 1, "a", Json::array(), Json::object() }) };

// Replaces or removes one random value in the document.
void mutate(Json& value, RandomGenerator& random)
{
    if ((!value.is_object() && !value.is_array()) || value.empty() || random.unit() < 0.2) {
        value = unexpectedValues[random.below(unexpectedValues.size())];
        return;
    }
    auto chosen = value.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random.below(value.size())));
    if (random.unit() < 0.1)
        value.erase(chosen);
    else
        mutate(*chosen, random);
}

// Returns the document with some random values replaced, or with random bytes changed and its end cut off.
std::string corrupted(const char* text, RandomGenerator& random)
{
    if (random.unit() < 0.6) {
        Json document = Json::parse(text);
        for (std::uint64_t i = 0; i <= random.below(3); ++i)
            mutate(document, random);
        return document.dump();
    }
    std::string bytes = text;
    for (std::uint64_t i = 0; i <= random.below(5); ++i)
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    bytes.resize(bytes.size() - random.below(bytes.size() / 4));
    return bytes;
}

constexpr int rounds = 20'000;

} // namespace

// Guards against a malformed document from another writer that crashes the process or yields an endpoint without an
// address.
TEST_CASE("Parsing a malformed platform document yields a typed error or a usable value")
{
    RandomGenerator random(11);
    const PlatformProtocol protocol;
    const KeyValueProtocol store;
    const std::vector<StoreOperation> operations { StoreGet { "p/a" }, StoreList { "p/" },
        StoreWatchPrefix { "p/", 1, std::chrono::seconds(1) }, StoreCompareAndSwap { "p/a", "x", 0, {} },
        LeaseCreate { std::chrono::seconds(2) } };
    for (int i = 0; i < rounds; ++i) {
        const std::string configuration = corrupted(configurationText, random);
        const std::string record = corrupted(recordText, random);
        const std::string reply = corrupted(replyText, random);
        INFO("round " << i << "\n" << configuration << "\n" << record << "\n" << reply);
        REQUIRE_NOTHROW([&] {
            const auto result = protocol.readConfiguration(configuration);
            if (!isError(result) && valueOf(result).version == 0)
                throw std::runtime_error("a configuration without a version");
        }());
        REQUIRE_NOTHROW([&] {
            const auto result = protocol.readEndpoint("servers/i-1", record);
            if (!isError(result) && (valueOf(result).address.empty() || valueOf(result).slots == 0))
                throw std::runtime_error("an endpoint record without an address or slots");
        }());
        REQUIRE_NOTHROW(store.replyOf(operations[random.below(operations.size())], 200, reply));
        const Json state = Json::parse(record, nullptr, false);
        if (state.is_object())
            REQUIRE_NOTHROW(readEngineState(state));
    }
}

TEST_CASE("Parsing malformed settings yields an error with a message or valid settings")
{
    RandomGenerator random(12);
    for (int i = 0; i < rounds; ++i) {
        const std::string text = corrupted(settingsText, random);
        INFO("round " << i << "\n" << text);
        REQUIRE_NOTHROW([&] {
            const auto result = parseGatewaySettings(text);
            if (isError(result) && errorOf(result).message.empty())
                throw std::runtime_error("an error without a message");
        }());
    }
}

// Guards against request headers that crash the process.
TEST_CASE("Parsing malformed request headers throws nothing")
{
    RandomGenerator random(13);
    const PlatformProtocol protocol;
    const std::vector<std::string> names { "Catkinwell-Request-Id", "Catkinwell-Deadline-Ms", "Catkinwell-Model",
        "Catkinwell-Token-Usage", "Catkinwell-Prompt-Prefix", "Last-Event-Id" };
    for (int i = 0; i < rounds; ++i) {
        RequestArrived request;
        for (const std::string& name : names) {
            std::string value = "m/a1,1460:80,x@2";
            for (std::uint64_t change = 0; change <= random.below(6); ++change)
                value[random.below(value.size())] = static_cast<char>(random.below(256));
            value.resize(random.below(value.size() + 1));
            request.headers.emplace_back(name, value);
        }
        REQUIRE_NOTHROW(protocol.termsOf(request));
        REQUIRE_NOTHROW(protocol.attemptHeaders(request.headers, {}));
    }
}
