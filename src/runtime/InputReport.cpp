#include "runtime/InputReport.h"

namespace Catkinwell {

InputReport::InputReport(const InputBudget& budget, EventLog& log)
    : m_budget(budget)
    , m_log(log)
{
}

void InputReport::write()
{
    const InputCounts& counts = m_budget.counts();
    if (counts.requests != m_reported.requests)
        m_log.write({ LogEvent::UnfinishedRequestsRejected,
            { { "requests", std::to_string(counts.requests - m_reported.requests) },
                { "rejected_bytes", std::to_string(counts.bytes - m_reported.bytes) },
                { "unfinished_bytes", std::to_string(m_budget.heldBytes()) },
                { "other_bytes", std::to_string(m_budget.otherBytes()) },
                { "maximum_bytes", std::to_string(m_budget.limits().bytes) }, { "address", counts.address } } });
    if (counts.connections != m_reported.connections)
        m_log.write({ LogEvent::ConnectionsRefused,
            { { "connections", std::to_string(counts.connections - m_reported.connections) },
                { "maximum_connections", std::to_string(m_budget.limits().connections) } } });
    m_reported = counts;
}

} // namespace Catkinwell
