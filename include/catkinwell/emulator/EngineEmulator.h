#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Catkinwell {

struct EngineEmulatorSettings {
    std::string address = "127.0.0.1:0";
    std::uint64_t memoryBytes = 80ULL << 30;
    // The maximum number of requests that run at the same time; further ones wait inside the engine.
    std::uint32_t capacity = 8;
    Duration modelLoadTime = std::chrono::seconds(2);
    Duration adapterLoadTime = std::chrono::milliseconds(40);
    Duration timeToFirstToken = std::chrono::milliseconds(5);
    // Zero sends all tokens of an answer at once.
    Duration tokenInterval = std::chrono::milliseconds(5);
    FencingSupport fencing = FencingSupport::Enforced;
    // Models that are loaded from the start.
    std::vector<std::string> loadedModels;
};

// Emulates a model engine and the plain services beside it. It serves the OpenAI completion routes and the model
// repository routes, and answers every other path as a plain service. Words in the body of a request cause failures:
// "emulate-crash" ends the process, "emulate-late-crash" ends it after a few tokens, "emulate-silence" never answers,
// and "emulate-truncation" closes the connection in the middle of the answer. GET /emulator/executions lists the
// requests that ran. Not thread safe.
class EngineEmulator {
public:
    EngineEmulator(EventLoop&, EngineEmulatorSettings);
    ~EngineEmulator();

    // Errors: as CallerListener::start().
    Status start();
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Catkinwell
