#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <catkinwell/peer/PeerCodec.h>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

const std::string digest(64, 'b');

const std::vector<PeerMessage> samples {
    BorrowTokens { AccountId("quay-3"), 7, 500 },
    LendTokens { AccountId("quay-3"), 7, 0 },
    ModelWanted { ModelId("m"), 1, 2, 3 },
    PlanAnnounced { DataCentreId("dc1"), 4, "{}" },
    ForwardedClaim { 63, 9, "{\"a\":1}" },
    ForwardedClaimResult { 9, "claimed", "" },
    MembershipDigest {
        { { HostId("h1"), 12, 99, HostState::Leaving } }, 5, { digest }, { { ~0ULL, 2 } }, { EndpointId("e1") } },
    ConfigurationRequest { 3, { digest } },
    ConfigurationOffer { 4, "{}", { "part", std::string("\0\xff", 2) } },
};

// Changes, truncates or extends the bytes at up to four random positions.
std::string mutated(std::string bytes, RandomGenerator& random)
{
    for (std::uint64_t changes = 1 + random.below(4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t position = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[position] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.resize(position);
            break;
        case 2:
            bytes.insert(position, random.below(64), static_cast<char>(random.next()));
            break;
        default:
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << random.below(8)));
        }
    }
    return bytes;
}

} // namespace

// Guards against fields that are lost or changed in transit.
TEST_CASE("Each message type is unchanged after encoding and decoding")
{
    const auto& message = samples[GENERATE(range(0, 9))];
    const std::string bytes = encodePeerMessage(message);
    const auto decoded = decodePeerMessage(bytes);
    INFO((isError(decoded) ? errorOf(decoded).message : ""));
    REQUIRE_FALSE(isError(decoded));
    CHECK(valueOf(decoded).index() == message.index());
    CHECK(encodePeerMessage(valueOf(decoded)) == bytes);
}

// Guards against messages of newer versions that older hosts reject, and against fields of a wrong type that are
// accepted.
TEST_CASE("Unknown fields are ignored, wrong types and sizes are rejected")
{
    using Json = nlohmann::json;
    const Json valid { { "t", "config?" }, { "have", 3 } };
    Json document = valid;
    const auto [name, value, accepted] = GENERATE(table<std::string, Json, bool>({
        { "new_field", Json::array({ 1, 2 }), true },
        { "have", Json(-1), false },
        { "have", Json("3"), false },
        { "t", Json("unknown"), false },
        { "t", Json(1), false },
        { "parts", Json::array({ Json::binary({ 1, 2, 3 }) }), false },
        { "parts", Json::array({ 1 }), false },
    }));
    document[name] = value;
    std::string bytes;
    Json::to_cbor(document, bytes);
    const auto decoded = decodePeerMessage(bytes);
    CHECK(isError(decoded) == !accepted);
    if (isError(decoded))
        CHECK(errorOf(decoded).kind == ErrorKind::InvalidMessage);
}

// Guards against a stack overflow in the recursive CBOR parser.
TEST_CASE("Deep nesting is rejected") { CHECK(isError(decodePeerMessage(std::string(1000000, '\x81')))); }

// Guards against input that crashes a host. A failure prints the seed.
TEST_CASE("Mutated frames and payloads yield an error or a valid message")
{
    constexpr std::uint64_t seed = 20261204;
    RandomGenerator random(seed);
    PeerAuthenticator sender(HostId("a"), 1, "secret");
    PeerAuthenticator receiver(HostId("b"), 1, "secret");
    std::size_t decoded = 0;
    for (int i = 0; i < 20000; ++i) {
        INFO("seed " << seed << " round " << i);
        const std::string payload = encodePeerMessage(samples[random.below(samples.size())]);
        const std::string frame = sender.sign(HostId("b"), payload);
        const std::string changed = mutated(frame, random);
        const auto verified = receiver.verify(changed);
        if (changed != frame)
            REQUIRE(std::holds_alternative<PeerDropReason>(verified));
        const auto message = decodePeerMessage(mutated(payload, random));
        if (!isError(message)) {
            ++decoded;
            REQUIRE_FALSE(encodePeerMessage(valueOf(message)).empty());
        }
    }
    // Some mutations have to leave a valid message; otherwise decoding is not tested beyond its first checks.
    CHECK(decoded > 100);
}
