#include <catkinwell/requests/ApiError.h>

#include <algorithm>
#include <array>
#include <catkinwell/core/EnumNames.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    constexpr std::string_view invalidRequestType = "invalid_request_error";
    constexpr std::string_view serverErrorType = "server_error";

    constexpr std::array<ApiErrorDescription, 23> descriptions { {
        { ApiErrorCode::InvalidRequest, "invalid_request", 400, invalidRequestType, "Correct the named field." },
        { ApiErrorCode::InvalidJson, "invalid_json", 400, invalidRequestType, "Send a JSON object in UTF-8." },
        { ApiErrorCode::BodyTooLarge, "body_too_large", 413, invalidRequestType, "Send a shorter body." },
        { ApiErrorCode::MethodNotAllowed, "method_not_allowed", 405, invalidRequestType,
            "Use the HTTP method that the API defines for this path." },
        { ApiErrorCode::UnknownRoute, "unknown_route", 404, invalidRequestType,
            "Check the path; GET /v1/models lists the models." },
        { ApiErrorCode::ModelNotFound, "model_not_found", 404, invalidRequestType,
            "Choose a model that GET /v1/models lists." },
        { ApiErrorCode::InvalidApiKey, "invalid_api_key", 401, "authentication_error",
            "Send a valid key in the header Authorization: Bearer." },
        { ApiErrorCode::KeyRevoked, "key_revoked", 401, "authentication_error", "Ask the operators for a new key." },
        { ApiErrorCode::RateLimitExceeded, "rate_limit_exceeded", 429, "rate_limit_error",
            "Retry after the time given in Retry-After." },
        { ApiErrorCode::RequestExceedsBurst, "request_exceeds_burst", 400, "rate_limit_error",
            "Ask for fewer tokens, or ask the operators for a larger burst." },
        { ApiErrorCode::QueueFull, "queue_full", 503, serverErrorType, "Retry after the time given in Retry-After." },
        { ApiErrorCode::DeadlineTooShort, "deadline_too_short", 503, serverErrorType,
            "Set a later deadline, or retry after the time given in Retry-After." },
        { ApiErrorCode::DeadlineExceeded, "deadline_exceeded", 504, serverErrorType,
            "Set a later deadline, or try again later." },
        { ApiErrorCode::NoEndpoint, "no_endpoint", 503, serverErrorType, "Retry after the time given in Retry-After." },
        { ApiErrorCode::EndpointFailed, "endpoint_failed", 502, serverErrorType,
            "Try again; if the error persists, report the request identifier to the operators." },
        { ApiErrorCode::OutcomeUnknown, "outcome_unknown", 502, serverErrorType,
            "The request may have run. Check its effect before sending it again." },
        { ApiErrorCode::EarlierOutcomeUnknown, "earlier_outcome_unknown", 409, invalidRequestType,
            "An earlier request with this idempotency key may have run. Check its effect before using a new key." },
        { ApiErrorCode::RequestInProgress, "request_in_progress", 409, invalidRequestType,
            "Send the same request again later to get its outcome." },
        { ApiErrorCode::IdempotencyKeyReused, "idempotency_key_reused", 422, invalidRequestType,
            "Use a new idempotency key for a different request." },
        { ApiErrorCode::StoreUnavailable, "store_unavailable", 503, serverErrorType,
            "Retry after the time given in Retry-After." },
        { ApiErrorCode::RequestQuarantined, "request_quarantined", 422, invalidRequestType,
            "This request crashed endpoints. Change it, or ask the operators to release it." },
        { ApiErrorCode::ShuttingDown, "shutting_down", 503, serverErrorType,
            "Send the request again; another host will accept it." },
        { ApiErrorCode::MemoryFull, "memory_full", 503, serverErrorType, "Retry after the time given in Retry-After." },
    } };

    constexpr EnumNames<RunOutcome, 3> runOutcomeNames { {
        { RunOutcome::NotRun, "not_run" },
        { RunOutcome::Unknown, "unknown" },
        { RunOutcome::Ran, "ran" },
    } };

} // namespace

const ApiErrorDescription& describe(ApiErrorCode code)
{
    return *std::find_if(
        descriptions.begin(), descriptions.end(), [code](const auto& entry) { return entry.code == code; });
}

std::string_view nameOf(RunOutcome outcome) { return runOutcomeNames.nameOf(outcome); }

std::string apiErrorBody(const ApiError& error)
{
    const ApiErrorDescription& description = describe(error.code);
    const nlohmann::ordered_json body { { "error",
                                            { { "message", error.message }, { "type", description.type },
                                                { "param", nullptr }, { "code", description.name } } },
        { "outcome", nameOf(error.outcome) }, { "remedy", description.remedy } };
    auto complete = body;
    if (!error.parameter.empty())
        complete["error"]["param"] = error.parameter;
    return complete.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

SendWholeResponse apiErrorResponse(RequestId id, const ApiError& error)
{
    SendWholeResponse response { id, describe(error.code).httpStatus, { { "Content-Type", "application/json" } },
        apiErrorBody(error) };
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    return response;
}

} // namespace Catkinwell
