#include <catkinwell/gateway/EndpointDirectory.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    constexpr Duration shortestSuspicion = std::chrono::milliseconds(400);
    constexpr Duration longestSuspicion = std::chrono::milliseconds(3000);
    // An endpoint that rejected a request for a variant is tried again after this time if it is still listed as a
    // holder.
    constexpr Duration missingTime = std::chrono::milliseconds(400);
    constexpr Duration misdirectedTime = std::chrono::seconds(3);
    // Weight of the latest attempt in the moving average of failures.
    constexpr double failureWeight = 0.15;
    // A restored store can bring back the records of endpoints that left before.
    constexpr Duration departureLifetime = std::chrono::minutes(10);
    constexpr std::size_t maximumDepartures = 1024;
    constexpr Duration serviceUseInterval = std::chrono::milliseconds(50);

} // namespace

EndpointDirectory::EndpointDirectory(DataCentreId own, std::uint64_t seed, HostId self)
    : m_ownDataCentre(std::move(own))
    , m_random(seed)
    , m_limits(self, seed + 1)
    , m_room(seed + 2)
    , m_notices(seed + 3)
    , m_return(seed + 4)
    , m_cold(std::move(self))
{
}

bool EndpointDirectory::isOutdated(const EndpointRecord& record, bool isStoreRecovering) const
{
    const auto entry = m_entries.find(record.id);
    const auto departure = m_departures.find(record.id);
    const EndpointRecord* known = entry != m_entries.end() ? &entry->second.record
        : departure != m_departures.end()                  ? &departure->second.record
                                                           : nullptr;
    if (!known)
        return false;
    return known->isNewerThan(record) || (isStoreRecovering && record.incarnation < known->incarnation);
}

void EndpointDirectory::rememberDeparture(const EndpointRecord& record, MonotonicTime now)
{
    if (m_departures.size() >= maximumDepartures)
        m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    m_departures[record.id] = { record, now };
}

void EndpointDirectory::put(const EndpointRecord& record, MonotonicTime now, EffectList& effects)
{
    auto [found, isNew] = m_entries.try_emplace(record.id);
    Entry& entry = found->second;
    const bool isRestarted = !isNew && entry.record.incarnation != record.incarnation;
    // An endpoint that said that it leaves does so, whatever its record says.
    const bool isLeaving = record.isLeaving || m_notices.isLeaving(record.id, record.incarnation);
    const bool changesState
        = isNew || isRestarted || entry.record.isLeaving != isLeaving || entry.usableUntil != MonotonicTime();
    if (isRestarted) {
        m_notices.remove(record.id);
        m_limits.remove(record.id);
        m_room.remove(record.id);
        entry.update = EngineUpdate();
        entry.updateReceivedAt = MonotonicTime();
        entry.missingUntil.clear();
        entry.rejectedAt.reset();
        entry.acceptsUpTo = 0;
        entry.firstByteSeconds = 0;
        entry.consecutiveFailures = 0;
        entry.failureShare = 0;
        entry.suspectedUntil = MonotonicTime();
    }
    entry.record = record;
    entry.record.isLeaving = isLeaving;
    entry.recordAt = now;
    entry.usableUntil = MonotonicTime();
    m_cold.noteRecord(record, now, effects);
    noteVersion(record, now);
    if (changesState)
        effects.push_back(LogEntry { LogEvent::GatewayEndpointChanged,
            { { "endpoint", record.id.value }, { "service", record.service }, { "address", record.address },
                { "software_version", record.softwareVersion },
                { "state", isLeaving ? "leaving" : (isRestarted ? "restarted" : "ready") } } });
}

void EndpointDirectory::remove(const EndpointId& id, MonotonicTime usableUntil, MonotonicTime now, EffectList& effects)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.usableUntil != MonotonicTime())
        return;
    found->second.usableUntil = std::max(usableUntil, now);
    effects.push_back(LogEntry { LogEvent::GatewayEndpointChanged,
        { { "endpoint", id.value }, { "state", usableUntil > now ? "lapsed" : "gone" } } });
}

