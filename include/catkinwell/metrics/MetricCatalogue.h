#pragma once

#include <catkinwell/metrics/Metric.h>
#include <string_view>
#include <vector>

namespace Catkinwell {

struct MetricDescription {
    Metric metric;
    MetricKind kind;
    // The name without the prefix "catkinwell_".
    std::string_view name;
    std::string_view labelName;
    // One sentence without line breaks.
    std::string_view help;
};

// Returns the description of every metric, in the order of the enumeration. Thread safe.
const std::vector<MetricDescription>& metricCatalogue();

// Returns nullptr for a metric that is not in the catalogue. Thread safe.
const MetricDescription* describe(Metric);

} // namespace Catkinwell
