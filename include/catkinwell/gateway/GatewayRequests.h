#pragma once

#include <catkinwell/gateway/EndpointDirectory.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <catkinwell/gateway/ForwardingProtocol.h>
#include <catkinwell/gateway/HostDemand.h>
#include <catkinwell/gateway/RouteTable.h>
#include <catkinwell/gateway/StreamCutter.h>
#include <catkinwell/routing/CrashQuarantine.h>
#include <catkinwell/routing/RetryBudget.h>
#include <unordered_map>

namespace Catkinwell {

struct GatewayRequestSettings {
    // Repeats that a service may get, over all hosts: this part of its requests and a constant number in the window.
    double retryFraction = 0.2;
    double retryConstant = 50;
    Duration retryWindow = std::chrono::seconds(10);
};

// The requests of callers, from their arrival to the end of their answers: authentication, limits, the choice of an
// endpoint, repeats, resumed streams and refusals. Pure; not thread safe.
class GatewayRequests {
public:
    // Precondition: the other objects outlive this one.
    GatewayRequests(GatewayRequestSettings, const ForwardingProtocol&, EndpointDirectory&, FleetQuota&);

    void configure(const GatewayConfiguration&);
    // Takes effect for the budgets of all services at once.
    void setSettings(const GatewayRequestSettings&);
    // Hosts that share the retry budget, this one included.
    void setHostCount(std::size_t);

    void handle(const RequestArrived&, MonotonicTime now, EffectList&);
    void handle(const CallerLeft&, MonotonicTime now, EffectList&);
    void handle(const CallerBackpressure&, EffectList&);
    void handle(const AttemptHead&, MonotonicTime now, EffectList&);
    void handle(const AttemptData&, MonotonicTime now, EffectList&);
    void handle(const AttemptFinished&, MonotonicTime now, EffectList&);
    void handle(const AttemptFailed&, MonotonicTime now, EffectList&);
    // Deadlines of all requests.
    void tick(MonotonicTime now, EffectList&);
    // The host is stopping: requests that were not sent are refused, and so are new ones. Those under way go on.
    void stopTaking(MonotonicTime now, EffectList&);
    // Ends whatever is left, because the process ends.
    void endAll(MonotonicTime now, EffectList&);
    // Sends what waits, where a replica is ready now.
    void advance(MonotonicTime now, EffectList&);

    // The endpoint is gone, or another one has its identifier.
    void endpointDied(const EndpointId&, MonotonicTime now);
    CrashQuarantine& quarantine() { return m_quarantine; }

    // The demand for models and adapters, for the owner of the placement.
    HostDemand& demand() { return m_demand; }
    // Whether a request began to wait for a replica since the last call.
    bool takeNewlyWaiting() { return std::exchange(m_newlyWaiting, false); }
    std::size_t activeRequests() const { return m_requests.size(); }

private:
    // What is left must be enough for an endpoint to do something.
    static constexpr Duration shortestAttempt = std::chrono::milliseconds(30);
    static constexpr Duration soonRetryAfter = std::chrono::milliseconds(100);
    static constexpr Duration shortRetryAfter = std::chrono::milliseconds(500);

    // One attempt of a request at an endpoint.
    struct Attempt {
        AttemptId id;
        EndpointId endpoint;
        MonotonicTime startedAt {};
        MonotonicTime lastDataAt {};
        bool isHeadSeen = false;
        int status = 0;
        HeaderList headers;
        AnswerTerms terms;
        // Of an answer that is collected before it is passed on.
        std::string body;
        // Whether the answer goes to the caller piece by piece.
        bool isForwarded = false;
    };

