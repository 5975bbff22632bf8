#include <catkinwell/admin/UsageAccounting.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    constexpr std::string_view other = "other";
    constexpr Duration bucketWidth = std::chrono::hours(1);
    constexpr std::size_t maximumBuckets = 24;
    // A forecast from less history is too uncertain for a warning.
    constexpr Duration minimumForecastHistory = std::chrono::hours(1);
    constexpr double warningFraction = 0.8;

    double hoursOf(Duration duration) { return std::chrono::duration<double, std::ratio<3600>>(duration).count(); }

    int monthOf(WallTime time)
    {
        const std::chrono::year_month_day date(std::chrono::floor<std::chrono::days>(time));
        return static_cast<int>(date.year()) * 12 + static_cast<int>(static_cast<unsigned>(date.month()));
    }

    void countReason(std::map<std::string, std::uint64_t>& reasons, const std::string& reason)
    {
        const bool fits = reasons.contains(reason) || reasons.size() < UsageAccounting::maximumReasons;
        ++reasons[fits ? reason : std::string(other)];
    }

    std::string textOf(double hours) { return std::to_string(std::llround(hours)); }

} // namespace

double engineFraction(const FleetConfiguration& configuration, const DataCentreId& dataCentre)
{
    double all = 0;
    double inside = 0;
    for (const auto& [id, endpoint] : configuration.endpoints) {
        if (endpoint.kind != EndpointKind::Engine)
            continue;
        const auto memory = static_cast<double>(endpoint.memoryBytes);
        all += memory;
        inside += endpoint.dataCentre == dataCentre ? memory : 0;
    }
    return all > 0 ? inside / all : 0;
}

UsageAccounting::UsageAccounting(HostId host, MonotonicTime now, WallTime wallNow)
    : m_integratedUntil(now)
    , m_buckets { { now, 0 } }
    , m_month(monthOf(wallNow))
{
    m_report.periods.push_back({ std::move(host), wallNow, wallNow });
}

void UsageAccounting::replicaLoaded(
    const EndpointId& endpoint, const ModelId& model, ReplicaOrigin origin, MonotonicTime now, double accelerators)
{
    integrate(now);
    const ReplicaKey key(endpoint, model);
    if (m_replicas.contains(key))
        return;
    if (origin == ReplicaOrigin::LoadedNow)
        ++m_report.models[boundedModel(model)].loads;
    if (m_replicas.size() >= maximumReplicas)
        return;
    m_replicas.emplace(key, Replica { accelerators, false, now });
    m_loadedAccelerators += accelerators;
}

void UsageAccounting::replicaUnloaded(const EndpointId& endpoint, const ModelId& model, MonotonicTime now)
{
    integrate(now);
    const auto replica = m_replicas.find({ endpoint, model });
    if (replica == m_replicas.end())
        return;
    settle(replica->first, replica->second, now);
    m_loadedAccelerators -= replica->second.accelerators;
    m_replicas.erase(replica);
    // Prevents rounding errors from accumulating in the sum.
    if (m_replicas.empty())
        m_loadedAccelerators = 0;
}

void UsageAccounting::setReplicaBusy(const EndpointId& endpoint, const ModelId& model, bool busy, MonotonicTime now)
{
    const auto replica = m_replicas.find({ endpoint, model });
    if (replica == m_replicas.end() || replica->second.busy == busy)
        return;
    settle(replica->first, replica->second, now);
    replica->second.busy = busy;
}

void UsageAccounting::stopCountingReplicas(MonotonicTime now)
{
    integrate(now);
    settleAll(now);
    m_replicas.clear();
    m_loadedAccelerators = 0;
}

void UsageAccounting::coldStart(const AccountId& account, const ModelId& model)
{
    ++m_report.models[boundedModel(model)].coldStarts;
    ++m_report.accounts[boundedAccount(account)].coldStarts;
}

void UsageAccounting::tokensUsed(const AccountId& account, const ModelId& model, TokenCount tokens)
{
    if (tokens <= 0)
        return;
    auto& byModel = m_report.accounts[boundedAccount(account)].tokens;
    ModelId bounded = boundedModel(model);
    if (!byModel.contains(bounded)) {
        if (m_pairs >= maximumPairs)
            bounded = ModelId(std::string(other));
        else
            ++m_pairs;
    }
    // The entry counts towards the limit on models, which thereby bounds the accounts' entries as well.
    m_report.models.try_emplace(bounded);
    byModel[bounded] += tokens;
}

