#include <catkinwell/routing/EndpointTable.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    // A report with few models has about 400 bytes, so that four per second stay below 2 KB/s.
    constexpr std::int64_t reportsPerSecond = 4;
    constexpr Duration shortestReportInterval = std::chrono::milliseconds(500);
    constexpr Duration suspicionAfterFailure = std::chrono::seconds(2);
    // A single lost report does not indicate a dead endpoint.
    constexpr std::uint32_t failedReportsBeforeSuspicion = 3;
    // Maximum time from a failed attempt to the detection of the death that caused it.
    constexpr Duration deathWindow = std::chrono::seconds(5);
    constexpr Duration prefixLifetime = std::chrono::minutes(5);
    constexpr std::size_t rememberedPrefixes = 64;

    // Adjustments of the score, in units of an endpoint's capacity.
    constexpr double prefixBonus = 0.3;
    constexpr double otherDataCentrePenalty = 0.5;
    // An endpoint whose load has reached this multiple of its capacity receives no further requests;
    // they wait in the host's fair queue instead.
    constexpr double fullScore = 1.0;

    std::string formatScore(double value)
    {
        std::string text = std::to_string(value);
        return text.substr(0, text.find('.') + 4);
    }

} // namespace

EndpointTable::EndpointTable(DataCentreId ownDataCentre, std::uint64_t seed)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_random(seed)
{
}

void EndpointTable::configure(const FleetConfiguration& configuration)
{
    std::erase_if(m_entries, [&](const auto& entry) { return !configuration.endpoints.contains(entry.first); });
    for (const auto& [id, settings] : configuration.endpoints)
        m_entries[id].settings = settings;
}

void EndpointTable::handle(const EndpointReport& report, MonotonicTime, EffectList& effects)
{
    const auto found = m_entries.find(report.endpoint);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.reportPending = false;
    entry.failedReports = 0;
    noteRecheckAnswered(entry);
    entry.deathDetected = false;
    entry.reportedAt = report.requestedAt;
    entry.reportedLoad = report.running + report.waiting;
    entry.reportedCapacity = report.capacity;
    // The report contains all attempts except those that started after it was requested.
    entry.ownSinceReport = entry.ownSinceRequest;
    entry.ownSinceRequest = 0;
    entry.loaded.clear();
    for (const auto& replica : report.replicas) {
        if (replica.state == ReplicaState::Loaded)
            entry.loaded.insert(replica.model);
    }
    if (report.leaving && !entry.reportedLeaving)
        effects.push_back(LogEntry { LogEvent::EndpointStateChanged,
            { { "endpoint", report.endpoint.value }, { "state", "leaving" }, { "source", "report" } } });
    entry.reportedLeaving = report.leaving;
}

void EndpointTable::handle(const EndpointReportFailed& failure, MonotonicTime now, EffectList& effects)
{
    const auto found = m_entries.find(failure.endpoint);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.reportPending = false;
    // A plain service answers the probe with an error of its own, which shows that it is alive.
    if (entry.settings.kind == EndpointKind::Service && !failure.connectionFailed) {
        noteRecheckAnswered(entry);
        return;
    }
    noteRecheckFailed(entry, now);
    // One that broke an attempt and accepts no connection has ended.
    const bool hasEnded = failure.connectionFailed && now - entry.attemptFailedAt <= deathWindow;
    if (++entry.failedReports >= failedReportsBeforeSuspicion || hasEnded)
        suspect(entry, now + std::max(reportInterval() * 2, suspicionAfterFailure), failure.reason, effects);
}

bool EndpointTable::detectDeath(const EndpointReportFailed& failure, MonotonicTime now)
{
    const auto found = m_entries.find(failure.endpoint);
    if (!failure.connectionFailed || found == m_entries.end())
        return false;
    Entry& entry = found->second;
    if (entry.deathDetected || now - entry.attemptFailedAt > deathWindow)
        return false;
    entry.deathDetected = true;
    return true;
}

void EndpointTable::setLeaving(const std::set<EndpointId>& leaving, MonotonicTime, EffectList& effects)
{
    for (auto& [id, entry] : m_entries) {
        const bool isLeaving = leaving.contains(id);
        if (isLeaving != entry.leaving)
            effects.push_back(LogEntry { LogEvent::EndpointStateChanged,
                { { "endpoint", id.value }, { "state", isLeaving ? "leaving" : "usable" },
                    { "source", "platform" } } });
        entry.leaving = isLeaving;
    }
}

void EndpointTable::noteReplica(const EndpointId& endpoint, const ModelId& model, bool loaded)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    if (loaded)
        found->second.loaded.insert(model);
    else
        found->second.loaded.erase(model);
}

