#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace Catkinwell {

enum class ErrorKind {
    InvalidSettings,
    InvalidRequest,
    InvalidMessage,
    InvalidConfiguration,
    Conflict,
    NotFound,
    Unauthorized,
    Forbidden,
    LimitReached,
    Unavailable,
    Timeout,
    Internal,
};

// Returns the stable lower-case name used in logs and answers, for example "invalid_request".
std::string_view nameOf(ErrorKind);

// A typed error. The message states what was found, what was expected and how to correct it.
struct Error {
    ErrorKind kind;
    std::string message;
};

template <typename T> using Result = std::variant<T, Error>;

// The result of an operation that returns no value on success.
using Status = std::variant<std::monostate, Error>;

template <typename T> bool isError(const std::variant<T, Error>& result)
{
    return std::holds_alternative<Error>(result);
}

// Precondition: isError(result).
template <typename T> const Error& errorOf(const std::variant<T, Error>& result) { return std::get<Error>(result); }

// Precondition: !isError(result).
template <typename T> const T& valueOf(const std::variant<T, Error>& result) { return std::get<T>(result); }

// Precondition: !isError(result).
template <typename T> T takeValue(std::variant<T, Error>&& result) { return std::get<T>(std::move(result)); }

} // namespace Catkinwell
