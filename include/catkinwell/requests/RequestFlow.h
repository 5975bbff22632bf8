#pragma once

#include <catkinwell/admin/UsageAccounting.h>
#include <catkinwell/admission/FairQueue.h>
#include <catkinwell/admission/WaitEstimator.h>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/core/OwnPause.h>
#include <catkinwell/orders/ClaimManager.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/reducer/Event.h>
#include <catkinwell/relay/EndpointDeaths.h>
#include <catkinwell/relay/EndpointReach.h>
#include <catkinwell/relay/RelayMessage.h>
#include <catkinwell/relay/RelayPeers.h>
#include <catkinwell/requests/ActiveRequest.h>
#include <catkinwell/requests/ApiError.h>
#include <catkinwell/routing/CrashQuarantine.h>
#include <catkinwell/routing/EndpointTable.h>
#include <catkinwell/routing/RetryBudget.h>
#include <catkinwell/routing/SuspectTrials.h>
#include <catkinwell/shares/ShareManager.h>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// The modules that decide about a request. They are owned elsewhere.
struct RequestModules {
    ConfigurationAccess& configuration;
    EndpointTable& endpoints;
    ShareManager& shares;
    ClaimManager& claims;
    UsageAccounting& usage;
    CrashQuarantine& quarantine;
    PromptQuarantine& promptQuarantine;
    SuspectTrials& trials;
    RelayPeers& relayPeers;
};

// The demand for a model on this host, reported to the placement.
struct ModelDemand {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t arrivals = 0;
};

// Handles each request from its arrival to its outcome: finds the route, checks the API key, reserves tokens, claims
// the idempotency key, queues the request for a replica, runs attempts and forwards the answer to the caller.
// Not thread safe; the modules must outlive it.
class RequestFlow {
public:
    explicit RequestFlow(RequestModules);
    ~RequestFlow();

    void handle(const RequestArrived&, MonotonicTime now, EffectList&);
    void handle(const CallerLeft&, MonotonicTime now, EffectList&);
    void handle(const CallerBackpressure&, EffectList&);
    // Another host has this one serve a request. The answer states whether an endpoint made it (RelayAnswer).
    void handle(const RelayedRequestArrived&, MonotonicTime now, EffectList&);
    void handle(const AttemptHead&, MonotonicTime now, EffectList&);
    void handle(const AttemptData&, MonotonicTime now, EffectList&);
    void handle(const AttemptFinished&, MonotonicTime now, EffectList&);
    void handle(const AttemptFailed&, MonotonicTime now, EffectList&);

    // Applies the pending decisions of the shares and claims, and starts queued requests if capacity may have changed.
    // Call it after every event that may have led to such a decision.
    void advance(MonotonicTime now, EffectList&);
    // Ends requests whose deadline has passed.
    void tick(MonotonicTime now, EffectList&);
    // Notes that an endpoint may have free capacity or a newly loaded model, so that the next advance() tries the
    // queued requests again.
    void capacityChanged() { m_dispatchDue = true; }

    // The state of an endpoint was read, or could not be read; absent if it answered.
    void noteReport(const EndpointId&, std::optional<AttemptFailure>, MonotonicTime now, EffectList&);
    // The endpoint is thought to have died. Counts as a crash unless this host's own links turn out to be broken.
    void noteEndpointDied(const EndpointId&, MonotonicTime now);

    // Applies changed limits and weights, and fails the requests whose API key is no longer granted.
    void configurationChanged(MonotonicTime now, EffectList&);

    // Ends the running requests that the quarantine refuses now and that no endpoint has begun to answer.
    void endQuarantined(MonotonicTime now, EffectList&);

    // Refuses new requests from now on; accepted requests continue.
    void beginShutdown();
    bool isShuttingDown() const { return m_shuttingDown; }
    bool isIdle() const { return m_requests.empty(); }
    std::size_t activeRequests() const { return m_requests.size(); }
    // Identifiers of the requests that an immediate exit would abort, in ascending order.
    std::vector<RequestId> unfinishedRequests() const;

    // Returns the demand by model. Arrivals, and requests refused during a cold start (counted as waiting), are those
    // since the last call.
    std::map<ModelId, ModelDemand> takeDemand();
    // Returns whether, since the last call, a request began to wait for a model without a loaded replica.
    bool takeNewColdStart();

private:
    struct Intake;

