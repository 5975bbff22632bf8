#include <catkinwell/configuration/FleetConfiguration.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<EndpointKind, 2> endpointKindNames { {
        { EndpointKind::Engine, "engine" },
        { EndpointKind::Service, "service" },
    } };

    constexpr EnumNames<FencingSupport, 2> fencingSupportNames { {
        { FencingSupport::Enforced, "enforced" },
        { FencingSupport::Ignored, "ignored" },
    } };

    constexpr EnumNames<RouteAccess, 2> routeAccessNames { {
        { RouteAccess::Open, "open" },
        { RouteAccess::Keyed, "keyed" },
    } };

} // namespace

std::string_view nameOf(EndpointKind kind) { return endpointKindNames.nameOf(kind); }

std::string_view nameOf(FencingSupport support) { return fencingSupportNames.nameOf(support); }

std::string_view nameOf(RouteAccess access) { return routeAccessNames.nameOf(access); }

} // namespace Catkinwell
