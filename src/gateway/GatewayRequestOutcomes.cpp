#include <catkinwell/gateway/GatewayRequests.h>

#include "http/HeaderText.h"
#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <cstdio>

// The ends of attempts and requests: retries, answers, refusals and failures.
namespace Catkinwell {

namespace {

    Duration retryAfterOf(MonotonicTime now, MonotonicTime deadline, Duration wanted)
    {
        // A caller that cannot be served within its time is told when another one can be.
        if (now + wanted >= deadline)
            return wanted;
        // Callers honour a Retry-After of at most a third of their remaining time.
        const Duration third = std::max(Duration::zero(), (deadline - now) / 3 - std::chrono::milliseconds(5));
        return std::min(wanted, third);
    }

    std::string secondsText(Duration duration)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", secondsOf(duration));
        return text;
    }

    std::string errorBody(std::string_view reason, std::string_view message, std::string_view outcome)
    {
        return R"({"error":{"code":")" + std::string(reason) + R"(","message":")" + std::string(message)
            + R"(","outcome":")" + std::string(outcome) + "\"}}";
    }

    std::string milliseconds(Duration duration) { return std::to_string(millisecondsOf(duration)); }

    std::string millisecondsSince(std::optional<MonotonicTime> moment, MonotonicTime now)
    {
        return moment ? milliseconds(now - *moment) : "never";
    }

    LogEvent eventOf(RequestEnd end)
    {
        switch (end) {
        case RequestEnd::Finished:
            return LogEvent::GatewayRequestFinished;
        case RequestEnd::Refused:
            return LogEvent::GatewayRequestRefused;
        case RequestEnd::Failed:
        case RequestEnd::Aborted:
        case RequestEnd::CallerLeft:
            break;
        }
        return LogEvent::GatewayRequestFailed;
    }

    // What the caller got of an answer that no endpoint completed.
    std::string_view answerOf(RequestEnd end)
    {
        if (end == RequestEnd::CallerLeft)
            return "none";
        return end == RequestEnd::Aborted ? "broken_off" : "complete";
    }

} // namespace

bool GatewayRequests::impliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void GatewayRequests::handleCompleteAnswer(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.relayAnswer.outcome != RelayOutcome::Answered) {
        handleRelayRefusal(request, now, effects);
        return;
    }
    if (attempt.terms.isNotExecuted) {
        handleNotExecuted(request, now, effects);
        return;
    }
    if (const std::string_view fault = faultOfAnswer(request); !fault.empty())
        handleBrokenAnswer(request, std::string(fault), now, effects);
    else if (attempt.endsWithConnection)
        checkEndpointRuns(request, now, effects);
    else
        deliverAnswer(request, now, effects);
}

void GatewayRequests::deliverAnswer(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (attempt.isForwarded) {
        if (const std::string rest = request.eventBuffer.takeRest(); !rest.empty())
            effects.push_back(SendResponseData { request.arrived.id, rest });
        effects.push_back(FinishResponse { request.arrived.id });
        finish(request, now, effects);
        return;
    }
    request.mayHaveRun = true;
    const bool isAcceptable = attempt.terms.isSealed && !attempt.terms.isEncoded;
    if (!isAcceptable && attempt.status < 500) {
        handleFailedAttempt(request, "the answer has no valid seal of the endpoint or an unrequested encoding",
            AttemptVerdict::Bad, now, effects);
        return;
    }
    // The serving host has repeated a relayed request as far as it may be.
    const bool mayTryAgain = !attempt.relayedTo && mayRepeat(request, now) && hasTimeForAttempt(request, now);
    if (request.isHeadSent || (attempt.status >= 500 && mayTryAgain)) {
        handleFailedAttempt(request, "status " + std::to_string(attempt.status), AttemptVerdict::Bad, now, effects);
        return;
    }
    forwardWholeAnswer(request, now, effects);
}

