#include <catkinwell/gateway/GatewayRequests.h>

#include "http/HeaderText.h"
#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    // Largest fraction of a request's time to wait for a replica; a longer wait leaves too little for the answer.
    constexpr double longestWaitShare = 0.7;
    // The same for a stream of which the caller has a part.
    constexpr double longestResumptionWaitShare = 0.85;
    // Fraction of its time that a request for a plain service waits for an endpoint to appear.
    constexpr double plainWaitShare = 0.25;
    constexpr Duration retryPause = std::chrono::milliseconds(60);
    // How long the model of a refused request stays in demand. A load that cannot start within this time is not started
    // for the refused caller.
    constexpr Duration refusedWaitTime = std::chrono::seconds(2);
    constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    constexpr Duration attemptSilenceTimeout = std::chrono::hours(1);
    constexpr Duration longRetryAfter = std::chrono::seconds(2);
    // A refusal must reach the caller before the caller gives up.
    constexpr Duration refusalMargin = std::chrono::milliseconds(60);
    // Streams of more models than these wait for others to be loaded first.
    constexpr std::size_t maximumVersionWaits = 32;

} // namespace

GatewayRequests::GatewayRequests(GatewayRequestSettings settings, const ForwardingProtocol& protocol,
    EndpointDirectory& directory, FleetQuota& quota, RelayPeers& relayPeers, HostId self)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_directory(directory)
    , m_quota(quota)
    , m_trials(std::move(self))
    , m_relayPeers(relayPeers)
    , m_buffers(settings.maximumAnswerBytes)
{
}

void GatewayRequests::configure(const GatewayConfiguration& configuration, MonotonicTime now)
{
    m_configuredAt = now;
    m_configuration = configuration;
    m_routes.configure(configuration.routes);
    std::set<std::string> routes;
    for (const Route& route : configuration.routes)
        routes.insert(route.name);
    m_answerTimes.keepOnly(routes);
}

void GatewayRequests::setSettings(const GatewayRequestSettings& settings)
{
    m_settings = settings;
    m_buffers.setMaximumBytes(settings.maximumAnswerBytes);
    setHostCount(m_hostCount);
}

void GatewayRequests::setHostCount(std::size_t count)
{
    m_hostCount = std::max<std::size_t>(1, count);
    const double part = m_settings.retryConstant / static_cast<double>(m_hostCount);
    const double seconds = secondsOf(m_settings.retryWindow);
    RetryBudgetSettings budget { m_settings.retryFraction * 0.8, part * 0.4 / seconds, part * 0.4 };
    if (budget.capacity < 1) {
        // The part of one of many hosts is less than a retry, so retries are saved up from requests. Those of two
        // windows count for one, so each counts half.
        budget = { m_settings.retryFraction / 2, part * 0.2 / seconds, part * 0.6, m_settings.retryWindow };
    }
    for (auto& [service, held] : m_budgets)
        held.setSettings(budget);
}

RetryBudget& GatewayRequests::budgetOf(const std::string& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    RetryBudget& budget = m_budgets[service];
    setHostCount(m_hostCount);
    return budget;
}

EndpointNeed GatewayRequests::endpointNeedOf(const Request& request)
{
    return { request.terms.callerRequestId, request.service, request.terms.variant, request.terms.promptParts,
        request.excluded, request.softwareVersion };
}

void GatewayRequests::dispatch(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.deadline - now < shortestAttempt) {
        checkDeadlines(request, now, effects);
        return;
    }
    if (isQuarantined(request, now)) {
        endQuarantined(request, now, effects);
        return;
    }
    if (endIfStopTooNear(request, now, latestStart(request), now, effects))
        return;
    if (endIfEvacuated(request, now, effects) || holdForTrial(request, now, effects))
        return;
    if (m_reach.isLost(request.service)) {
        if (!startRelay(request, "no endpoint of the service can be reached", now, effects))
            waitForPath(request, now, effects);
        return;
    }
    if (!waitForPlace(request, now, effects))
        dispatchToEndpoint(request, now, effects);
}

void GatewayRequests::dispatchToEndpoint(Request& request, MonotonicTime now, EffectList& effects)
{
    EndpointNeed need = endpointNeedOf(request);
    auto choice = m_directory.choose(need, now, effects);
    if (!choice && !need.excluded.empty() && !request.mayHaveRun) {
        // A request that no endpoint has started may return to an endpoint that rejected it.
        need.excluded.clear();
        choice = m_directory.choose(need, now, effects);
    }
    if (choice) {
        stopWaiting(request, now);
        startAttempt(request, *choice, now, effects);
        return;
    }
    if (refuseIfPaused(request, need, now, effects))
        return;
    const bool isReachedByOthers = m_directory.isOnlyUnreachable(need, now);
    if (isReachedByOthers && startRelay(request, "the endpoints with the model cannot be reached", now, effects))
        return;
    if (!request.retriable.empty() && mayWaitForRoom(request))
        waitForRoom(request, now, effects);
    else if (!endIfVersionGone(request, now, effects))
        waitForReplica(request, now, effects);
}

