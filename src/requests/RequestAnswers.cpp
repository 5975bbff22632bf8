#include <algorithm>
#include <catkinwell/requests/RequestFlow.h>
#include <catkinwell/requests/StreamFilter.h>
#include <cctype>
#include <set>

// The part of RequestFlow that handles an endpoint's answer and forwards it to the caller.

namespace Catkinwell {

namespace {

    // An answer that is not streamed is buffered up to this size, so that the request can still be retried if the
    // answer breaks off.
    constexpr std::size_t maximumCollectedBytes = 4 * 1024 * 1024;
    constexpr std::uint32_t maximumAttempts = 4;
    constexpr std::uint32_t maximumUnsentAttempts = 8;
    // Limits the endpoints that one request can crash before the death of the first is detected.
    constexpr std::uint32_t maximumBrokenAttempts = 2;
    // After a broken attempt the endpoint's report is fetched at once, which detects a dead endpoint within a few tens
    // of milliseconds.
    constexpr Duration crashDetectionTime = std::chrono::milliseconds(500);
    constexpr std::size_t maximumHeldFingerprints = 4096;

    bool isDroppedHeader(std::string name)
    {
        static const std::set<std::string> droppedHeaders { "connection", "keep-alive", "transfer-encoding",
            "content-length", "trailer", "upgrade", "proxy-authenticate", "server", "date" };
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        return droppedHeaders.contains(name);
    }

    bool isTemporaryFailure(int status) { return status == 429 || status == 502 || status == 503 || status == 504; }

