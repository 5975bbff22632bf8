#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/settings/ProcessSettings.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace Catkinwell {

namespace {

    int report(const Error& error, const std::string& file)
    {
        std::cerr << file << ": " << error.message << "\n";
        return exitUsage;
    }

    int checkSettings(const std::string& file)
    {
        const auto settings = loadProcessSettings(file);
        if (isError(settings))
            return report(errorOf(settings), file);
        std::cout << file << ": the settings of host " << valueOf(settings).host.value << " are valid\n";
        return exitDone;
    }

    int checkFleet(const std::string& file)
    {
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        if (!stream)
            return report({ ErrorKind::NotFound, "the file cannot be read; check the path" }, file);
        const auto configuration = parseFleetConfiguration(text.str());
        if (isError(configuration))
            return report(errorOf(configuration), file);
        std::cout << file << ": the fleet configuration is valid (" << valueOf(configuration).models.size()
                  << " models, " << valueOf(configuration).endpoints.size() << " endpoints)\n";
        return exitDone;
    }

} // namespace

void addCheckConfigCommand(CLI::App& app, int& exitCode)
{
    struct Files {
        std::string settings;
        std::string fleet;
    };
    auto files = std::make_shared<Files>();
    CLI::App* command = app.add_subcommand("check-config", "Validate process settings and fleet configurations");
    command->add_option("--config", files->settings, "Process settings");
    command->add_option("--fleet", files->fleet, "Fleet configuration document");
    command->callback([files, &exitCode] {
        if (files->settings.empty() && files->fleet.empty())
            throw CLI::RequiredError("--config or --fleet");
        if (!files->settings.empty())
            exitCode = checkSettings(files->settings);
        if (exitCode == exitDone && !files->fleet.empty())
            exitCode = checkFleet(files->fleet);
    });
}

} // namespace Catkinwell
