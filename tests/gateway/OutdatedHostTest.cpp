#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>
#include <catkinwell/gateway/GatewayReducer.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);

// A host that knows one endpoint, of version v1, and another host that may know more.
class OutdatedHostFixture {
public:
    OutdatedHostFixture() { run(50, true); }

    // Lets time pass. The other host is heard, or it is not.
    void run(int ticks, bool isPeerHeard)
    {
        for (int i = 0; i < ticks; ++i) {
            now += tickInterval;
            apply(Tick { WallTime(std::chrono::hours(1)) });
            if (isPeerHeard && i % 10 == 0)
                hearDigest();
        }
    }

    void hearDigest()
    {
        HostDigest digest;
        digest.sequence = ++m_digests;
        hear(digest);
    }

    void hear(const GatewayMessage& message)
    {
        apply(PeerMessageReceived { HostId("peer"), 1, GatewayEnvelope { encodeGatewayMessage(message) } });
    }

    // A caller takes up a stream that began at another host.
    void takeUpStream()
    {
        RequestArrived request;
        request.id = RequestId(1);
        request.method = "POST";
        request.target = "/dossier/1";
        request.keyDigest = sha256Hex("key-a");
        request.headers = { { "Host", "h:80" }, { "id", "r2" }, { "left", "10000" }, { "model", "m1" },
            { "last-event", "3" }, { "resumes", "r1" } };
        apply(request);
    }

    // What the store answers to a check of the list; nullopt while it is out of reach.
    std::optional<std::vector<StoreEntry>> news = std::vector<StoreEntry>();
    MonotonicTime now { std::chrono::hours(1) };
    // Effects of interest.
    std::vector<EndpointId> attempts;
    std::vector<SendWholeResponse> answers;
    int versionQuestions = 0;

private:
    void apply(const GatewayEvent& event)
    {
        for (const Effect& effect : m_reducer.apply(event, now)) {
            if (const auto* call = std::get_if<StoreCall>(&effect)) {
                if (const auto reply = replyTo(*call))
                    apply(*reply);
            } else if (const auto* attempt = std::get_if<StartAttempt>(&effect)) {
                attempts.push_back(attempt->endpoint);
            } else if (const auto* answer = std::get_if<SendWholeResponse>(&effect)) {
                answers.push_back(*answer);
            } else if (const auto* send = std::get_if<SendToPeer>(&effect)) {
                const auto message = decodeGatewayMessage(std::get<GatewayEnvelope>(send->message).payload);
                versionQuestions += std::holds_alternative<StreamVersionWanted>(valueOf(message)) ? 1 : 0;
            }
        }
    }

    std::optional<StoreReply> replyTo(const StoreCall& call) const
    {
        StoreReply reply { call.id, StoreStatus::Ok };
        reply.version = 5;
        if (StoreCallIds::userOf(call.id) == StoreUser::EndpointCheck) {
            if (!news)
                return StoreReply { call.id, StoreStatus::Unknown };
            reply.version = 6;
            reply.entries = *news;
            return reply;
        }
        if (const auto* list = std::get_if<StoreList>(&call.operation)) {
            reply.isWholeList = true;
            if (list->prefix == "configuration")
                reply.entries = { { "configuration", "1", 1 } };
            else if (list->prefix == "endpoints/")
                reply.entries = { { "endpoints/e1", "notes v1 m1", 2 } };
            else if (list->prefix == "catkinwell/")
                reply.entries = { { "catkinwell/secret", "s", 3 },
                    { "catkinwell/hosts/peer/1", R"({"incarnation":1,"address":"127.0.0.1:9"})", 4 } };
            return reply;
        }
        if (std::holds_alternative<StoreWatchPrefix>(call.operation))
            return std::nullopt;
        reply.value = "7";
        return reply;
    }

    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.host = HostId("self");
        settings.dataCentre = DataCentreId("here");
        settings.peerAddress = "127.0.0.1:8";
        return settings;
    }

    PlainProtocol m_protocol;
    std::uint64_t m_digests = 0;
    GatewayReducer m_reducer { settings(), m_protocol, 1, 1, "s" };
};

struct OutdatedCase {
    const char* name;
    std::optional<std::vector<StoreEntry>> news;
    bool isPeerHeard;
    std::vector<EndpointId> expectedAttempts;
    int expectedQuestions;
    // 0 if the stream goes on or its version is asked for.
    int expectedStatus;
};

} // namespace

// Guards against a host that was cut off or stood still and takes up a stream of a version that it does not know of at
// an endpoint of another one.
TEST_CASE("A host that may be behind asks before it takes up a stream")
{
    const std::vector<StoreEntry> nothing;
    const std::vector<StoreEntry> newVersion { { "endpoints/e2", "notes v2 m1", 6 } };
    const auto test = GENERATE_COPY(values<OutdatedCase>({
        { "nothing is new", nothing, true, { EndpointId("e1") }, 0, 0 },
        { "nothing is new, the other host is away", nothing, false, { EndpointId("e1") }, 0, 0 },
        { "another version serves", newVersion, true, {}, 1, 0 },
        { "another version serves, the other host is away", newVersion, false, {}, 1, 0 },
        { "the store is away, all hosts are heard", std::nullopt, true, { EndpointId("e1") }, 0, 0 },
        { "the host is cut off", std::nullopt, false, {}, 0, 503 },
    }));
    OutdatedHostFixture fixture;
    fixture.run(60, test.isPeerHeard);
    fixture.news = test.news;
    fixture.takeUpStream();
    INFO(test.name);
    CHECK(fixture.attempts == test.expectedAttempts);
    CHECK(fixture.versionQuestions == test.expectedQuestions);
    CHECK((fixture.answers.empty() ? 0 : fixture.answers.front().status) == test.expectedStatus);
}

// Guards against a stream that goes on at the version that the store's news shows as the wrong one.
TEST_CASE("A stream goes on at the version that another host knows for it")
{
    OutdatedHostFixture fixture;
    fixture.news = std::vector<StoreEntry> { { "endpoints/e2", "notes v2 m1", 6 } };
    fixture.takeUpStream();
    CHECK(fixture.attempts.empty());
    fixture.hear(StreamBeginnings { { { streamKeyOf("notes", "r1"), "v2", 5000 } } });
    CHECK(fixture.attempts == std::vector<EndpointId> { EndpointId("e2") });
}
