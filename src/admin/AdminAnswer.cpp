#include <admin/AdminAnswer.h>

#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    int statusOf(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::InvalidSettings:
        case ErrorKind::InvalidRequest:
        case ErrorKind::InvalidMessage:
        case ErrorKind::InvalidConfiguration:
            return 400;
        case ErrorKind::Unauthorized:
            return 401;
        case ErrorKind::Forbidden:
            return 403;
        case ErrorKind::NotFound:
            return 404;
        case ErrorKind::Conflict:
            return 409;
        case ErrorKind::LimitReached:
            return 429;
        case ErrorKind::Unavailable:
            return 503;
        case ErrorKind::Timeout:
            return 504;
        case ErrorKind::Internal:
            return 500;
        }
        return 500;
    }

    std::string_view typeOf(int status)
    {
        switch (status) {
        case 401:
            return "authentication_error";
        case 403:
            return "permission_error";
        case 404:
            return "not_found_error";
        case 409:
        case 428:
            return "conflict_error";
        case 429:
            return "rate_limit_error";
        default:
            return status < 500 ? "invalid_request_error" : "server_error";
        }
    }

} // namespace

std::string jsonText(const nlohmann::json& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

AdminAnswer jsonAnswer(int status, const nlohmann::json& body)
{
    return { status, { { "Content-Type", "application/json" }, { "Cache-Control", "no-store" } }, jsonText(body) };
}

AdminAnswer textAnswer(int status, std::string body)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body) };
}

AdminAnswer problemAnswer(const AdminProblem& problem)
{
    const nlohmann::json param = problem.param.empty() ? nlohmann::json() : nlohmann::json(problem.param);
    return jsonAnswer(problem.status,
        { { "error",
              { { "message", problem.message }, { "type", typeOf(problem.status) }, { "code", problem.code },
                  { "param", param } } },
            { "remedy", problem.remedy } });
}

AdminAnswer problemAnswer(const Error& error, std::string param, std::string remedy)
{
    return problemAnswer(
        AdminProblem { statusOf(error.kind), nameOf(error.kind), error.message, std::move(param), std::move(remedy) });
}

AdminProblem invalidRequest(std::string param, std::string message, std::string remedy)
{
    return { 400, "invalid_request", std::move(message), std::move(param), std::move(remedy) };
}

} // namespace Catkinwell