Duration EndpointTable::reportInterval() const
{
    const auto count = static_cast<std::int64_t>(m_entries.size());
    return std::max<Duration>(shortestReportInterval, std::chrono::milliseconds(1000 * count / reportsPerSecond));
}

void EndpointTable::tick(MonotonicTime now, EffectList& effects)
{
    for (auto& [id, entry] : m_entries) {
        const bool wanted = entry.settings.kind == EndpointKind::Engine || entry.probeDue;
        if (!wanted || entry.reportPending || now < entry.nextReportAt)
            continue;
        entry.probeDue = false;
        entry.reportPending = true;
        entry.ownSinceRequest = 0;
        // The jitter prevents hosts that started together from sending their requests together.
        const auto jitter = static_cast<std::int64_t>(m_random.below(200));
        entry.nextReportAt = now + reportInterval() + std::chrono::milliseconds(jitter);
        effects.push_back(FetchEndpointReport { id, entry.settings.address });
    }
}

void EndpointTable::refreshSoon(const EndpointId& endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found != m_entries.end())
        found->second.nextReportAt = MonotonicTime {};
}

bool EndpointTable::isUsable(const Entry& entry, MonotonicTime now) const
{
    return !entry.leaving && !entry.reportedLeaving && now >= entry.suspectedUntil;
}

bool EndpointTable::canServe(const Entry& entry, const EndpointRequirements& requirements, MonotonicTime now) const
{
    if (entry.settings.pool != requirements.pool || !isUsable(entry, now)
        || requirements.excluded.contains(entry.settings.id))
        return false;
    return requirements.model.value.empty() ? entry.settings.kind == EndpointKind::Service
                                            : entry.loaded.contains(requirements.model);
}

EndpointScore EndpointTable::scoreOf(
    const Entry& entry, const EndpointRequirements& requirements, MonotonicTime now) const
{
    const std::uint32_t capacity
        = std::max<std::uint32_t>(1, entry.reportedCapacity ? entry.reportedCapacity : entry.settings.capacity);
    const std::uint32_t load = std::max(entry.ownRunning, entry.reportedLoad + entry.ownSinceReport);
    EndpointScore score;
    score.endpoint = entry.settings.id;
    score.score = static_cast<double>(load) / capacity;
    score.hasRoom = score.score < fullScore;
    if (entry.settings.dataCentre != m_ownDataCentre)
        score.score += otherDataCentrePenalty;
    const bool cached = std::any_of(entry.recentPrefixes.begin(), entry.recentPrefixes.end(),
        [&](const PrefixUse& use) { return use.hash == requirements.prefixHash && now - use.at < prefixLifetime; });
    if (cached && requirements.prefixHash != 0)
        score.score -= prefixBonus;
    return score;
}

std::optional<EndpointSettings> EndpointTable::choose(
    const EndpointRequirements& requirements, MonotonicTime now, EffectList& effects)
{
    std::vector<EndpointScore> scores;
    for (const auto& [id, entry] : m_entries) {
        if (canServe(entry, requirements, now))
            scores.push_back(scoreOf(entry, requirements, now));
    }
    std::vector<EndpointScore> best;
    for (const auto& score : scores) {
        if (!score.hasRoom)
            continue;
        if (!best.empty() && score.score < best.front().score)
            best.clear();
        if (best.empty() || score.score == best.front().score)
            best.push_back(score);
    }
    if (best.empty())
        return std::nullopt;
    const EndpointId chosen = best[m_random.below(best.size())].endpoint;
    std::string candidates;
    for (const auto& score : scores)
        candidates += (candidates.empty() ? "" : " ") + score.endpoint.value + "=" + formatScore(score.score);
    effects.push_back(LogEntry { LogEvent::EndpointChosen,
        { { "request", std::to_string(requirements.request.value) }, { "model", requirements.model.value },
            { "pool", requirements.pool }, { "endpoint", chosen.value }, { "candidates", candidates } } });
    Entry& entry = m_entries[chosen];
    ++entry.ownRunning;
    ++entry.ownSinceReport;
    ++entry.ownSinceRequest;
    if (requirements.prefixHash != 0)
        rememberPrefix(entry, requirements.prefixHash, now);
    return entry.settings;
}

void EndpointTable::rememberPrefix(Entry& entry, std::uint64_t hash, MonotonicTime now)
{
    for (auto& use : entry.recentPrefixes) {
        if (use.hash == hash) {
            use.at = now;
            return;
        }
    }
    if (entry.recentPrefixes.size() >= rememberedPrefixes)
        entry.recentPrefixes.erase(entry.recentPrefixes.begin());
    entry.recentPrefixes.push_back({ hash, now });
}

