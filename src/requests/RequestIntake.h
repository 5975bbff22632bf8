#pragma once

#include <catkinwell/requests/RequestFlow.h>
#include <memory>

namespace Catkinwell {

inline constexpr int defaultRequestPriority = 5;

// Whether requests with this path are for a model. Thread safe.
bool isCompletionPath(const std::string& path);

// A request that is being checked on arrival.
struct RequestFlow::Intake {
    std::unique_ptr<ActiveRequest> request;
    // The route needs no API key.
    bool open = false;
};

} // namespace Catkinwell
