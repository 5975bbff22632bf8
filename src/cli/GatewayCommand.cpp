#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/runtime/GatewayRuntime.h>
#include <cstdlib>
#include <memory>

namespace Catkinwell {

namespace {

    struct GatewayOptions {
        std::string file;
        std::string fileVariable;
        bool checkOnly = false;
    };

    int runGateway(const GatewayOptions& options)
    {
        std::string file = options.file;
        if (const char* named = options.fileVariable.empty() ? nullptr : std::getenv(options.fileVariable.c_str()))
            file = named;
        auto settings = loadGatewaySettings(file);
        if (isError(settings)) {
            std::cerr << file << ": " << errorOf(settings).message << "\n";
            return exitUsage;
        }
        if (options.checkOnly) {
            std::cout << file << ": valid\n";
            return exitDone;
        }
        GatewayRuntime runtime(takeValue(std::move(settings)), file);
        return startAndRun(runtime);
    }

} // namespace

void addGatewayCommand(CLI::App& app, int& exitCode)
{
    auto options = std::make_shared<GatewayOptions>();
    CLI::App* command = app.add_subcommand("gateway", "Run a gateway host on the platform");
    auto* file = command->add_option("--config", options->file, "Settings (JSON)");
    auto* variable = command->add_option(
        "--config-variable", options->fileVariable, "Environment variable that holds the path of the settings");
    file->excludes(variable);
    command->add_flag("--check", options->checkOnly, "Validate the settings and exit");
    command->callback([options, &exitCode] { exitCode = runGateway(*options); });
}

} // namespace Catkinwell
