#pragma once

#include <catkinwell/requests/RequestFlow.h>
#include <memory>

namespace Catkinwell {

// A request on its way through the checks of its arrival.
struct RequestFlow::Intake {
    std::unique_ptr<ActiveRequest> request;
    // The route needs no key.
    bool open = false;
};

} // namespace Catkinwell