    struct Request {
        RequestArrived arrived;
        RequestTerms terms;
        Route route;
        std::string service;
        AccountId account;
        std::optional<int> priority;
        double units = 0;
        std::uint64_t fingerprint = 0;
        MonotonicTime arrivedAt {};
        MonotonicTime finalAt {};
        // The caller gives a stream up that has not begun by then.
        MonotonicTime firstByteBy {};
        std::optional<Attempt> attempt;
        // Endpoints that failed this request.
        std::set<EndpointId> excluded;
        // Attempts that may have run.
        unsigned attempts = 0;
        // Attempts that certainly did not run.
        unsigned rejections = 0;
        bool mayHaveRun = false;
        bool isHeadSent = false;
        bool isWaiting = false;
        MonotonicTime waitingSince {};
        // Time spent without an attempt, and until the head of the answer.
        Duration waited {};
        Duration firstByte {};
        MonotonicTime nextTryAt {};
        StreamCutter cutter;
        std::string failure;
    };

    using RequestMap = std::unordered_map<RequestId, Request>;

    // Why a request is refused before it was sent.
    struct Refusal {
        int status = 503;
        std::string_view reason;
        std::string message;
        std::optional<Duration> retryAfter;
    };

    std::optional<Refusal> admit(Request&, MonotonicTime now);
    std::optional<Refusal> authenticate(Request&) const;
    void dispatch(Request&, MonotonicTime now, EffectList&);
    // How long until a replica can be ready at best; nothing for a plain service and for an unknown model.
    std::optional<Duration> soonestReplica(const ServiceVariant&, MonotonicTime now) const;
    // Refuses a waiting request whose model cannot be ready in time. The model counts as wanted for a while more.
    void refuseIfTooLate(Request&, std::optional<Duration> soonest, MonotonicTime now, EffectList&);
    void endRefusedWaits(MonotonicTime now);
    // How long the request may wait for a replica.
    MonotonicTime waitLimit(const Request&) const;
    void waitForReplica(Request&, MonotonicTime now, EffectList&);
    void stopWaiting(Request&, MonotonicTime now);
    void startAttempt(Request&, const EndpointChoice&, MonotonicTime now, EffectList&);
    void endAttempt(Request&, AttemptVerdict, MonotonicTime now, EffectList&);
    void handleNotExecuted(Request&, MonotonicTime now, EffectList&);
    void handleCompleteAnswer(Request&, MonotonicTime now, EffectList&);
    // Repeats the request elsewhere if that is safe and allowed; otherwise answers with the failure.
    void handleLostAttempt(Request&, std::string reason, AttemptVerdict, MonotonicTime now, EffectList&);
    bool mayRepeat(const Request&, MonotonicTime now) const;
    bool takeRetry(const Request&, MonotonicTime now);
    void forwardData(Request&, std::string_view, EffectList&);
    void checkTimes(Request&, MonotonicTime now, EffectList&);
    void refuse(Request&, const Refusal&, MonotonicTime now, EffectList&);
    void fail(Request&, int status, std::string_view reason, MonotonicTime now, EffectList&);
    void finish(Request&, MonotonicTime now, EffectList&);
    void passOn(Request&, MonotonicTime now, EffectList&);
    void forget(RequestId, MonotonicTime now);
    Request* requestOf(const AttemptId&);
    RetryBudget& budgetOf(const std::string& service);
    void logEnd(LogEvent, const Request&, int status, std::string_view reason, MonotonicTime now, EffectList&) const;

    GatewayRequestSettings m_settings;
    const ForwardingProtocol& m_protocol;
    EndpointDirectory& m_directory;
    FleetQuota& m_quota;
    GatewayConfiguration m_configuration;
    RouteTable m_routes;
    CrashQuarantine m_quarantine;
    std::map<std::string, RetryBudget> m_budgets;
    std::size_t m_hostCount = 1;
    RequestMap m_requests;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::set<RequestId> m_waiting;
    // Models that refused callers come back for, until then. Each counts as one waiting request.
    std::map<ServiceVariant, MonotonicTime> m_refusedWaits;
    HostDemand m_demand;
    std::uint64_t m_lastAttempt = 0;
    bool m_newlyWaiting = false;
    bool m_isStopping = false;
};

} // namespace Catkinwell