// Forwards a collected answer unchanged.
void GatewayRequests::forwardWholeAnswer(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (impliesNotRun(attempt.status)) {
        // The endpoint does not state that it did not run the request, so the gateway's status must not imply it.
        endAttempt(request, AttemptVerdict::Bad, now, effects);
        fail(request, 502, "endpoint_refused", now, effects);
        return;
    }
    HeaderList headers = m_protocol.answerHeaders(attempt.headers);
    stateRelayAnswer(request, headers, RelayOutcome::Answered);
    m_outputBytes += attempt.body.size();
    effects.push_back(SendWholeResponse { request.arrived.id, attempt.status, std::move(headers), attempt.body });
    finish(request, now, effects);
}

void GatewayRequests::finish(Request& request, MonotonicTime now, EffectList& effects)
{
    const int status = request.attempt->status;
    if (status < 500) {
        noteAnswer(request, now);
        noteAnswerTime(request, now);
    }
    logEnd(RequestEnd::Finished, request, status, "", now, effects);
    effects.push_back(RecordMetric { Metric::RequestSeconds, request.service, secondsOf(now - request.arrivedAt) });
    endAttempt(request, status >= 500 ? AttemptVerdict::Bad : AttemptVerdict::Good, now, effects);
    removeRequest(request.arrived.id, now);
}

void GatewayRequests::handleNotExecuted(Request& request, MonotonicTime now, EffectList& effects)
{
    const Attempt attempt = *request.attempt;
    effects.push_back(failedAttemptEntry(request, "the endpoint did not run the request", "not_run", now));
    endAttempt(request, AttemptVerdict::Neutral, now, effects);
    ++request.rejections;
    if (!attempt.terms.isMisdirected)
        m_directory.noteRejected(attempt.endpoint, request.terms.variant, now);
    else if (!request.terms.variant.model.value.empty())
        m_directory.noteMissing(attempt.endpoint, request.terms.variant, now);
    else
        m_directory.noteMisdirected(attempt.endpoint, now);
    request.excluded.insert(attempt.endpoint);
    request.retriable.insert(attempt.endpoint);
    if (waitForPlace(request, now, effects))
        return;
    const bool mayTryAgain
        = request.rejections < maximumRejections && request.deadline - now > shortestAttempt && takeRetry(request, now);
    if (mayTryAgain) {
        request.nextTryAt = now;
        dispatch(request, now, effects);
    } else if (mayWaitForPlace(request, now)) {
        beginRoomWait(request, now, effects);
    } else if (mayWaitForRoom(request)) {
        request.needsRetry = true;
        waitForRoom(request, now, effects);
    } else if (request.mayHaveRun) {
        fail(request, 502, "endpoints_failed", now, effects);
    } else {
        refuse(request, { 503, "endpoints_full", "no endpoint has free capacity", shortRetryAfter }, now, effects);
    }
}

// Nobody has to try again for a request that has not run; its caller can do so elsewhere.
bool GatewayRequests::mayWaitForRoom(const Request& request)
{
    return request.mayHaveRun && (request.route.isIdempotent || request.route.isResumable);
}

// Those that rejected the request may have room for it later, and one that fell silent may only have paused.
void GatewayRequests::waitForRoom(Request& request, MonotonicTime now, EffectList& effects)
{
    for (const EndpointId& endpoint : request.retriable)
        request.excluded.erase(endpoint);
    request.retriable.clear();
    request.rejections = 0;
    request.nextTryAt = now + rejectionPause;
    waitForReplica(request, now, effects);
}

bool GatewayRequests::mayRepeat(const Request& request, MonotonicTime now) const
{
    const bool isSafe = request.route.isIdempotent || request.route.isResumable;
    // Only a stream says where it goes on.
    const bool isPassedOn = request.isHeadSent && !request.route.isStream;
    if (!isSafe || isPassedOn || request.attempts + 1 >= request.route.maximumAttempts
        || request.deadline - now <= shortestAttempt)
        return false;
    return !m_promptQuarantine.isSuspicious(request.parts);
}

