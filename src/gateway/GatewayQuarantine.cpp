#include <catkinwell/gateway/GatewayReducer.h>

// Refusal of requests that crash endpoints: how requests, peers and the store take part in the quarantines.
namespace Catkinwell {

namespace {

    template <typename List> std::string textOf(const List& parts)
    {
        std::string text;
        for (const PromptPartHash part : parts)
            text += (text.empty() ? "" : " ") + std::to_string(part);
        return text;
    }

} // namespace

GatewayRequests::Refusal GatewayRequests::quarantineRefusal(const Request& request) const
{
    const std::string refusal = std::to_string(m_promptQuarantine.refusalOf(request.parts).value_or(0));
    return { 500, "quarantined",
        "endpoints that ran this request or its prompt crashed (refusal " + refusal + "); change the prompt",
        std::nullopt };
}

bool GatewayRequests::isQuarantined(const Request& request, MonotonicTime now) const
{
    return m_promptQuarantine.isRefused(request.parts, now);
}

void GatewayRequests::endQuarantined(MonotonicTime now, EffectList& effects)
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : m_requests) {
        if (!request.proof.hasBegun() && isQuarantined(request, now))
            ids.push_back(id);
    }
    for (const RequestId id : ids)
        endQuarantined(m_requests.at(id), now, effects);
}

void GatewayRequests::endQuarantined(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.attempt) {
        request.mayHaveRun = true;
        effects.push_back(CancelAttempt { request.attempt->id });
        endAttempt(request, AttemptVerdict::Neutral, now, effects);
    }
    if (request.mayHaveRun)
        fail(request, 502, "quarantined", now, effects);
    else
        refuse(request, quarantineRefusal(request), now, effects);
}

void GatewayRequests::noteAnswer(const Request& request, MonotonicTime now)
{
    if (request.attempt->isRest)
        m_promptQuarantine.answeredRest(
            request.parts, static_cast<std::uint32_t>(request.attempt->position.events()), now);
    else
        m_promptQuarantine.answered(request.parts, now);
}

void GatewayRequests::noteAnswerGoesOn(Request& request, MonotonicTime now)
{
    if (!request.proof.noteData(now))
        return;
    m_promptQuarantine.answered(request.parts, now);
    m_trials.ended(request.arrived.id, now);
}

void GatewayRequests::noteBrokenAttempt(Request& request, MonotonicTime now)
{
    Attempt& attempt = *request.attempt;
    // What runs on in an evacuated data centre may be shut down with it.
    if (attempt.relayedTo || m_reach.isLost(request.service) || m_directory.isEvacuated(attempt.endpoint)
        || std::exchange(attempt.isAccused, true))
        return;
    const auto events = static_cast<std::uint32_t>(attempt.position.events());
    m_promptQuarantine.attemptBroken(attempt.endpoint,
        { request.fingerprint, request.parts, 1, events, now - attempt.startedAt, attempt.isHeadSeen }, now);
}

// What ran at an endpoint that started anew is suspected, also where no connection was closed.
void GatewayRequests::endpointDied(const EndpointId& endpoint, MonotonicTime now)
{
    m_promptQuarantine.endpointEnded(endpoint, now);
    for (auto& [id, request] : m_requests) {
        if (request.attempt && request.attempt->endpoint == endpoint)
            noteBrokenAttempt(request, now);
    }
}

bool GatewayRequests::holdForTrial(Request& request, MonotonicTime now, EffectList& effects)
{
    const Suspicion suspicion = m_promptQuarantine.suspicionOf(request.parts, now);
    if (suspicion.parts.empty())
        return false;
    // The hosts take turns from the moment at which a trial can run.
    const bool canRun = m_directory.hasReplica(request.service, request.terms.variant, request.softwareVersion, now);
    if (!canRun || m_trials.mayStart(suspicion, now))
        return false;
    if (!request.isWaiting)
        beginWaiting(request, WaitReason::Trial, now, effects);
    return true;
}

void GatewayReducer::updatePromptQuarantine(MonotonicTime now, EffectList& effects)
{
    PromptQuarantine& quarantine = m_requests.promptQuarantine();
    quarantine.tick(now);
    handlePromptChanges(now, effects);
    m_refusalRecords.tick(quarantine.refusals(now), m_gatewayMirror, m_placement.isOwner(), m_wallNow, now, effects);
}

void GatewayReducer::handlePromptChanges(MonotonicTime now, EffectList& effects)
{
    const std::vector<PromptPartHash> cleared = m_requests.promptQuarantine().takeCleared();
    if (!cleared.empty())
        effects.push_back(LogEntry { LogEvent::GatewaySuspicionCleared, { { "parts", textOf(cleared) } } });
    const std::vector<PromptRefusal> changes = m_requests.promptQuarantine().takeChanges(now);
    for (const PromptRefusal& refusal : changes) {
        const std::string parts = textOf(refusal.parts);
        effects.push_back(LogEntry { LogEvent::GatewayPromptRefusalChanged,
            { { "refusal", std::to_string(refusal.id) }, { "state", parts.empty() ? "ended" : "refused" },
                { "parts", parts }, { "age_ms", std::to_string(millisecondsOf(refusal.age)) } } });
        m_refusalRecords.noteChange(refusal, now);
    }
    if (!changes.empty())
        m_requests.endQuarantined(now, effects);
}

// A record that was deleted before it expired belonged to a refusal that another host found to be wrong. One that was
// lost is written again.
void GatewayReducer::applyRefusalRecord(const StoreEntry& entry, PromptRefusalId id, MonotonicTime now)
{
    PromptQuarantine& quarantine = m_requests.promptQuarantine();
    if (entry.isLost)
        return;
    if (entry.isDeleted)
        quarantine.release(id, now);
    else if (const auto refusal = m_refusalRecords.read(entry, m_wallNow))
        quarantine.adopt(*refusal, now);
}

} // namespace Catkinwell
