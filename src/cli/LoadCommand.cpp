#include "cli/Commands.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <catkinwell/emulator/LoadGenerator.h>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace Catkinwell {

void addLoadCommand(CLI::App& app, int& exitCode)
{
    auto settings = std::make_shared<LoadSettings>();
    CLI::App* command = app.add_subcommand("load",
        "Send completion requests to a host and measure the answers. "
        "The key is read from the environment variable CATKINWELL_KEY");
    command->add_option("--target", settings->address, "IP address and port")->required();
    command->add_option("--model", settings->model, "Model to request")->required();
    command->add_option("--requests", settings->requests, "Total number of requests")->capture_default_str();
    command->add_option("--concurrency", settings->concurrency, "Number of requests in flight")->capture_default_str();
    command->add_option("--rate", settings->rate, "Requests per second; 0 sends the next request when one ends")
        ->capture_default_str();
    command->add_option("--max-tokens", settings->maxTokens, "Tokens to generate")->capture_default_str();
    command->add_option("--prompt-bytes", settings->promptBytes, "Length of the prompt")->capture_default_str();
    command->add_flag("--stream", settings->stream, "Request streamed answers");
    command->callback([settings, &exitCode] {
        if (const char* key = std::getenv("CATKINWELL_KEY"))
            settings->key = key;
        EventLoop loop;
        const SystemClock clock;
        HttpClient client(loop);
        LoadGenerator generator(loop, client, clock, *settings);
        generator.start();
        loop.run();
        std::cout << loadResultToJson(generator.result()) << "\n";
        exitCode = generator.result().failed == 0 ? exitDone : exitFailed;
    });
}

} // namespace Catkinwell