std::string_view GatewayRequests::textOf(WaitReason reason)
{
    switch (reason) {
    case WaitReason::Trial:
        return "another request with a suspected prompt is tried";
    case WaitReason::Path:
        return "no host has a path to an endpoint";
    case WaitReason::Room:
        return "all endpoints are full";
    case WaitReason::Replica:
        break;
    }
    return "no replica is ready";
}

GatewayRequests::Refusal GatewayRequests::endOfWaiting(const Request& request) const
{
    switch (request.waitReason) {
    case WaitReason::Trial:
        return { 503, "under_trial", "a request with the same prompt crashed an endpoint and another one is tried",
            longRetryAfter };
    case WaitReason::Path:
        return { 503, "no_path", "no endpoint of the service can be reached", shortRetryAfter };
    case WaitReason::Room:
        return { 503, "endpoints_full", "no endpoint has free capacity", shortRetryAfter };
    case WaitReason::Replica:
        break;
    }
    return { 503, "no_replica", "no replica became ready in time", longRetryAfter };
}

MonotonicTime GatewayRequests::waitLimit(const Request& request) const
{
    const bool isPlain = request.terms.variant.model.value.empty();
    const double modelShare = isResumption(request) ? longestResumptionWaitShare : longestWaitShare;
    const double share = isPlain ? plainWaitShare : modelShare;
    const Duration whole = request.deadline - request.arrivedAt;
    const MonotonicTime limit = request.arrivedAt
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(whole) * share);
    return std::min(limit, request.firstByteDeadline - refusalMargin);
}

void GatewayRequests::waitForReplica(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.waitReason != WaitReason::Replica)
        stopWaiting(request, now);
    if (request.isWaiting)
        return;
    beginWaiting(request, WaitReason::Replica, now, effects);
    const ModelVariant& variant = request.terms.variant;
    if (!variant.model.value.empty()) {
        m_demand.waitBegan({ request.service, variant }, now);
        m_newlyWaiting = true;
    }
    refuseIfTooLate(request, shortestTimeToReplica(needOf(request, now), now), now, effects);
}

void GatewayRequests::waitForPath(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.isWaiting && request.waitReason != WaitReason::Path)
        stopWaiting(request, now);
    if (!request.isWaiting)
        beginWaiting(request, WaitReason::Path, now, effects);
    if (!mayWaitForRoom(request) || request.excludedHosts.empty())
        return;
    // Hosts that had no room for the request may have some later.
    request.excludedHosts.clear();
    request.rejections = 0;
    request.needsRetry = true;
    request.nextTryAt = now + rejectionPause;
}

void GatewayRequests::beginWaiting(Request& request, WaitReason reason, MonotonicTime now, EffectList& effects)
{
    request.isWaiting = true;
    request.waitReason = reason;
    request.waitingSince = now;
    m_waiting.insert(request.arrived.id);
    effects.push_back(LogEntry { LogEvent::GatewayRequestWaits,
        { { "request", request.terms.callerRequestId }, { "service", request.service },
            { "model", request.terms.variant.text() }, { "reason", std::string(textOf(reason)) } } });
}

std::optional<Duration> GatewayRequests::shortestTimeToReplica(
    const VersionedVariant& key, MonotonicTime now, const std::set<EndpointId>& excluded) const
{
    const auto& [service, variant] = key.first;
    const GatewayEngine* engine = m_configuration.engineOf(service);
    if (!engine)
        return m_directory.timeUntilColdAccepts(service, key.second, now);
    const auto model = engine->models.find(variant.model);
    if (model == engine->models.end())
        return std::nullopt;
    return m_directory.shortestTimeToReplica(service, variant, model->second, key.second, excluded, now);
}

// The version counts only where several serve.
GatewayRequests::VersionedVariant GatewayRequests::needOf(const Request& request, MonotonicTime now) const
{
    const ServiceVariant variant(request.service, request.terms.variant);
    return { variant, m_directory.hasSeveralVersions(request.service, now) ? request.softwareVersion : std::nullopt };
}

