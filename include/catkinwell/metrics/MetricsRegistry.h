#pragma once

#include <catkinwell/metrics/Metric.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Catkinwell {

// Keeps the metrics of the process, counted since its start, and renders them for Prometheus.
// Not thread safe.
class MetricsRegistry {
public:
    // Label values of a metric beyond this number are counted together under "other".
    static constexpr std::size_t maximumLabelValues = 200;
    // Longer label values are truncated, so that a faulty caller cannot enlarge the answer.
    static constexpr std::size_t maximumLabelBytes = 128;

    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    // Adds to a counter, sets a gauge or adds a sample to a summary. Values that
    // are not finite, negative increments of a counter and metrics without a
    // description are ignored and counted in rejectedSamples().
    void record(const RecordMetric&);

    // Returns every metric in the Prometheus text exposition format 0.0.4. Metrics
    // without samples are left out, except for their # HELP and # TYPE lines.
    // Summaries give the quantiles 0.5, 0.95 and 0.99, the sum and the count.
    std::string renderText() const;

    std::uint64_t rejectedSamples() const { return m_rejectedSamples; }

private:
    struct Families;

    std::unique_ptr<Families> m_families;
    std::uint64_t m_rejectedSamples = 0;
};

} // namespace Catkinwell
