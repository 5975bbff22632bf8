#pragma once

#include <catkinwell/http/HttpClient.h>

// What the exchanges of an HTTP client write, and what it reads from the heads of responses. All functions are pure and
// thread safe.
namespace Catkinwell {

// How long a connection may stay idle if its peer announces no time.
inline constexpr Duration defaultIdleTime = std::chrono::seconds(2);

// Returns how long a connection may stay idle, from the Keep-Alive header of its response.
Duration idleTimeOf(const HeaderList&);

// Whether the status tells that the request did not run.
bool isRefusal(int status);

// Returns the value of the request header that the peer repeats; empty if there is none.
std::string echoValueOf(const HttpExchange&);

// Returns the bytes of the request, with a Host header and a length where they are missing.
std::string serializeRequest(const HttpExchange&);

} // namespace Catkinwell
