#include <catkinwell/routing/PromptQuarantine.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

// The crashes of endpoints that a quarantine knows, and which of them turn out to have been none.
namespace Catkinwell {

void PromptQuarantine::attemptBroken(const EndpointId& endpoint, const BrokenRequest& request, MonotonicTime now)
{
    expire(now);
    Crash* crash = crashUnder(stableHash(endpoint.value), request, now);
    if (!crash)
        return;
    if (Involved* involved = involve(*crash, request))
        involved->ownRuns += request.runs;
    m_crashNewsAt = now + m_settings.reportDelay;
}

bool PromptQuarantine::withdraw(MonotonicTime since)
{
    bool isWithdrawn = false;
    for (Crash& crash : m_crashes) {
        if (crash.at < since)
            continue;
        Crash own = crash;
        std::erase_if(own.requests, [](const auto& request) { return request.second.ownRuns == 0; });
        if (own.requests.empty())
            continue;
        isWithdrawn = true;
        m_withdrawn.push_back(std::move(own));
        for (auto& [fingerprint, involved] : crash.requests)
            involved.ownRuns = 0;
        std::erase_if(crash.requests, [](const auto& request) { return request.second.peerRuns == 0; });
    }
    while (m_withdrawn.size() > m_settings.maximumCrashes)
        m_withdrawn.pop_front();
    std::erase_if(m_crashes, [](const Crash& crash) { return crash.requests.empty(); });
    updateAccusedParts();
    return isWithdrawn;
}

void PromptQuarantine::endpointEnded(const EndpointId& id, MonotonicTime now)
{
    std::erase_if(m_withdrawn, [&](const Crash& crash) { return now - crash.at >= m_settings.withdrawalTime; });
    const std::uint64_t endpoint = stableHash(id.value);
    const auto withdrawn = std::find_if(
        m_withdrawn.begin(), m_withdrawn.end(), [&](const Crash& crash) { return crash.endpoint == endpoint; });
    if (withdrawn == m_withdrawn.end())
        return;
    Crash& crash = crashOf(endpoint, withdrawn->at);
    for (const auto& [fingerprint, involved] : withdrawn->requests) {
        if (Involved* again = involve(crash, reportOf(*withdrawn, fingerprint, involved)))
            again->ownRuns += involved.ownRuns;
    }
    dropLaterRequests(crash);
    m_withdrawn.erase(withdrawn);
    m_hasNews = true;
}

bool PromptQuarantine::endpointAnswered(const EndpointId& id, MonotonicTime connectedAt, MonotonicTime now)
{
    if (m_crashes.empty() || now - m_crashes.back().at >= m_settings.downTime)
        return false;
    const std::uint64_t endpoint = stableHash(id.value);
    noteEndpointIsBack(endpoint, connectedAt);
    if (now - m_crashes.back().at >= m_settings.reportTime)
        return false;
    const auto crash = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& entry) {
        return entry.endpoint == endpoint && entry.at > connectedAt && now >= entry.at + m_settings.survivalTime;
    });
    if (crash == m_crashes.end())
        return false;
    noteSurvival(endpoint, crash->at, true);
    return true;
}

void PromptQuarantine::noteSurvival(std::uint64_t endpoint, MonotonicTime crashAt, bool wasSeenHere)
{
    if (m_survived.size() >= m_settings.maximumCrashes && !m_survived.contains(endpoint))
        m_survived.erase(m_survived.begin());
    Survival& survival = m_survived[endpoint];
    survival = { std::max(survival.crashAt, crashAt), wasSeenHere || survival.wasSeenHere };
    m_hasNews = m_hasNews || wasSeenHere;
    std::erase_if(m_crashes, [&](const Crash& crash) {
        const Duration apart = crash.at > crashAt ? crash.at - crashAt : crashAt - crash.at;
        return crash.endpoint == endpoint && apart < m_settings.sameCrashTime;
    });
    updateAccusedParts();
}

void PromptQuarantine::noteEndpointIsBack(std::uint64_t endpoint, MonotonicTime connectedAt)
{
    for (Crash& crash : m_crashes)
        crash.isBack = crash.isBack || (crash.endpoint == endpoint && crash.at < connectedAt);
}

PromptQuarantine::Crash* PromptQuarantine::crashUnder(
    std::uint64_t endpoint, const BrokenRequest& request, MonotonicTime now)
{
    const auto latest = std::find_if(
        m_crashes.rbegin(), m_crashes.rend(), [&](const Crash& crash) { return crash.endpoint == endpoint; });
    const bool beganLater = latest != m_crashes.rend() && request.ranFor && now - *request.ranFor > latest->at;
    if (!beganLater)
        return &crashOf(endpoint, now);
    const bool isDown = !latest->isBack && now - latest->at < m_settings.downTime;
    if (isDown && !request.wasAnswered)
        return nullptr;
    return &addCrash({ endpoint, now, false, {} });
}

// A request that was sent after the crash, as another host saw it, ran into an endpoint that was down.
void PromptQuarantine::dropLaterRequests(Crash& crash)
{
    std::erase_if(crash.requests,
        [&crash](const auto& request) { return request.second.startedAt > crash.at && !request.second.wasAnswered; });
}

// Returns the crash of the endpoint at about this time, which may be known from other connections or hosts. Its time is
// that of the first sign.
PromptQuarantine::Crash& PromptQuarantine::crashOf(std::uint64_t endpoint, MonotonicTime at)
{
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
        const Duration apart = at > crash.at ? at - crash.at : crash.at - at;
        return crash.endpoint == endpoint && apart < m_settings.sameCrashTime;
    });
    if (known == m_crashes.end())
        return addCrash({ endpoint, at, false, {} });
    if (known->at <= at)
        return *known;
    Crash earlier = std::move(*known);
    m_crashes.erase(known);
    earlier.at = at;
    return addCrash(std::move(earlier));
}

PromptQuarantine::Crash& PromptQuarantine::addCrash(Crash added)
{
    if (m_crashes.size() >= m_settings.maximumCrashes) {
        m_crashes.pop_front();
        updateAccusedParts();
    }
    const auto position = std::upper_bound(m_crashes.begin(), m_crashes.end(), added.at,
        [](MonotonicTime time, const Crash& crash) { return time < crash.at; });
    return *m_crashes.insert(position, std::move(added));
}

// Returns nullptr if too many requests are known of the crash.
PromptQuarantine::Involved* PromptQuarantine::involve(Crash& crash, const BrokenRequest& request)
{
    if (crash.requests.size() >= m_settings.maximumRequestsPerCrash && !crash.requests.contains(request.fingerprint))
        return nullptr;
    Involved& involved = crash.requests[request.fingerprint];
    involved.parts = request.parts;
    involved.parts.insert(request.fingerprint);
    involved.events = std::max(involved.events, request.events);
    const MonotonicTime startedAt = request.ranFor ? crash.at - *request.ranFor : MonotonicTime::min();
    involved.startedAt = std::min(involved.startedAt, startedAt);
    involved.wasAnswered = involved.wasAnswered || request.wasAnswered;
    m_accusedParts.insert(involved.parts.begin(), involved.parts.end());
    return &involved;
}

void PromptQuarantine::updateAccusedParts()
{
    m_accusedParts.clear();
    for (const Crash& crash : m_crashes) {
        for (const auto& [fingerprint, involved] : crash.requests)
            m_accusedParts.insert(involved.parts.begin(), involved.parts.end());
    }
}

} // namespace Catkinwell