    // Intake: checks a received request and makes it an active one. answerBuiltIn() returns true after it has answered
    // the request; the other functions that return bool return false after they have refused it.
    bool answerBuiltIn(const RequestArrived&, EffectList&);
    bool authenticate(const RequestArrived&, Intake&, EffectList&);
    bool prepareCompletion(const RequestArrived&, Intake&, EffectList&);
    bool prepareServiceRequest(const RequestArrived&, Intake&, const RouteSettings&, EffectList&);
    bool readLimits(const RequestArrived&, Intake&, MonotonicTime now, EffectList&);
    const RouteSettings* findRoute(const std::string& path) const;
    void answerModels(const RequestArrived&, EffectList&);

    // Stages.
    void reserve(ActiveRequest&, MonotonicTime now, EffectList&);
    void claim(ActiveRequest&, MonotonicTime now, EffectList&);
    void enqueue(ActiveRequest&, MonotonicTime now, EffectList&);
    void apply(const ShareDecision&, MonotonicTime now, EffectList&);
    void apply(const ClaimDecision&, MonotonicTime now, EffectList&);
    void noteColdStart(ActiveRequest&, MonotonicTime now);
    void waitInQueue(ActiveRequest&, MonotonicTime now, EffectList&);
    bool refuseIfDeadlineTooShort(ActiveRequest&, MonotonicTime now, EffectList&);
    void dispatchQueued(MonotonicTime now, EffectList&);
    void dispatchModel(const ModelId& queueKey, MonotonicTime now, EffectList&);
    // Returns whether the request is done with queueing: an attempt was started, or the request was refused.
    bool startAttempt(ActiveRequest&, MonotonicTime now, EffectList&);

    // Paths to endpoints, and requests that other hosts serve.
    // What a probe decides on: whether the path to the pool is lost, or whether another endpoint died.
    enum class ProbePurpose {
        Path,
        Death,
    };
    struct Probe {
        std::string pool;
        EndpointId endpoint;
        ProbePurpose purpose = ProbePurpose::Path;
        MonotonicTime startedAt {};
    };
    void noteReached(const ActiveRequest&, bool isNewConnection, MonotonicTime now, EffectList&);
    void noteNotReached(const ActiveRequest&, AttemptFailure, MonotonicTime now, EffectList&);
    void updatePaths(MonotonicTime now, EffectList&);
    void relayQueued(const std::string& pool, MonotonicTime now, EffectList&);
    void decideDeaths(MonotonicTime now, EffectList&);
    void startProbe(const std::string& pool, ProbePurpose, MonotonicTime now, EffectList&);
    // Handle the events of a probe. Return false if the attempt is none.
    bool handleProbe(const AttemptHead&, MonotonicTime now, EffectList&);
    bool handleProbe(const AttemptFailed&, MonotonicTime now, EffectList&);
    bool isRelayed(RequestId id) const { return m_relayedFrom.contains(id); }
    bool needsRelay(const ActiveRequest&) const;
    // Relays the request if another host may serve it. Returns whether it did.
    bool startRelay(ActiveRequest&, MonotonicTime now, EffectList&);
    // The serving host ended the request itself.
    void handleBrokenRelay(ActiveRequest&, const AttemptFailed&, MonotonicTime now, EffectList&);
    void handleRelayRefusal(ActiveRequest&, MonotonicTime now, EffectList&);
    void passOnError(ActiveRequest&, MonotonicTime now, EffectList&);
    // Does not count time in which this host did not read as silence of the other hosts.
    void excludeOwnPause(MonotonicTime now);
    void failSilentRelays(MonotonicTime now, EffectList&);
    // How a relayed request ended that this host refused or failed with the error.
    static RelayOutcome relayOutcomeOf(const ApiError&);
    // Adds what the relaying host has to know of an answer, if the request was relayed to this host.
    void stateRelayAnswer(RequestId, HeaderList&, RelayOutcome, std::string_view reason = {}) const;

