#include <catkinwell/gateway/GatewayConfiguration.h>

namespace Catkinwell {

const GatewayEngine* GatewayConfiguration::engineOf(const std::string& service) const
{
    const auto found = services.find(service);
    return found == services.end() || !found->second.engine ? nullptr : &*found->second.engine;
}

} // namespace Catkinwell
