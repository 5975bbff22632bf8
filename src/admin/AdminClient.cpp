#include <admin/AdminClient.h>

#include <catkinwell/core/EnumNames.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>

namespace Catkinwell {

namespace {

    constexpr EnumNames<evhttp_cmd_type, 4> methodNames { {
        { EVHTTP_REQ_GET, "GET" },
        { EVHTTP_REQ_PUT, "PUT" },
        { EVHTTP_REQ_POST, "POST" },
        { EVHTTP_REQ_DELETE, "DELETE" },
    } };

    constexpr ev_ssize_t maximumAnswerBytes = 64 << 20;

    using BasePointer = std::unique_ptr<event_base, decltype(&event_base_free)>;
    using ConnectionPointer = std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)>;

    struct Exchange {
        event_base* base = nullptr;
        bool answered = false;
        ClientResponse response;
    };

    void receive(evhttp_request* request, void* context)
    {
        auto* exchange = static_cast<Exchange*>(context);
        event_base_loopbreak(exchange->base);
        // The response code is 0 if the connection was refused or closed before an answer.
        if (!request || evhttp_request_get_response_code(request) == 0)
            return;
        exchange->answered = true;
        exchange->response.status = evhttp_request_get_response_code(request);
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            exchange->response.headers.emplace_back(header->key, header->value);
        evbuffer* buffer = evhttp_request_get_input_buffer(request);
        exchange->response.body.resize(evbuffer_get_length(buffer));
        evbuffer_copyout(buffer, exchange->response.body.data(), exchange->response.body.size());
    }

    void addHeader(evhttp_request* request, const std::string& name, const std::string& value)
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
    }

    timeval timevalOf(Duration duration)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
        const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
        return { seconds.count(), rest.count() };
    }

} // namespace

Result<std::pair<std::string, std::uint16_t>> parseAdminAddress(const std::string& address)
{
    const Error error { ErrorKind::InvalidSettings,
        "the address \"" + address + "\" is not of the form host:port, for example 127.0.0.1:9090" };
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return error;
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    else if (host.find_first_of(":/") != std::string::npos)
        return error;
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0)
        return error;
    return std::pair(host, port);
}

HttpAdminTransport::HttpAdminTransport(std::string address, std::string token, Duration timeout)
    : m_authority(std::move(address))
    , m_token(std::move(token))
    , m_timeout(timeout)
{
    std::tie(m_host, m_port) = valueOf(parseAdminAddress(m_authority));
}

Result<ClientResponse> HttpAdminTransport::send(const ClientRequest& request)
{
    const auto method = methodNames.valueOf(request.method);
    if (!method)
        return Error { ErrorKind::Internal, "the method " + request.method + " is not supported" };
    const BasePointer base(event_base_new(), &event_base_free);
    const ConnectionPointer connection(
        evhttp_connection_base_new(base.get(), nullptr, m_host.c_str(), m_port), &evhttp_connection_free);
    if (!base || !connection)
        return Error { ErrorKind::Internal, "the HTTP connection object could not be created" };
    const timeval timeout = timevalOf(m_timeout);
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    evhttp_connection_set_max_body_size(connection.get(), maximumAnswerBytes);
    Exchange exchange { base.get(), false, {} };
    evhttp_request* message = evhttp_request_new(&receive, &exchange);
    addHeader(message, "Host", m_authority);
    addHeader(message, "Connection", "close");
    if (!m_token.empty())
        addHeader(message, "Authorization", "Bearer " + m_token);
    for (const auto& [name, value] : request.headers)
        addHeader(message, name, value);
    if (!request.body.empty()) {
        addHeader(message, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    }
    if (evhttp_make_request(connection.get(), message, *method, request.target.c_str()) == 0)
        event_base_dispatch(base.get());
    if (!exchange.answered)
        return Error { ErrorKind::Timeout,
            "no answer from " + m_authority + "; check the address and whether the host is running" };
    return exchange.response;
}

} // namespace Catkinwell
