#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// Why a request's head is rejected.
struct RequestHeadFault {
    int status = 400;
    // The defect and, where useful, what to send instead.
    std::string message;
};

// Checks the raw head of a request, up to and including the empty line, more strictly than the parser does. Rejects
// whatever two parsers could interpret differently, which prevents request smuggling. Thread safe.
std::optional<RequestHeadFault> findRequestHeadFault(std::string_view head);

} // namespace Catkinwell
