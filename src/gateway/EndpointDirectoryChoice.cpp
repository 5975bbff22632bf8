#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <cmath>

// The choice of an endpoint for a request, and what is known of the room that endpoints have.
namespace Catkinwell {

namespace {

    // Bonuses, as fractions of an endpoint's capacity.
    constexpr double wholePromptBonus = 0.10;
    constexpr double sharedPromptBonus = 0.04;
    constexpr std::size_t maximumPromptEntries = 4096;
    // An endpoint that rejected a request is tried again after this time if each host has fresh reports.
    constexpr Duration fullTime = std::chrono::milliseconds(400);
    // A host starts few requests of a service, so that their rate shows only over several seconds.
    constexpr double startRateSeconds = 5;
    // Weight of the latest time to the first byte in the moving average.
    constexpr double firstByteWeight = 0.1;
    // The path's part of a time to the first byte does not count as speed.
    constexpr double pathSeconds = 0.05;
    constexpr double slowestSpeed = 0.5;
    constexpr double fastestSpeed = 2;
    // Weight of the latest rejection in the moving average of the load at which an endpoint rejects.
    constexpr double rejectionWeight = 0.3;
    // With this part of the slots free, hosts need not take turns.
    constexpr double plentyOfRoom = 0.25;

    std::uint64_t promptHash(const EndpointNeed& need, std::size_t parts)
    {
        std::string text = need.variant.text();
        for (std::size_t i = 0; i < parts; ++i)
            text += "|" + need.promptParts[i];
        return stableHash(text);
    }

} // namespace

void EndpointDirectory::setHosts(std::size_t count, Duration reportInterval)
{
    m_hostCount = std::max<std::size_t>(1, count);
    m_reportInterval = reportInterval;
    m_room.setHosts(m_hostCount);
    m_room.setReportInterval(reportInterval);
}

ChoiceRule EndpointDirectory::rule() const
{
    return m_hostCount >= m_spreadFromHosts ? ChoiceRule::Spread : ChoiceRule::LeastLoad;
}

EndpointDirectory::Affinities EndpointDirectory::affinitiesOf(const EndpointNeed& need) const
{
    // Only the longest prefix that an endpoint has processed counts.
    Affinities affinities;
    for (std::size_t parts = need.promptParts.size(); parts > 0; --parts) {
        const auto found = m_promptEndpoints.find(promptHash(need, parts));
        if (found != m_promptEndpoints.end())
            affinities.try_emplace(
                found->second, parts == need.promptParts.size() ? wholePromptBonus : sharedPromptBonus);
    }
    return affinities;
}

void EndpointDirectory::rememberPrompt(const EndpointNeed& need, const EndpointId& endpoint)
{
    for (std::size_t parts = 1; parts <= need.promptParts.size(); ++parts) {
        const std::uint64_t hash = promptHash(need, parts);
        const auto [entry, isNew] = m_promptEndpoints.insert_or_assign(hash, endpoint);
        if (isNew)
            m_promptOrder.push_back(hash);
    }
    while (m_promptOrder.size() > maximumPromptEntries) {
        m_promptEndpoints.erase(m_promptOrder.front());
        m_promptOrder.pop_front();
    }
}

bool EndpointDirectory::canChoose(const EndpointNeed& need, MonotonicTime now)
{
    return std::any_of(
        m_entries.begin(), m_entries.end(), [&](const auto& item) { return canTake(item.second, need, now); });
}

std::vector<const EndpointDirectory::Entry*> EndpointDirectory::takers(const EndpointNeed& need, MonotonicTime now)
{
    std::vector<const Entry*> entries;
    for (const auto& [id, entry] : m_entries) {
        if (canTake(entry, need, now))
            entries.push_back(&entry);
    }
    return entries;
}

// Mean age of the reports. A report that is overdue is as old as it is.
Duration EndpointDirectory::reportAge(MonotonicTime now) const
{
    if (m_peerReports.empty())
        return Duration::zero();
    return now.time_since_epoch() - m_reportTimes / static_cast<std::int64_t>(m_peerReports.size());
}

void EndpointDirectory::noteStart(const std::string& service, MonotonicTime now)
{
    StartRate& rate = m_startRates[service];
    rate.perSecond *= std::exp(-secondsOf(now - rate.at) / startRateSeconds);
    rate.perSecond += 1 / startRateSeconds;
    rate.at = now;
}

// The hosts get a similar number of requests each, and the endpoints those of the service in proportion to what they
// run.
double EndpointDirectory::startsPerSecond(
    const std::string& service, const std::vector<const Entry*>& entries, MonotonicTime now) const
{
    const auto rate = m_startRates.find(service);
    if (rate == m_startRates.end())
        return 0;
    double ofEntries = 0;
    double ofService = 0;
    for (const Entry* entry : entries)
        ofEntries += runningOn(entry->record.id);
    for (const auto& [id, entry] : m_entries)
        ofService += entry.record.service == service ? runningOn(id) : 0;
    const double own = rate->second.perSecond * std::exp(-secondsOf(now - rate->second.at) / startRateSeconds);
    return own * static_cast<double>(m_hostCount) * (ofEntries + 1) / (ofService + 1);
}

EndpointCandidate EndpointDirectory::candidateOf(
    const Entry& entry, const Affinities& affinities, Duration reportAge, MonotonicTime now) const
{
    EndpointCandidate candidate;
    candidate.endpoint = entry.record.id;
    candidate.slots = entry.record.slots;
    const auto peers = m_peerLoads.find(entry.record.id);
    candidate.reported = peers == m_peerLoads.end() ? 0 : peers->second.total;
    candidate.reportAge = reportAge;
    candidate.own = entry.ownTotal;
    if (entry.rejectedAt)
        candidate.rejectedAgo = now - *entry.rejectedAt;
    const auto affinity = affinities.find(entry.record.id);
    candidate.promptBonus = affinity == affinities.end() ? 0 : affinity->second;
    candidate.isSameDataCentre = entry.record.dataCentre == m_ownDataCentre;
    candidate.failureShare = entry.failureShare;
    candidate.isLimited = m_limits.isLimited(entry.record.id);
    return candidate;
}

void EndpointDirectory::setSpeeds(const std::vector<const Entry*>& entries, std::vector<EndpointCandidate>& candidates)
{
    double sum = 0;
    double known = 0;
    for (const Entry* entry : entries) {
        sum += entry->firstByteSeconds;
        known += entry->firstByteSeconds > 0 ? 1 : 0;
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const double own = entries[i]->firstByteSeconds;
        if (own > 0)
            candidates[i].speed
                = std::clamp((sum / known + pathSeconds) / (own + pathSeconds), slowestSpeed, fastestSpeed);
    }
}

// Each host alone would remember another endpoint for the same part, and all of them would process it.
std::optional<std::size_t> EndpointDirectory::agreedEndpoint(
    const EndpointNeed& need, const std::vector<const Entry*>& entries)
{
    if (need.promptParts.empty())
        return std::nullopt;
    const std::string prefix = need.variant.text() + "|" + need.promptParts.front() + "|";
    std::optional<std::size_t> agreed;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::uint64_t hash = stableHash(prefix + entries[i]->record.id.value);
        if (!agreed || hash > highest) {
            agreed = i;
            highest = hash;
        }
    }
    return agreed;
}

