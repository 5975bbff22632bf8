#include "cli/Commands.h"

#include <CLI/CLI.hpp>
#include <catkinwell/admin/AdminCommand.h>
#include <catkinwell/loop/SignalMask.h>
#include <csignal>
#include <string_view>

namespace {

// Whether the command runs a host, which handles these signals once its listeners have started.
bool isHostCommand(std::string_view command) { return command == "serve" || command == "gateway"; }

} // namespace

int main(int argc, char** argv)
{
    // Comes first: until then a request to read the settings again ends the process.
    if (argc > 1 && isHostCommand(argv[1])) {
        for (const int signalNumber : { SIGHUP, SIGTERM, SIGINT })
            Catkinwell::blockSignal(signalNumber);
    }
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