bool EndpointTable::hasRoom(const std::string& pool, const ModelId& model, MonotonicTime now) const
{
    const EndpointRequirements requirements { RequestId(), pool, model, 0, {} };
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return canServe(entry.second, requirements, now) && scoreOf(entry.second, requirements, now).hasRoom;
    });
}

bool EndpointTable::isLoaded(
    const std::string& pool, const ModelId& model, MonotonicTime now, const std::set<EndpointId>& excluded) const
{
    const EndpointRequirements requirements { RequestId(), pool, model, 0, excluded };
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& entry) { return canServe(entry.second, requirements, now); });
}

bool EndpointTable::hasUsableEndpoint(const std::string& pool, MonotonicTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& entry) { return entry.second.settings.pool == pool && isUsable(entry.second, now); });
}

void EndpointTable::attemptEnded(const EndpointId& endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    if (entry.ownRunning > 0)
        --entry.ownRunning;
    if (entry.ownSinceRequest > 0)
        --entry.ownSinceRequest;
    // The latest report includes the attempt unless it started later. Corrects whichever count includes it.
    if (entry.ownSinceReport > 0)
        --entry.ownSinceReport;
    else if (entry.reportedLoad > 0)
        --entry.reportedLoad;
}

// A plain service that fails one answer may work for the next; without another endpoint, waiting helps nobody.
bool EndpointTable::isLastOfService(const Entry& entry, MonotonicTime now) const
{
    return entry.settings.kind == EndpointKind::Service
        && std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& other) {
               return &other.second != &entry && other.second.settings.pool == entry.settings.pool
                   && isUsable(other.second, now);
           });
}

void EndpointTable::attemptFailed(
    const EndpointId& endpoint, AttemptFailure failure, MonotonicTime now, EffectList& effects)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    if (failure == AttemptFailure::Connect || !isLastOfService(entry, now))
        suspect(entry, now + suspicionAfterFailure, "an attempt failed", effects);
    entry.nextReportAt = now;
    entry.attemptFailedAt = now;
    entry.deathDetected = false;
    entry.probeDue = true;
}

std::size_t EndpointTable::count(const std::string& pool) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.second.settings.pool == pool && !entry.second.leaving && !entry.second.reportedLeaving;
    }));
}

std::optional<EndpointSettings> EndpointTable::chooseForProbe(
    const std::string& pool, const std::function<bool(const EndpointId&)>& hasFailed) const
{
    const Entry* chosen = nullptr;
    for (const auto& [id, entry] : m_entries) {
        if (entry.settings.pool != pool || entry.leaving || entry.reportedLeaving)
            continue;
        if (!hasFailed(id))
            return entry.settings;
        chosen = &entry;
    }
    return chosen ? std::optional(chosen->settings) : std::nullopt;
}

void EndpointTable::endSuspicion(const EndpointId& endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    found->second.suspectedUntil = MonotonicTime {};
    found->second.failedReports = 0;
}

void EndpointTable::recheckSuspected(const std::string& pool, MonotonicTime now)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.settings.pool != pool || now >= entry.suspectedUntil)
            continue;
        // A report that is under way may have been requested while the path was broken.
        entry.rechecks = entry.reportPending ? 2 : 1;
        entry.nextReportAt = now;
        entry.probeDue = true;
    }
}

void EndpointTable::noteRecheckAnswered(Entry& entry)
{
    if (entry.rechecks == 0)
        return;
    entry.rechecks = 0;
    entry.suspectedUntil = MonotonicTime {};
}

void EndpointTable::noteRecheckFailed(Entry& entry, MonotonicTime now)
{
    if (entry.rechecks == 0 || --entry.rechecks == 0)
        return;
    entry.nextReportAt = now;
    entry.probeDue = true;
}

void EndpointTable::suspect(Entry& entry, MonotonicTime until, const std::string& reason, EffectList& effects)
{
    entry.suspectedUntil = std::max(entry.suspectedUntil, until);
    effects.push_back(LogEntry { LogEvent::EndpointStateChanged,
        { { "endpoint", entry.settings.id.value }, { "state", "suspected" }, { "reason", reason } } });
}

const EndpointSettings* EndpointTable::find(const EndpointId& endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second.settings;
}

std::string EndpointTable::statusJson(MonotonicTime now) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, entry] : m_entries) {
        nlohmann::json models = nlohmann::json::array();
        for (const ModelId& model : entry.loaded)
            models.push_back(model.value);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.reportedAt).count();
        list.push_back(
            { { "endpoint", id.value }, { "address", entry.settings.address }, { "usable", isUsable(entry, now) },
                { "leaving", entry.leaving || entry.reportedLeaving }, { "own_running", entry.ownRunning },
                { "reported_load", entry.reportedLoad }, { "report_age_ms", age }, { "loaded_models", models } });
    }
    return list.dump();
}

} // namespace Catkinwell
