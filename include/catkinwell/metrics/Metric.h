#pragma once

#include <string>
#include <string_view>

namespace Catkinwell {

enum class MetricKind {
    Counter,
    Gauge,
    // Count, sum and quantiles of the samples.
    Summary,
};

enum class Metric {
    RequestsTotal,
    RequestSeconds,
    FirstByteSeconds,
    QueueLength,
    RefusalsTotal,
    AttemptsTotal,
    RelaysTotal,
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
    StoreCallsByPurpose,
    StoreCallsByKind,
    RecordBatchesTotal,
    ConfigurationDocumentsTotal,
    StateAgeSeconds,
    AuthenticationFailuresTotal,
    RequestsReadTotal,
    AnswersEndedTotal,
    RequestsRejectedTotal,
    ConnectionsRejectedTotal,
    RequestsOpen,
    RequestsEndedTotal,
    RequestsRejectedByReason,
    EvacuatedDataCentre,
    ColdEndpoints,
    ColdAttemptsTotal,
    InvalidResponsesTotal,
};

// An effect: adds to a counter, sets a gauge or records a sample of a summary.
// The label's values should come from a bounded set (accounts, models, reasons).
struct RecordMetric {
    Metric metric;
    std::string label;
    double value = 1;
};

} // namespace Catkinwell