bool GatewayRequests::takeRetry(const Request& request, MonotonicTime now)
{
    return budgetOf(request.service).tryRetry(now);
}

void GatewayRequests::handleFailedAttempt(
    Request& request, std::string reason, AttemptVerdict verdict, MonotonicTime now, EffectList& effects)
{
    const bool isAllowed = mayRepeat(request, now);
    if (request.attempt) {
        const EndpointId endpoint = request.attempt->endpoint;
        effects.push_back(failedAttemptEntry(request, reason, request.mayHaveRun ? "unknown" : "not_run", now));
        if (request.attempt->relayedTo) {
            request.excludedHosts.insert(*request.attempt->relayedTo);
            request.attempts += std::max(1U, request.attempt->relayAnswer.attempts) - 1;
        } else {
            request.excluded.insert(endpoint);
            if (verdict == AttemptVerdict::Silent)
                request.retriable.insert(endpoint);
        }
        endAttempt(request, verdict, now, effects);
    }
    ++request.attempts;
    request.failure = std::move(reason);
    request.eventBuffer.dropPartial();
    // A stream without a complete event restarts from the beginning; any other resumes after its last event.
    if (isAllowed && takeRetry(request, now)) {
        effects.push_back(RecordMetric { Metric::RetriesTotal, request.service });
        if (request.isHeadSent)
            effects.push_back(LogEntry { LogEvent::GatewayStreamResumed,
                { { "request", request.terms.callerRequestId }, { "after_event", request.eventBuffer.lastEventId() },
                    { "software_version", request.softwareVersion.value_or("") } } });
        dispatch(request, now, effects);
        return;
    }
    fail(request, 502, "endpoint_failed", now, effects);
}

void GatewayRequests::refuse(Request& request, const Refusal& refusal, MonotonicTime now, EffectList& effects)
{
    HeaderList headers { { "Content-Type", "application/json" } };
    if (refusal.retryAfter) {
        const Duration wait = retryAfterOf(now, request.deadline, *refusal.retryAfter);
        headers.emplace_back("Retry-After", secondsText(wait));
    }
    stateRelayAnswer(request, headers, relayOutcomeOf(request, refusal), refusal.reason);
    effects.push_back(SendWholeResponse { request.arrived.id, refusal.status, std::move(headers),
        errorBody(refusal.reason, refusal.message, "not_run") });
    effects.push_back(RecordMetric { Metric::RefusalsTotal, std::string(refusal.reason) });
    if (request.units > 0)
        m_quota.refund(request.account, request.units, now);
    request.failure = refusal.message;
    request.isRefusedByConfiguration = refusal.isByConfiguration;
    logEnd(RequestEnd::Refused, request, refusal.status, refusal.reason, now, effects);
    removeRequest(request.arrived.id, now);
}

void GatewayRequests::fail(
    Request& request, int status, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    if (request.attempt) {
        effects.push_back(CancelAttempt { request.attempt->id });
        const bool wasHeadMissing = !request.attempt->isHeadSeen;
        endAttempt(request, wasHeadMissing ? AttemptVerdict::Bad : AttemptVerdict::Neutral, now, effects);
    }
    reportIfBroken(request, now);
    if (request.isHeadSent) {
        effects.push_back(AbortResponse { request.arrived.id });
    } else {
        HeaderList headers { { "Content-Type", "application/json" } };
        stateRelayAnswer(request, headers, RelayOutcome::Failed, reason);
        effects.push_back(SendWholeResponse {
            request.arrived.id, status, std::move(headers), errorBody(reason, "the request may have run", "unknown") });
    }
    logEnd(request.isHeadSent ? RequestEnd::Aborted : RequestEnd::Failed, request, status, reason, now, effects);
    removeRequest(request.arrived.id, now);
}

