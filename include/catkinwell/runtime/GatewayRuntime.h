#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/gateway/GatewaySettings.h>
#include <memory>

namespace Catkinwell {

// A gateway process: the event loop, the I/O adapters and the reducer. The adapters pass events to the reducer one at
// a time; the reducer returns effects, which the adapters carry out. Not thread safe.
class GatewayRuntime {
public:
    // The file settingsFile is read again on SIGHUP.
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
