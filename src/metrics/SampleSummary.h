#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace Catkinwell {

// Count, sum and quantiles of a stream of samples in constant memory. The quantiles are
// exact for the first few samples and P-square estimates afterwards. Not thread safe.
class SampleSummary {
public:
    static constexpr std::array<double, 3> probabilities { 0.5, 0.95, 0.99 };

    SampleSummary();
    ~SampleSummary();
    SampleSummary(SampleSummary&&) noexcept;
    SampleSummary& operator=(SampleSummary&&) noexcept;

    void add(double sample);
    std::size_t count() const;
    double sum() const;
    // Returns the quantile of probabilities[index]. Precondition: count() > 0.
    double quantile(std::size_t index) const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell
