#include <catkinwell/gateway/RouteTable.h>

#include "http/HeaderText.h"
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

void RouteTable::configure(const std::vector<Route>& routes)
{
    m_routes.clear();
    for (const Route& route : routes)
        m_routes[toLowerCase(route.host)][route.prefix] = route;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(toLowerCase(host.substr(0, host.find(':'))));
    if (routes == m_routes.end())
        return nullptr;
    std::string prefix(path);
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string::npos)
            return nullptr;
        prefix.resize(slash + 1);
        const auto found = routes->second.find(prefix);
        if (found != routes->second.end())
            return &found->second;
        prefix.pop_back();
    }
}

const std::string& chooseService(const Route& route, std::string_view requestId)
{
    static const std::string none;
    double total = 0;
    for (const RouteTarget& target : route.targets)
        total += target.weight;
    if (route.targets.empty() || total <= 0)
        return none;
    constexpr double hashRange = 18446744073709551616.0;
    double point = static_cast<double>(stableHash(requestId)) / hashRange * total;
    for (const RouteTarget& target : route.targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace Catkinwell
