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

// What a caller of the administration API did wrong, or why the host could not do it.
struct AdminProblem {
    int status = 400;
    std::string_view code;
    std::string message;
    // The field, header or path part at fault; empty if none.
    std::string param;
    std::string remedy;
};

// Writes JSON text; bytes that are not UTF-8 become replacement characters.
std::string jsonText(const nlohmann::json&);

AdminAnswer jsonAnswer(int status, const nlohmann::json& body);
AdminAnswer textAnswer(int status, std::string body);
// Answers with the error object of the API.
AdminAnswer problemAnswer(const AdminProblem&);
// The status and code follow from the kind of the error.
AdminAnswer problemAnswer(const Error&, std::string param, std::string remedy);

// A problem of the request's content, with status 400.
AdminProblem invalidRequest(std::string param, std::string message, std::string remedy);

} // namespace Catkinwell
