#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/settings/ProcessSettings.h>
#include <cstdint>
#include <memory>

namespace Catkinwell {

// A serving process: the event loop, the I/O adapters and the reducer. The adapters pass events
// to the reducer one at a time; the reducer returns effects, which the adapters carry out.
class Runtime {
public:
    explicit Runtime(ProcessSettings);
    ~Runtime();

    // Opens the listeners. Errors: as CallerListener::start(), and Unavailable when the peer address cannot be bound.
    Status start();
    // Runs until shutdown and returns the exit code. Precondition: start() succeeded.
    int run();

    std::uint16_t callerPort() const;
    std::uint16_t administrationPort() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
