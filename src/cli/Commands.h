#pragma once

#include <CLI/App.hpp>

namespace Catkinwell {

// Exit codes of every subcommand.
inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

// Each adds one subcommand to the application. The subcommand stores its exit code in exitCode when it has run.
void addServeCommand(CLI::App&, int& exitCode);
void addCheckConfigCommand(CLI::App&, int& exitCode);
void addEmulateCommand(CLI::App&, int& exitCode);
void addLoadCommand(CLI::App&, int& exitCode);
void addGatewayCommand(CLI::App&, int& exitCode);
void addReplayCommand(CLI::App&, int& exitCode);

} // namespace Catkinwell