void EndpointDirectory::handle(const PlacementUpdate& update, MonotonicTime now)
{
    if (update.fencingToken < m_updateToken)
        return;
    m_updateToken = update.fencingToken;
    if (!update.forecasts.empty()) {
        m_forecasts = update.forecasts;
        m_forecastsReceivedAt = now;
    }
    for (const EngineUpdate& engine : update.engines) {
        const auto found = m_entries.find(engine.endpoint);
        if (found == m_entries.end() || found->second.record.incarnation != engine.incarnation)
            continue;
        Entry& entry = found->second;
        entry.update = engine;
        entry.updateReceivedAt = now;
        std::erase_if(entry.missingUntil, [&engine](const auto& missing) {
            const auto model = engine.models.find(missing.first.model);
            return model == engine.models.end()
                || (!missing.first.adapter.empty() && !model->second.contains(missing.first.adapter));
        });
    }
}

void EndpointDirectory::handle(const HostId& from, const HostDigest& digest, MonotonicTime now)
{
    removeHost(from);
    m_peerReports[from] = { digest.running, now };
    m_reportTimes += now.time_since_epoch();
    addPeerLoad(digest.running);
}

void EndpointDirectory::removeHost(const HostId& host)
{
    const auto found = m_peerReports.find(host);
    if (found == m_peerReports.end())
        return;
    removePeerLoad(found->second.running);
    m_reportTimes -= found->second.at.time_since_epoch();
    m_peerReports.erase(found);
}

void EndpointDirectory::addPeerLoad(const std::vector<RunningCount>& list)
{
    for (const RunningCount& running : list) {
        PeerLoad& load = m_peerLoads[running.endpoint];
        load.total += running.count;
        load.byModel[running.variant.model] += running.count;
    }
}

void EndpointDirectory::removePeerLoad(const std::vector<RunningCount>& list)
{
    for (const RunningCount& running : list) {
        const auto found = m_peerLoads.find(running.endpoint);
        if (found == m_peerLoads.end())
            continue;
        PeerLoad& load = found->second;
        load.total -= running.count;
        if ((load.byModel[running.variant.model] -= running.count) == 0)
            load.byModel.erase(running.variant.model);
        if (load.byModel.empty())
            m_peerLoads.erase(found);
    }
}

void EndpointDirectory::tick(MonotonicTime now)
{
    updateVersions(now);
    std::erase_if(m_entries, [this, now](const auto& item) {
        const Entry& entry = item.second;
        const bool isGone = entry.usableUntil != MonotonicTime() && now >= entry.usableUntil && entry.ownTotal == 0;
        if (isGone) {
            m_limits.remove(item.first);
            m_room.remove(item.first);
            m_cold.remove(item.first, now);
            rememberDeparture(entry.record, now);
        }
        return isGone;
    });
    std::erase_if(
        m_departures, [now](const auto& departure) { return now - departure.second.at >= departureLifetime; });
    m_limits.tick(now);
    m_notices.tick(now);
    m_return.tick(now);
    m_roomTurns.tick(now);
}

void EndpointDirectory::noteNotice(
    const EndpointId& id, const EndpointNotice& notice, MonotonicTime now, EffectList& effects)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    EndpointRecord& record = found->second.record;
    m_notices.note(id, record.incarnation, notice, now, effects);
    m_cold.noteNotice(id, notice, now, effects);
    record.isLeaving = record.isLeaving || notice.isLeaving;
}

std::optional<MonotonicTime> EndpointDirectory::soonestPauseEnd(const EndpointNeed& need, MonotonicTime now) const
{
    std::optional<MonotonicTime> soonest;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != need.service || !isPresent(entry, now) || !hasVariant(entry, need.variant, now)
            || !isVersionAccepted(entry, need.softwareVersion))
            continue;
        if (!m_notices.isPaused(id, now))
            return std::nullopt;
        const MonotonicTime end = m_notices.pauseEnd(id);
        soonest = soonest ? std::min(*soonest, end) : end;
    }
    return soonest;
}

