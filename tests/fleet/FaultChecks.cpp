#include "fleet/FaultChecks.h"

#include <algorithm>
#include <map>

namespace Catkinwell::Testing {

namespace {

    constexpr std::size_t allowedFailures = 10;
    constexpr std::size_t requestsPerAllowedFailure = 50;
    constexpr std::size_t allowedTries = 3;
    constexpr std::size_t crashesThatCondemn = 3;
    constexpr std::size_t allowedFalls = 2;
    constexpr std::size_t endpointsPerAllowedFall = 10;

    constexpr Duration pauseReaction = std::chrono::milliseconds(500);
    constexpr std::size_t allowedInPause = 2;
    constexpr Duration drainTime = std::chrono::seconds(2);
    constexpr Duration relayMargin = std::chrono::seconds(1);

    // The grace time of a host with the default settings, and how long after the SIGTERM a host may take requests that
    // it need not complete.
    constexpr Duration grace = std::chrono::seconds(8);
    constexpr Duration lateGrace = grace * 5 / 6;
    constexpr Duration excusedSendTime = std::chrono::seconds(3);
    // The time limit of all routes, and the largest error of its measurement.
    constexpr Duration timeLimit = std::chrono::seconds(8);
    constexpr Duration timeLimitMargin = std::chrono::milliseconds(100);

    struct ServedCount {
        std::size_t served = 0;
        std::size_t sent = 0;

        std::size_t failed() const { return sent - served; }
        std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
    };

    bool isServed(const CallerRequest& request) { return request.answer.status == 200 && request.answer.complete; }

    std::map<std::string, std::size_t> hostsOf(const std::vector<CallerRequest>& requests)
    {
        std::map<std::string, std::size_t> hosts;
        for (const CallerRequest& request : requests)
            hosts[request.id] = request.host;
        return hosts;
    }

    bool isFromCalmHost(const std::map<std::string, std::size_t>& hosts, const std::string& request, MonotonicTime at,
        const DisturbanceLog& disturbances)
    {
        const auto host = hosts.find(request);
        return host != hosts.end() && disturbances.isCalm(host->second, at);
    }

    bool isInPathLoss(const std::vector<PathLoss>& losses, MonotonicTime at)
    {
        return std::any_of(losses.begin(), losses.end(),
            [at](const PathLoss& loss) { return at >= loss.from && at < loss.until + relayMargin; });
    }

    bool isWithinPathLoss(const std::vector<PathLoss>& losses, MonotonicTime from, MonotonicTime until)
    {
        return std::any_of(losses.begin(), losses.end(),
            [&](const PathLoss& loss) { return loss.from <= until && loss.until + relayMargin > from; });
    }

    // Since when the host could work on the request alone.
    MonotonicTime turnOf(const CallerRequest& request) { return std::max(request.sentAt, request.firstAt); }

