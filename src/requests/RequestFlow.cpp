#include <catkinwell/requests/RequestFlow.h>

#include "requests/RequestIntake.h"
#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr Duration retryAfterLostPath = std::chrono::seconds(1);
    constexpr Duration longestStreamSilence = std::chrono::seconds(20);
    constexpr Duration silenceTimeoutMargin = std::chrono::milliseconds(250);
    // No model name begins with a space, so the queue of a service can't collide with the queue of a model.
    constexpr std::string_view serviceQueuePrefix = " service ";

    ModelId queueKeyOf(const ActiveRequest& request)
    {
        return request.model.value.empty() ? ModelId(std::string(serviceQueuePrefix) + request.pool) : request.model;
    }

    QueuedRequest queuedRequestOf(const ActiveRequest& request)
    {
        return { request.id, queueKeyOf(request), request.account, std::max<TokenCount>(1, request.reservedTokens),
            request.priority, request.deadline };
    }

    ApiError shareError(const ShareRefused& refused)
    {
        ApiError error;
        switch (refused.reason) {
        case ShareRefusal::ExceedsBurst:
        case ShareRefusal::ExceedsHostLimit:
            error.code = ApiErrorCode::RequestExceedsBurst;
            error.message = "the request needs more tokens than the client account may use at once";
            return error;
        case ShareRefusal::NoShare:
            error.code = ApiErrorCode::StoreUnavailable;
            error.message
                = "this host holds no share of the client account's token rate, because the store does not answer";
            error.retryAfter = refused.retryAfter;
            return error;
        case ShareRefusal::ShuttingDown:
            error.code = ApiErrorCode::ShuttingDown;
            error.message = "this host is shutting down";
            return error;
        case ShareRefusal::QueueFull:
        case ShareRefusal::TooManyReservations:
            error.code = ApiErrorCode::QueueFull;
            break;
        default:
            error.code = ApiErrorCode::RateLimitExceeded;
        }
        error.message = "the client account's token rate is used up (" + std::string(nameOf(refused.reason)) + ")";
        if (refused.retryAfter > Duration::zero())
            error.retryAfter = refused.retryAfter;
        return error;
    }

    ApiError claimError(const ClaimNotRun& refused)
    {
        ApiError error;
        error.retryAfter = refused.retryAfter;
        switch (refused.reason) {
        case NotRunReason::Deadline:
            error.code = ApiErrorCode::DeadlineExceeded;
            break;
        case NotRunReason::ShuttingDown:
            error.code = ApiErrorCode::ShuttingDown;
            break;
        case NotRunReason::TooManyClaims:
        case NotRunReason::ShardFull:
            error.code = ApiErrorCode::QueueFull;
            break;
        case NotRunReason::StoreUnavailable:
        case NotRunReason::ShardUnreadable:
            error.code = ApiErrorCode::StoreUnavailable;
            break;
        }
        error.message = "the idempotency key could not be claimed (" + std::string(nameOf(refused.reason)) + ")";
        return error;
    }

} // namespace

RequestFlow::RequestFlow(RequestModules modules)
    : m_modules(modules)
{
}

RequestFlow::~RequestFlow() = default;

ActiveRequest* RequestFlow::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second.get();
}

