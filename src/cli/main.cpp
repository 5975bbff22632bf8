#include "cli/Commands.h"

#include <CLI/CLI.hpp>
#include <csignal>

int main(int argc, char** argv)
{
    // A write to a connection that the peer has closed is reported as an error of that connection.
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app { "catkinwell: serving many rarely used models" };
    app.require_subcommand(1);
    int exitCode = Catkinwell::exitDone;
    Catkinwell::addServeCommand(app, exitCode);
    Catkinwell::addCheckConfigCommand(app, exitCode);
    Catkinwell::addEmulateCommand(app, exitCode);
    Catkinwell::addLoadCommand(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Catkinwell::exitDone : Catkinwell::exitUsage;
    }
    return exitCode;
}
