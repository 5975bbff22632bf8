#include <metrics/SampleSummary.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <vector>

namespace Catkinwell {

namespace Accumulators = boost::accumulators;

namespace {

    using Accumulator = Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum, Accumulators::tag::extended_p_square>>;

    // The P-square algorithm has 2n + 3 markers for n quantiles and gives no estimate until each has a sample.
    constexpr std::size_t markers = 2 * SampleSummary::probabilities.size() + 3;

} // namespace

struct SampleSummary::State {
    Accumulator accumulator { Accumulators::extended_p_square_probabilities = SampleSummary::probabilities };
    // The samples in ascending order, kept until there are enough for the estimate.
    std::vector<double> first;
};

SampleSummary::SampleSummary()
    : m_state(std::make_unique<State>())
{
}

SampleSummary::~SampleSummary() = default;
SampleSummary::SampleSummary(SampleSummary&&) noexcept = default;
SampleSummary& SampleSummary::operator=(SampleSummary&&) noexcept = default;

void SampleSummary::add(double sample)
{
    m_state->accumulator(sample);
    if (count() <= markers) {
        auto& first = m_state->first;
        first.insert(std::upper_bound(first.begin(), first.end(), sample), sample);
    } else {
        m_state->first = {};
    }
}

std::size_t SampleSummary::count() const { return Accumulators::count(m_state->accumulator); }

double SampleSummary::sum() const { return Accumulators::sum(m_state->accumulator); }

double SampleSummary::quantile(std::size_t index) const
{
    const auto& first = m_state->first;
    if (!first.empty()) {
        // Nearest-rank method: the smallest sample that at least this fraction of the samples does not exceed.
        const auto rank
            = static_cast<std::size_t>(std::ceil(probabilities.at(index) * static_cast<double>(first.size())));
        return first[std::clamp<std::size_t>(rank, 1, first.size()) - 1];
    }
    return Accumulators::extended_p_square(m_state->accumulator)[static_cast<std::ptrdiff_t>(index)];
}

} // namespace Catkinwell
