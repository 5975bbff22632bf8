#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// The reason why a request was refused or failed. The names are a stable part of the public API.
enum class ApiErrorCode {
    InvalidRequest,
    InvalidJson,
    BodyTooLarge,
    MethodNotAllowed,
    UnknownRoute,
    ModelNotFound,
    InvalidApiKey,
    KeyRevoked,
    RateLimitExceeded,
    RequestExceedsBurst,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    NoEndpoint,
    EndpointFailed,
    OutcomeUnknown,
    EarlierOutcomeUnknown,
    RequestInProgress,
    IdempotencyKeyReused,
    StoreUnavailable,
    RequestQuarantined,
    ShuttingDown,
    MemoryFull,
};

// Whether a refused or failed request ran on an endpoint.
enum class RunOutcome {
    NotRun,
    Unknown,
    Ran,
};

struct ApiErrorDescription {
    ApiErrorCode code;
    std::string_view name;
    int httpStatus;
    // The type field of the OpenAI error object.
    std::string_view type;
    std::string_view remedy;
};

const ApiErrorDescription& describe(ApiErrorCode);
std::string_view nameOf(RunOutcome);

struct ApiError {
    ApiErrorCode code = ApiErrorCode::InvalidRequest;
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    // The invalid field of the request; empty if no single field is at fault.
    std::string parameter {};
    // Set if the request may succeed after this time.
    std::optional<Duration> retryAfter {};
};

// Returns the JSON error object: the fields of the OpenAI API, extended by outcome and remedy. Thread safe.
std::string apiErrorBody(const ApiError&);

// Returns the complete response with status, Retry-After header and body. Thread safe.
SendWholeResponse apiErrorResponse(RequestId, const ApiError&);

} // namespace Catkinwell
