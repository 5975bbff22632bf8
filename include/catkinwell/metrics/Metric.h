#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

enum class MetricKind {
    Counter,
    Gauge,
    // Recorded by Boost.Accumulators with count, sum and quantiles.
    Summary,
};

enum class Metric {
    RequestsTotal,
    RequestSeconds,
    FirstByteSeconds,
    QueueLength,
    RefusalsTotal,
    AttemptsTotal,
    RetriesTotal,
    TokensTotal,
    ShareLevel,
    ShareLoansTotal,
    ClaimsTotal,
    PlacementCommandsTotal,
    ColdStartSeconds,
    ReplicasLoaded,
    PeerMessagesTotal,
    PeerMessagesDropped,
    StoreCallsTotal,
    StateAgeSeconds,
    AuthenticationFailuresTotal,
};

// An effect: adds to a counter, sets a gauge or records a sample of a summary.
// The label's values come from a bounded set (an account, a model, a reason).
struct RecordMetric {
    Metric metric;
    std::string label;
    double value = 1;
};

} // namespace Catkinwell