    HeaderList callerHeaders(const HeaderList& received)
    {
        HeaderList headers;
        for (const auto& header : received) {
            if (!isDroppedHeader(header.first))
                headers.push_back(header);
        }
        return headers;
    }

} // namespace

void RequestFlow::handle(const CallerLeft& left, MonotonicTime now, EffectList& effects)
{
    ActiveRequest* request = find(left.id);
    if (!request)
        return;
    effects.push_back(LogEntry { LogEvent::CallerDisconnected,
        { { "request", std::to_string(left.id.value) }, { "account", request->account.value } } });
    request->callerGone = true;
    const bool running = request->stage == RequestStage::Running;
    if (running && !request->idempotent)
        return; // The attempt continues, because a repeated request with the same key may ask for its outcome.
    const TokenCount used = running ? tokensSoFar(*request) : 0;
    if (running)
        abandonAttempt(*request, now, effects);
    settle(*request, used, now);
    settleClaim(*request, now, effects);
    erase(left.id);
}

void RequestFlow::handle(const CallerBackpressure& backpressure, EffectList& effects)
{
    const ActiveRequest* request = find(backpressure.id);
    if (request && request->stage == RequestStage::Running)
        effects.push_back(ThrottleAttempt { request->attempt, backpressure.full });
}

void RequestFlow::handle(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    if (handleProbe(head, now, effects) || handleCheck(head, now, effects))
        return;
    ActiveRequest* request = findByAttempt(head.id);
    if (!request)
        return;
    HeaderList headers = head.headers;
    if (request->relayedTo)
        request->relayAnswer = takeRelayAnswer(headers);
    request->status = head.status;
    request->responseHeaders = callerHeaders(headers);
    if (!request->relayedTo)
        noteReached(*request, head.isNewConnection, now, effects);
    else if (request->relayAnswer.outcome == RelayOutcome::Answered)
        m_deaths.noteServedElsewhere(request->pool, now);
}

void RequestFlow::handle(const AttemptData& data, MonotonicTime now, EffectList& effects)
{
    ActiveRequest* request = findByAttempt(data.id);
    if (!request)
        return;
    noteReached(*request, false, now, effects);
    if (request->filter && request->status == 200)
        forwardStream(*request, data.data, now, effects);
    else
        bufferOrForward(*request, data.data, effects);
}

void RequestFlow::forwardStream(ActiveRequest& request, const std::string& data, MonotonicTime now, EffectList& effects)
{
    std::string passed = request.filter->feed(data);
    if (request.filter->isOverlong()) {
        abandonAttempt(request, now, effects);
        failIncompleteAnswer(request, "the endpoint sent an event that exceeds the size limit", now, effects);
        return;
    }
    if (passed.empty())
        return;
    noteAnswerGoesOn(request, now);
    if (!request.headSent) {
        request.headSent = true;
        stateRelayAnswer(request.id, request.responseHeaders, RelayOutcome::Answered);
        effects.push_back(SendResponseHead { request.id, request.status, request.responseHeaders });
        const double seconds = std::chrono::duration<double>(now - request.arrivedAt).count();
        effects.push_back(RecordMetric { Metric::FirstByteSeconds, request.model.value, seconds });
    }
    effects.push_back(SendResponseData { request.id, std::move(passed) });
}

void RequestFlow::bufferOrForward(ActiveRequest& request, const std::string& data, EffectList& effects)
{
    if (!request.headSent && request.collected.size() + data.size() <= maximumCollectedBytes) {
        request.collected += data;
        return;
    }
    if (request.answered || request.callerGone)
        return;
    if (!request.headSent) {
        request.headSent = true;
        stateRelayAnswer(request.id, request.responseHeaders, RelayOutcome::Answered);
        effects.push_back(SendResponseHead { request.id, request.status, request.responseHeaders });
        effects.push_back(SendResponseData { request.id, request.collected });
    }
    effects.push_back(SendResponseData { request.id, data });
}

void RequestFlow::handle(const AttemptFinished& finished, MonotonicTime now, EffectList& effects)
{
    if (const auto probe = m_probes.find(finished.id); probe != m_probes.end()) {
        if (probe->second.purpose == ProbePurpose::Path)
            m_reach.noteProbeEnded(probe->second.pool);
        m_probes.erase(probe);
        return;
    }
    ActiveRequest* request = findByAttempt(finished.id);
    if (!request)
        return;
    if (request->relayedTo && request->relayAnswer.outcome != RelayOutcome::Answered) {
        handleRelayRefusal(*request, now, effects);
        return;
    }
    if (request->filter && request->status == 200) {
        finishStream(*request, now, effects);
        return;
    }
    if (finished.endsWithConnection)
        checkEndpointRuns(*request, effects);
    else
        handleWhole(*request, now, effects);
}

void RequestFlow::handleWhole(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    // The endpoint table was out of date: the engine has unloaded the model meanwhile, so the request did not run.
    if (request.status == 404 && !request.model.value.empty() && !request.relayedTo) {
        m_modules.endpoints.noteReplica(request.endpoint, request.model, false);
        m_modules.endpoints.refreshSoon(request.endpoint);
        endAttempt(request, true, now);
        request.mayHaveRun = request.mayHaveRunBefore;
        enqueue(request, now, effects);
        return;
    }
    if (request.idempotent && isTemporaryFailure(request.status) && !request.headSent) {
        const std::string reason = "the endpoint answered with status " + std::to_string(request.status);
        endAttempt(request, true, now);
        retryOrFail(request, true, reason, now, effects);
        return;
    }
    finishWhole(request, now, effects);
}

void RequestFlow::finishStream(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    endAttempt(request, request.filter->isComplete(), now);
    if (!request.filter->isComplete()) {
        noteBrokenAnswer(request, now);
        retryOrFail(request, true, "the stream ended without its end marker", now, effects);
        return;
    }
    noteAnswer(request, now);
    effects.push_back(FinishResponse { request.id });
    const std::optional<TokenCount> used = request.filter->totalTokens();
    completeRequest(request, used, now, effects);
}

void RequestFlow::finishWhole(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (request.status < 500)
        noteAnswer(request, now);
    endAttempt(request, true, now);
    if (request.hasClaim) {
        m_modules.claims.recordOutcome(
            request.id, request.status, request.responseHeaders, request.collected, now, effects);
        request.hasClaim = false;
    }
    if (!request.answered && !request.callerGone) {
        stateRelayAnswer(request.id, request.responseHeaders, RelayOutcome::Answered);
        if (request.headSent)
            effects.push_back(FinishResponse { request.id });
        else
            effects.push_back(
                SendWholeResponse { request.id, request.status, request.responseHeaders, request.collected });
    }
    const std::optional<TokenCount> used
        = request.model.value.empty() ? std::optional(request.reservedTokens) : totalTokensOfAnswer(request.collected);
    completeRequest(request, used, now, effects);
}

void RequestFlow::handle(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    if (handleProbe(failed, now, effects) || handleCheck(failed, now, effects))
        return;
    ActiveRequest* request = findByAttempt(failed.id);
    if (!request)
        return;
    effects.push_back(LogEntry { LogEvent::AttemptFailedEvent,
        { { "request", std::to_string(request->id.value) }, { "endpoint", request->endpoint.value },
            { "relayed_to", request->relayedTo.value_or(HostId()).value },
            { "outcome", std::string(nameOf(failed.outcome)) }, { "reason", failed.reason } } });
    if (request->relayedTo) {
        handleBrokenRelay(*request, failed, now, effects);
        return;
    }
    noteNotReached(*request, failed.failure, now, effects);
    m_modules.endpoints.attemptFailed(request->endpoint, failed.failure, now, effects);
    request->excluded.insert(request->endpoint);
    if (failed.outcome == AttemptOutcome::Unknown && failed.failure == AttemptFailure::Broken)
        noteBrokenAnswer(*request, now);
    if (failed.outcome == AttemptOutcome::Unknown)
        noteBrokenAttempt(*request, now);
    else
        m_modules.quarantine.attemptNotSent(request->endpoint, request->fingerprint);
    if (failed.outcome == AttemptOutcome::NotSent)
        ++request->unsentAttempts;
    endAttempt(*request, false, now);
    retryOrFail(*request, failed.outcome != AttemptOutcome::NotSent, failed.reason, now, effects);
}

bool RequestFlow::refuseIfQuarantined(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (!isQuarantined(request, now))
        return false;
    failRequest(
        request, { ApiErrorCode::RequestQuarantined, "this request crashed the endpoints that ran it" }, now, effects);
    return true;
}

bool RequestFlow::isQuarantined(const ActiveRequest& request, MonotonicTime now) const
{
    return m_modules.quarantine.isRefused(request.fingerprint, now)
        || m_modules.promptQuarantine.isRefused(request.promptParts, now);
}

void RequestFlow::endQuarantined(MonotonicTime now, EffectList& effects)
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : m_requests) {
        const bool isWaitingForAnswer = request->stage == RequestStage::Running && !request->proof.hasBegun();
        if (isWaitingForAnswer && m_modules.promptQuarantine.isRefused(request->promptParts, now))
            ids.push_back(id);
    }
    for (const RequestId id : ids) {
        ActiveRequest& request = *m_requests.at(id);
        abandonAttempt(request, now, effects);
        refuseIfQuarantined(request, now, effects);
    }
}

