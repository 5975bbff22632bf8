#pragma once

#include <catkinwell/http/HttpClient.h>
#include <catkinwell/store/StoreTypes.h>
#include <string>

namespace Catkinwell {

// Returns the HTTP request of Consul's API that performs the operation. Thread safe.
HttpExchange consulRequestOf(const StoreOperation&, const std::string& address);

// Interprets a complete answer. A body that does not fit the API gives the status Unknown. Thread safe.
StoreReply consulReplyOf(const StoreOperation&, int httpStatus, const std::string& body);

} // namespace Catkinwell