void GatewayRequests::refuseIfTooLate(
    Request& request, std::optional<Duration> soonest, MonotonicTime now, EffectList& effects)
{
    if (!soonest || request.mayHaveRun)
        return;
    if (now + *soonest <= waitLimit(request)) {
        endIfStopTooNear(request, now + *soonest, stopWaitLimit(request), now, effects);
        return;
    }
    keepInDemand(request, now);
    const std::string detail = (request.terms.variant.model.value.empty() ? "an endpoint can take the request in "
                                                                          : "the model can be ready in ")
        + std::to_string(millisecondsOf(*soonest)) + " ms at the earliest";
    refuse(request, { 503, "no_replica", detail, soonest }, now, effects);
}

void GatewayRequests::keepInDemand(const Request& request, MonotonicTime now)
{
    const ServiceVariant key(request.service, request.terms.variant);
    const auto [known, isNew] = m_refusedWaits.try_emplace(key, now + refusedWaitTime);
    if (isNew)
        m_demand.waitBegan(key, now);
    if (const VersionedVariant need = needOf(request, now); need.second)
        m_refusedVersionWaits[{ key.first, key.second, *need.second }] = now + refusedWaitTime;
}

std::set<VersionWait> GatewayRequests::versionWaits(MonotonicTime now) const
{
    std::set<VersionWait> waits;
    const auto add = [&waits](const VersionWait& wait) {
        if (waits.size() < maximumVersionWaits)
            waits.insert(wait);
    };
    for (const RequestId id : m_waiting) {
        const Request& request = m_requests.at(id);
        const VersionedVariant need = needOf(request, now);
        if (need.second && request.waitReason == WaitReason::Replica)
            add({ need.first.first, need.first.second, *need.second });
    }
    for (const auto& [wait, until] : m_refusedVersionWaits)
        add(wait);
    return waits;
}

void GatewayRequests::endRefusedWaits(MonotonicTime now)
{
    std::erase_if(m_refusedVersionWaits, [now](const auto& wait) { return wait.second <= now; });
    std::erase_if(m_refusedWaits, [this, now](const auto& wait) {
        if (wait.second > now)
            return false;
        m_demand.waitEnded(wait.first, now);
        return true;
    });
}

void GatewayRequests::stopWaiting(Request& request, MonotonicTime now)
{
    if (!request.isWaiting)
        return;
    request.isWaiting = false;
    request.waited += now - request.waitingSince;
    m_waiting.erase(request.arrived.id);
    const WaitReason reason = std::exchange(request.waitReason, WaitReason::Replica);
    const bool isInDemand = reason == WaitReason::Replica || reason == WaitReason::Room;
    if (isInDemand && !request.terms.variant.model.value.empty())
        m_demand.waitEnded({ request.service, request.terms.variant }, now);
    if (reason != WaitReason::Room)
        return;
    --m_roomWaitCount;
    const auto waits = m_roomWaits.find(roomKeyOf(request));
    waits->second.erase(request.arrived.id);
    if (waits->second.empty())
        m_roomWaits.erase(waits);
}

void GatewayRequests::startAttempt(
    Request& request, const EndpointChoice& choice, MonotonicTime now, EffectList& effects)
{
    Attempt attempt;
    attempt.id = AttemptId(++m_lastAttempt);
    attempt.endpoint = choice.endpoint;
    attempt.address = choice.address;
    attempt.startedAt = now;
    attempt.lastDataAt = now;
    AttemptTerms terms;
    terms.timeLeft = request.deadline - now;
    terms.endpoint = choice.endpoint;
    terms.account = request.account;
    terms.priority = request.priority;
    terms.lastEventId
        = request.eventBuffer.lastEventId().empty() ? request.terms.lastEventId : request.eventBuffer.lastEventId();
    attempt.isRest = !terms.lastEventId.empty();
    StartAttempt start;
    start.id = attempt.id;
    start.endpoint = choice.endpoint;
    start.address = choice.address;
    start.method = request.arrived.method;
    start.target = request.arrived.target;
    start.headers = m_protocol.attemptHeaders(request.arrived.headers, terms);
    start.body = request.arrived.body;
    start.connectTimeout = std::min(connectTimeout, terms.timeLeft);
    start.silenceTimeout = attemptSilenceTimeout;
    start.echoHeader = m_protocol.echoHeader();
    start.mayBeWithheld = true;
    m_directory.attemptStarted(choice.endpoint, request.terms.variant, now);
    m_trials.started(request.arrived.id, m_promptQuarantine.suspicionOf(request.parts, now));
    m_attempts[attempt.id] = request.arrived.id;
    effects.push_back(RecordMetric { Metric::AttemptsTotal, request.service });
    request.attempt = std::move(attempt);
    effects.push_back(std::move(start));
    pauseIfCallerSlow(request, effects);
}

