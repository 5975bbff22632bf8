#include <catkinwell/metrics/RequestMetrics.h>

namespace Catkinwell {

std::vector<RecordMetric> metricsOf(const RequestCounts& before, const RequestCounts& now)
{
    const std::string listener = "callers";
    std::vector<RecordMetric> metrics;
    const auto add = [&metrics](Metric metric, std::string label, std::uint64_t difference) {
        metrics.push_back({ metric, std::move(label), static_cast<double>(difference) });
    };
    add(Metric::RequestsReadTotal, listener, now.read - before.read);
    for (std::size_t end = 0; end < answerEndCount; ++end)
        add(Metric::AnswersEndedTotal, std::string(nameOf(static_cast<AnswerEnd>(end))),
            now.ended[end] - before.ended[end]);
    add(Metric::RequestsRejectedTotal, listener, now.rejected - before.rejected);
    for (std::size_t reason = 0; reason < rejectionReasonCount; ++reason)
        add(Metric::RequestsRejectedByReason, std::string(nameOf(static_cast<RejectionReason>(reason))),
            now.rejectedFor[reason] - before.rejectedFor[reason]);
    add(Metric::ConnectionsRejectedTotal, listener, now.rejectedConnections - before.rejectedConnections);
    add(Metric::RequestsOpen, listener, now.open());
    return metrics;
}

} // namespace Catkinwell
