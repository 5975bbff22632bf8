#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/http/HttpTypes.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Catkinwell {

// What a host states about a request that it has another host serve.
struct RelayTerms {
    // The account whose key and rate the relaying host has checked; empty if the request has none.
    AccountId account;
    Duration timeLeft {};
    // Time until the caller abandons a stream without an event.
    Duration firstByteTimeLeft {};
    // Attempts that may have run, which count against the route's limit.
    unsigned attempts = 0;
    // Endpoints that failed or rejected the request.
    std::set<EndpointId> excluded;
    // Where a stream goes on, the request that began it, and the software version that it must keep; empty if the
    // request begins one.
    std::string lastEventId;
    std::string firstRequestId;
    std::optional<std::string> softwareVersion;
    // The caller's priority, where requests have one.
    std::optional<int> priority {};
};

// A request as one host sends it to another: that of the caller, without its key, and the terms.
struct RelayedRequest {
    RelayTerms terms;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
};

// An effect: has another host serve a request. The events are those of an attempt with this identifier; CancelAttempt
// and ThrottleAttempt apply to it.
struct StartRelay {
    AttemptId id;
    HostId to;
    std::string address;
    Duration connectTimeout = std::chrono::milliseconds(400);
    RelayedRequest request;
};

// An event: another host, which has proved that it belongs to the fleet, has this host serve a request.
struct RelayedRequestArrived {
    RequestArrived arrived;
    RelayTerms terms;
    HostId from;
};

// Encodes the request as CBOR. Thread safe.
std::string encodeRelayedRequest(const RelayedRequest&);
// Errors: InvalidMessage. Thread safe.
Result<RelayedRequest> decodeRelayedRequest(std::string_view cbor);

// How a relayed request ended at the serving host.
enum class RelayOutcome {
    // An endpoint has answered.
    Answered,
    // It did not run; another host may be able to have it served.
    NotServed,
    // It did not run, and other hosts would refuse it as well.
    Refused,
    // It may have run.
    Failed,
};

std::string_view nameOf(RelayOutcome);

// What a serving host states in the head of its answer.
struct RelayAnswer {
    RelayOutcome outcome = RelayOutcome::Answered;
    // Why the serving host ended the request itself; empty if an endpoint has answered.
    std::string reason;
    // Attempts of the serving host that may have run.
    unsigned attempts = 0;
    // The software version of a resumable stream that begins; empty if it cannot be told.
    std::optional<std::string> softwareVersion {};
    // The endpoint that answered; empty if none did, or an older release does not say.
    EndpointId endpoint {};
};

// Adds the statement to the headers of an answer, in place of headers with its names, and removes it. Thread safe.
void addRelayAnswer(HeaderList&, const RelayAnswer&);
RelayAnswer takeRelayAnswer(HeaderList&);

} // namespace Catkinwell
