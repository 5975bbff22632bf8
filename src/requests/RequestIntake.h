#pragma once

#include <catkinwell/requests/RequestFlow.h>
#include <memory>

namespace Catkinwell {

// A request that is being checked on arrival.
struct RequestFlow::Intake {
    std::unique_ptr<ActiveRequest> request;
    // The route needs no API key.
    bool open = false;
};

} // namespace Catkinwell
