#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/http/HttpTypes.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Catkinwell {

struct AdminAnswer {
    int status = 200;
    HeaderList headers;
    std::string body;
};

// An error of the administration API: a fault of the request, or the reason why the host could not carry it out.
struct AdminProblem {
    int status = 400;
    std::string_view code;
    std::string message;
    // The invalid field, header or part of the path; empty if there is none.
    std::string param;
    std::string remedy;
};

// Serializes to JSON text; bytes that are not UTF-8 become replacement characters.
std::string jsonText(const nlohmann::json&);

AdminAnswer jsonAnswer(int status, const nlohmann::json& body);
AdminAnswer textAnswer(int status, std::string body);
// Returns an answer with the API's error object.
AdminAnswer problemAnswer(const AdminProblem&);
// Derives the status and code from the kind of the error.
AdminAnswer problemAnswer(const Error&, std::string param, std::string remedy);

// Returns a problem with status 400 and the code invalid_request.
AdminProblem invalidRequest(std::string param, std::string message, std::string remedy);

} // namespace Catkinwell
