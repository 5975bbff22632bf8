#pragma once

#include <catkinwell/gateway/GatewayConfiguration.h>

namespace Catkinwell {

// Finds the route of a request: of the routes of its host the one with the longest prefix. Not thread safe.
class RouteTable {
public:
    void configure(const std::vector<Route>&);

    // Returns nullptr if no route fits. The host may carry a port, which does not count; the path ends before any
    // query. The pointer is valid until the next configure().
    const Route* find(std::string_view host, std::string_view path) const;

private:
    // By host in lower case, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> m_routes;
};

// Returns the service for a request of the route. The same request identifier always gives the same service, and
// over many requests the services get shares by their weights. Thread safe.
const std::string& chooseService(const Route&, std::string_view requestId);

} // namespace Catkinwell
