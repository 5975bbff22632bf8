#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/emulator/EngineEmulator.h>
#include <catkinwell/emulator/StoreEmulator.h>
#include <csignal>
#include <iostream>
#include <memory>

namespace Catkinwell {

namespace {

    template <typename Emulator> int runEmulator(EventLoop& loop, Emulator& emulator, const char* name)
    {
        const Status status = emulator.start();
        if (isError(status)) {
            std::cerr << errorOf(status).message << "\n";
            return exitFailed;
        }
        for (const int signalNumber : { SIGTERM, SIGINT })
            loop.onSignal(signalNumber, [&loop] { loop.stop(); });
        std::cout << name << " listens on port " << emulator.port() << std::endl;
        loop.run();
        return exitDone;
    }

    struct EngineOptions {
        EngineEmulatorSettings settings;
        double loadSeconds = 2;
        double adapterLoadMilliseconds = 40;
        double firstTokenMilliseconds = 5;
        double tokenMilliseconds = 5;
        bool ignoreFencing = false;
    };

    void addEngine(CLI::App& parent, int& exitCode)
    {
        auto options = std::make_shared<EngineOptions>();
        CLI::App* command = parent.add_subcommand("engine", "Run an emulator of a model engine and of plain services");
        command->add_option("--listen", options->settings.address, "IP address and port")->capture_default_str();
        command->add_option("--memory-bytes", options->settings.memoryBytes, "Accelerator memory")
            ->capture_default_str();
        command->add_option("--capacity", options->settings.capacity, "Maximum number of concurrent requests")
            ->capture_default_str();
        command->add_option("--load-seconds", options->loadSeconds, "Time to load a model")->capture_default_str();
        command->add_option("--adapter-load-ms", options->adapterLoadMilliseconds, "Time to load an adapter")
            ->capture_default_str();
        command->add_option("--first-token-ms", options->firstTokenMilliseconds, "Time to the first token")
            ->capture_default_str();
        command->add_option("--token-ms", options->tokenMilliseconds, "Time between tokens; 0 sends all tokens at once")
            ->capture_default_str();
        command->add_option("--loaded", options->settings.loadedModels, "Models that are loaded at the start");
        command->add_flag("--ignore-fencing", options->ignoreFencing, "Obey commands with old fencing tokens");
        command->callback([options, &exitCode] {
            EngineEmulatorSettings settings = options->settings;
            settings.modelLoadTime = durationOfMilliseconds(options->loadSeconds * 1000);
            settings.adapterLoadTime = durationOfMilliseconds(options->adapterLoadMilliseconds);
            settings.timeToFirstToken = durationOfMilliseconds(options->firstTokenMilliseconds);
            settings.tokenInterval = durationOfMilliseconds(options->tokenMilliseconds);
            settings.fencing = options->ignoreFencing ? FencingSupport::Ignored : FencingSupport::Enforced;
            EventLoop loop;
            EngineEmulator emulator(loop, settings);
            exitCode = runEmulator(loop, emulator, "engine");
        });
    }

    void addStore(CLI::App& parent, int& exitCode)
    {
        auto address = std::make_shared<std::string>("127.0.0.1:0");
        CLI::App* command = parent.add_subcommand("store", "Run an emulator of the platform's key-value service");
        command->add_option("--listen", *address, "IP address and port")->capture_default_str();
        command->callback([address, &exitCode] {
            EventLoop loop;
            StoreEmulator emulator(loop, *address);
            exitCode = runEmulator(loop, emulator, "store");
        });
    }

} // namespace

void addEmulateCommand(CLI::App& app, int& exitCode)
{
    CLI::App* command
        = app.add_subcommand("emulate", "Run an emulator of an external system, for tests and experiments");
    command->require_subcommand(1);
    addEngine(*command, exitCode);
    addStore(*command, exitCode);
}

} // namespace Catkinwell