ActiveRequest* RequestFlow::findByAttempt(AttemptId id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

void RequestFlow::reserve(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    request.stage = RequestStage::AwaitingTokens;
    if (request.reservedTokens == 0) {
        claim(request, now, effects);
        return;
    }
    const ShareResult result
        = m_modules.shares.reserve(request.id, request.account, request.reservedTokens, request.deadline, now, effects);
    if (!std::holds_alternative<SharePending>(result))
        apply(ShareDecision { request.id, request.account, result }, now, effects);
}

void RequestFlow::apply(const ShareDecision& decision, MonotonicTime now, EffectList& effects)
{
    ActiveRequest* request = find(decision.request);
    if (!request || request->stage != RequestStage::AwaitingTokens)
        return;
    if (const auto* refused = std::get_if<ShareRefused>(&decision.result)) {
        failRequest(*request, shareError(*refused), now, effects);
        return;
    }
    request->hasReservation = true;
    claim(*request, now, effects);
}

void RequestFlow::claim(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    request.stage = RequestStage::AwaitingClaim;
    if (request.idempotencyKey.empty()) {
        enqueue(request, now, effects);
        return;
    }
    const std::string digest = sha256Hex(request.method + '\n' + request.target + '\n' + request.body);
    m_modules.claims.claim(request.id, request.account, request.idempotencyKey, digest, request.deadline, now, effects);
}

void RequestFlow::apply(const ClaimDecision& decision, MonotonicTime now, EffectList& effects)
{
    ActiveRequest* request = find(decision.request);
    if (!request) {
        // The caller left before the claim was confirmed, so the request was never sent.
        if (std::holds_alternative<ClaimRun>(decision.verdict))
            m_modules.claims.recordNotSent(decision.request, now, effects);
        return;
    }
    if (std::holds_alternative<ClaimRun>(decision.verdict)) {
        request->hasClaim = true;
        enqueue(*request, now, effects);
    } else if (const auto* repeat = std::get_if<ClaimRepeat>(&decision.verdict)) {
        HeaderList headers = repeat->headers;
        headers.emplace_back("Idempotent-Replayed", "true");
        if (!repeat->bodyKept)
            headers.emplace_back("Idempotent-Body-Sha256", repeat->bodyDigest);
        effects.push_back(SendWholeResponse { request->id, repeat->status, headers, repeat->body });
        request->answered = true;
        completeRequest(*request, 0, now, effects);
    } else if (std::holds_alternative<ClaimInProgress>(decision.verdict)) {
        failRequest(*request,
            { ApiErrorCode::RequestInProgress, "the first request with this idempotency key is still running",
                RunOutcome::Unknown, "", std::chrono::seconds(1) },
            now, effects);
    } else if (std::holds_alternative<ClaimUnknownOutcome>(decision.verdict)) {
        failRequest(*request,
            { ApiErrorCode::EarlierOutcomeUnknown, "the first request with this idempotency key may have run",
                RunOutcome::Unknown },
            now, effects);
    } else if (std::holds_alternative<ClaimBodyMismatch>(decision.verdict)) {
        failRequest(*request,
            { ApiErrorCode::IdempotencyKeyReused, "the idempotency key was used with a different request" }, now,
            effects);
    } else {
        failRequest(*request, claimError(std::get<ClaimNotRun>(decision.verdict)), now, effects);
    }
}

void RequestFlow::enqueue(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    request.stage = RequestStage::Queued;
    if (!followModel(request)) {
        failRequest(request, { ApiErrorCode::ModelNotFound, "the model no longer exists" }, now, effects);
        return;
    }
    if (needsRelay(request) && startRelay(request, now, effects))
        return;
    if (isRelayed(request.id) && m_reach.isLost(request.pool)) {
        failRequest(request,
            { ApiErrorCode::NoEndpoint, "this host cannot reach the endpoints either", RunOutcome::NotRun, "",
                retryAfterLostPath },
            now, effects);
        return;
    }
    if (!m_modules.endpoints.hasUsableEndpoint(request.pool, now) && request.model.value.empty()) {
        failRequest(request,
            { ApiErrorCode::NoEndpoint, "no endpoint of the pool \"" + request.pool + "\" is available",
                RunOutcome::NotRun, "", std::chrono::seconds(2) },
            now, effects);
        return;
    }
    // If no other endpoint has the model loaded, one that failed may be tried again once it is no longer
    // suspected.
    if (!m_modules.endpoints.isLoaded(request.pool, request.model, now, request.excluded))
        request.excluded.clear();
    if (m_queue.length(queueKeyOf(request)) == 0 && startAttempt(request, now, effects))
        return;
    if (!request.coldSince && !m_modules.endpoints.isLoaded(request.pool, request.model, now))
        noteColdStart(request, now);
    if (!refuseIfDeadlineTooShort(request, now, effects))
        waitInQueue(request, now, effects);
}

void RequestFlow::noteColdStart(ActiveRequest& request, MonotonicTime now)
{
    request.coldSince = now;
    m_hasNewColdStart = true;
    m_modules.usage.coldStart(request.account, request.model);
    const auto& models = m_modules.configuration.effective().models;
    const auto model = models.find(request.model);
    if (model != models.end() && !m_loading.contains(request.model)) {
        m_loading.insert(request.model);
        m_waits.loadExpected(request.model, now + model->second.expectedLoadTime, now);
    }
}

bool RequestFlow::refuseIfDeadlineTooShort(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    const QueuedRequest queued = queuedRequestOf(request);
    const WaitEstimate estimate = m_waits.estimate(queued.model, m_queue.tokensAhead(queued), request.deadline, now);
    if (!estimate.refuseRetryAfter)
        return false;
    if (request.coldSince)
        ++m_refusedColdStarts[request.model];
    failRequest(request,
        { ApiErrorCode::DeadlineTooShort, "the request cannot be served before its deadline", RunOutcome::NotRun, "",
            estimate.refuseRetryAfter },
        now, effects);
    return true;
}

void RequestFlow::waitInQueue(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    const QueuedRequest queued = queuedRequestOf(request);
    if (const auto refusal = m_queue.push(queued, now)) {
        const bool late = *refusal == QueueRefusal::DeadlinePassed;
        failRequest(request,
            { late ? ApiErrorCode::DeadlineExceeded : ApiErrorCode::QueueFull,
                "the request cannot be queued (" + std::string(nameOf(*refusal)) + ")", RunOutcome::NotRun, "",
                std::chrono::seconds(1) },
            now, effects);
        return;
    }
    m_waits.setBacklogged(queued.model, !request.coldSince, now);
    effects.push_back(LogEntry { LogEvent::RequestQueued,
        { { "request", std::to_string(request.id.value) }, { "account", request.account.value },
            { "model", request.model.value }, { "cold", request.coldSince ? "true" : "false" },
            { "queue_length", std::to_string(m_queue.length(queued.model)) } } });
    effects.push_back(
        RecordMetric { Metric::QueueLength, queued.model.value, static_cast<double>(m_queue.length(queued.model)) });
}

void RequestFlow::dispatchQueued(MonotonicTime now, EffectList& effects)
{
    m_dispatchDue = false;
    for (const ModelId& queueKey : m_queue.waitingModels())
        dispatchModel(queueKey, now, effects);
}

void RequestFlow::dispatchModel(const ModelId& queueKey, MonotonicTime now, EffectList& effects)
{
    const auto& models = m_modules.configuration.effective().models;
    const auto model = models.find(queueKey);
    const bool isService = queueKey.value.starts_with(serviceQueuePrefix);
    if (!isService && model == models.end())
        return;
    const std::string pool = isService ? queueKey.value.substr(serviceQueuePrefix.size()) : model->second.pool;
    const ModelId modelId = isService ? ModelId() : queueKey;
    std::vector<QueuedRequest> unplaced;
    // Capacity is checked first, because taking a request from the queue counts as service to its account.
    while (m_modules.endpoints.hasRoom(pool, modelId, now)) {
        const auto next = m_queue.pop(queueKey, now);
        if (!next)
            break;
        ActiveRequest* request = find(next->id);
        if (!request)
            continue;
        if (startAttempt(*request, now, effects))
            m_waits.served(queueKey, static_cast<double>(next->estimatedTokens), now);
        else
            unplaced.push_back(*next); // The endpoints with capacity are excluded, or attempts are on hold.
    }
    for (const QueuedRequest& request : unplaced)
        m_queue.putBack(request, now);
    const bool loaded = isService || m_modules.endpoints.isLoaded(pool, modelId, now);
    const std::size_t length = m_queue.length(queueKey);
    m_waits.setBacklogged(queueKey, loaded && length > 0, now);
    effects.push_back(RecordMetric { Metric::QueueLength, queueKey.value, static_cast<double>(length) });
}

bool RequestFlow::startAttempt(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (refuseIfQuarantined(request, now, effects))
        return true;
    const Suspicion suspicion = m_modules.promptQuarantine.suspicionOf(request.promptParts, now);
    if (m_heldUntil.contains(request.fingerprint) || !m_modules.trials.mayStart(suspicion, now))
        return false;
    const auto endpoint = m_modules.endpoints.choose(
        { request.id, request.pool, request.model, request.prefixHash, request.excluded }, now, effects);
    if (!endpoint)
        return false;
    if (m_loading.erase(request.model) > 0)
        m_waits.loaded(request.model, now);
    if (request.coldSince) {
        const double seconds = std::chrono::duration<double>(now - *request.coldSince).count();
        effects.push_back(RecordMetric { Metric::ColdStartSeconds, request.model.value, seconds });
        request.coldSince.reset();
    }
    request.stage = RequestStage::Running;
    request.attempt = AttemptId(++m_lastAttempt);
    request.attemptStartedAt = now;
    request.endpoint = endpoint->id;
    request.endpointAddress = endpoint->address;
    request.relayedTo.reset();
    request.status = 0;
    request.collected.clear();
    ++request.attempts;
    m_attempts[request.attempt] = request.id;
    m_modules.quarantine.attemptStarted(endpoint->id, request.fingerprint);
    m_modules.trials.started(request.id, suspicion);
    StartAttempt attempt;
    attempt.id = request.attempt;
    attempt.endpoint = endpoint->id;
    attempt.address = endpoint->address;
    attempt.method = request.method;
    attempt.target = request.target;
    attempt.headers = request.headers;
    attempt.body = request.body;
    // With the margin, the deadline of the request passes before the timeout of the connection.
    const Duration remaining = std::max<Duration>(request.deadline - now, Duration::zero()) + silenceTimeoutMargin;
    attempt.silenceTimeout = request.stream ? std::min(remaining, longestStreamSilence) : remaining;
    attempt.needsFreshConnection = !request.idempotent;
    effects.push_back(std::move(attempt));
    effects.push_back(RecordMetric { Metric::AttemptsTotal, endpoint->pool });
    request.mayHaveRunBefore = request.mayHaveRun;
    request.mayHaveRun = true;
    return true;
}

void RequestFlow::advance(MonotonicTime now, EffectList& effects)
{
    for (const ShareDecision& decision : m_modules.shares.takeDecisions())
        apply(decision, now, effects);
    for (const ClaimDecision& decision : m_modules.claims.takeDecisions())
        apply(decision, now, effects);
    if (m_dispatchDue)
        dispatchQueued(now, effects);
}

void RequestFlow::tick(MonotonicTime now, EffectList& effects)
{
    capacityChanged();
    updatePaths(now, effects);
    excludeOwnPause(now);
    failSilentRelays(now, effects);
    m_queue.takeExpired(now);
    std::erase_if(m_heldUntil, [now](const auto& entry) { return entry.second <= now; });
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (ActiveRequest* request = find(id))
            expire(*request, now, effects);
    }
}

