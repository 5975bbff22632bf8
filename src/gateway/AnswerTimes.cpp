#include <catkinwell/gateway/AnswerTimes.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // 2 kB a route.
    constexpr std::size_t maximumSamples = 256;
    // Fewer answers say too little about the next one.
    constexpr std::size_t minimumSamples = 16;
    constexpr double usualFraction = 0.9;

} // namespace

void AnswerTimes::note(const std::string& route, Duration time)
{
    Samples& samples = m_samples[route];
    if (samples.times.size() < maximumSamples) {
        samples.times.push_back(time);
        return;
    }
    samples.times[samples.next] = time;
    samples.next = (samples.next + 1) % maximumSamples;
}

void AnswerTimes::keepOnly(const std::set<std::string>& routes)
{
    std::erase_if(m_samples, [&routes](const auto& entry) { return !routes.contains(entry.first); });
}

std::optional<Duration> AnswerTimes::longest(const std::string& route) const { return quantile(route, 1); }

std::optional<Duration> AnswerTimes::usual(const std::string& route) const { return quantile(route, usualFraction); }

std::optional<Duration> AnswerTimes::quantile(const std::string& route, double fraction) const
{
    const auto found = m_samples.find(route);
    if (found == m_samples.end() || found->second.times.size() < minimumSamples)
        return std::nullopt;
    std::vector<Duration> times = found->second.times;
    const auto rank = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + rank, times.end());
    return times[static_cast<std::size_t>(rank)];
}

} // namespace Catkinwell
