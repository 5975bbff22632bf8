#include "http/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <event2/util.h>

namespace Catkinwell {

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    SocketAddress address { std::string(host), port };
    unsigned char binary[sizeof(in6_addr)];
    if (evutil_inet_pton(bracketed ? AF_INET6 : AF_INET, address.host.c_str(), binary) != 1)
        return std::nullopt;
    return address;
}

bool isIpAddress(const std::string& text)
{
    const bool isVersion6 = text.find(':') != std::string::npos;
    return parseSocketAddress((isVersion6 ? "[" + text + "]" : text) + ":1").has_value();
}

} // namespace Catkinwell
