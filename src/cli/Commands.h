#pragma once

#include <CLI/App.hpp>
#include <catkinwell/core/Error.h>
#include <iostream>

namespace Catkinwell {

// Exit codes of every subcommand.
inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

// Starts a process and runs it until its shutdown. Returns the exit code. Prints the error if the start fails.
template <typename ProcessRuntime> int startAndRun(ProcessRuntime& runtime)
{
    const Status status = runtime.start();
    if (isError(status)) {
        std::cerr << errorOf(status).message << "\n";
        return errorOf(status).kind == ErrorKind::InvalidSettings ? exitUsage : exitFailed;
    }
    return runtime.run();
}

// Each function adds a subcommand to the application. The subcommand stores its exit code in exitCode.
void addServeCommand(CLI::App&, int& exitCode);
void addCheckConfigCommand(CLI::App&, int& exitCode);
void addEmulateCommand(CLI::App&, int& exitCode);
void addLoadCommand(CLI::App&, int& exitCode);
void addGatewayCommand(CLI::App&, int& exitCode);
void addReplayCommand(CLI::App&, int& exitCode);

} // namespace Catkinwell