void GatewayRequests::pauseIfCallerSlow(const Request& request, EffectList& effects)
{
    if (request.isCallerSlow)
        effects.push_back(ThrottleAttempt { request.attempt->id, true });
}

void GatewayRequests::endAttempt(Request& request, AttemptVerdict verdict, MonotonicTime now, EffectList& effects)
{
    const Attempt& attempt = *request.attempt;
    if (!attempt.relayedTo)
        m_directory.attemptEnded(attempt.endpoint, request.terms.variant, verdict, now, effects);
    m_trials.ended(request.arrived.id, now);
    m_buffers.setBytes(attempt.id, 0);
    m_attempts.erase(attempt.id);
    request.attempt.reset();
}

GatewayRequests::Request* GatewayRequests::requestOf(const AttemptId& id)
{
    const auto attempt = m_attempts.find(id);
    if (attempt == m_attempts.end())
        return nullptr;
    const auto request = m_requests.find(attempt->second);
    return request == m_requests.end() ? nullptr : &request->second;
}

void GatewayRequests::handle(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    if (handleProbe(head, now, effects) || handleCheck(head, now, effects))
        return;
    Request* request = requestOf(head.id);
    if (!request)
        return;
    Attempt& attempt = *request->attempt;
    attempt.isHeadSeen = true;
    attempt.lastDataAt = now;
    attempt.lastProgressAt = now;
    attempt.status = head.status;
    attempt.headers = head.headers;
    if (attempt.relayedTo)
        attempt.relayAnswer = takeRelayAnswer(attempt.headers);
    attempt.terms = m_protocol.termsOf(head.status, attempt.headers);
    noteReached(*request, head.isNewConnection, now, effects);
    if (!attempt.relayedTo && (attempt.terms.isSealed || attempt.terms.isNotExecuted))
        noteLimits(*request, now, effects);
    noteNotice(*request, now, effects);
    noteArrival(attempt, now);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    const bool isUsable = isSuccess && attempt.terms.isSealed && !attempt.terms.isEncoded;
    attempt.isForwarded = request->route.isStream && isUsable;
    if (request->firstByte == Duration::zero())
        request->firstByte = now - request->arrivedAt;
    if (!attempt.isForwarded)
        return;
    if (request->isHeadSent) {
        if (!continuesStream(*request))
            abandonAnswer(*request, "the answer is no continuation of the stream", now, effects);
        return;
    }
    // The relaying host goes by the version that the head states.
    if (request->relayedFrom)
        noteStreamBegun(*request, now);
    sendHead(*request, now, effects);
}

void GatewayRequests::handle(const AttemptFinished& finished, MonotonicTime now, EffectList& effects)
{
    if (m_probes.erase(finished.id) > 0)
        return;
    Request* request = requestOf(finished.id);
    if (!request)
        return;
    request->attempt->endsWithConnection = finished.endsWithConnection;
    handleCompleteAnswer(*request, now, effects);
}

void GatewayRequests::handle(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    if (handleProbe(failed, now, effects) || handleCheck(failed, now, effects))
        return;
    Request* request = requestOf(failed.id);
    if (!request)
        return;
    if (failed.failure == AttemptFailure::Withheld && !request->attempt->relayedTo) {
        handleWithheld(*request, failed.reason, now, effects);
        return;
    }
    noteNotReached(*request, failed.failure, now, effects);
    if (failed.outcome == AttemptOutcome::NotSent) {
        handleNotSent(*request, failed.reason, now, effects);
        return;
    }
    request->mayHaveRun = true;
    if (failed.failure == AttemptFailure::Broken)
        noteBrokenAttempt(*request, now);
    const bool isUnreachable = failed.failure == AttemptFailure::Silence;
    handleFailedAttempt(
        *request, failed.reason, isUnreachable ? AttemptVerdict::Unreachable : AttemptVerdict::Bad, now, effects);
}

void GatewayRequests::handleNotSent(Request& request, const std::string& reason, MonotonicTime now, EffectList& effects)
{
    effects.push_back(failedAttemptEntry(request, reason, "not_sent", now));
    const Attempt attempt = *request.attempt;
    if (attempt.relayedTo) {
        m_relayPeers.noteFailure(*attempt.relayedTo, now);
        request.excludedHosts.insert(*attempt.relayedTo);
    } else {
        m_directory.limits().attemptNotSent(attempt.endpoint, now);
        m_directory.cold().attemptNotCounted(attempt.endpoint, attempt.startedAt);
        request.excluded.insert(attempt.endpoint);
        request.retriable.insert(attempt.endpoint);
    }
    endAttempt(request, AttemptVerdict::Unreachable, now, effects);
    dispatch(request, now, effects);
}

