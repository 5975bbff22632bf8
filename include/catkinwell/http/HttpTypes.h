#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Catkinwell {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// An event: a complete request arrived from a caller. The caller's key is not part of it.
struct RequestArrived {
    RequestId id;
    std::string method;
    // Without the query.
    std::string path;
    // Without parameters that may carry a key.
    std::string query;
    // Only the headers that may go to an endpoint.
    HeaderList headers;
    std::string body;
    // Path and query as they were sent; only from a listener that forwards unchanged.
    std::string target;
    // SHA-256 of the presented key in hexadecimal digits; empty if there was none.
    std::string keyDigest;
    // Values of the headers that the host itself interprets; empty if absent.
    std::string idempotencyKey;
    std::string deadlineHeader;
    std::string priorityHeader;
    // Why the listener refused the request's framing or headers; empty if it did not.
    std::string rejection;
};

// An event: the caller's connection is gone.
struct CallerLeft {
    RequestId id;
};

// An event: the bytes waiting for a slow caller rose above or fell below their bound.
struct CallerBackpressure {
    RequestId id;
    bool full = false;
};

// Effects that answer a caller. The head comes first, then data, then the end.
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

// Answers with a head and a body of known length.
struct SendWholeResponse {
    RequestId id;
    int status = 200;
    HeaderList headers;
    std::string body;
};

// Closes the caller's connection so that a partial answer cannot look complete.
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
    // Longest silence before the head and between pieces of the body.
    Duration silenceTimeout = std::chrono::seconds(30);
    // Set for requests that must not be repeated: an idle connection may be lost at the moment of sending.
    bool needsFreshConnection = false;
    // A header that the endpoint repeats in its answer. An answer with another value belongs to another request and is
    // skipped. Empty for none.
    std::string echoHeader;
};

// An effect: gives the attempt up. No event with this identifier follows.
struct CancelAttempt {
    AttemptId id;
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
};

struct AttemptData {
    AttemptId id;
    std::string data;
};

// The endpoint's answer is complete.
struct AttemptFinished {
    AttemptId id;
};

enum class AttemptOutcome {
    // No byte of the request left this host.
    NotSent,
    // The request may have run, or did run without a complete answer.
    Unknown,
};

std::string_view nameOf(AttemptOutcome);

// How a connection failed.
enum class AttemptFailure {
    // No connection could be opened in time.
    Connect,
    // The peer closed or reset the connection.
    Broken,
    // The peer sent nothing for too long.
    Silence,
    // The peer sent bytes that are no answer.
    Garbage,
};

std::string_view nameOf(AttemptFailure);

struct AttemptFailed {
    AttemptId id;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    std::string reason;
    AttemptFailure failure = AttemptFailure::Broken;
};

} // namespace Catkinwell
