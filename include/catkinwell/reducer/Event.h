#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/peer/PeerMessage.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <catkinwell/store/StoreTypes.h>
#include <variant>

namespace Catkinwell {

// Comes every 20 ms and drives all deadlines. The wall clock is for expiry dates alone.
struct Tick {
    WallTime wallNow;
};

// The operator or the platform asked the process to stop.
struct ShutdownSignal { };

// A request on the administration listener; answered by the response effects.
struct AdminRequestArrived {
    RequestArrived request;
};

// Everything that can happen to a host.
using Event = std::variant<Tick, ShutdownSignal, RequestArrived, AdminRequestArrived, CallerLeft, CallerBackpressure,
    AttemptHead, AttemptData, AttemptFinished, AttemptFailed, StoreReply, PeerMessageReceived, EndpointReport,
    EndpointReportFailed, PlacementCommandFinished>;

} // namespace Catkinwell
