#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/GatewaySettings.h>
#include <memory>

namespace Catkinwell {

// One gateway process: the loop, the platform's adapters and the reducer. Events go from the adapters to the reducer
// one at a time, effects from the reducer to the adapters. Not thread safe.
class GatewayRuntime {
public:
    // settingsFile is read again at SIGHUP.
    GatewayRuntime(GatewaySettings, std::string settingsFile);
    ~GatewayRuntime();

    // Opens the listeners. Errors: as CallerListener::start().
    Status start();
    // Runs until shutdown and returns the exit code. Precondition: start() succeeded.
    int run();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
