#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// Why a request's head is refused.
struct RequestHeadFault {
    int status = 400;
    // States what was found and what is expected.
    std::string message;
};

// Checks the raw head of a request, up to and including the empty line, more strictly than the parser does: what two
// parsers could read differently is refused, so that no byte of one request can become another one.
// Thread safe.
std::optional<RequestHeadFault> findRequestHeadFault(std::string_view head);

} // namespace Catkinwell
