#pragma once

#include <catkinwell/http/HttpClient.h>
#include <catkinwell/store/StoreTypes.h>
#include <string>

namespace Catkinwell {

// Returns the HTTP request of Consul's API that performs the operation. Thread safe.
HttpExchange consulRequestOf(const StoreOperation&, const std::string& address);

// Interprets a complete response. Returns the status Unknown for a body that does not follow the API. Thread safe.
StoreReply consulReplyOf(const StoreOperation&, int httpStatus, const std::string& body);

} // namespace Catkinwell
