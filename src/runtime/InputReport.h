#pragma once

#include <catkinwell/http/InputBudget.h>
#include <catkinwell/logging/EventLog.h>

namespace Catkinwell {

// Logs what the budget has rejected since the last report. Not thread safe.
class InputReport {
public:
    static constexpr Duration interval = std::chrono::seconds(1);

    // Precondition: the budget and the log outlive the report.
    InputReport(const InputBudget&, EventLog&);
    void write();

private:
    const InputBudget& m_budget;
    EventLog& m_log;
    InputCounts m_reported;
};

} // namespace Catkinwell
