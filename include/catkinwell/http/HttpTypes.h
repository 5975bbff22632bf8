#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Catkinwell {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// An event: a complete request from a caller arrived. It does not contain the caller's key.
struct RequestArrived {
    RequestId id;
    std::string method;
    // The target without the query.
    std::string path;
    // Without parameters whose name marks a key; complete from a listener that forwards unchanged.
    std::string query;
    // Only the headers that may be forwarded to an endpoint.
    HeaderList headers;
    std::string body;
    // Path and query as received; set only by a listener that forwards unchanged.
    std::string target;
    // SHA-256 of the presented key in hexadecimal digits; empty if the request had no key.
    std::string keyDigest;
    // Values of the headers that the host interprets itself; empty if absent.
    std::string idempotencyKey;
    std::string deadlineHeader;
    std::string priorityHeader;
    // Why the listener rejected the request's headers or contents; empty if it accepted them.
    std::string rejection;
};

// An event: the caller's connection closed before the response was complete.
struct CallerLeft {
    RequestId id;
};

// An event: the output buffered for a slow caller exceeded its high watermark, or was written completely.
struct CallerBackpressure {
    RequestId id;
    bool full = false;
};

// An event: the bytes of all answers that are buffered because callers have not read them yet.
struct OutputBuffered {
    std::size_t bytes = 0;
};

// Effects that send a response to a caller in parts: head, then data, then the end.
struct SendResponseHead {
    RequestId id;
    int status = 200;
    HeaderList headers;
};

struct SendResponseData {
    RequestId id;
    std::string data;
};

struct FinishResponse {
    RequestId id;
};

// An effect: sends a response whose body length is known.
struct SendWholeResponse {
    RequestId id;
    int status = 200;
    HeaderList headers;
    std::string body;
};

// An effect: closes the caller's connection, so that a partial response cannot be taken for a complete one.
struct AbortResponse {
    RequestId id;
};

// An effect: sends one request to an endpoint.
struct StartAttempt {
    AttemptId id;
    EndpointId endpoint;
    std::string address;
    std::string method;
    // Path and query.
    std::string target;
    HeaderList headers;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Longest time without data, before the head and between parts of the body.
    Duration silenceTimeout = std::chrono::seconds(30);
    // Set for requests that must not be repeated: the endpoint may close an idle connection while the request is being
    // sent, which leaves the outcome unknown.
    bool needsFreshConnection = false;
    // Name of a header that the endpoint repeats in its response. A response with another value belongs to another
    // request and is discarded. Empty to disable the check.
    std::string echoHeader;
    // Whether WithholdUnsent applies to it. Not set for checks of an endpoint's state.
    bool mayBeWithheld = false;
};

// An event: a peer sent bytes that are not a valid response, or more of them than a response may have. The exchange
// failed, and its connection was closed.
struct InvalidResponseReceived {
    // IP address and port of the peer.
    std::string address;
    std::string reason;
};

// An effect: cancels the attempt. No event with this identifier follows.
struct CancelAttempt {
    AttemptId id;
};

// An effect: ends the attempts and orders for the endpoint whose connections are still being opened. They fail with
// NotSent and Withheld.
struct WithholdUnsent {
    EndpointId endpoint;
};

// An effect: stops or resumes reading from the endpoint while the caller reads slowly.
struct ThrottleAttempt {
    AttemptId id;
    bool paused = false;
};

// Events of an attempt, in this order: head, data, then finished or failed.
struct AttemptHead {
    AttemptId id;
    int status = 0;
    HeaderList headers;
    // Whether the connection was opened for this attempt.
    bool isNewConnection = false;
};

struct AttemptData {
    AttemptId id;
    std::string data;
};

// The endpoint's response is complete.
struct AttemptFinished {
    AttemptId id;
    // Whether the response had neither a length nor chunks, so that only the end of its connection ended it.
    bool endsWithConnection = false;
};

enum class AttemptOutcome {
    // No byte of the request left this host.
    NotSent,
    // The request may have run, or ran without a complete response.
    Unknown,
};

std::string_view nameOf(AttemptOutcome);

// How a connection failed.
enum class AttemptFailure {
    // No connection could be opened in time.
    Connect,
    // The peer closed or reset the connection.
    Broken,
    // The peer sent nothing, or acknowledged nothing, for too long.
    Silence,
    // The peer sent bytes that are not a valid HTTP response.
    Garbage,
    // This host gave the attempt up before it was sent; this says nothing about the peer.
    Withheld,
};

std::string_view nameOf(AttemptFailure);

struct AttemptFailed {
    AttemptId id;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string reason;
    AttemptFailure failure = AttemptFailure::Broken;
};

} // namespace Catkinwell