    bool isExcusedByStop(const std::vector<PlannedStop>& stops, const CallerRequest& request)
    {
        return std::any_of(stops.begin(), stops.end(), [&](const PlannedStop& stop) {
            return stop.host == request.host && request.sentAt <= stop.at + excusedSendTime
                && request.endedAt >= stop.at + lateGrace;
        });
    }

} // namespace

std::size_t DisturbanceLog::begin(std::optional<std::size_t> host, MonotonicTime at, DisturbanceCause cause)
{
    m_disturbances.push_back({ host, at, std::nullopt, cause });
    return m_disturbances.size() - 1;
}

void DisturbanceLog::end(std::size_t disturbance, MonotonicTime at) { m_disturbances.at(disturbance).until = at; }

bool DisturbanceLog::isCalm(std::size_t host, MonotonicTime from, MonotonicTime until) const
{
    return std::none_of(m_disturbances.begin(), m_disturbances.end(), [&](const Disturbance& disturbance) {
        const bool isConcerned = !disturbance.host || *disturbance.host == host;
        return isConcerned && disturbance.from <= until
            && (!disturbance.until || *disturbance.until + reactionTime > from);
    });
}

DisturbanceLog DisturbanceLog::withoutPlannedWork() const
{
    DisturbanceLog faults = *this;
    std::erase_if(faults.m_disturbances,
        [](const Disturbance& disturbance) { return disturbance.cause == DisturbanceCause::PlannedWork; });
    return faults;
}

std::vector<std::string> findUnservedCallers(
    const std::vector<CallerRequest>& requests, const std::vector<PathLoss>& losses, const DisturbanceLog& disturbances)
{
    std::vector<std::string> broken;
    for (const PathLoss& loss : losses) {
        ServedCount cut;
        ServedCount others;
        for (const CallerRequest& request : requests) {
            const bool isJudged = request.resumes.empty() && request.sentAt >= loss.from + reactionTime
                && request.sentAt < loss.until && disturbances.isCalm(request.host, request.sentAt);
            if (!isJudged)
                continue;
            ServedCount& count = loss.hosts.contains(request.host) ? cut : others;
            ++count.sent;
            count.served += isServed(request) ? 1 : 0;
        }
        const bool isServedLess = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
        const std::size_t allowed = allowedFailures + (cut.sent + others.sent) / requestsPerAllowedFailure;
        if (isServedLess && cut.failed() > allowed)
            broken.push_back(
                "hosts without a path to endpoints served " + cut.text() + " requests, the others " + others.text());
    }
    return broken;
}

std::vector<std::string> findRepeatedCrashes(
    const std::vector<CallerRequest>& requests, const EndpointHistory& records, const DisturbanceLog& disturbances)
{
    std::map<std::string, std::vector<MonotonicTime>> crashes;
    for (const RecordedCrash& crash : records.crashes)
        crashes[crash.path].push_back(crash.at);
    const auto hosts = hostsOf(requests);
    std::vector<std::string> broken;
    for (auto& [path, times] : crashes) {
        if (times.size() < crashesThatCondemn)
            continue;
        std::sort(times.begin(), times.end());
        const MonotonicTime from = times[crashesThatCondemn - 1] + reactionTime;
        std::size_t tries = 0;
        for (const Execution& execution : records.executions) {
            const bool isLate = execution.path == path && execution.at > from;
            tries += isLate && isFromCalmHost(hosts, execution.request, execution.at, disturbances) ? 1 : 0;
        }
        if (tries > allowedTries)
            broken.push_back("a request under which three endpoints had ended was sent to endpoints "
                + std::to_string(tries) + " times more: " + path);
    }
    return broken;
}

std::vector<std::string> findFalls(const std::vector<CallerRequest>& requests, const EndpointHistory& records,
    const std::vector<BrittleTime>& brittleTimes, const DisturbanceLog& disturbances)
{
    const auto hosts = hostsOf(requests);
    const auto isCounted = [&](const RecordedFall& fall) {
        const auto calm = std::count_if(fall.rejected.begin(), fall.rejected.end(),
            [&](const std::string& request) { return isFromCalmHost(hosts, request, fall.at, disturbances); });
        return 2 * static_cast<std::size_t>(calm) > fall.rejected.size();
    };
    std::vector<std::string> broken;
    for (const BrittleTime& time : brittleTimes) {
        const auto falls = std::count_if(records.falls.begin(), records.falls.end(),
            [&](const RecordedFall& fall) { return fall.at >= time.from && fall.at < time.until && isCounted(fall); });
        if (static_cast<std::size_t>(falls) > allowedFalls + time.endpoints / endpointsPerAllowedFall)
            broken.push_back(
                std::to_string(falls) + " of " + std::to_string(time.endpoints) + " brittle endpoints fell over");
    }
    return broken;
}

std::vector<std::string> findUnwantedRequests(const std::vector<CallerRequest>& requests,
    const EndpointHistory& records, const std::vector<PathLoss>& losses, const DisturbanceLog& disturbances)
{
    std::map<std::string, const CallerRequest*> byId;
    for (const CallerRequest& request : requests)
        byId[request.id] = &request;
    // The requests that reached each endpoint from each host.
    std::map<std::pair<std::string, std::size_t>, std::vector<std::pair<MonotonicTime, MonotonicTime>>> arrivals;
    for (const Arrival& arrival : records.arrivals) {
        const auto request = byId.find(arrival.request);
        if (request != byId.end() && disturbances.isCalm(request->second->host, arrival.at)
            && !isInPathLoss(losses, arrival.at))
            arrivals[{ arrival.endpoint, request->second->host }].emplace_back(arrival.at, request->second->sentAt);
    }
    std::vector<std::string> broken;
    for (const RecordedNotice& notice : records.notices) {
        const auto request = byId.find(notice.request);
        if (request == byId.end() || isInPathLoss(losses, notice.at))
            continue;
        const std::size_t host = request->second->host;
        const auto& own = arrivals[{ notice.endpoint, host }];
        const bool isPause = notice.pause > Duration::zero();
        const auto unwanted = static_cast<std::size_t>(std::count_if(own.begin(), own.end(), [&](const auto& times) {
            const auto& [arrivedAt, sentAt] = times;
            return isPause ? arrivedAt > notice.at + pauseReaction && arrivedAt < notice.at + notice.pause
                           : sentAt > notice.at + drainTime;
        }));
        if (unwanted > (isPause ? allowedInPause : 0))
            broken.push_back("host " + std::to_string(host) + " sent " + std::to_string(unwanted) + " requests to "
                + notice.endpoint + (isPause ? " within its pause" : ", which had said that it leaves"));
    }
    return broken;
}

std::vector<std::string> findOpenRequests(const std::vector<RequestAccounts>& accounts)
{
    std::vector<std::string> broken;
    for (const RequestAccounts& account : accounts) {
        if (account.read != account.ended)
            broken.push_back(account.moment + ": " + std::to_string(account.read) + " requests were read whole, "
                + std::to_string(account.ended) + " ended");
    }
    return broken;
}

std::vector<std::string> findUnansweredRequests(
    const std::vector<CallerRequest>& requests, Duration patience, const DisturbanceLog& disturbances)
{
    std::vector<std::string> broken;
    for (const CallerRequest& request : requests) {
        const bool isJudged = request.answer.status == 0 && !request.mayBeUnread;
        if (isJudged && disturbances.isCalm(request.host, request.sentAt, turnOf(request) + patience))
            broken.push_back(request.path + request.id + " got no answer from host " + std::to_string(request.host));
    }
    return broken;
}

std::vector<std::string> findLostRequests(const std::vector<CallerRequest>& requests, const EndpointHistory& records,
    const std::vector<PlannedStop>& stops, const std::vector<PathLoss>& losses, const DisturbanceLog& unplanned)
{
    std::map<std::string, std::string> reached;
    for (const Arrival& arrival : records.arrivals)
        reached[arrival.request] = arrival.endpoint;
    for (const RecordedBreak& broken : records.breaks)
        reached.erase(broken.request);
    std::vector<std::string> lost;
    for (const CallerRequest& request : requests) {
        const auto endpoint = reached.find(request.id);
        const Duration time = request.endedAt - turnOf(request);
        if (!request.wasClosed || endpoint == reached.end() || time >= timeLimit - timeLimitMargin
            || isExcusedByStop(stops, request) || isWithinPathLoss(losses, request.sentAt, request.endedAt)
            || !unplanned.isCalm(request.host, request.sentAt, request.endedAt))
            continue;
        lost.push_back("lost: " + request.path + request.id + " reached " + endpoint->second + " and host "
            + std::to_string(request.host) + " closed its connection after "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count())
            + " ms without a complete answer (status " + std::to_string(request.answer.status) + ")");
    }
    return lost;
}

} // namespace Catkinwell::Testing
