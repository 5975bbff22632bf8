#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/http/HttpTypes.h>
#include <string>

namespace Catkinwell {

struct ClientRequest {
    std::string method = "GET";
    // The path and the query.
    std::string target;
    HeaderList headers;
    std::string body;
};

struct ClientResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
};

// Sends a request to the administration API of one host and waits for the answer.
class AdminTransport {
public:
    virtual ~AdminTransport() = default;
    // Errors: Timeout if no answer arrived, InvalidMessage if it is not valid HTTP; the host may have carried out the
    // request. InvalidRequest if a field cannot be sent; the request was not sent.
    virtual Result<ClientResponse> send(const ClientRequest&) = 0;
};

// A blocking client for command-line use; each request has its own connection. Not thread safe.
class HttpAdminTransport final : public AdminTransport {
public:
    // Precondition: parseAdminAddress() accepts the address.
    HttpAdminTransport(std::string address, std::string token, Duration timeout);

    Result<ClientResponse> send(const ClientRequest&) override;

private:
    std::string m_host;
    std::uint16_t m_port;
    std::string m_authority;
    std::string m_token;
    Duration m_timeout;
};

// Splits "host:port" or "[ipv6]:port". Errors: InvalidSettings.
Result<std::pair<std::string, std::uint16_t>> parseAdminAddress(const std::string& address);

} // namespace Catkinwell
