#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

struct RetryBudgetSettings {
    // Number of retries that each request adds to the budget.
    double fraction = 0.1;
    // Retries per second that are allowed independently of the number of requests.
    double constantPerSecond = 1;
    // Maximum number of retries that can accumulate.
    double capacity = 20;
    // If not zero, the fraction of the requests of about this time adds to the capacity, so that a process with few
    // requests can save up a whole retry.
    Duration requestMemory {};
};

// Limits retries to a fraction of the requests, so that retries cannot multiply the load on failing
// endpoints. In any period, retries <= fraction * requests + constantPerSecond * seconds + capacity, where the requests
// include those of the request memory before it.
// Not thread safe.
class RetryBudget {
public:
    // The budget starts with one retry.
    explicit RetryBudget(RetryBudgetSettings settings = {});

    // Keeps the accumulated retries, up to the new capacity.
    void setSettings(RetryBudgetSettings settings);
    // Must be called once per request, but not for its retries.
    void requestStarted(MonotonicTime now);
    // Takes one retry from the budget. Returns false if none is available.
    bool tryRetry(MonotonicTime now);
    // Whether tryRetry() would succeed now.
    bool hasRetry(MonotonicTime now);
    double available() const { return m_available; }

private:
    void refill(MonotonicTime now);
    double capacity() const { return m_settings.capacity + m_settings.fraction * m_recentRequests; }

    RetryBudgetSettings m_settings;
    double m_available = 1;
    // Requests of the request memory, the older ones counting less.
    double m_recentRequests = 0;
    MonotonicTime m_refilledAt {};
};

} // namespace Catkinwell
