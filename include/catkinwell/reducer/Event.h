#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/http/RequestCounts.h>
#include <catkinwell/peer/PeerMessage.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <catkinwell/relay/RelayMessage.h>
#include <catkinwell/store/StoreTypes.h>
#include <variant>

namespace Catkinwell {

// Sent every 20 ms; drives all deadlines. The wall clock serves only for dates that leave the process or come from
// outside, such as expiry dates, time stamps and the month of the usage.
struct Tick {
    WallTime wallNow;
};

// The operator or the platform asked the process to stop.
struct ShutdownSignal { };

// What the listener for callers has counted so far. Precedes each AdminRequestArrived.
struct RequestsCounted {
    RequestCounts counts;
};

// A request on the administration listener. It is answered with the same response effects as a caller's request.
struct AdminRequestArrived {
    RequestArrived request;
};

// The events that a host's reducer handles.
using Event = std::variant<Tick, ShutdownSignal, RequestArrived, AdminRequestArrived, CallerLeft, CallerBackpressure,
    AttemptHead, AttemptData, AttemptFinished, AttemptFailed, StoreReply, PeerMessageReceived, EndpointReport,
    EndpointReportFailed, PlacementCommandFinished, RelayedRequestArrived, RequestsCounted, InvalidResponseReceived>;

} // namespace Catkinwell