// Says how far the answer had come and what the request shares with others, so that failures with a common cause can be
// found.
LogEntry GatewayRequests::failedAttemptEntry(
    const Request& request, std::string_view reason, std::string_view outcome, MonotonicTime now) const
{
    const Attempt& attempt = *request.attempt;
    std::string parts;
    std::string hashes;
    for (const std::string& part : request.terms.promptParts) {
        parts += (parts.empty() ? "" : " ") + part;
        hashes += (hashes.empty() ? "" : " ") + std::to_string(stableHash(part));
    }
    return { LogEvent::GatewayAttemptFailed,
        { { "request", request.terms.callerRequestId }, { "endpoint", attempt.endpoint.value },
            { "reason", std::string(reason) }, { "outcome", std::string(outcome) },
            { "status", std::to_string(attempt.status) }, { "received_bytes", std::to_string(attempt.receivedBytes) },
            { "events", std::to_string(attempt.position.events()) }, { "accused", attempt.isAccused ? "yes" : "no" },
            { "milliseconds", milliseconds(now - attempt.startedAt) },
            { "fingerprint", std::to_string(request.fingerprint) },
            { "relayed_to", attempt.relayedTo.value_or(HostId()).value }, { "prompt_parts", parts },
            { "part_hashes", hashes } } };
}

void GatewayRequests::logEnd(
    RequestEnd end, const Request& request, int status, std::string_view reason, MonotonicTime now, EffectList& effects)
{
    ++m_ends.endedBy(end);
    effects.push_back(RecordMetric { Metric::RequestsEndedTotal, std::string(nameOf(end)) });
    LogEntry entry { eventOf(end),
        { { "request", request.terms.callerRequestId }, { "account", request.account.value },
            { "route", request.route.name }, { "service", request.service }, { "model", request.terms.variant.text() },
            { "status", std::to_string(status) }, { "milliseconds", milliseconds(now - request.arrivedAt) },
            { "waited_ms", milliseconds(request.waited) }, { "first_byte_ms", milliseconds(request.firstByte) },
            { "attempts", std::to_string(request.attempts + (request.attempt ? 1 : 0)) },
            { "events", std::to_string(request.attempt ? request.attempt->position.events() : 0) },
            { "framing", request.attempt && request.attempt->endsWithConnection ? "connection" : "length_or_chunks" },
            { "configuration", std::to_string(m_configuration.version) } } };
    if (!request.terms.lastEventId.empty()) {
        entry.fields.emplace_back("resumes", request.terms.resumedRequestId);
        entry.fields.emplace_back("after_event", request.terms.lastEventId);
    }
    if (request.isRefusedByConfiguration) {
        entry.fields.emplace_back("store_read_ms_ago", milliseconds(now - m_configurationConfirmedAt));
        entry.fields.emplace_back("newest_stated", std::to_string(m_newestStatedVersion));
    }
    if (entry.event == LogEvent::GatewayRequestFailed) {
        entry.fields.emplace_back("answer", answerOf(end));
        entry.fields.emplace_back("configured_ms_ago", millisecondsSince(m_configuredAt, now));
        entry.fields.emplace_back("reloaded_ms_ago", millisecondsSince(m_reloadedAt, now));
        entry.fields.emplace_back("stopping", m_stopsSince ? "yes" : "no");
    }
    if (!reason.empty())
        entry.fields.emplace_back("reason", reason);
    if (!request.failure.empty())
        entry.fields.emplace_back("detail", request.failure);
    effects.push_back(std::move(entry));
}

void GatewayRequests::removeRequest(RequestId id, MonotonicTime now)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    stopWaiting(found->second, now);
    m_awaitingVersion.erase(id);
    m_awaitingList.erase(id);
    if (found->second.relayedFrom)
        --m_relayedRequests;
    m_bodyBytes -= found->second.arrived.body.size();
    m_requests.erase(found);
}

} // namespace Catkinwell
