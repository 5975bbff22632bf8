#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;
};

// Parses an address such as "127.0.0.1:8080" or "[::1]:8080". Returns nullopt for any other text; host names are not
// resolved.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

// Whether the text is a numeric IP address without a port.
bool isIpAddress(const std::string& text);

} // namespace Catkinwell