void GatewayRequests::handle(const CallerLeft& left, MonotonicTime now, EffectList& effects)
{
    const auto found = m_requests.find(left.id);
    if (found == m_requests.end())
        return;
    Request& request = found->second;
    logEnd(RequestEnd::CallerLeft, request, 0, "caller_left", now, effects);
    reportIfBroken(request, now);
    if (request.attempt) {
        effects.push_back(CancelAttempt { request.attempt->id });
        endAttempt(request, AttemptVerdict::Neutral, now, effects);
    }
    removeRequest(left.id, now);
}

void GatewayRequests::handle(const CallerBackpressure& pressure, EffectList& effects)
{
    const auto found = m_requests.find(pressure.id);
    if (found == m_requests.end())
        return;
    found->second.isCallerSlow = pressure.full;
    if (found->second.attempt)
        effects.push_back(ThrottleAttempt { found->second.attempt->id, pressure.full });
}

void GatewayRequests::tick(MonotonicTime now, EffectList& effects)
{
    endRefusedWaits(now);
    excludeOwnPauses(now);
    m_runChecks.tick(now);
    noteMemory(effects);
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto& [id, request] : m_requests)
        ids.push_back(id);
    std::map<VersionedVariant, std::optional<Duration>> soonest;
    for (const RequestId id : ids) {
        if (const auto found = m_requests.find(id); found != m_requests.end()) {
            // A second version may appear while streams are open.
            if (found->second.softwareVersion && m_directory.hasSeveralVersions(found->second.service, now))
                reportVersion(found->second, now);
            checkDeadlines(found->second, now, effects);
        }
        if (!m_waiting.contains(id))
            continue;
        Request& waiting = m_requests.at(id);
        if (waiting.waitReason != WaitReason::Replica)
            continue;
        const VersionedVariant key = needOf(waiting, now);
        const auto [known, isNew] = soonest.try_emplace(key);
        if (isNew)
            known->second = shortestTimeToReplica(key, now);
        refuseIfTooLate(waiting, known->second, now, effects);
    }
}

void GatewayRequests::checkDeadlines(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.versionDeadline) {
        if (now >= *request.versionDeadline)
            refuseUnknownVersion(request, now, effects);
        return;
    }
    if (now + shortestAttempt >= request.deadline && !request.attempt) {
        if (request.mayHaveRun)
            fail(request, 504, "timeout", now, effects);
        else
            refuse(
                request, { 503, "timeout", "no endpoint could take the request in time", std::nullopt }, now, effects);
        return;
    }
    if (now >= request.deadline) {
        noteAnswerTime(request, now);
        fail(request, 504, "timeout", now, effects);
        return;
    }
    if (request.isWaiting) {
        if (endIfStopTooNear(request, now, stopWaitLimit(request), now, effects))
            return;
        const bool isForRoom = request.waitReason == WaitReason::Room;
        if (now < (isForRoom ? roomWaitLimit(request) : waitLimit(request)) || request.mayHaveRun)
            return;
        refuse(request, endOfWaiting(request), now, effects);
        return;
    }
    if (request.attempt)
        checkSilence(request, now, effects);
}

void GatewayRequests::dispatchWaiting(MonotonicTime now, EffectList& effects)
{
    // Before the requests, which could take every place that becomes free.
    startDelayedChecks(now, effects);
    dispatchRoomWaits(now, effects);
    std::vector<RequestId> ready;
    std::map<std::pair<ServiceVariant, std::optional<std::string>>, bool> hasReplica;
    for (const RequestId id : m_waiting) {
        const Request& request = m_requests.at(id);
        if (now < request.nextTryAt || request.waitReason == WaitReason::Room)
            continue;
        if (request.waitReason == WaitReason::Path) {
            ready.push_back(id);
            continue;
        }
        const ServiceVariant variant(request.service, request.terms.variant);
        const auto [known, isNew] = hasReplica.try_emplace({ variant, request.softwareVersion }, false);
        if (isNew)
            known->second
                = m_directory.hasReplica(request.service, request.terms.variant, request.softwareVersion, now);
        if (known->second || isVersionGone(request, now) || m_directory.isWhollyEvacuated(request.service, now))
            ready.push_back(id);
    }
    for (const RequestId id : ready) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        found->second.nextTryAt = now + retryPause;
        if (found->second.needsRetry && !takeRetry(found->second, now))
            continue;
        found->second.needsRetry = false;
        dispatch(found->second, now, effects);
    }
}

} // namespace Catkinwell
