#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/logging/LogEvent.h>
#include <catkinwell/metrics/Metric.h>
#include <catkinwell/peer/PeerMessage.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// The last effect of a process: the loop ends with this exit code.
struct ExitProcess {
    int code = 0;
};

// Tells the peer transport where to reach each host ("ip:port"). Replaces the earlier table.
struct SetPeerAddresses {
    std::map<HostId, std::string> addresses;
};

// Replaces the bounds on what callers may send.
struct SetCallerLimits {
    CallerLimits limits;
};

// Answers announce from now on that their connections close; connections are still accepted.
struct AnnounceClosing { };

// Starts the exchange of messages with other hosts, which the secret authenticates.
struct StartPeerTransport {
    std::string clusterSecret;
};

// Everything that a reducer can ask its runtime to do.
using Effect = std::variant<SendResponseHead, SendResponseData, FinishResponse, SendWholeResponse, AbortResponse,
    StartAttempt, CancelAttempt, ThrottleAttempt, StoreCall, SendToPeer, FetchEndpointReport, PlacementCommand,
    LogEntry, RecordMetric, SetPeerAddresses, SetCallerLimits, AnnounceClosing, StartPeerTransport, FetchEngineStatus,
    EngineOrder, ExitProcess>;

using EffectList = std::vector<Effect>;

} // namespace Catkinwell
