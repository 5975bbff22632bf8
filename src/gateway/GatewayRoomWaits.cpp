#include <catkinwell/gateway/GatewayRequests.h>

#include <algorithm>

// Requests that wait at this host because all endpoints of their model are full. They are sent by urgency and deadline,
// and end with a refusal in time for the caller.
namespace Catkinwell {

// An attempt must still have the time that the route aims at for its first byte.
MonotonicTime GatewayRequests::roomWaitLimit(const Request& request) const
{
    return std::min(waitLimit(request), request.firstByteDeadline - request.route.latencyGoal);
}

bool GatewayRequests::mayWaitForPlace(const Request& request, MonotonicTime now) const
{
    return m_directory.rule() == ChoiceRule::Spread && !request.mayHaveRun && now < roomWaitLimit(request)
        && (request.waitReason == WaitReason::Room || m_roomWaitCount < maximumRoomWaits);
}

// Those that only wait for the retry budget do not hold up others.
bool GatewayRequests::hasRoomWaitBefore(const Request& request) const
{
    const auto waits = m_roomWaits.find(roomKeyOf(request));
    return waits != m_roomWaits.end() && std::any_of(waits->second.begin(), waits->second.end(), [this](RequestId id) {
        return !m_requests.at(id).needsRetry;
    });
}

bool GatewayRequests::waitForPlace(Request& request, MonotonicTime now, EffectList& effects)
{
    if (!mayWaitForPlace(request, now))
        return false;
    EndpointNeed need = endpointNeedOf(request);
    for (const EndpointId& endpoint : request.retriable)
        need.excluded.erase(endpoint);
    const bool isBehindOthers = !isResent(request) && hasRoomWaitBefore(request) && m_directory.canChoose(need, now);
    if (!isBehindOthers && !m_directory.isWithoutRoom(need, now))
        return false;
    beginRoomWait(request, now, effects);
    return true;
}

void GatewayRequests::beginRoomWait(Request& request, MonotonicTime now, EffectList& effects)
{
    request.needsRetry = isResent(request);
    // Those that rejected the request may have room for it later.
    for (const EndpointId& endpoint : request.retriable)
        request.excluded.erase(endpoint);
    request.retriable.clear();
    request.rejections = 0;
    stopWaiting(request, now);
    beginWaiting(request, WaitReason::Room, now, effects);
    if (!request.terms.variant.model.value.empty())
        m_demand.waitBegan({ request.service, request.terms.variant }, now);
    m_roomWaits[roomKeyOf(request)].insert(request.arrived.id);
    ++m_roomWaitCount;
    endIfStopTooNear(request, now, stopWaitLimit(request), now, effects);
}

void GatewayRequests::dispatchRoomWaits(MonotonicTime now, EffectList& effects)
{
    std::vector<std::vector<RequestId>> queues;
    for (const auto& [key, waits] : m_roomWaits) {
        std::vector<RequestId>& queue = queues.emplace_back(waits.begin(), waits.end());
        const auto rankOf = [this](RequestId id) {
            const Request& request = m_requests.at(id);
            return std::tuple(request.priority.value_or(request.route.priority), request.deadline, id.value);
        };
        std::sort(queue.begin(), queue.end(),
            [&rankOf](RequestId left, RequestId right) { return rankOf(left) < rankOf(right); });
    }
    for (const std::vector<RequestId>& queue : queues) {
        for (const RequestId id : queue) {
            const auto found = m_requests.find(id);
            if (found == m_requests.end())
                continue;
            Request& request = found->second;
            if (request.needsRetry && !budgetOf(request.service).hasRetry(now))
                continue;
            const EndpointNeed need = endpointNeedOf(request);
            // Without an endpoint that holds the model, the request waits for a replica instead. One that only waited
            // for the retry budget needs no turn while endpoints have room.
            const bool needsTurn
                = m_directory.canChoose(need, now) && (!request.needsRetry || m_directory.isWithoutRoom(need, now));
            if (needsTurn && !m_directory.takeRoomTurn(need, now))
                break;
            if (std::exchange(request.needsRetry, false))
                takeRetry(request, now);
            stopWaiting(request, now);
            if (!isQuarantined(request, now))
                dispatchToEndpoint(request, now, effects);
            else
                endQuarantined(request, now, effects);
        }
    }
}

} // namespace Catkinwell
