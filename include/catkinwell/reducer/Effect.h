#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/logging/LogEvent.h>
#include <catkinwell/metrics/Metric.h>
#include <catkinwell/peer/PeerMessage.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <catkinwell/relay/RelayMessage.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// Ends the event loop; the process exits with this code.
struct ExitProcess {
    int code = 0;
    // How long callers may still read the answers that they have not read yet.
    Duration longestFlush {};
};

// Replaces the peer transport's table of the hosts' addresses ("ip:port").
struct SetPeerAddresses {
    std::map<HostId, std::string> addresses;
};

// Replaces the limits on what callers may send.
struct SetCallerLimits {
    CallerLimits limits;
};

// Makes responses announce from now on that their connection will be closed. Connections are still accepted.
struct AnnounceClosing { };

// Starts the peer transport, again if it runs already. The secret authenticates the messages between hosts.
struct StartPeerTransport {
    std::string clusterSecret;
};

// The actions that a reducer can request from its runtime.
using Effect = std::variant<SendResponseHead, SendResponseData, FinishResponse, SendWholeResponse, AbortResponse,
    StartAttempt, StartRelay, CancelAttempt, ThrottleAttempt, WithholdUnsent, StoreCall, SendToPeer,
    FetchEndpointReport, PlacementCommand, LogEntry, RecordMetric, SetPeerAddresses, SetCallerLimits, AnnounceClosing,
    StartPeerTransport, FetchEngineStatus, FetchRuns, EngineOrder, ExitProcess>;

using EffectList = std::vector<Effect>;

} // namespace Catkinwell