void RequestFlow::noteAnswer(const ActiveRequest& request, MonotonicTime now)
{
    m_modules.promptQuarantine.answered(request.promptParts, now);
}

void RequestFlow::noteAnswerGoesOn(ActiveRequest& request, MonotonicTime now)
{
    if (!request.proof.noteData(now))
        return;
    noteAnswer(request, now);
    m_modules.trials.ended(request.id, now);
}

void RequestFlow::noteBrokenAnswer(const ActiveRequest& request, MonotonicTime now)
{
    if (request.relayedTo)
        return; // The serving host has seen what broke.
    const std::uint32_t events = request.proof.hasBegun() ? 1 : 0;
    m_modules.promptQuarantine.attemptBroken(request.endpoint,
        { request.fingerprint, request.promptParts, 1, events, now - request.attemptStartedAt, request.status != 0 },
        now);
}

void RequestFlow::noteBrokenAttempt(ActiveRequest& request, MonotonicTime now)
{
    ++request.brokenAttempts;
    if (m_heldUntil.size() < maximumHeldFingerprints)
        m_heldUntil[request.fingerprint] = now + crashDetectionTime;
}

void RequestFlow::retryOrFail(
    ActiveRequest& request, bool mayHaveRun, const std::string& reason, MonotonicTime now, EffectList& effects)
{
    if (request.headSent) {
        failIncompleteAnswer(request, reason, now, effects);
        return;
    }
    if (!mayHaveRun)
        request.mayHaveRun = request.mayHaveRunBefore;
    const bool safe = request.idempotent || !request.mayHaveRun;
    if (refuseIfQuarantined(request, now, effects))
        return;
    const bool mayCrashEndpoints = m_modules.promptQuarantine.isSuspicious(request.promptParts);
    // Several endpoints may have ended together; each of them is suspected after one attempt.
    const bool mayRepeat
        = request.unsentAttempts < maximumUnsentAttempts && request.attempts < maximumAttempts + request.unsentAttempts;
    const bool wanted = safe && !mayCrashEndpoints && mayRepeat && request.brokenAttempts < maximumBrokenAttempts
        && now < request.deadline && !request.answered;
    const bool affordable = wanted && (!mayHaveRun || m_retries.tryRetry(now));
    if (wanted && !affordable)
        effects.push_back(
            LogEntry { LogEvent::RetryBudgetExhausted, { { "request", std::to_string(request.id.value) } } });
    if (affordable) {
        effects.push_back(LogEntry { LogEvent::RequestRetried,
            { { "request", std::to_string(request.id.value) }, { "attempt", std::to_string(request.attempts + 1) },
                { "reason", reason } } });
        effects.push_back(RecordMetric { Metric::RetriesTotal, request.pool });
        if (request.filter)
            request.filter = std::make_unique<StreamFilter>(request.filter->removesUsage());
        enqueue(request, now, effects);
        return;
    }
    ApiError error { ApiErrorCode::EndpointFailed, "the endpoint failed: " + reason, RunOutcome::NotRun };
    if (request.mayHaveRun && !request.idempotent)
        error.code = ApiErrorCode::OutcomeUnknown;
    failRequest(request, error, now, effects);
}