void RequestFlow::expire(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (request.headSent || request.answered)
        return;
    if (request.stage == RequestStage::AwaitingTokens || request.stage == RequestStage::AwaitingClaim)
        return; // ShareManager and ClaimManager enforce the deadline themselves and give a more precise reason.
    if (request.stage == RequestStage::Queued) {
        failRequest(request,
            { ApiErrorCode::DeadlineExceeded, "no replica had room before the deadline", RunOutcome::NotRun, "",
                std::chrono::seconds(1) },
            now, effects);
        return;
    }
    const ApiError late { ApiErrorCode::DeadlineExceeded, "the endpoint did not answer before the deadline",
        RunOutcome::Unknown };
    if (request.idempotent) {
        m_modules.endpoints.refreshSoon(request.endpoint);
        abandonAttempt(request, now, effects);
        failRequest(request, late, now, effects);
        return;
    }
    // The attempt continues, so that its outcome can be recorded.
    answerWithError(request, late, effects);
}

void RequestFlow::configurationChanged(MonotonicTime now, EffectList& effects)
{
    const FleetConfiguration& configuration = m_modules.configuration.effective();
    FairQueueLimits limits;
    limits.perAccountAndModel = configuration.defaults.maximumQueuedPerAccountAndModel;
    limits.perHost = configuration.defaults.maximumQueuedPerHost;
    m_queue.setLimits(limits);
    for (const auto& [id, account] : configuration.accounts)
        m_queue.setWeight(id, account.weight);
    RetryBudgetSettings retries;
    retries.fraction = configuration.defaults.retryBudgetFraction;
    m_retries.setSettings(retries);
    const auto& keys = configuration.keys;
    std::vector<RequestId> revoked;
    for (const auto& [id, request] : m_requests) {
        if (!request->keyDigest.empty() && !keys.contains(request->keyDigest))
            revoked.push_back(id);
    }
    for (const RequestId id : revoked)
        failForRevokedKey(*m_requests[id], now, effects);
    followModels(now, effects);
}

