#include <catkinwell/gateway/ColdEndpoints.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    // Within this time after it was sent a request has reached its endpoint, or never does: the longest time to connect
    // is 400 ms, the rest is for lost packets and a busy endpoint.
    constexpr Duration longestDelivery = std::chrono::seconds(1);
    constexpr Duration boundWindow = std::chrono::seconds(1);
    // Part of the bound that the hosts use by rule; the rest is for hosts whose lists of hosts differ.
    constexpr double usedPartOfBound = 0.75;
    constexpr double maximumRequests = 1024;
    // A record may have been written this long before it is read, so that it may be older than what an answer stated;
    // within this time after a connection broke the list of endpoints shows a restart.
    constexpr Duration longestRecordAge = std::chrono::seconds(3);
    constexpr Duration removedLifetime = std::chrono::minutes(10);
    // With more, those that were removed are forgotten early.
    constexpr std::size_t maximumKnownEndpoints = 4096;
    constexpr Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

ColdEndpoints::ColdEndpoints(HostId self)
    : m_shares(std::move(self))
{
}

void ColdEndpoints::setBounds(std::optional<ColdBounds> bounds) { m_bounds = bounds; }

void ColdEndpoints::configure(const std::map<std::string, GatewayService>& services, EffectList& effects)
{
    std::map<std::string, Terms> terms;
    std::set<std::string> invalidServices;
    for (const auto& [name, service] : services) {
        if (service.isColdInvalid) {
            invalidServices.insert(name);
            if (!m_invalidServices.contains(name))
                effects.push_back(
                    LogEntry { LogEvent::GatewayColdTimeInvalid, { { "source", "service" }, { "name", name } } });
            if (const auto known = m_terms.find(name); known != m_terms.end())
                terms.insert(*known);
        } else if (service.coldStart > Duration::zero() && service.coldRequestsPerSecond > 0) {
            terms[name] = { service.coldStart, service.coldRequestsPerSecond };
        }
    }
    m_terms = std::move(terms);
    m_invalidServices = std::move(invalidServices);
}

void ColdEndpoints::setHosts(const std::set<HostId>& registered, const std::set<HostId>& stopped, MonotonicTime now)
{
    m_shares.setHosts(registered, stopped, now);
}

void ColdEndpoints::noteRecord(const EndpointRecord& record, MonotonicTime readAt, EffectList& effects)
{
    const bool isKnown = m_endpoints.contains(record.id);
    if (!isKnown && m_endpoints.size() >= maximumKnownEndpoints)
        eraseLongestRemoved();
    Endpoint& endpoint = m_endpoints[record.id];
    const bool isNew = !isKnown || endpoint.incarnation != record.incarnation
        || (record.incarnation == 0 && endpoint.removedAt != MonotonicTime());
    if (isNew) {
        endpoint.firstSeenAt = readAt;
        endpoint.stated.reset();
        endpoint.recordRemaining.reset();
        endpoint.maybeColdSince = MonotonicTime();
        endpoint.connectionLostAt = MonotonicTime();
    }
    // A record that is read again states the time that was left when it was written.
    const bool isRepeated
        = !isNew && endpoint.heartbeat == record.heartbeat && endpoint.recordRemaining == record.coldRemaining;
    endpoint.service = record.service;
    endpoint.incarnation = record.incarnation;
    endpoint.heartbeat = record.heartbeat;
    endpoint.removedAt = MonotonicTime();
    if (record.isColdTimeInvalid)
        noteInvalid(record.id, endpoint, effects);
    if (!record.coldRemaining || isRepeated)
        return;
    endpoint.recordRemaining = record.coldRemaining;
    state(endpoint, *record.coldRemaining, readAt);
}

void ColdEndpoints::eraseLongestRemoved()
{
    auto oldest = m_endpoints.end();
    for (auto item = m_endpoints.begin(); item != m_endpoints.end(); ++item) {
        const MonotonicTime removedAt = item->second.removedAt;
        if (removedAt != MonotonicTime() && (oldest == m_endpoints.end() || removedAt < oldest->second.removedAt))
            oldest = item;
    }
    if (oldest != m_endpoints.end())
        m_endpoints.erase(oldest);
}

void ColdEndpoints::noteNotice(
    const EndpointId& id, const EndpointNotice& notice, MonotonicTime now, EffectList& effects)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (notice.isColdTimeInvalid)
        noteInvalid(id, found->second, effects);
    if (notice.coldRemaining)
        state(found->second, *notice.coldRemaining, now);
}