std::vector<EndpointCandidate> EndpointDirectory::candidatesOf(
    const EndpointNeed& need, const std::vector<const Entry*>& entries, MonotonicTime now) const
{
    const Affinities affinities = affinitiesOf(need);
    const Duration age = reportAge(now);
    std::vector<EndpointCandidate> candidates;
    candidates.reserve(entries.size());
    for (const Entry* entry : entries)
        candidates.push_back(candidateOf(*entry, affinities, age, now));
    if (rule() == ChoiceRule::LeastLoad)
        return candidates;
    setSpeeds(entries, candidates);
    if (const auto agreed = agreedEndpoint(need, entries))
        candidates[*agreed].promptBonus = wholePromptBonus;
    return candidates;
}

std::optional<EndpointChoice> EndpointDirectory::choose(
    const EndpointNeed& need, MonotonicTime now, EffectList& effects)
{
    const std::vector<const Entry*> entries = takers(need, now);
    if (entries.empty())
        return std::nullopt;
    ChoiceSituation situation { rule() };
    if (situation.rule == ChoiceRule::Spread)
        situation.startsPerSecond = startsPerSecond(need.service, entries, now);
    const CandidateChoice choice = m_chooser.choose(candidatesOf(need, entries, now), situation, m_random);
    const Entry& chosen = *entries.at(*choice.chosen);
    const std::int64_t ageMilliseconds = millisecondsOf(now - std::max(chosen.recordAt, chosen.updateReceivedAt));
    effects.push_back(LogEntry { LogEvent::GatewayEndpointChosen,
        { { "request", need.callerRequestId }, { "endpoint", chosen.record.id.value },
            { "software_version", chosen.record.softwareVersion }, { "model", need.variant.text() },
            { "running", std::to_string(runningOn(chosen.record.id)) },
            { "known_for_ms", std::to_string(ageMilliseconds) }, { "rule", std::string(nameOf(situation.rule)) },
            { "candidates", std::to_string(entries.size()) } } });
    if (!need.promptParts.empty())
        rememberPrompt(need, chosen.record.id);
    return EndpointChoice { chosen.record.id, chosen.record.address };
}

