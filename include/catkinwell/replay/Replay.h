#pragma once

#include <catkinwell/replay/ReplayReport.h>
#include <catkinwell/replay/ReplaySettings.h>

namespace Catkinwell {

// Runs a load against the decision logic of gateways in simulated time: GatewayRequests, EndpointDirectory, FleetQuota
// and EnginePlacement as they run in a process, with emulated engines. The same settings and pattern give the same
// report. Errors: none. A replay of 40 s takes seconds. Thread safe.
ReplayReport runReplay(const ReplaySettings&, const LoadPattern&);

} // namespace Catkinwell
