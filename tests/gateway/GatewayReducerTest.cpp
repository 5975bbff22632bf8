#include <catkinwell/gateway/GatewayReducer.h>

#include "gateway/GatewayFixture.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

const HostId owner("owner");

// Replies like a store that holds a configuration, an engine, and another host that is the placement owner.
std::optional<StoreReply> replyTo(const StoreCall& call)
{
    StoreReply reply;
    reply.id = call.id;
    reply.status = StoreStatus::Ok;
    reply.version = 5;
    if (const auto* list = std::get_if<StoreList>(&call.operation)) {
        if (list->prefix == "configuration")
            reply.entries = { { "configuration", "1", 1 } };
        else if (list->prefix == "endpoints/")
            reply.entries = { { "endpoints/e1", "notes", 2 } };
        else
            reply.entries = { { "catkinwell/secret", "s", 3 },
                { "catkinwell/hosts/owner/1", R"({"incarnation":1,"address":"127.0.0.1:9"})", 4 },
                { "catkinwell/hosts/odd/1", R"({"incarnation":"x","address":5,"data_centre":[],"relay_address":{}})",
                    4 },
                { "catkinwell/owner", "owner\n1\n7", 5 } };
        reply.isWholeList = true;
        return reply;
    }
    if (std::holds_alternative<StoreWatchPrefix>(call.operation))
        return std::nullopt;
    reply.value = "7";
    return reply;
}

class ReducerFixture {
public:
    ReducerFixture()
    {
        // Stops between two periodic digests, which are sent every tenth tick.
        for (int i = 0; i < 45; ++i)
            tick();
    }

    void tick()
    {
        now += std::chrono::milliseconds(20);
        apply(Tick {});
    }

    void apply(const GatewayEvent& event)
    {
        for (const Effect& effect : reducer.apply(event, now)) {
            if (const auto* entry = std::get_if<LogEntry>(&effect)) {
                unusableRecords += entry->fields.size() > 1 && entry->fields[1].second == "unusable" ? 1 : 0;
            } else if (const auto* call = std::get_if<StoreCall>(&effect)) {
                const auto* watch = std::get_if<StoreWatchPrefix>(&call->operation);
                if (watch && watch->prefix == "endpoints/")
                    endpointWatch = call->id;
                if (watch && watch->prefix == "configuration")
                    configurationWatch = call->id;
                if (const auto reply = replyTo(*call))
                    apply(*reply);
            } else if (std::holds_alternative<StartAttempt>(effect)) {
                ++attempts;
            } else if (const auto* answer = std::get_if<SendWholeResponse>(&effect)) {
                lastBody = answer->body;
            } else if (const auto* send = std::get_if<SendToPeer>(&effect)) {
                note(*send);
            }
        }
    }

    void arrive(const std::string& model, const std::string& target = "/note/1")
    {
        RequestArrived request;
        request.id = RequestId(++m_lastRequest);
        request.method = "POST";
        request.target = target;
        request.keyDigest = sha256Hex("key-a");
        request.headers
            = { { "Host", "h:80" }, { "id", std::to_string(m_lastRequest) }, { "left", "10000" }, { "model", model } };
        apply(request);
    }

    // Models reported to the placement owner.
    std::set<ModelId> reportedModels;
    // The latest watch of the endpoints, and the log entries about records that cannot be used.
    StoreCallId endpointWatch;
    // The latest watch of the configuration, and the attempts started so far.
    StoreCallId configurationWatch;
    int attempts = 0;
    int unusableRecords = 0;
    std::string lastBody;
    MonotonicTime now { std::chrono::hours(1) };

private:
    void note(const SendToPeer& send)
    {
        const auto* envelope = std::get_if<GatewayEnvelope>(&send.message);
        if (!envelope || send.to != owner)
            return;
        const auto message = decodeGatewayMessage(envelope->payload);
        REQUIRE_FALSE(isError(message));
        if (const auto* digest = std::get_if<HostDigest>(&valueOf(message))) {
            for (const VariantDemand& entry : digest->demand.entries)
                reportedModels.insert(entry.variant.model);
        }
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
    std::uint64_t m_lastRequest = 0;

public:
    GatewayReducer reducer { settings(), m_protocol, 1, 1, "s" };
};

} // namespace

// Guards against a request that starts waiting shortly after another one and is reported only with the next periodic
// digest, which large fleets send every second or two.
TEST_CASE("Each model that requests start to wait for is reported to the owner immediately")
{
    ReducerFixture fixture;
    REQUIRE(fixture.reducer.isReady());
    fixture.arrive("m1");
    fixture.now += std::chrono::milliseconds(5);
    fixture.arrive("m2");
    fixture.tick();
    const std::set<ModelId> expected { ModelId("m1"), ModelId("m2") };
    CHECK(fixture.reportedModels == expected);
}

