#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

struct RetryBudgetSettings {
    // Retries that each request adds to the budget.
    double fraction = 0.1;
    // Retries a second that are allowed however few requests there are.
    double constantPerSecond = 1;
    // Largest number of retries that can be saved up.
    double capacity = 20;
};

// Limits retries to a part of the requests, so that retries cannot multiply the load of
// failing endpoints. Over any time, retries <= fraction x requests + constant x time + capacity. Not thread safe.
class RetryBudget {
public:
    // The budget starts with one retry.
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // Keeps the saved retries, up to the new capacity.
    void setSettings(RetryBudgetSettings settings);
    // To be called once for each request, not for its retries.
    void requestStarted(MonotonicTime now);
    // Takes one retry out of the budget; returns false when there is none.
    bool tryRetry(MonotonicTime now);
    double available() const { return m_available; }

private:
    void refill(MonotonicTime now);

    RetryBudgetSettings m_settings;
    double m_available = 1;
    MonotonicTime m_refilledAt {};
};

} // namespace Catkinwell
