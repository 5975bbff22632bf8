#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/runtime/Runtime.h>
#include <memory>

namespace Catkinwell {

namespace {

    int serve(const std::string& file)
    {
        auto settings = loadProcessSettings(file);
        if (isError(settings)) {
            std::cerr << file << ": " << errorOf(settings).message << "\n";
            return exitUsage;
        }
        Runtime runtime(takeValue(std::move(settings)));
        return startAndRun(runtime);
    }

} // namespace

void addServeCommand(CLI::App& app, int& exitCode)
{
    auto file = std::make_shared<std::string>();
    CLI::App* command = app.add_subcommand("serve", "Run a serving host");
    command->add_option("--config", *file, "Process settings (JSON)")->required();
    command->callback([file, &exitCode] { exitCode = serve(*file); });
}

} // namespace Catkinwell
