#pragma once

#include <catkinwell/http/RequestCounts.h>
#include <catkinwell/metrics/Metric.h>
#include <vector>

namespace Catkinwell {

// Returns what to record for the counts of the callers' listener, if those of before were recorded. Thread safe.
// Precondition: no count has decreased.
std::vector<RecordMetric> metricsOf(const RequestCounts& before, const RequestCounts& now);

} // namespace Catkinwell
