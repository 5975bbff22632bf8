#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// A caller's request before its key is removed.
struct RawRequest {
    std::string method;
    std::string path;
    std::string query;
    HeaderList headers;
    std::string body;
};

// Converts a raw request into the event for the reducer. Replaces the key in the Authorization header by its digest,
// removes query parameters with the name of a key and headers that are not allowed, and rejects a request that has the
// key anywhere else. Pure; thread safe.
RequestArrived sanitizeRequest(RawRequest, const std::vector<std::string>& allowedHeaders);

// Converts a raw request into an event that keeps path, query, body and headers as received, except the Authorization
// header, whose key is replaced by its digest, and the hop-by-hop headers. Pure; thread safe.
RequestArrived forwardedRequest(RawRequest);

} // namespace Catkinwell
