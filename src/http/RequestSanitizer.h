#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// What a caller sent, before the key was taken out of it.
struct RawRequest {
    std::string method;
    std::string path;
    std::string query;
    HeaderList headers;
    std::string body;
};

// Turns a raw request into the event that the reducer sees. The key in the
// Authorization header becomes a digest; query parameters and headers that could
// carry a key are left out; a key that stands anywhere else in the request leads
// to a rejection. Pure; thread safe.
RequestArrived sanitizeRequest(RawRequest, const std::vector<std::string>& allowedHeaders);

// Turns a raw request into an event that keeps path, query, body and headers as they were sent, without
// the Authorization header, whose key becomes a digest, and without the headers that concern one
// connection only. Pure; thread safe.
RequestArrived forwardedRequest(RawRequest);

} // namespace Catkinwell
