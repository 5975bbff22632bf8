#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/GatewayMessage.h>

using namespace Catkinwell;

namespace {

GatewayMessage sampleMessage(int kind)
{
    HostDigest digest;
    digest.sequence = 7;
    digest.configurationVersion = 3;
    digest.usage[AccountId("a")] = { 12.5, 20 };
    digest.demand = { true, { { { ModelId("m"), "x" }, "notes", 2, 0.5, 120 } } };
    digest.running.push_back({ EndpointId("e"), { ModelId("m"), "" }, 4 });
    digest.prompts.crashes.push_back({ 17, std::chrono::milliseconds(40), { { 5, { 1, 2 }, 3, 4 }, { 6, { 2 } } } });
    digest.prompts.answered.push_back({ 1, std::chrono::milliseconds(9) });
    digest.prompts.refused.push_back({ 8, { 2 }, std::chrono::seconds(3) });
    digest.prompts.trials = { 99, 2 };
    digest.prompts.survived.push_back({ 17, std::chrono::milliseconds(40) });
    digest.unreachableServices = { "notes" };
    digest.brittleServices = { { "orders", 2 } };
    digest.demand.versionWaits = { { "notes", { ModelId("m"), "x" }, "v1" } };
    digest.limits.statements.push_back({ EndpointId("e"), 2.5, std::chrono::milliseconds(70) });
    digest.limits.attempts[AccountId("e")] = { 3, 9 };
    PlacementUpdate update { 5, 6,
        { { EndpointId("e"), 1, { { ModelId("m"), { "x", "y" } } }, { { { ModelId("n"), "" }, 800 } } } } };
    const GatewayMessage all[] { digest, update, ConfigurationWanted { 4 }, ConfigurationDocumentOffer { 5, "text" },
        StreamBeginnings { { { 3, "v1", 900 }, { 4, "", -1 } } }, StreamVersionWanted { 3 } };
    return all[kind];
}

} // namespace

TEST_CASE("Each message is unchanged after encoding and decoding")
{
    const int kind = GENERATE(range(0, 6));
    const std::string bytes = encodeGatewayMessage(sampleMessage(kind));
    const auto decoded = decodeGatewayMessage(bytes);
    REQUIRE_FALSE(isError(decoded));
    CHECK(encodeGatewayMessage(valueOf(decoded)) == bytes);
}

// Guards against a damaged message of another host that crashes the process.
TEST_CASE("Damaged messages give an error")
{
    RandomGenerator random(1);
    for (int i = 0; i < 4000; ++i) {
        std::string bytes = encodeGatewayMessage(sampleMessage(static_cast<int>(random.below(6))));
        for (std::uint64_t change = 0; change <= random.below(4); ++change)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        bytes.resize(bytes.size() - random.below(3));
        const auto decoded = decodeGatewayMessage(bytes);
        if (isError(decoded))
            CHECK(errorOf(decoded).kind == ErrorKind::InvalidMessage);
    }
}