bool EndpointDirectory::isUsable(const Entry& entry, MonotonicTime now) const
{
    return isPresent(entry, now) && now >= entry.suspectedUntil && now >= entry.misdirectedUntil
        && !m_notices.isPaused(entry.record.id, now);
}

EndpointRoom::Use EndpointDirectory::useOf(const Entry& entry, MonotonicTime now)
{
    ServiceUse& use = m_serviceUse[entry.record.service];
    if (now - use.at >= serviceUseInterval) {
        use = { 0, 0, now };
        for (const auto& [id, other] : m_entries) {
            if (other.record.service != entry.record.service)
                continue;
            use.own += other.ownTotal;
            use.all += runningOn(id);
        }
    }
    return { entry.record.slots, runningOn(entry.record.id), use.own, use.all };
}

bool EndpointDirectory::isUsable(const EndpointId& id, MonotonicTime now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && isUsable(found->second, now);
}

const LoadedModels& EndpointDirectory::modelsOf(const Entry& entry, MonotonicTime now) const
{
    const bool isUpdateFresh
        = entry.updateReceivedAt != MonotonicTime() && now - entry.updateReceivedAt < updateLifetime;
    return isUpdateFresh ? entry.update.models : entry.record.models;
}

bool EndpointDirectory::isListedWith(const Entry& entry, const ModelVariant& variant, MonotonicTime now) const
{
    if (variant.model.value.empty())
        return true;
    const LoadedModels& models = modelsOf(entry, now);
    const auto model = models.find(variant.model);
    return model != models.end() && (variant.adapter.empty() || model->second.contains(variant.adapter));
}

MonotonicTime EndpointDirectory::endOfMissing(const Entry& entry, const ModelVariant& variant)
{
    const auto missing = entry.missingUntil.find(variant);
    return missing == entry.missingUntil.end() ? MonotonicTime() : missing->second;
}

bool EndpointDirectory::hasVariant(const Entry& entry, const ModelVariant& variant, MonotonicTime now) const
{
    return isListedWith(entry, variant, now) && now >= endOfMissing(entry, variant);
}

// Whether the endpoint may get the request now.
bool EndpointDirectory::canTake(const Entry& entry, const EndpointNeed& need, MonotonicTime now)
{
    return entry.record.service == need.service && !need.excluded.contains(entry.record.id) && isUsable(entry, now)
        && hasVariant(entry, need.variant, now) && isVersionAccepted(entry, need.softwareVersion)
        && isAvailable(entry, now);
}

bool EndpointDirectory::hasReplica(const std::string& service, const ModelVariant& variant,
    const std::optional<std::string>& softwareVersion, MonotonicTime now)
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        const Entry& entry = item.second;
        return entry.record.service == service && isUsable(entry, now) && hasVariant(entry, variant, now)
            && isVersionAccepted(entry, softwareVersion) && isAvailable(entry, now);
    });
}

bool EndpointDirectory::hasUsableEndpoint(const std::string& service, MonotonicTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& item) { return item.second.record.service == service && isUsable(item.second, now); });
}

bool EndpointDirectory::isOnlyUnreachable(const EndpointNeed& need, MonotonicTime now) const
{
    bool isUnreachable = false;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service != need.service || !isPresent(entry, now) || !hasVariant(entry, need.variant, now)
            || !isVersionAccepted(entry, need.softwareVersion))
            continue;
        if (now >= entry.suspectedUntil && !need.excluded.contains(id))
            return false;
        isUnreachable = isUnreachable || now < entry.suspectedUntil;
    }
    return isUnreachable;
}

std::size_t EndpointDirectory::count(const std::string& service, MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& item) { return item.second.record.service == service && isPresent(item.second, now); }));
}