// Guards against a change of settings that makes a running gateway unready.
TEST_CASE("Changed settings leave a gateway ready")
{
    ReducerFixture fixture;
    GatewaySettings changed;
    changed.shutdownGrace = std::chrono::seconds(3);
    changed.requests.retryFraction = 0;
    fixture.apply(GatewaySettingsChanged { changed });
    CHECK(fixture.reducer.isReady());
    fixture.arrive("m1");
    CHECK(fixture.reportedModels.contains(ModelId("m1")));
}

// Guards against one record that cannot be used and that hides the others, or fills the log as often as it is written.
TEST_CASE("A record that cannot be used is logged once and the others are followed")
{
    ReducerFixture fixture;
    for (StoreVersion version = 10; version < 14; ++version) {
        StoreReply reply { fixture.endpointWatch, StoreStatus::Ok };
        reply.version = version;
        reply.entries
            = { { "endpoints/odd", "", version }, { "endpoints/e" + std::to_string(version), "notes", version } };
        fixture.apply(reply);
        for (int i = 0; i < 40; ++i)
            fixture.tick();
    }
    CHECK(fixture.unusableRecords == 1);
    RequestArrived status;
    status.id = RequestId(99);
    status.target = "/status";
    status.path = "/status";
    std::string body;
    for (const Effect& effect : fixture.reducer.apply(AdminRequestArrived { status }, fixture.now)) {
        if (const auto* answer = std::get_if<SendWholeResponse>(&effect))
            body = answer->body;
    }
    INFO(body);
    CHECK(body.find("\"endpoints\":5") != std::string::npos);
}

namespace {

// A version of the configuration that arrives, from the store or from a peer.
struct ArrivingVersion {
    bool isFromPeer;
    std::uint64_t version;
};

struct VersionsCase {
    const char* what;
    std::vector<ArrivingVersion> versions;
};

void deliver(ReducerFixture& fixture, const ArrivingVersion& arriving)
{
    const std::string document = std::to_string(arriving.version);
    if (arriving.isFromPeer) {
        const ConfigurationDocumentOffer offer { arriving.version, document };
        fixture.apply(PeerMessageReceived { owner, 1, GatewayEnvelope { encodeGatewayMessage(offer) } });
        return;
    }
    StoreReply reply { fixture.configurationWatch, StoreStatus::Ok };
    reply.version = 10 + arriving.version;
    reply.entries = { { "configuration", document, reply.version } };
    fixture.apply(reply);
    // The next watch follows after a moment.
    for (int i = 0; i < 5; ++i)
        fixture.tick();
}

std::string statusOf(ReducerFixture& fixture)
{
    RequestArrived status;
    status.id = RequestId(99);
    status.path = "/status";
    std::string body;
    for (const Effect& effect : fixture.reducer.apply(AdminRequestArrived { status }, fixture.now)) {
        if (const auto* answer = std::get_if<SendWholeResponse>(&effect))
            body = answer->body;
    }
    return body;
}

} // namespace

// Guards against a configuration that goes back to an older version, and against a request that waits and is forgotten
// when versions arrive in quick succession.
TEST_CASE("The newest of several versions stays in force and a waiting request is served")
{
    const auto test = GENERATE(values<VersionsCase>({
        { "in order", { { false, 2 }, { false, 3 } } },
        { "from the store, then an older one from a peer", { { false, 3 }, { true, 2 } } },
        { "from a peer, then an older one from the store", { { true, 3 }, { false, 2 } } },
        { "the same from both", { { true, 3 }, { false, 3 } } },
        { "from peers out of order", { { true, 3 }, { true, 2 }, { true, 3 } } },
    }));
    const bool isReloaded = GENERATE(false, true);
    INFO(test.what << (isReloaded ? ", with changed settings" : ""));
    ReducerFixture fixture;
    fixture.arrive("", "/order/1");
    REQUIRE(fixture.attempts == 0);
    for (const ArrivingVersion& version : test.versions) {
        deliver(fixture, version);
        if (isReloaded)
            fixture.apply(GatewaySettingsChanged { GatewaySettings() });
    }
    const std::string status = statusOf(fixture);
    INFO(status);
    CHECK(status.find("\"configuration\":3") != std::string::npos);
    CHECK(status.find("\"open\":1") != std::string::npos);
    StoreReply record { fixture.endpointWatch, StoreStatus::Ok };
    record.version = 20;
    record.entries = { { "endpoints/o1", "orders", 20 } };
    fixture.apply(record);
    for (int i = 0; i < 10; ++i)
        fixture.tick();
    CHECK(fixture.attempts == 1);
}

// Guards against a bill of the store that cannot be traced to the calls behind it.
TEST_CASE("Store calls are counted by purpose and kind when they are sent")
{
    ReducerFixture fixture;
    RequestArrived request;
    request.id = RequestId(1000);
    request.path = "/metrics";
    fixture.apply(AdminRequestArrived { request });
    const auto* call = GENERATE("configuration_list", "configuration_watch", "membership_list", "membership_watch",
        "shares_list", "shares_watch", "host_lease_write");
    INFO(fixture.lastBody);
    CHECK(fixture.lastBody.find("store_calls_by_kind_total{call=\"" + std::string(call) + "\"} ") != std::string::npos);
}