void ColdEndpoints::state(Endpoint& endpoint, Duration remaining, MonotonicTime at)
{
    const Statement statement { at + remaining, at };
    // A statement that ends the cold time earlier may be older than the one before it.
    const bool mayBeOlder
        = endpoint.stated && statement.end < endpoint.stated->end && at - endpoint.stated->statedAt < longestRecordAge;
    if (!mayBeOlder)
        endpoint.stated = statement;
}

void ColdEndpoints::noteInvalid(const EndpointId& id, Endpoint& endpoint, EffectList& effects)
{
    if (!std::exchange(endpoint.isInvalidLogged, true))
        effects.push_back(
            LogEntry { LogEvent::GatewayColdTimeInvalid, { { "source", "endpoint" }, { "name", id.value } } });
}

void ColdEndpoints::noteMaybeCold(const EndpointId& id, MonotonicTime now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.maybeColdSince = now;
}

void ColdEndpoints::noteConnectionLost(const EndpointId& id, MonotonicTime now)
{
    if (const auto found = m_endpoints.find(id); found != m_endpoints.end())
        found->second.connectionLostAt = now;
}

void ColdEndpoints::remove(const EndpointId& id, MonotonicTime now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end() && found->second.removedAt == MonotonicTime())
        found->second.removedAt = now;
}

const ColdEndpoints::Endpoint* ColdEndpoints::find(const EndpointId& id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const ColdEndpoints::Terms* ColdEndpoints::termsOf(const Endpoint& endpoint) const
{
    const auto found = m_bounds ? m_terms.find(endpoint.service) : m_terms.end();
    return found == m_terms.end() ? nullptr : &found->second;
}

// Returns when the endpoint's cold time ends or ended, and what says so. Precondition: its service has cold endpoints.
std::pair<MonotonicTime, std::string_view> ColdEndpoints::endOf(const Endpoint& endpoint) const
{
    const Duration coldTime = termsOf(endpoint)->coldTime;
    std::pair<MonotonicTime, std::string_view> end { endpoint.firstSeenAt + coldTime, "not_stated" };
    if (endpoint.stated)
        end = { endpoint.stated->end, "stated" };
    const auto extend = [&](MonotonicTime since, std::string_view reason) {
        if (since != MonotonicTime() && since + coldTime > end.first)
            end = { since + coldTime, reason };
    };
    extend(endpoint.maybeColdSince, "maybe_cold");
    extend(endpoint.connectionLostAt, "connection_lost");
    return end;
}

bool ColdEndpoints::isCold(const Endpoint& endpoint, MonotonicTime now) const
{
    return termsOf(endpoint) && now < endOf(endpoint).first;
}

ColdEndpoints::Budget ColdEndpoints::budgetOf(const Terms& terms) const
{
    const double bound = std::floor(terms.requestsPerSecond * m_bounds->factor + m_bounds->slack);
    if (bound < 1)
        return { 0, boundWindow };
    const double used
        = std::clamp(std::floor(std::min(terms.requestsPerSecond, bound * usedPartOfBound)), 1.0, maximumRequests);
    // A rate of less than one request per second is one request in a longer time.
    const Duration window = std::max(boundWindow, durationOfSeconds(std::min(1e6, used / terms.requestsPerSecond)));
    return { static_cast<unsigned>(used), window };
}

std::size_t ColdEndpoints::countingIn(const Endpoint& endpoint, MonotonicTime now)
{
    return static_cast<std::size_t>(std::count_if(
        endpoint.sent.begin(), endpoint.sent.end(), [now](const Sent& sent) { return now < sent.countsUntil; }));
}

bool ColdEndpoints::isCold(const EndpointId& id, MonotonicTime now) const
{
    const Endpoint* endpoint = find(id);
    return endpoint && isCold(*endpoint, now);
}

bool ColdEndpoints::isAvailable(const EndpointId& id, MonotonicTime now) const
{
    const Endpoint* endpoint = find(id);
    if (!endpoint || !isCold(*endpoint, now))
        return true;
    return countingIn(*endpoint, now) < m_shares.partOf(id, budgetOf(*termsOf(*endpoint)).requests, now);
}

Duration ColdEndpoints::timeUntilAvailable(const EndpointId& id, MonotonicTime now) const
{
    if (isAvailable(id, now))
        return Duration::zero();
    const Endpoint& endpoint = *find(id);
    const Duration untilWarm = endOf(endpoint).first - now;
    const unsigned requests = budgetOf(*termsOf(endpoint)).requests;
    const unsigned part = m_shares.partOf(id, requests, now);
    if (part == 0)
        return std::min(untilWarm, m_shares.timeUntilPart(id, requests, now));
    std::vector<MonotonicTime> ends;
    for (const Sent& sent : endpoint.sent) {
        if (now < sent.countsUntil)
            ends.push_back(sent.countsUntil);
    }
    // So many requests have to cease to count that one place is free.
    std::sort(ends.begin(), ends.end());
    return std::min<Duration>(untilWarm, ends[ends.size() - part] - now);
}

void ColdEndpoints::attemptStarted(const EndpointId& id, MonotonicTime now)
{
    const auto found = m_endpoints.find(id);
    const Terms* terms = found == m_endpoints.end() ? nullptr : termsOf(found->second);
    if (!terms)
        return;
    Endpoint& endpoint = found->second;
    if (isCold(endpoint, now))
        ++endpoint.newAttempts;
    const Budget budget = budgetOf(*terms);
    // Requests to a warm endpoint count as well once it turns cold.
    std::erase_if(endpoint.sent, [now](const Sent& sent) { return now >= sent.countsUntil; });
    while (!endpoint.sent.empty() && endpoint.sent.size() >= budget.requests)
        endpoint.sent.pop_front();
    endpoint.sent.push_back({ now, now + longestDelivery + budget.window });
}

void ColdEndpoints::attemptAnswered(const EndpointId& id, MonotonicTime startedAt, MonotonicTime now)
{
    const auto found = m_endpoints.find(id);
    const Terms* terms = found == m_endpoints.end() ? nullptr : termsOf(found->second);
    if (!terms)
        return;
    std::deque<Sent>& list = found->second.sent;
    const auto sent = std::find_if(list.begin(), list.end(),
        [startedAt](const Sent& candidate) { return candidate.startedAt == startedAt && !candidate.isAnswered; });
    if (sent == list.end())
        return;
    sent->isAnswered = true;
    sent->countsUntil = std::min(sent->countsUntil, now + budgetOf(*terms).window);
}

void ColdEndpoints::attemptNotCounted(const EndpointId& id, MonotonicTime startedAt)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    std::deque<Sent>& list = found->second.sent;
    const auto sent = std::find_if(list.begin(), list.end(),
        [startedAt](const Sent& candidate) { return candidate.startedAt == startedAt && !candidate.isAnswered; });
    if (sent != list.end())
        list.erase(sent);
}