void EndpointDirectory::attemptStarted(const EndpointId& id, const ModelVariant& variant, MonotonicTime now)
{
    m_limits.attemptStarted(id, now);
    m_cold.attemptStarted(id, now);
    m_notices.attemptStarted(id, now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    m_room.attemptStarted(found->second.record.service, id, now);
    if (const auto endedAt = m_evacuated.endedAt(found->second.record.dataCentre))
        m_return.attemptStarted(id, *endedAt, now);
    noteStart(found->second.record.service, now);
    ++found->second.ownRunning[variant];
    ++found->second.ownTotal;
}

void EndpointDirectory::attemptEnded(
    const EndpointId& id, const ModelVariant& variant, AttemptVerdict verdict, MonotonicTime now, EffectList& effects)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    if (const auto running = entry.ownRunning.find(variant); running != entry.ownRunning.end()) {
        --entry.ownTotal;
        if (--running->second == 0)
            entry.ownRunning.erase(running);
    }
    if (verdict == AttemptVerdict::Neutral)
        return;
    if (verdict == AttemptVerdict::Good)
        m_roomTurns.placeFreed({ entry.record.service, variant.model }, now);
    if (verdict == AttemptVerdict::Silent) {
        // One pause of an endpoint stalls all its requests.
        if (now >= entry.suspectedUntil)
            suspect(entry, now, effects);
        return;
    }
    const bool isBad = verdict != AttemptVerdict::Good;
    entry.failureShare += failureWeight * ((isBad ? 1.0 : 0.0) - entry.failureShare);
    if (!isBad) {
        entry.consecutiveFailures = 0;
        return;
    }
    // A single bad answer is no reason to suspect an endpoint; a failed connection is.
    if (verdict != AttemptVerdict::Unreachable && entry.consecutiveFailures < 2)
        ++entry.consecutiveFailures;
    else
        suspect(entry, now, effects);
}

void EndpointDirectory::suspect(Entry& entry, MonotonicTime now, EffectList& effects)
{
    ++entry.consecutiveFailures;
    const Duration suspicion = std::min<Duration>(
        longestSuspicion, shortestSuspicion * (std::int64_t { 1 } << std::min(entry.consecutiveFailures - 1, 4U)));
    entry.suspectedUntil = now + suspicion;
    effects.push_back(LogEntry { LogEvent::GatewayEndpointSuspected,
        { { "endpoint", entry.record.id.value }, { "failures", std::to_string(entry.consecutiveFailures) },
            { "milliseconds", std::to_string(millisecondsOf(suspicion)) } } });
}

void EndpointDirectory::noteMissing(const EndpointId& id, const ModelVariant& variant, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.missingUntil[variant] = now + missingTime;
}

void EndpointDirectory::noteMisdirected(const EndpointId& id, MonotonicTime now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.misdirectedUntil = now + misdirectedTime;
}

std::vector<RunningCount> EndpointDirectory::running() const
{
    std::vector<RunningCount> list;
    for (const auto& [id, entry] : m_entries) {
        for (const auto& [variant, count] : entry.ownRunning)
            list.push_back({ id, variant, count });
    }
    return list;
}

unsigned EndpointDirectory::runningOn(const EndpointId& id) const
{
    const auto found = m_entries.find(id);
    const auto peers = m_peerLoads.find(id);
    return (found == m_entries.end() ? 0 : found->second.ownTotal)
        + (peers == m_peerLoads.end() ? 0 : peers->second.total);
}

unsigned EndpointDirectory::runningOn(const EndpointId& id, const ModelId& model) const
{
    unsigned total = 0;
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        for (const auto& [variant, count] : found->second.ownRunning)
            total += variant.model == model ? count : 0;
    }
    if (const auto peers = m_peerLoads.find(id); peers != m_peerLoads.end()) {
        const auto ofModel = peers->second.byModel.find(model);
        total += ofModel == peers->second.byModel.end() ? 0 : ofModel->second;
    }
    return total;
}

const EndpointRecord* EndpointDirectory::find(const EndpointId& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

} // namespace Catkinwell
