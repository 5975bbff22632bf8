#include <algorithm>
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

// Guards against hosts that do not learn which hosts serve behind a cut, and against a list of them without a bound.
TEST_CASE("Missing hosts are unchanged after encoding and decoding")
{
    const std::size_t sent = GENERATE(0U, 1U, 2U, 2 * maximumMissingHosts);
    HostDigest digest;
    for (std::size_t i = 0; i < sent; ++i)
        digest.missingHosts.push_back({ HostId(std::to_string(i)), std::chrono::milliseconds(5'399'000 + i) });
    const auto decoded = decodeGatewayMessage(encodeGatewayMessage(digest));
    REQUIRE_FALSE(isError(decoded));
    const auto& missing = std::get<HostDigest>(valueOf(decoded)).missingHosts;
    REQUIRE(missing.size() == std::min(sent, maximumMissingHosts));
    for (std::size_t i = 0; i < missing.size(); ++i) {
        CHECK(missing[i].host == digest.missingHosts[i].host);
        CHECK(missing[i].missingFor == digest.missingHosts[i].missingFor);
    }
}

// Guards against hosts that refuse requests by another forecast than the owner's.
TEST_CASE("Forecasts of loads are unchanged after encoding and decoding")
{
    PlacementUpdate update { 5, 6, {}, { { "notes", { { ModelId("m"), 900 }, { ModelId("n"), 8700 } }, 9000 } } };
    const auto decoded = decodeGatewayMessage(encodeGatewayMessage(update));
    REQUIRE_FALSE(isError(decoded));
    const auto& forecasts = std::get<PlacementUpdate>(valueOf(decoded)).forecasts;
    REQUIRE(forecasts.size() == 1);
    CHECK(forecasts[0].service == "notes");
    CHECK(forecasts[0].timeUntilReady(ModelId("n")) == std::chrono::milliseconds(8700));
    CHECK(forecasts[0].timeUntilReady(ModelId("x")) == std::chrono::milliseconds(9000));
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

namespace {

// The commits whose messages are recorded. A fleet runs two releases side by side while its hosts are replaced.
const char* const release850f398 = "850f398";

struct RecordedMessage {
    const char* release;
    const char* what;
    // In hexadecimal digits, in the order of sampleMessage().
    const char* bytes;
};

const RecordedMessage recordedMessages[] {
    { release850f398, "a digest",
        "8e000703f481836161fa41480000fa41a00000f58186616d6178656e6f74657302fa3f000000187881846165616d60048085"
        "81831118288286058201020304f6f4860681020100f6f4818201098183088102190bb88218630281821118288281846165fa"
        "402000001846f481836165fa40400000fa4110000081656e6f7465738184656e6f746573616d6178627631a1666f72646572"
        "73fa40000000" },
    { release850f398, "a placement update", "8401050681846165018182616d82617861798183616e60190320" },
    { release850f398, "a configuration that is wanted", "820204" },
    { release850f398, "a configuration", "8303056474657874" },
    { release850f398, "streams that began", "8304830362763119038483046020" },
    { release850f398, "a question about a stream", "820503" },
};

std::string bytesOf(const std::string& digits)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
    return bytes;
}

} // namespace

// Guards against hosts of two releases that do not understand each other while hosts are replaced one by one.
TEST_CASE("Messages of an earlier release are read, and it reads those of this one")
{
    const int kind = GENERATE(range(0, 6));
    const RecordedMessage& recorded = recordedMessages[kind];
    INFO(recorded.release << ": " << recorded.what);
    const auto decoded = decodeGatewayMessage(bytesOf(recorded.bytes));
    REQUIRE_FALSE(isError(decoded));
    CHECK(valueOf(decoded).index() == sampleMessage(kind).index());
    CHECK(encodeGatewayMessage(sampleMessage(kind)) == bytesOf(recorded.bytes));
}
