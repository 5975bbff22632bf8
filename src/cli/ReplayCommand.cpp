#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/replay/Replay.h>
#include <iostream>
#include <memory>

namespace Catkinwell {

namespace {

    struct ReplayOptions {
        ReplaySettings settings = defaultReplaySettings();
        std::string pattern = "all";
        double loadFactor = 1;
        bool asJson = false;
        bool withoutPlacement = false;
    };

    int runReplays(ReplayOptions options)
    {
        options.settings.hasPlacement = !options.withoutPlacement;
        for (RequestKind& kind : options.settings.kinds)
            kind.perSecond *= options.loadFactor;
        const bool isAll = options.pattern == "all";
        if (!isAll && !findLoadPattern(options.pattern)) {
            std::cerr << "unknown load pattern \"" << options.pattern << "\"; choose all";
            for (const LoadPattern& pattern : loadPatterns())
                std::cerr << ", " << pattern.name;
            std::cerr << "\n";
            return exitUsage;
        }
        for (const LoadPattern& pattern : loadPatterns()) {
            if (!isAll && pattern.name != options.pattern)
                continue;
            const ReplayReport report = runReplay(options.settings, pattern);
            std::cout << (options.asJson ? replayReportJson(report) + "\n" : replayReportText(report));
        }
        return exitDone;
    }

} // namespace

void addReplayCommand(CLI::App& app, int& exitCode)
{
    auto options = std::make_shared<ReplayOptions>();
    CLI::App* command
        = app.add_subcommand("replay", "Simulate gateways and engines under load patterns, in simulated time");
    command->add_option("--pattern", options->pattern, "Name of a load pattern, or all")->capture_default_str();
    command->add_option("--seed", options->settings.seed, "Random seed of the load")->capture_default_str();
    command->add_option("--hosts", options->settings.hosts, "Gateways")->capture_default_str();
    command->add_option("--engines", options->settings.engines, "Engines")->capture_default_str();
    command->add_option("--models", options->settings.models, "Models")->capture_default_str();
    command->add_option("--adapters", options->settings.adapters, "Adapters of the busiest model")
        ->capture_default_str();
    command->add_option("--load", options->loadFactor, "Factor for all request rates")->capture_default_str();
    command->add_flag(
        "--without-placement", options->withoutPlacement, "Keep the models on the engines that hold them at the start");
    command->add_flag("--json", options->asJson, "Print a JSON object for each pattern");
    command->callback([options, &exitCode] { exitCode = runReplays(*options); });
}

} // namespace Catkinwell
