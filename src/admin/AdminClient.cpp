#include <admin/AdminClient.h>

#include "http/FieldSyntax.h"
#include <array>
#include <catkinwell/http/HttpClient.h>
#include <charconv>
#include <event2/util.h>
#include <memory>
#include <netdb.h>
#include <optional>
#include <vector>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumAnswerBytes = 64 << 20;

    using AddressList = std::unique_ptr<evutil_addrinfo, decltype(&evutil_freeaddrinfo)>;

    std::string textOf(const evutil_addrinfo& entry, const std::string& port)
    {
        std::array<char, NI_MAXHOST> host {};
        if (getnameinfo(entry.ai_addr, entry.ai_addrlen, host.data(), host.size(), nullptr, 0, NI_NUMERICHOST) != 0)
            return {};
        const std::string text = host.data();
        return (entry.ai_family == AF_INET6 ? "[" + text + "]" : text) + ":" + port;
    }

    // Returns the IP addresses that the name stands for, each with the port.
    std::vector<std::string> resolve(const std::string& host, std::uint16_t port)
    {
        evutil_addrinfo hints {};
        hints.ai_socktype = SOCK_STREAM;
        evutil_addrinfo* found = nullptr;
        const std::string portText = std::to_string(port);
        if (evutil_getaddrinfo(host.c_str(), portText.c_str(), &hints, &found) != 0)
            return {};
        const AddressList list(found, &evutil_freeaddrinfo);
        std::vector<std::string> addresses;
        for (const evutil_addrinfo* entry = list.get(); entry; entry = entry->ai_next)
            addresses.push_back(textOf(*entry, portText));
        return addresses;
    }

    // One exchange that has been waited for; it was not begun at first.
    struct Exchange {
        ClientResponse response;
        std::optional<AttemptFailure> failure = AttemptFailure::Connect;
        AttemptOutcome outcome = AttemptOutcome::NotSent;
        std::string reason;
    };

    Exchange waitFor(const HttpExchange& request)
    {
        EventLoop loop;
        HttpClient client(loop);
        Exchange exchange;
        HttpExchangeObserver observer;
        observer.onHead = [&exchange](int status, const HeaderList& headers) {
            exchange.response.status = status;
            exchange.response.headers = headers;
        };
        observer.onData = [&exchange](const std::string& data) { exchange.response.body += data; };
        observer.onFinished = [&] {
            exchange.failure = std::nullopt;
            loop.stop();
        };
        observer.onFailed = [&](AttemptOutcome outcome, AttemptFailure failure, std::string reason) {
            exchange.failure = failure;
            exchange.outcome = outcome;
            exchange.reason = std::move(reason);
            loop.stop();
        };
        client.start(request, std::move(observer));
        loop.run();
        return exchange;
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
    HttpExchange exchange;
    exchange.method = request.method;
    exchange.target = request.target;
    exchange.headers = { { "Host", m_authority }, { "Connection", "close" } };
    if (!m_token.empty())
        exchange.headers.emplace_back("Authorization", "Bearer " + m_token);
    if (!request.body.empty())
        exchange.headers.emplace_back("Content-Type", "application/json");
    exchange.headers.insert(exchange.headers.end(), request.headers.begin(), request.headers.end());
    for (const auto& [name, value] : exchange.headers) {
        if (!isFieldValue(value))
            return Error { ErrorKind::InvalidRequest,
                "the value of " + name + " has a control character; write it on one line" };
    }
    exchange.body = request.body;
    exchange.connectTimeout = m_timeout;
    exchange.silenceTimeout = m_timeout;
    exchange.maximumBodyBytes = maximumAnswerBytes;
    Exchange ended;
    // Names such as localhost may stand for an address at which the host does not listen.
    for (const std::string& address : resolve(m_host, m_port)) {
        exchange.address = address;
        ended = waitFor(exchange);
        if (!ended.failure || ended.outcome != AttemptOutcome::NotSent)
            break;
    }
    if (ended.failure == AttemptFailure::Garbage)
        return Error { ErrorKind::InvalidMessage,
            "the answer of " + m_authority + " cannot be read (" + ended.reason
                + "); check that the address is that of a host's administration listener" };
    if (ended.failure)
        return Error { ErrorKind::Timeout,
            "no answer from " + m_authority + "; check the address and whether the host is running" };
    return std::move(ended.response);
}

} // namespace Catkinwell