void RequestFlow::failIncompleteAnswer(
    ActiveRequest& request, const std::string& reason, MonotonicTime now, EffectList& effects)
{
    failRequest(request, { ApiErrorCode::EndpointFailed, "the answer is incomplete: " + reason, RunOutcome::Unknown },
        now, effects);
}

void RequestFlow::answerWithError(ActiveRequest& request, ApiError error, EffectList& effects)
{
    if (request.answered || request.callerGone)
        return;
    // Every error of an active request passes through here, so "not_run" is never reported for one that may have run.
    if (request.mayHaveRun && error.outcome == RunOutcome::NotRun)
        error.outcome = RunOutcome::Unknown;
    request.answered = true;
    effects.push_back(RecordMetric { Metric::RefusalsTotal, std::string(describe(error.code).name) });
    if (!isRelayed(request.id))
        m_modules.usage.requestRefused(request.account, request.model, std::string(describe(error.code).name));
    const LogEvent event = error.outcome == RunOutcome::NotRun ? LogEvent::RequestRefused : LogEvent::RequestFailed;
    effects.push_back(LogEntry { event,
        { { "request", std::to_string(request.id.value) }, { "account", request.account.value },
            { "model", request.model.value }, { "code", std::string(describe(error.code).name) },
            { "outcome", std::string(nameOf(error.outcome)) }, { "reason", error.message } } });
    if (!request.headSent) {
        SendWholeResponse response = apiErrorResponse(request.id, error);
        stateRelayAnswer(request.id, response.headers, relayOutcomeOf(error), describe(error.code).name);
        effects.push_back(std::move(response));
        return;
    }
    // The relaying host tells its caller itself that the answer is incomplete.
    if (!request.filter || isRelayed(request.id)) {
        effects.push_back(AbortResponse { request.id });
        return;
    }
    // A truncated stream differs from a complete one by the error event and the missing end marker.
    effects.push_back(SendResponseData { request.id, "data: " + apiErrorBody(error) + "\n\n" });
    effects.push_back(FinishResponse { request.id });
}

void RequestFlow::failRequest(ActiveRequest& request, const ApiError& error, MonotonicTime now, EffectList& effects)
{
    answerWithError(request, error, effects);
    settle(request, request.mayHaveRun ? tokensSoFar(request) : 0, now);
    settleClaim(request, now, effects);
    erase(request.id);
}