bool RequestFlow::followModel(ActiveRequest& request) const
{
    if (request.model.value.empty())
        return true;
    const auto& models = m_modules.configuration.effective().models;
    const auto model = models.find(request.model);
    if (model == models.end())
        return false;
    request.pool = model->second.pool;
    return true;
}

// No replica will come for a model that went away; one that moved has its replicas in another pool.
void RequestFlow::followModels(MonotonicTime now, EffectList& effects)
{
    std::vector<RequestId> unserved;
    for (const auto& [id, request] : m_requests) {
        if (request->stage != RequestStage::Running && !followModel(*request))
            unserved.push_back(id);
    }
    for (const RequestId id : unserved)
        failRequest(*m_requests[id], { ApiErrorCode::ModelNotFound, "the model no longer exists" }, now, effects);
}

void RequestFlow::failForRevokedKey(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (request.answered)
        return;
    const RunOutcome outcome = request.stage == RequestStage::Running ? RunOutcome::Unknown : RunOutcome::NotRun;
    const ApiError error { ApiErrorCode::KeyRevoked, "the API key was revoked", outcome };
    if (request.stage == RequestStage::Running && !request.idempotent) {
        answerWithError(request, error, effects);
        return;
    }
    if (request.stage == RequestStage::Running)
        abandonAttempt(request, now, effects);
    failRequest(request, error, now, effects);
}

void RequestFlow::beginShutdown() { m_shuttingDown = true; }

std::vector<RequestId> RequestFlow::unfinishedRequests() const
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : m_requests)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool RequestFlow::takeNewColdStart() { return std::exchange(m_hasNewColdStart, false); }

std::map<ModelId, ModelDemand> RequestFlow::takeDemand()
{
    std::map<ModelId, ModelDemand> demand;
    for (const auto& [model, arrivals] : m_arrivals)
        demand[model].arrivals = arrivals;
    for (const auto& [model, refused] : m_refusedColdStarts)
        demand[model].waiting += refused;
    m_refusedColdStarts.clear();
    m_arrivals.clear();
    for (const auto& [id, request] : m_requests) {
        if (request->model.value.empty())
            continue;
        if (request->stage == RequestStage::Queued)
            ++demand[request->model].waiting;
        else if (request->stage == RequestStage::Running)
            ++demand[request->model].running;
    }
    return demand;
}

} // namespace Catkinwell
