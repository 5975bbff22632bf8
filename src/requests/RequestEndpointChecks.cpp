#include <catkinwell/requests/RequestFlow.h>

#include "endpoint/EngineProtocol.h"

// Whether an answer that ended with its connection is whole. An endpoint that ends closes its connections in the same
// way.
namespace Catkinwell {

namespace {

    constexpr Duration checkConnectTimeout = std::chrono::milliseconds(400);
    constexpr Duration checkSilenceTimeout = std::chrono::seconds(1);

} // namespace

// Any answer shows that the endpoint runs; a plain service need not know the report.
void RequestFlow::checkEndpointRuns(const ActiveRequest& request, EffectList& effects)
{
    StartAttempt check;
    check.id = AttemptId(++m_lastAttempt);
    check.endpoint = request.endpoint;
    check.address = request.endpointAddress;
    check.method = "GET";
    check.target = engineReportTarget;
    check.connectTimeout = checkConnectTimeout;
    check.silenceTimeout = checkSilenceTimeout;
    m_endpointChecks[check.id] = request.attempt;
    effects.push_back(std::move(check));
}

bool RequestFlow::handleCheck(const AttemptHead& head, MonotonicTime now, EffectList& effects)
{
    const auto check = m_endpointChecks.find(head.id);
    if (check == m_endpointChecks.end())
        return false;
    const AttemptId attempt = check->second;
    m_endpointChecks.erase(check);
    if (ActiveRequest* request = findByAttempt(attempt))
        handleWhole(*request, now, effects);
    return true;
}

bool RequestFlow::handleCheck(const AttemptFailed& failed, MonotonicTime now, EffectList& effects)
{
    const auto check = m_endpointChecks.find(failed.id);
    if (check == m_endpointChecks.end())
        return false;
    const AttemptId attempt = check->second;
    m_endpointChecks.erase(check);
    // Bytes that are no answer come from a running process as well.
    if (failed.failure == AttemptFailure::Garbage) {
        if (ActiveRequest* request = findByAttempt(attempt))
            handleWhole(*request, now, effects);
        return true;
    }
    handle(
        AttemptFailed { attempt, AttemptOutcome::Unknown,
            "the endpoint did not show that it ran when its answer ended: " + failed.reason, AttemptFailure::Broken },
        now, effects);
    return true;
}

} // namespace Catkinwell