void ColdEndpoints::tick(bool isListCurrent, MonotonicTime now, EffectList& effects)
{
    if (now < m_nextTickAt)
        return;
    m_nextTickAt = now + tickInterval;
    std::map<std::string, unsigned> coldCounts;
    for (const std::string& service : m_countedServices)
        coldCounts[service] = 0;
    for (auto& [id, endpoint] : m_endpoints) {
        if (isListCurrent && now - endpoint.connectionLostAt >= longestRecordAge)
            endpoint.connectionLostAt = MonotonicTime();
        logChange(id, endpoint, now, effects);
        if (endpoint.isLoggedCold && endpoint.removedAt == MonotonicTime())
            ++coldCounts[endpoint.service];
        if (endpoint.newAttempts > 0)
            effects.push_back(RecordMetric { Metric::ColdAttemptsTotal, endpoint.service,
                static_cast<double>(std::exchange(endpoint.newAttempts, 0)) });
    }
    m_countedServices.clear();
    for (const auto& [service, count] : coldCounts) {
        effects.push_back(RecordMetric { Metric::ColdEndpoints, service, static_cast<double>(count) });
        if (count > 0)
            m_countedServices.insert(service);
    }
    std::erase_if(m_endpoints, [now](const auto& item) {
        return item.second.removedAt != MonotonicTime() && now - item.second.removedAt >= removedLifetime;
    });
}

void ColdEndpoints::logChange(const EndpointId& id, Endpoint& endpoint, MonotonicTime now, EffectList& effects) const
{
    const bool isColdNow = isCold(endpoint, now);
    if (isColdNow == std::exchange(endpoint.isLoggedCold, isColdNow))
        return;
    LogEntry entry { LogEvent::GatewayEndpointColdChanged,
        { { "endpoint", id.value }, { "service", endpoint.service }, { "state", isColdNow ? "cold" : "warm" } } };
    if (isColdNow) {
        const auto [end, reason] = endOf(endpoint);
        const Budget budget = budgetOf(*termsOf(endpoint));
        entry.fields.emplace_back("reason", reason);
        entry.fields.emplace_back("milliseconds", std::to_string(millisecondsOf(end - now)));
        entry.fields.emplace_back("quota", std::to_string(m_shares.partOf(id, budget.requests, now)));
        entry.fields.emplace_back("hosts", std::to_string(m_shares.hostCount()));
    }
    effects.push_back(std::move(entry));
}

} // namespace Catkinwell