void RequestFlow::refuse(RequestId id, const AccountId& account, const ApiError& error, EffectList& effects)
{
    effects.push_back(RecordMetric { Metric::RefusalsTotal, std::string(describe(error.code).name) });
    if (!isRelayed(id))
        m_modules.usage.requestRefused(account, ModelId(), std::string(describe(error.code).name));
    effects.push_back(LogEntry { LogEvent::RequestRefused,
        { { "request", std::to_string(id.value) }, { "account", account.value },
            { "code", std::string(describe(error.code).name) }, { "outcome", std::string(nameOf(error.outcome)) },
            { "reason", error.message } } });
    SendWholeResponse response = apiErrorResponse(id, error);
    stateRelayAnswer(id, response.headers, relayOutcomeOf(error), describe(error.code).name);
    effects.push_back(std::move(response));
    m_relayedFrom.erase(id);
}

void RequestFlow::completeRequest(
    ActiveRequest& request, std::optional<TokenCount> usedTokens, MonotonicTime now, EffectList& effects)
{
    const TokenCount used = usedTokens.value_or(request.reservedTokens);
    const double seconds = std::chrono::duration<double>(now - request.arrivedAt).count();
    const std::string label = request.model.value.empty() ? request.pool : request.model.value;
    effects.push_back(RecordMetric { Metric::RequestsTotal, request.account.value });
    effects.push_back(RecordMetric { Metric::RequestSeconds, label, seconds });
    effects.push_back(RecordMetric { Metric::TokensTotal, request.account.value, static_cast<double>(used) });
    // The relaying host accounts for a relayed request.
    if (!isRelayed(request.id))
        m_modules.usage.tokensUsed(request.account, request.model, used);
    effects.push_back(LogEntry { LogEvent::RequestFinished,
        { { "request", std::to_string(request.id.value) }, { "account", request.account.value },
            { "model", request.model.value }, { "endpoint", request.endpoint.value },
            { "status", std::to_string(request.status) }, { "tokens", std::to_string(used) },
            { "seconds", std::to_string(seconds) } } });
    settle(request, used, now);
    settleClaim(request, now, effects);
    erase(request.id);
}

TokenCount RequestFlow::tokensSoFar(const ActiveRequest& request) const
{
    if (!request.filter)
        return request.reservedTokens;
    if (const auto total = request.filter->totalTokens())
        return *total;
    // An event holds at least one token, so events are counted. The prompt is charged as estimated for the reservation.
    const auto events = static_cast<TokenCount>(request.filter->eventsSeen());
    return std::min(request.reservedTokens, request.promptReservation + events);
}

void RequestFlow::settle(ActiveRequest& request, TokenCount usedTokens, MonotonicTime now)
{
    if (request.hasReservation)
        m_modules.shares.settle(request.id, usedTokens, now);
    else if (request.stage == RequestStage::AwaitingTokens)
        m_modules.shares.cancel(request.id, now);
    request.hasReservation = false;
}

void RequestFlow::settleClaim(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    if (!request.hasClaim)
        return;
    request.hasClaim = false;
    if (request.mayHaveRun)
        m_modules.claims.recordUnknown(request.id, now, effects);
    else
        m_modules.claims.recordNotSent(request.id, now, effects);
}

void RequestFlow::endAttempt(ActiveRequest& request, bool clean, MonotonicTime now)
{
    m_modules.endpoints.attemptEnded(request.endpoint);
    m_modules.quarantine.attemptEnded(request.endpoint, request.fingerprint, clean, now);
    m_modules.trials.ended(request.id, now);
    if (m_attempts.erase(request.attempt) > 0 && request.relayedTo)
        --m_relaysUnderWay;
    capacityChanged();
}

void RequestFlow::abandonAttempt(ActiveRequest& request, MonotonicTime now, EffectList& effects)
{
    effects.push_back(CancelAttempt { request.attempt });
    endAttempt(request, false, now);
}

void RequestFlow::erase(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    m_deadlines.erase({ found->second->deadline, id });
    m_queue.remove(id);
    m_relayedFrom.erase(id);
    m_requests.erase(found);
}

} // namespace Catkinwell
