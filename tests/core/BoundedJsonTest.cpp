#include <catkinwell/core/BoundedJson.h>

#include "routing/PromptQuarantineCodec.h"
#include <catch2/catch.hpp>
#include <catkinwell/gateway/GatewayMessage.h>
#include <catkinwell/relay/RelayMessage.h>
#include <functional>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

std::string nestedJson(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

// Arrays of one element, and an empty one.
std::string nestedCbor(std::size_t levels) { return std::string(levels - 1, '\x81') + '\x80'; }

struct DepthCase {
    std::size_t levels;
    bool isAccepted;
};

struct ReaderCase {
    const char* name;
    std::function<bool(const std::string&)> isRejected;
};

} // namespace

TEST_CASE("A document is parsed up to the maximum depth")
{
    const auto test = GENERATE(values<DepthCase>({
        { 1, true },
        { maximumJsonDepth, true },
        { maximumJsonDepth + 1, false },
        { 100'000, false },
    }));
    INFO(test.levels);
    CHECK(parseBoundedJson(nestedJson(test.levels)).is_discarded() != test.isAccepted);
    CHECK(parseBoundedCbor(nestedCbor(test.levels)).is_discarded() != test.isAccepted);
}

TEST_CASE("An invalid document is discarded")
{
    const auto text = GENERATE(values<std::string>({ "", "{", "[1,", "{\"a\":\"\xff\"}", "1e999", "[1]x" }));
    CHECK(parseBoundedJson(text).is_discarded());
    CHECK(parseBoundedCbor(text + "\xff").is_discarded());
}

// Guards against a message of a peer that overflows the stack of the host that reads it.
TEST_CASE("Readers of messages reject deep nesting")
{
    const auto test = GENERATE(values<ReaderCase>({
        { "gateway", [](const std::string& bytes) { return isError(decodeGatewayMessage(bytes)); } },
        { "relay", [](const std::string& bytes) { return isError(decodeRelayedRequest(bytes)); } },
        { "crash reports", [](const std::string& bytes) { return isError(decodePromptQuarantineDigest(bytes)); } },
    }));
    INFO(test.name);
    CHECK(test.isRejected(nestedCbor(1'000'000)));
}
