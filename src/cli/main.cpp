#include "cli/Commands.h"

#include <CLI/CLI.hpp>
#include <catkinwell/admin/AdminCommand.h>
#include <csignal>
#include <string_view>

int main(int argc, char** argv)
{
    // A write to a connection that the peer has closed then fails with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    // The administration client parses its own arguments.
    if (argc > 1 && std::string_view(argv[1]) == "admin")
        return Catkinwell::runAdminCommand(argc - 1, argv + 1);
    CLI::App app { "catkinwell: serving many rarely used models" };
    app.require_subcommand(1);
    app.add_subcommand("admin", "Use a host's administration API; see catkinwell admin --help");
    int exitCode = Catkinwell::exitDone;
    Catkinwell::addServeCommand(app, exitCode);
    Catkinwell::addCheckConfigCommand(app, exitCode);
    Catkinwell::addEmulateCommand(app, exitCode);
    Catkinwell::addLoadCommand(app, exitCode);
    Catkinwell::addGatewayCommand(app, exitCode);
    Catkinwell::addReplayCommand(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Catkinwell::exitDone : Catkinwell::exitUsage;
    }
    return exitCode;
}
