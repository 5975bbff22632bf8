#include <catkinwell/gateway/GatewayRequests.h>

#include <algorithm>

// Streams go on only at the software version that began them, within one answer and over the requests of a caller.
namespace Catkinwell {

namespace {

    // Longer than two calls of the store may take.
    constexpr Duration listCheckTimeout = std::chrono::milliseconds(600);
    // Time for the hosts that may know a stream to answer.
    constexpr Duration versionQuestionTimeout = std::chrono::milliseconds(200);
    // Time for the store to answer as well.
    constexpr Duration recordReadTimeout = std::chrono::milliseconds(700);
    // When a host that did not answer, or an endpoint that crashed, may be back.
    constexpr Duration unknownVersionRetryAfter = std::chrono::milliseconds(500);
    constexpr Duration versionGoneRetryAfter = std::chrono::seconds(2);
    // Callers abandon a stream after a longer pause.
    constexpr Duration longestInterruption = std::chrono::milliseconds(1500);
    // How long the model of an interrupted stream is loaded for its caller's return.
    constexpr Duration refusedVersionWaitTime = std::chrono::seconds(2);
    // The caller's clock and connection may be this much slower.
    constexpr Duration resumptionMargin = std::chrono::seconds(1);

} // namespace

bool GatewayRequests::isResumption(const Request& request) const
{
    return request.route.isStream && request.route.isResumable && !request.terms.lastEventId.empty();
}

void GatewayRequests::dispatchResumption(Request& request, MonotonicTime now, EffectList& effects)
{
    request.versionDeadline.reset();
    m_awaitingVersion.erase(request.arrived.id);
    const bool isNamed = !request.terms.resumedRequestId.empty();
    const auto known = isNamed ? m_streamVersions.find(request.stream, now) : std::nullopt;
    const bool isSeveral = m_directory.hasSeveralVersions(request.service, now);
    if (known && !known->empty())
        request.softwareVersion = *known;
    if (request.softwareVersion || (!isSeveral && request.isListChecked)) {
        dispatch(request, now, effects);
        return;
    }
    if (!isSeveral) {
        waitForListCheck(request, now);
        return;
    }
    if (known || !isNamed) {
        refuseUnknownVersion(request, now, effects);
        return;
    }
    request.versionDeadline = now + versionQuestionTimeout;
    m_awaitingVersion.insert(request.arrived.id);
    m_versionQuestions.push_back(request.stream);
}

// That one version serves may be all that a host knows which was cut off or stood still.
void GatewayRequests::waitForListCheck(Request& request, MonotonicTime now)
{
    request.versionDeadline = now + listCheckTimeout;
    request.listAskedAt = now;
    m_awaitingList.insert(request.arrived.id);
}

void GatewayRequests::goOnAfterListCheck(RequestId id, MonotonicTime now, EffectList& effects)
{
    m_awaitingList.erase(id);
    Request& request = m_requests.at(id);
    request.isListChecked = true;
    dispatchResumption(request, now, effects);
}

void GatewayRequests::noteListChecked(MonotonicTime checkedAt, MonotonicTime now, EffectList& effects)
{
    for (const RequestId id : std::set<RequestId>(m_awaitingList)) {
        if (m_awaitingList.contains(id) && m_requests.at(id).listAskedAt <= checkedAt)
            goOnAfterListCheck(id, now, effects);
    }
}

void GatewayRequests::noteListUnchecked(bool isEveryPeerHeard, MonotonicTime now, EffectList& effects)
{
    for (const RequestId id : std::set<RequestId>(m_awaitingList)) {
        if (!m_awaitingList.contains(id))
            continue;
        if (isEveryPeerHeard)
            goOnAfterListCheck(id, now, effects);
        else
            refuseUnknownVersion(m_requests.at(id), now, effects);
    }
}

void GatewayRequests::refuseUnknownVersion(Request& request, MonotonicTime now, EffectList& effects)
{
    refuse(request,
        { 503, "stream_version_unknown",
            "this host does not know at which software version the stream began; retry at another host",
            unknownVersionRetryAfter },
        now, effects);
}

bool GatewayRequests::isVersionGone(const Request& request, MonotonicTime now) const
{
    // Where one version serves, the model may be loaded at any endpoint.
    if (!request.softwareVersion || !m_directory.hasSeveralVersions(request.service, now))
        return false;
    // An endpoint that rejected a request which has not run may accept it later; one that failed is not used again.
    const std::set<EndpointId> failed = request.mayHaveRun ? request.excluded : std::set<EndpointId>();
    const EndpointNeed need { request.terms.callerRequestId, request.service, request.terms.variant, {}, failed,
        request.softwareVersion };
    if (!m_directory.hasVersion(need, now))
        return true;
    // The caller of an interrupted answer does not wait for a load; it may take up the stream again.
    const auto soonest = shortestTimeToReplica(needOf(request, now), now, failed);
    return request.isHeadSent && soonest && *soonest > longestInterruption;
}

bool GatewayRequests::endIfVersionGone(Request& request, MonotonicTime now, EffectList& effects)
{
    if (!isVersionGone(request, now))
        return false;
    if (request.isHeadSent)
        m_refusedVersionWaits[{ request.service, request.terms.variant, *request.softwareVersion }]
            = now + refusedVersionWaitTime;
    if (request.mayHaveRun)
        fail(request, 502, "stream_version_gone", now, effects);
    else
        refuse(request,
            { 503, "stream_version_gone", "no endpoint of the software version that began the stream can go on with it",
                versionGoneRetryAfter },
            now, effects);
    return true;
}

std::optional<std::string> GatewayRequests::versionOf(const Attempt& attempt) const
{
    if (attempt.relayedTo)
        return attempt.relayAnswer.softwareVersion;
    const EndpointRecord* record = m_directory.find(attempt.endpoint);
    return record ? std::optional(record->softwareVersion) : std::nullopt;
}

void GatewayRequests::noteStreamBegun(Request& request, MonotonicTime now)
{
    if (!request.route.isResumable || request.softwareVersion)
        return;
    const auto version = versionOf(*request.attempt);
    const bool isSeveral = m_directory.hasSeveralVersions(request.service, now);
    if (version || isSeveral)
        request.softwareVersion = version.value_or(std::string());
    if (isSeveral)
        reportVersion(request, now);
}

void GatewayRequests::reportVersion(Request& request, MonotonicTime now)
{
    if (request.isVersionReported || !request.softwareVersion)
        return;
    request.isVersionReported = true;
    const Duration callerTime = request.terms.timeLeft.value_or(request.route.timeout);
    const Duration remaining = request.arrivedAt + callerTime + resumptionMargin - now;
    m_streamVersions.noteBegun(request.stream, *request.softwareVersion, remaining, now);
}

// The caller of a stream that broke may take it up again when another version serves as well.
void GatewayRequests::reportIfBroken(Request& request, MonotonicTime now)
{
    if (request.route.isResumable && request.softwareVersion)
        reportVersion(request, now);
}

void GatewayRequests::endpointVersionChanged(const EndpointId& endpoint, MonotonicTime now)
{
    for (auto& [id, request] : m_requests) {
        if (!request.attempt || request.attempt->endpoint != endpoint || !request.softwareVersion)
            continue;
        request.softwareVersion = std::string();
        request.isVersionReported = false;
        reportVersion(request, now);
    }
}

std::vector<RequestId> GatewayRequests::requestsAwaiting(StreamKey stream) const
{
    std::vector<RequestId> ids;
    std::copy_if(m_awaitingVersion.begin(), m_awaitingVersion.end(), std::back_inserter(ids),
        [this, stream](RequestId id) { return m_requests.at(id).stream == stream; });
    return ids;
}

void GatewayRequests::noteAsked(
    StreamKey stream, std::size_t hosts, bool areRecordsRead, MonotonicTime now, EffectList& effects)
{
    for (const RequestId id : requestsAwaiting(stream)) {
        Request& request = m_requests.at(id);
        request.askedHosts = hosts;
        request.awaitsRecords = areRecordsRead;
        if (areRecordsRead)
            request.versionDeadline = now + recordReadTimeout;
        refuseIfNobodyKnows(request, now, effects);
    }
}

void GatewayRequests::refuseIfNobodyKnows(Request& request, MonotonicTime now, EffectList& effects)
{
    if (request.askedHosts == 0 && !request.awaitsRecords)
        refuseUnknownVersion(request, now, effects);
}

void GatewayRequests::handle(const StreamBeginning& beginning, MonotonicTime now, EffectList& effects)
{
    m_streamVersions.merge(beginning, now);
    const bool isKnown = m_streamVersions.find(beginning.stream, now).has_value();
    for (const RequestId id : requestsAwaiting(beginning.stream)) {
        Request& request = m_requests.at(id);
        if (isKnown) {
            dispatchResumption(request, now, effects);
            continue;
        }
        request.askedHosts -= request.askedHosts > 0 ? 1 : 0;
        refuseIfNobodyKnows(request, now, effects);
    }
}

void GatewayRequests::noteRecordsRead(
    const std::vector<StreamBeginning>& beginnings, MonotonicTime now, EffectList& effects)
{
    for (const StreamBeginning& beginning : beginnings)
        m_streamVersions.mergeRecorded(beginning, now);
    for (const RequestId id : std::set<RequestId>(m_awaitingVersion)) {
        Request& request = m_requests.at(id);
        request.awaitsRecords = false;
        request.versionDeadline = std::min(*request.versionDeadline, now + versionQuestionTimeout);
        if (m_streamVersions.find(request.stream, now))
            dispatchResumption(request, now, effects);
        else
            refuseIfNobodyKnows(request, now, effects);
    }
}

} // namespace Catkinwell