void EndpointDirectory::noteRejected(const EndpointId& id, const ModelVariant& variant, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.rejectedAt = now;
    const double limit = std::max<double>(entry.record.slots, runningOn(id));
    entry.acceptsUpTo
        = entry.acceptsUpTo == 0 ? limit : entry.acceptsUpTo + rejectionWeight * (limit - entry.acceptsUpTo);
    // With fresh reports, this host alone leaves the endpoint alone for the variant.
    if (rule() == ChoiceRule::LeastLoad && !variant.model.value.empty())
        entry.missingUntil[variant] = now + fullTime;
}

void EndpointDirectory::noteFirstByte(const EndpointId& id, Duration time)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    const double seconds = std::max(1e-6, secondsOf(time));
    entry.firstByteSeconds = entry.firstByteSeconds == 0
        ? seconds
        : entry.firstByteSeconds + firstByteWeight * (seconds - entry.firstByteSeconds);
    // It has accepted a request beside those that run.
    if (entry.acceptsUpTo > 0)
        entry.acceptsUpTo = std::max<double>(entry.acceptsUpTo, runningOn(id));
}

double EndpointDirectory::freePlaces(const Entry& entry, MonotonicTime now) const
{
    const EndpointCandidate candidate = candidateOf(entry, {}, reportAge(now), now);
    if (EndpointChooser::hasJustRejected(candidate))
        return 0;
    const double limit = std::max(entry.acceptsUpTo, candidate.slots);
    return std::max(0.0, limit - candidate.reported - candidate.own);
}

bool EndpointDirectory::isWithoutRoom(const EndpointNeed& need, MonotonicTime now)
{
    if (rule() == ChoiceRule::LeastLoad)
        return false;
    const std::vector<const Entry*> entries = takers(need, now);
    // Endpoints that never rejected a request may queue any number of them.
    return !entries.empty() && std::all_of(entries.begin(), entries.end(), [&](const Entry* entry) {
        return entry->rejectedAt && freePlaces(*entry, now) < 1;
    });
}

bool EndpointDirectory::takeRoomTurn(const EndpointNeed& need, MonotonicTime now)
{
    RoomTurns::Room room;
    double slots = 0;
    for (const Entry* entry : takers(need, now)) {
        slots += entry->record.slots;
        room.free += freePlaces(*entry, now);
        room.own += entry->ownTotal;
        room.all += runningOn(entry->record.id);
    }
    if (room.free >= slots * plentyOfRoom && slots > 0)
        return true;
    room.hosts = m_hostCount;
    room.reportInterval = m_reportInterval;
    return m_roomTurns.take({ need.service, need.variant.model }, room, now);
}

} // namespace Catkinwell
