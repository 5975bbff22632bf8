#include <catkinwell/metrics/MetricCatalogue.h>

#include <algorithm>

namespace Catkinwell {

const std::vector<MetricDescription>& metricCatalogue()
{
    using enum MetricKind;
    static const std::vector<MetricDescription> catalogue {
        { Metric::RequestsTotal, Counter, "requests_total", "account", "Requests that arrived from callers." },
        { Metric::RequestSeconds, Summary, "request_seconds", "model",
            "Time from the arrival of a request to the end of its response." },
        { Metric::FirstByteSeconds, Summary, "first_byte_seconds", "model",
            "Time from the arrival of a request to the first byte of its response." },
        { Metric::QueueLength, Gauge, "queue_length", "model",
            "Requests on this host that are waiting for a replica." },
        { Metric::RefusalsTotal, Counter, "refusals_total", "reason", "Refused requests." },
        { Metric::AttemptsTotal, Counter, "attempts_total", "endpoint", "Started attempts at endpoints." },
        { Metric::RelaysTotal, Counter, "relays_total", "service", "Requests sent to another host to be served." },
        { Metric::RetriesTotal, Counter, "retries_total", "reason", "Attempts that retry a request." },
        { Metric::TokensTotal, Counter, "tokens_total", "account", "Tokens charged to client accounts." },
        { Metric::ShareLevel, Gauge, "share_level", "account", "Tokens available in this host's token buckets." },
        { Metric::ShareLoansTotal, Counter, "share_loans_total", "account", "Tokens borrowed from peers." },
        { Metric::ClaimsTotal, Counter, "claims_total", "outcome", "Claims of requests with an idempotency key." },
        { Metric::PlacementCommandsTotal, Counter, "placement_commands_total", "outcome",
            "Load and unload commands sent to engines." },
        { Metric::ColdStartSeconds, Summary, "cold_start_seconds", "model",
            "Time that a request waited for its model to be loaded." },
        { Metric::ReplicasLoaded, Gauge, "replicas_loaded", "model", "Loaded replicas known to this host." },
        { Metric::PeerMessagesTotal, Counter, "peer_messages_total", "kind", "Messages exchanged with peers." },
        { Metric::PeerMessagesDropped, Counter, "peer_messages_dropped_total", "reason", "Dropped peer messages." },
        { Metric::StoreCallsTotal, Counter, "store_calls_total", "status", "Calls to the platform's store." },
        { Metric::StoreCallsByPurpose, Counter, "store_calls_by_purpose_total", "purpose",
            "Calls to the platform's store, by the part of the process that made them." },
        { Metric::StoreCallsByKind, Counter, "store_calls_by_kind_total", "call",
            "Calls sent to the platform's store, by the part of the process that made them and their kind." },
        { Metric::RecordBatchesTotal, Counter, "record_batches_total", "outcome",
            "Batches of endpoints' records that hosts of one data centre send each other." },
        { Metric::ConfigurationDocumentsTotal, Counter, "configuration_documents_total", "outcome",
            "Documents of the configuration that this host asked other hosts for, sent to them and received." },
        { Metric::StateAgeSeconds, Gauge, "state_age_seconds", "state",
            "Age of the state on which the host bases its decisions." },
        { Metric::AuthenticationFailuresTotal, Counter, "authentication_failures_total", "listener",
            "Requests without a valid key or token." },
        { Metric::RequestsReadTotal, Counter, "requests_read_total", "listener", "Requests that were read whole." },
        { Metric::AnswersEndedTotal, Counter, "answers_ended_total", "end",
            "Requests that were read whole, by how their answers ended on their connections." },
        { Metric::RequestsRejectedTotal, Counter, "requests_rejected_total", "listener",
            "Requests that were rejected while they were read." },
        { Metric::ConnectionsRejectedTotal, Counter, "connections_rejected_total", "listener",
            "Connections that were closed because there were too many." },
        { Metric::RequestsOpen, Gauge, "requests_open", "listener",
            "Requests that were read whole and whose answers have not ended." },
        { Metric::RequestsEndedTotal, Counter, "requests_ended_total", "end",
            "Requests whose end was logged, by how they ended." },
        { Metric::RequestsRejectedByReason, Counter, "requests_rejected_by_reason_total", "reason",
            "Requests that were rejected while they were read, by the reason." },
        { Metric::EvacuatedDataCentre, Gauge, "evacuated_data_centre", "data_centre",
            "1 while the data centre is under evacuation, 0 after that." },
        { Metric::ColdEndpoints, Gauge, "cold_endpoints", "service",
            "Endpoints that this host treats as cold after their start." },
        { Metric::ColdAttemptsTotal, Counter, "cold_attempts_total", "service",
            "Attempts and health checks that this host sent to cold endpoints." },
        { Metric::InvalidResponsesTotal, Counter, "invalid_responses_total", "peer",
            "Responses of endpoints, the store and other hosts that were not valid HTTP." },
    };
    return catalogue;
}

const MetricDescription* describe(Metric metric)
{
    const auto& catalogue = metricCatalogue();
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
        [metric](const MetricDescription& description) { return description.metric == metric; });
    return found == catalogue.end() ? nullptr : &*found;
}

} // namespace Catkinwell