    // Answers.
    ActiveRequest* find(RequestId);
    ActiveRequest* findByAttempt(AttemptId);
    void forwardStream(ActiveRequest&, const std::string& data, MonotonicTime now, EffectList&);
    void bufferOrForward(ActiveRequest&, const std::string& data, EffectList&);
    void finishStream(ActiveRequest&, MonotonicTime now, EffectList&);
    // Handles an answer that is whole, other than a stream.
    void handleWhole(ActiveRequest&, MonotonicTime now, EffectList&);
    void finishWhole(ActiveRequest&, MonotonicTime now, EffectList&);
    // An answer ended with its connection, as it does if the endpoint ends: asks whether the endpoint still runs.
    void checkEndpointRuns(const ActiveRequest&, EffectList&);
    // Handle the events of such a check. Return false if the attempt is none.
    bool handleCheck(const AttemptHead&, MonotonicTime now, EffectList&);
    bool handleCheck(const AttemptFailed&, MonotonicTime now, EffectList&);
    // Returns true if the request was refused because it had crashed endpoints.
    bool refuseIfQuarantined(ActiveRequest&, MonotonicTime now, EffectList&);
    bool isQuarantined(const ActiveRequest&, MonotonicTime now) const;
    // Record what an answer that is complete or goes on for long, or a broken connection, says about the request.
    void noteAnswer(const ActiveRequest&, MonotonicTime now);
    void noteAnswerGoesOn(ActiveRequest&, MonotonicTime now);
    void noteBrokenAnswer(const ActiveRequest&, MonotonicTime now);
    void noteBrokenAttempt(ActiveRequest&, MonotonicTime now);
    void retryOrFail(ActiveRequest&, bool mayHaveRun, const std::string& reason, MonotonicTime now, EffectList&);
    void failIncompleteAnswer(ActiveRequest&, const std::string& reason, MonotonicTime now, EffectList&);
    void failRequest(ActiveRequest&, const ApiError&, MonotonicTime now, EffectList&);
    void answerWithError(ActiveRequest&, ApiError, EffectList&);
    void refuse(RequestId, const AccountId&, const ApiError&, EffectList&);
    void expire(ActiveRequest&, MonotonicTime now, EffectList&);
    void failForRevokedKey(ActiveRequest&, MonotonicTime now, EffectList&);
    // Takes the pool in which the request's model is now. Returns false if the model went away.
    bool followModel(ActiveRequest&) const;
    // Refuses waiting requests whose model went away, and lets the others wait in their model's present pool.
    void followModels(MonotonicTime now, EffectList&);
    void completeRequest(ActiveRequest&, std::optional<TokenCount> usedTokens, MonotonicTime now, EffectList&);
    void endAttempt(ActiveRequest&, bool clean, MonotonicTime now);
    void abandonAttempt(ActiveRequest&, MonotonicTime now, EffectList&);
    void settle(ActiveRequest&, TokenCount usedTokens, MonotonicTime now);
    void settleClaim(ActiveRequest&, MonotonicTime now, EffectList&);
    TokenCount tokensSoFar(const ActiveRequest&) const;
    void erase(RequestId);

    RequestModules m_modules;
    bool m_shuttingDown = false;
    bool m_hasNewColdStart = false;
    std::uint64_t m_lastAttempt = 0;
    std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>> m_requests;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::set<std::pair<MonotonicTime, RequestId>> m_deadlines;
    FairQueue m_queue;
    WaitEstimator m_waits;
    RetryBudget m_retries;
    // Fingerprints of requests whose attempt ended with an unknown outcome, and until when no further attempt may
    // start. The delay lets the death of the endpoint be detected first; otherwise one request could crash several
    // endpoints.
    std::unordered_map<RequestFingerprint, MonotonicTime> m_heldUntil;
    // Models that a request waits for and that have not been loaded since.
    std::set<ModelId> m_loading;
    bool m_dispatchDue = false;
    EndpointReach m_reach;
    EndpointDeaths m_deaths;
    std::map<AttemptId, Probe> m_probes;
    MonotonicTime m_nextDeathProbesAt {};
    // Checks whether endpoints still run, with the attempts whose answers they decide on.
    std::unordered_map<AttemptId, AttemptId> m_endpointChecks;
    // The requests that other hosts have this one serve.
    std::unordered_map<RequestId, HostId> m_relayedFrom;
    std::size_t m_relaysUnderWay = 0;
    OwnPause m_ownPause;
    std::map<ModelId, std::uint32_t> m_arrivals;
    // Requests that were refused because their model would be loaded too late. They count as demand for the model.
    std::map<ModelId, std::uint32_t> m_refusedColdStarts;
};

} // namespace Catkinwell
