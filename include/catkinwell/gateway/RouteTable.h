#pragma once

#include <catkinwell/gateway/GatewayConfiguration.h>

namespace Catkinwell {

// Finds the route of a request: the route of its host with the longest matching prefix. Not thread safe.
class RouteTable {
public:
    void configure(const std::vector<Route>&);

    // Returns nullptr if no route matches. A port in the host is ignored. The path must not contain a query. The
    // pointer is valid until the next configure().
    const Route* find(std::string_view host, std::string_view path) const;

private:
    // Keyed by host in lower case, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> m_routes;
};

// Chooses the service for a request of the route by weight. The same request identifier always gives the same service.
// Thread safe.
const std::string& chooseService(const Route&, std::string_view requestId);

} // namespace Catkinwell
