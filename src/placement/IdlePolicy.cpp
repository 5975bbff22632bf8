#include <catkinwell/placement/IdlePolicy.h>

#include <algorithm>
#include <cmath>

namespace Catkinwell {

namespace {

    constexpr double secondsPerHour = 3600;
    // Load time of a cold start that costs coldStartCost; equals the default expectedLoadTime.
    constexpr double referenceLoadSeconds = 20;
    // Each new gap reduces the weight of the older ones by 1%. With 3%, bursts displace the rare long gaps; the
    // experiment IdlePolicyCost (14 days) then shows a higher cost at every weight above 0.03.
    constexpr double decay = 0.99;
    // A model without history starts with the weight of two gaps, spread evenly over the
    // logarithmic bins, so that the first observed gap alone does not determine the result.
    constexpr double priorWeight = 2;
    // Requests that are less than this apart belong to the same session.
    constexpr double sessionGapSeconds = 60;
    // Sessions are periodic if the standard deviation of their gaps is at most this fraction of the mean.
    constexpr double maximumRelativeDeviation = 0.15;
    // The fraction of uses that are assumed to fall outside the prefetch window.
    constexpr double missedPredictionFraction = 0.05;
    constexpr double evictionHorizonSeconds = 600;
    constexpr Duration minimumKeepAlive = std::chrono::seconds(10);

    double upperEdge(std::size_t bin) { return std::exp2(static_cast<double>(bin) / 2); }

    double middleOf(std::size_t bin) { return bin == 0 ? 0.5 : upperEdge(bin) * 0.85; }

} // namespace

void IdlePolicy::configure(const FleetConfiguration& effective)
{
    std::unordered_map<std::string, std::uint64_t> poolMemory;
    for (const auto& [id, endpoint] : effective.endpoints) {
        auto& largest = poolMemory[endpoint.pool];
        largest = std::max(largest, endpoint.memoryBytes);
    }
    std::erase_if(m_models, [&](const auto& entry) { return !effective.models.contains(entry.first); });
    for (const auto& [id, model] : effective.models) {
        const auto memory = poolMemory.find(model.pool);
        const double part = memory == poolMemory.end() || memory->second == 0
            ? 1.0
            : std::min(1.0, static_cast<double>(model.memoryBytes) / static_cast<double>(memory->second));
        auto [entry, isNew] = m_models.try_emplace(id);
        History& history = entry->second;
        history.idleCostPerSecond = effective.defaults.idleHourCost * part / secondsPerHour;
        history.coldStartCost
            = effective.defaults.coldStartCost * secondsOf(model.expectedLoadTime) / referenceLoadSeconds;
        history.loadTime = model.expectedLoadTime;
        if (isNew)
            history.bins.fill(priorWeight / binCount);
        updateKeepAlive(history);
    }
}

void IdlePolicy::noteArrivals(const ModelId& model, std::uint32_t count, MonotonicTime now)
{
    const auto found = m_models.find(model);
    if (found == m_models.end() || count == 0)
        return;
    History& history = found->second;
    if (!history.lastArrival) {
        history.sessionStart = now;
    } else {
        const double gap = secondsOf(now - *history.lastArrival);
        addGap(history, gap);
        if (gap >= sessionGapSeconds) {
            history.sessionGaps[history.sessionGapCount++ % periodicGapCount] = secondsOf(now - history.sessionStart);
            history.sessionStart = now;
            updatePeriod(history);
        }
    }
    history.lastArrival = now;
    updateKeepAlive(history);
}

void IdlePolicy::addGap(History& history, double seconds)
{
    const double position = seconds <= 1 ? 0 : std::ceil(2 * std::log2(seconds));
    const auto bin = std::min(binCount - 1, static_cast<std::size_t>(position));
    for (double& weight : history.bins)
        weight *= decay;
    history.bins[bin] += 1;
}

// Chooses the bin edge with the lowest expected cost as the keep-alive time.
void IdlePolicy::updateKeepAlive(History& history)
{
    double total = 0;
    for (const double weight : history.bins)
        total += weight;
    double remaining = total;
    double idleBelow = 0;
    double bestCost = history.coldStartCost * total;
    double best = 0;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        remaining -= history.bins[bin];
        idleBelow += history.bins[bin] * middleOf(bin);
        const double edge = upperEdge(bin);
        const double cost = history.idleCostPerSecond * (idleBelow + remaining * edge)
            + history.coldStartCost * std::max(0.0, remaining);
        if (cost < bestCost) {
            bestCost = cost;
            best = edge;
        }
    }
    history.keepAlive = std::max(minimumKeepAlive, durationOfSeconds(best));
}

void IdlePolicy::updatePeriod(History& history)
{
    history.period.reset();
    if (history.sessionGapCount < periodicGapCount)
        return;
    double sum = 0;
    double squares = 0;
    for (const double gap : history.sessionGaps) {
        sum += gap;
        squares += gap * gap;
    }
    const double mean = sum / periodicGapCount;
    const double deviation = std::sqrt(std::max(0.0, squares / periodicGapCount - mean * mean));
    if (deviation > maximumRelativeDeviation * mean)
        return;
    history.period = durationOfSeconds(mean);
    history.periodSpread = durationOfSeconds(2 * deviation) + std::chrono::seconds(5);
}

Duration IdlePolicy::keepAlive(const ModelId& model) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end())
        return minimumKeepAlive;
    const History& history = found->second;
    if (!history.period)
        return history.keepAlive;
    // A periodically used model is unloaded only if the idle time until the next predicted use costs more
    // than the cold starts of the uses that the prediction misses.
    const Duration lead = history.loadTime + history.periodSpread;
    const double saved = secondsOf(*history.period - 2 * lead) * history.idleCostPerSecond;
    return saved <= missedPredictionFraction * history.coldStartCost
        ? std::max(history.keepAlive, *history.period + history.periodSpread)
        : std::min(history.keepAlive, Duration(std::chrono::seconds(60)));
}

std::optional<IdlePolicy::Window> IdlePolicy::prefetchWindow(const ModelId& model) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end() || !found->second.period)
        return std::nullopt;
    const History& history = found->second;
    const MonotonicTime predicted = history.sessionStart + *history.period;
    return Window { predicted - history.periodSpread - history.loadTime, predicted + history.periodSpread };
}

bool IdlePolicy::shouldBeLoaded(const ModelId& model, std::optional<MonotonicTime> lastUse, MonotonicTime now) const
{
    if (lastUse && now - *lastUse <= keepAlive(model))
        return true;
    const auto window = prefetchWindow(model);
    return window && window->from <= now && now <= window->until;
}

double IdlePolicy::probabilityOfUse(const History& history, double idleSeconds, double horizonSeconds)
{
    double later = 0;
    double within = 0;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        const double gap = middleOf(bin);
        if (gap <= idleSeconds)
            continue;
        later += history.bins[bin];
        if (gap <= idleSeconds + horizonSeconds)
            within += history.bins[bin];
    }
    return later > 0 ? within / later : 0;
}

double IdlePolicy::evictionCost(const ModelId& model, MonotonicTime now) const
{
    const auto found = m_models.find(model);
    if (found == m_models.end())
        return 0;
    const History& history = found->second;
    const auto window = prefetchWindow(model);
    if (window && window->from <= now && now <= window->until)
        return history.coldStartCost;
    const double idle = history.lastArrival ? secondsOf(now - *history.lastArrival) : secondsPerHour;
    return history.coldStartCost * probabilityOfUse(history, idle, evictionHorizonSeconds);
}

} // namespace Catkinwell
