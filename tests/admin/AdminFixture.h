#pragma once

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <catkinwell/admin/AdminApi.h>
#include <catkinwell/core/Digest.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

class MockConfigurationAccess : public trompeloeil::mock_interface<ConfigurationAccess> {
public:
    IMPLEMENT_CONST_MOCK0(accepted);
    IMPLEMENT_CONST_MOCK0(effective);
    IMPLEMENT_MOCK6(propose);
    IMPLEMENT_MOCK0(takeProposalResults);
    IMPLEMENT_MOCK3(revokeKeyLocally);
};

class MockStatusSource : public trompeloeil::mock_interface<StatusSource> {
public:
    IMPLEMENT_CONST_MOCK2(statusJson);
};

class MockDrainControl : public trompeloeil::mock_interface<DrainControl> {
public:
    IMPLEMENT_CONST_MOCK0(draining);
    IMPLEMENT_MOCK5(setDraining);
};

class FakeHost final : public ReadinessSource, public QuarantineControl, public SecretSource {
public:
    std::string reasonNotReady(MonotonicTime) const override { return notReady; }
    std::vector<QuarantinedRequest> quarantined() const override { return entries; }
    Status release(std::uint64_t, MonotonicTime, EffectList&) override
    {
        entries.clear();
        return {};
    }
    std::string nextSecretHex(std::size_t bytes) override { return std::string(2 * bytes, 'a' + secrets++); }

    std::string notReady;
    std::vector<QuarantinedRequest> entries { { 0xbeef, AccountId("quay-3"), ModelId("notes-7b"), 2 } };
    char secrets = 0;
};

// An AdminApi with mocked dependencies; the tokens are "read", "operate" and "grant".
struct AdminFixture {
    AdminFixture()
    {
        configuration.version = 17;
        configuration.accounts[AccountId("quay-3")] = { AccountId("quay-3"), 1000 };
        configuration.keys[sha256Hex("old")] = { sha256Hex("old"), AccountId("quay-3"), "old-key" };
        EndpointSettings engine;
        engine.id = EndpointId("engine-1");
        engine.address = "127.0.0.1:9001";
        engine.dataCentre = DataCentreId("north");
        engine.pool = "notewriter";
        engine.memoryBytes = 1 << 30;
        configuration.endpoints[engine.id] = engine;
        EndpointSettings service = engine;
        service.id = EndpointId("pad-1");
        service.address = "127.0.0.1:9002";
        service.kind = EndpointKind::Service;
        service.pool = "pad";
        configuration.endpoints[service.id] = service;
        for (const char* name : { "notes-7b", "style" }) {
            ModelSettings& model = configuration.models[ModelId(name)];
            model.id = ModelId(name);
            model.pool = "notewriter";
            model.memoryBytes = 1000;
        }
        configuration.models[ModelId("style")].baseModel = ModelId("notes-7b");
    }

    AdminApiSettings settings() const
    {
        return { { { "reader", sha256Hex("read"), { AdminRole::Read } },
                     { "operator", sha256Hex("operate"), { AdminRole::Operate } },
                     { "granter", sha256Hex("grant"), { AdminRole::GrantKeys } },
                     { "broken", "", { AdminRole::Operate } } },
            3 };
    }

    static RequestArrived request(const std::string& token, const std::string& method, const std::string& target,
        const std::string& body = "", HeaderList headers = {})
    {
        const std::size_t mark = target.find('?');
        RequestArrived arrived;
        arrived.id = RequestId(1);
        arrived.method = method;
        arrived.path = target.substr(0, mark);
        arrived.headers = std::move(headers);
        arrived.body = body;
        if (mark != std::string::npos)
            arrived.query = target.substr(mark + 1);
        if (!token.empty())
            arrived.keyDigest = sha256Hex(token);
        return arrived;
    }

    // Returns the answer, or one with status 0 if there is none yet.
    SendWholeResponse answerIn(const EffectList& effects) const
    {
        SendWholeResponse answer { RequestId(), 0, {}, {} };
        for (const Effect& effect : effects) {
            if (const auto* response = std::get_if<SendWholeResponse>(&effect)) {
                CHECK(answer.status == 0);
                answer = *response;
            }
        }
        return answer;
    }

    SendWholeResponse send(const RequestArrived& arrived)
    {
        EffectList effects;
        api.handle({ arrived }, clock.monotonicNow(), clock.wallNow(), effects);
        return answerIn(effects);
    }

    // Sends a change with a reason and a version.
    SendWholeResponse change(const std::string& token, const std::string& method, const std::string& target,
        const std::string& body = "", const std::string& changeId = "", const std::string& version = "\"17\"")
    {
        HeaderList headers { { "x-audit-reason", "a test" }, { "if-match", version } };
        if (!changeId.empty())
            headers.emplace_back("X-Change-Id", changeId);
        return send(request(token, method, target, body, headers));
    }

    SendWholeResponse poll()
    {
        EffectList effects;
        api.poll(clock.monotonicNow(), effects);
        return answerIn(effects);
    }

    ManualClock clock;
    FleetConfiguration configuration;
    std::vector<ProposalResult> results;
    MockConfigurationAccess access;
    MockStatusSource status;
    MockDrainControl drains;
    FakeHost host;
    MetricsRegistry metrics;
    DecisionJournal journal;
    UsageAccounting usage { HostId("host-1"), clock.monotonicNow(), clock.wallNow() };
    AdminApi api { settings(), { access, status, host, drains, host, host, metrics, journal, usage } };
    std::unique_ptr<trompeloeil::expectation> acceptedCalls
        = NAMED_ALLOW_CALL(access, accepted()).LR_RETURN(std::ref(configuration));
    std::unique_ptr<trompeloeil::expectation> resultCalls
        = NAMED_ALLOW_CALL(access, takeProposalResults()).LR_RETURN(std::exchange(results, {}));
    std::unique_ptr<trompeloeil::expectation> drainCalls
        = NAMED_ALLOW_CALL(drains, draining()).RETURN(std::vector<EndpointId> {});
};

} // namespace Catkinwell