void UsageAccounting::requestRefused(const AccountId& account, const ModelId& model, const std::string& reason)
{
    countReason(m_report.models[boundedModel(model)].refusals, reason);
    countReason(m_report.accounts[boundedAccount(account)].refusals, reason);
}

void UsageAccounting::tick(MonotonicTime now, WallTime wallNow, const BudgetScope& scope, EffectList& effects)
{
    integrate(now);
    enterMonth(wallNow);
    m_report.periods.front().until = wallNow;
    m_report.monthlyBudgetHours = scope.monthlyHours;
    const double budget = scope.monthlyHours * scope.fraction;
    if (budget <= 0 || (m_warned && m_exceeded))
        return;
    m_report.meanAccelerators = meanAccelerators(now);
    const double forecast = forecastMonthHours(m_report);
    const auto log = [&](LogEvent event) {
        effects.emplace_back(LogEntry { event,
            { { "counted_hours", textOf(m_report.monthHours) }, { "forecast_hours", textOf(forecast) },
                { "budget_hours", textOf(budget) }, { "fleet_budget_hours", textOf(scope.monthlyHours) } } });
    };
    const bool forecastExceeds = forecast > budget && now - m_buckets.front().since >= minimumForecastHistory;
    if (!m_warned && (forecastExceeds || m_report.monthHours >= warningFraction * budget)) {
        m_warned = true;
        log(LogEvent::BudgetNearlyExceeded);
    }
    if (!m_exceeded && m_report.monthHours > budget) {
        m_exceeded = true;
        log(LogEvent::BudgetExceeded);
    }
}

UsageReport UsageAccounting::report(MonotonicTime now, WallTime wallNow)
{
    integrate(now);
    enterMonth(wallNow);
    settleAll(now);
    m_report.periods.front().until = wallNow;
    m_report.meanAccelerators = meanAccelerators(now);
    return m_report;
}

void UsageAccounting::settle(const ReplicaKey& key, Replica& replica, MonotonicTime now)
{
    const double hours = replica.accelerators * hoursOf(std::max(now - replica.countedUntil, Duration::zero()));
    ModelUsage& usage = m_report.models[boundedModel(key.second)];
    usage.loadedHours += hours;
    if (replica.busy)
        usage.busyHours += hours;
    replica.countedUntil = std::max(now, replica.countedUntil);
}

void UsageAccounting::settleAll(MonotonicTime now)
{
    for (auto& [key, replica] : m_replicas)
        settle(key, replica, now);
}

void UsageAccounting::integrate(MonotonicTime now)
{
    if (now <= m_integratedUntil)
        return;
    const double hours = m_loadedAccelerators * hoursOf(now - m_integratedUntil);
    m_integratedUntil = now;
    m_report.monthHours += hours;
    m_buckets.back().hours += hours;
    if (now - m_buckets.back().since < bucketWidth)
        return;
    m_buckets.push_back({ now, 0 });
    if (m_buckets.size() > maximumBuckets)
        m_buckets.pop_front();
}

void UsageAccounting::enterMonth(WallTime wallNow)
{
    const int month = monthOf(wallNow);
    // A wall clock that is set back must not reset the month's figures.
    if (month <= m_month)
        return;
    m_month = month;
    m_report.monthHours = 0;
    m_warned = false;
    m_exceeded = false;
}

double UsageAccounting::meanAccelerators(MonotonicTime now) const
{
    double hours = 0;
    for (const Bucket& bucket : m_buckets)
        hours += bucket.hours;
    const double span = hoursOf(now - m_buckets.front().since);
    return span > 0 ? hours / span : m_loadedAccelerators;
}

ModelId UsageAccounting::boundedModel(const ModelId& model) const
{
    const bool fits = m_report.models.contains(model) || m_report.models.size() < maximumModels;
    return fits ? model : ModelId(std::string(other));
}

AccountId UsageAccounting::boundedAccount(const AccountId& account) const
{
    const bool fits = m_report.accounts.contains(account) || m_report.accounts.size() < maximumAccounts;
    return fits ? account : AccountId(std::string(other));
}

} // namespace Catkinwell
