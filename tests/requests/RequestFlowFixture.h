#pragma once

#include <catkinwell/requests/RequestFlow.h>

namespace Catkinwell::Testing {

// A configuration that tests change at will.
class FixedConfiguration final : public ConfigurationAccess {
public:
    const FleetConfiguration& accepted() const override { return value; }
    const FleetConfiguration& effective() const override { return value; }
    void propose(std::uint64_t, ConfigurationVersion, const FleetConfiguration&, const std::string&, MonotonicTime,
        EffectList&) override
    {
    }
    std::vector<ProposalResult> takeProposalResults() override { return {}; }
    void revokeKeyLocally(const std::string&, MonotonicTime, EffectList&) override { }

    FleetConfiguration value;
};

// The request handling of one serving host with a manual clock. The route /read/ is open and idempotent, /order/ is
// open and not idempotent; both lead to the service endpoint "s1". The engine "e1" can hold the model "m1".
class RequestFlowFixture {
public:
    RequestFlowFixture();

    // A caller sends a request to an open route.
    RequestId arrive(const std::string& path);
    // Another host, which has reserved its tokens, relays a request for a model.
    RequestId arriveForModel(const std::string& model);
    // Puts a changed configuration into force.
    void configure(const FleetConfiguration&);
    // Lets the time pass.
    void advance(Duration);

    // Return the effects of one type since the last call.
    std::vector<StartAttempt> takeAttempts();
    std::vector<SendWholeResponse> takeAnswers();

    MonotonicTime now { std::chrono::hours(1) };
    FixedConfiguration configuration;
    EndpointTable endpoints { DataCentreId("here"), 1 };
    ShareManager shares { HostId("self"), 1, 1, now };
    ClaimManager claims { 1 };
    UsageAccounting usage { HostId("self"), now, WallTime() };
    CrashQuarantine quarantine;
    PromptQuarantine promptQuarantine;
    SuspectTrials trials { HostId("self") };
    RelayPeers relayPeers { DataCentreId("here"), 1 };
    RequestFlow requests { { configuration, endpoints, shares, claims, usage, quarantine, promptQuarantine, trials,
        relayPeers } };
    EffectList effects;

private:
    std::uint64_t m_lastRequest = 0;
};

} // namespace Catkinwell::Testing
