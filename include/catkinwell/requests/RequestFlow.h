#pragma once

#include <catkinwell/admin/UsageAccounting.h>
#include <catkinwell/admission/FairQueue.h>
#include <catkinwell/admission/WaitEstimator.h>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/orders/ClaimManager.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/reducer/Event.h>
#include <catkinwell/requests/ActiveRequest.h>
#include <catkinwell/requests/ApiError.h>
#include <catkinwell/routing/CrashQuarantine.h>
#include <catkinwell/routing/EndpointTable.h>
#include <catkinwell/routing/RetryBudget.h>
#include <catkinwell/shares/ShareManager.h>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// The decision modules that a request passes.
struct RequestModules {
    ConfigurationAccess& configuration;
    EndpointTable& endpoints;
    ShareManager& shares;
    ClaimManager& claims;
    UsageAccounting& usage;
    CrashQuarantine& quarantine;
};

// What the placement should know of a model's requests on this host.
struct ModelDemand {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t arrivals = 0;
};

// Takes each request from its arrival to its outcome: finds the route, checks the key,
// reserves tokens, claims keyed requests, waits for a replica, runs attempts, passes
// the answer on. Not thread safe; the modules outlive it.
class RequestFlow {
public:
    explicit RequestFlow(RequestModules);
    ~RequestFlow();

    void handle(const RequestArrived&, MonotonicTime now, EffectList&);
    void handle(const CallerLeft&, MonotonicTime now, EffectList&);
    void handle(const CallerBackpressure&, EffectList&);
    void handle(const AttemptHead&);
    void handle(const AttemptData&, MonotonicTime now, EffectList&);
    void handle(const AttemptFinished&, MonotonicTime now, EffectList&);
    void handle(const AttemptFailed&, MonotonicTime now, EffectList&);

    // Takes the decisions of the shares and claims, and starts what has found room. To be
    // called after every event that may have changed them.
    void advance(MonotonicTime now, EffectList&);
    // Refuses what is past its deadline.
    void tick(MonotonicTime now, EffectList&);
    // Tells that an endpoint may have found room or a model, so that waiting requests are tried again.
    void capacityChanged() { m_dispatchDue = true; }

    // Takes over limits and weights, and ends the requests of keys that are no longer granted.
    void configurationChanged(MonotonicTime now, EffectList&);

    // Refuses new requests from now on; running ones go on.
    void beginShutdown();
    bool isShuttingDown() const { return m_shuttingDown; }
    bool isIdle() const { return m_requests.empty(); }
    std::size_t activeRequests() const { return m_requests.size(); }
    // Identifiers of the requests that an immediate exit would cut.
    std::vector<RequestId> unfinished() const;

    // Requests by model; the arrivals are those since the last call.
    std::map<ModelId, ModelDemand> takeDemand();
    // Whether a request began to wait for a model that is loaded nowhere, since the last call.
    bool takeNewlyCold();

private:
    struct Intake;

    // From the raw request to an active one. Each returns false after refusing.
    bool answerBuiltIn(const RequestArrived&, EffectList&);
    bool authenticate(const RequestArrived&, Intake&, EffectList&);
    bool prepareCompletion(const RequestArrived&, Intake&, EffectList&);
    bool preparePlain(const RequestArrived&, Intake&, const RouteSettings&, EffectList&);
    bool readLimits(const RequestArrived&, Intake&, MonotonicTime now, EffectList&);
    const RouteSettings* findRoute(const std::string& path) const;
    void answerModels(const RequestArrived&, EffectList&);

    // Stages.
    void reserve(ActiveRequest&, MonotonicTime now, EffectList&);
    void claim(ActiveRequest&, MonotonicTime now, EffectList&);
    void enqueue(ActiveRequest&, MonotonicTime now, EffectList&);
    void apply(const ShareDecision&, MonotonicTime now, EffectList&);
    void apply(const ClaimDecision&, MonotonicTime now, EffectList&);
    void noteCold(ActiveRequest&, MonotonicTime now);
    void waitInQueue(ActiveRequest&, MonotonicTime now, EffectList&);
    bool refuseHopeless(ActiveRequest&, MonotonicTime now, EffectList&);
    void dispatchQueued(MonotonicTime now, EffectList&);
    void dispatchModel(const ModelId& queueKey, MonotonicTime now, EffectList&);
    // Returns whether the request left the queue: an attempt was started, or the request was refused for good.
    bool startAttempt(ActiveRequest&, MonotonicTime now, EffectList&);

    // Answers.
    ActiveRequest* find(RequestId);
    ActiveRequest* findByAttempt(AttemptId);
    void passStream(ActiveRequest&, const std::string& data, MonotonicTime now, EffectList&);
    void collect(ActiveRequest&, const std::string& data, EffectList&);
    void finishStream(ActiveRequest&, MonotonicTime now, EffectList&);
    void finishWhole(ActiveRequest&, MonotonicTime now, EffectList&);
    // Returns whether the request was refused because it crashed endpoints.
    bool refuseIfQuarantined(ActiveRequest&, MonotonicTime now, EffectList&);
    void noteBroken(ActiveRequest&, MonotonicTime now);
    void retryOrFail(ActiveRequest&, bool mayHaveRun, const std::string& reason, MonotonicTime now, EffectList&);
    void breakAnswer(ActiveRequest&, const std::string& reason, MonotonicTime now, EffectList&);
    void failRequest(ActiveRequest&, const ApiError&, MonotonicTime now, EffectList&);
    void answerWithError(ActiveRequest&, ApiError, EffectList&);
    void refuse(RequestId, const AccountId&, const ApiError&, EffectList&);
    void expire(ActiveRequest&, MonotonicTime now, EffectList&);
    void revoke(ActiveRequest&, MonotonicTime now, EffectList&);
    void completeRequest(ActiveRequest&, std::optional<TokenCount> usedTokens, MonotonicTime now, EffectList&);
    void endAttempt(ActiveRequest&, bool clean, MonotonicTime now);
    void abandonAttempt(ActiveRequest&, MonotonicTime now, EffectList&);
    void settle(ActiveRequest&, TokenCount usedTokens, MonotonicTime now);
    void settleClaim(ActiveRequest&, MonotonicTime now, EffectList&);
    TokenCount tokensSoFar(const ActiveRequest&) const;
    void erase(RequestId);

    RequestModules m_modules;
    bool m_shuttingDown = false;
    bool m_newlyCold = false;
    std::uint64_t m_lastAttempt = 0;
    std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>> m_requests;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::set<std::pair<MonotonicTime, RequestId>> m_deadlines;
    FairQueue m_queue;
    WaitEstimator m_waits;
    RetryBudget m_retries;
    // Fingerprints whose attempt broke. They wait until it is known whether the endpoint died, so that
    // one request cannot take down several endpoints before the first death is noticed.
    std::unordered_map<RequestFingerprint, MonotonicTime> m_examinedUntil;
    // Models whose load is awaited.
    std::set<ModelId> m_loading;
    bool m_dispatchDue = false;
    std::map<ModelId, std::uint32_t> m_arrivals;
    // Requests refused because the load of their model takes too long; the model is wanted all the same.
    std::map<ModelId, std::uint32_t> m_refusedCold;
};

} // namespace Catkinwell
