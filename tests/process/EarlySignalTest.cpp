#include "process/ProcessHarness.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

using namespace Catkinwell::Testing;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

std::string freeAddress() { return "127.0.0.1:" + std::to_string(freePort()); }

Json gatewaySettings()
{
    return { { "host", "a" }, { "data_centre", "dc1" }, { "caller_address", freeAddress() },
        { "status_address", freeAddress() }, { "peer_address", freeAddress() }, { "relay_address", freeAddress() },
        { "store_address", freeAddress() } };
}

Json serveSettings()
{
    setenv("CATKINWELL_CLUSTER_SECRET", "secret-of-the-process-tests", 1);
    return { { "host", "a" }, { "data_centre", "dc1" }, { "callers", { { "listen", freeAddress() } } },
        { "administration",
            { { "listen", freeAddress() },
                { "credentials",
                    Json::array({ { { "name", "tester" }, { "token_sha256", std::string(64, 'b') },
                        { "roles", { "read" } } } }) } } },
        { "peers",
            { { "listen", freeAddress() }, { "relay_listen", freeAddress() },
                { "cluster_secret", { { "environment", "CATKINWELL_CLUSTER_SECRET" } } },
                { "seeds", Json::object() } } },
        { "store", { { "address", freeAddress() } } } };
}

// The host at once after main() has begun. It has no store.
class StartingHost {
public:
    explicit StartingHost(const std::string& command)
    {
        const std::string file = m_folder.path() + "/settings.json";
        std::ofstream(file) << (command == "serve" ? serveSettings() : gatewaySettings()).dump();
        m_process.emplace(
            std::vector<std::string> { binaryPath(), command, "--config", file }, m_folder.path() + "/log");
        m_process->waitUntilBegun();
    }

    ChildProcess& process() { return *m_process; }
    bool hasLogged(const std::string& text) const { return m_process->output().find(text) != std::string::npos; }

private:
    TemporaryFolder m_folder;
    std::optional<ChildProcess> m_process;
};

} // namespace

// Guards against a host that ends because its settings or certificates changed while it started, and against a change
// that it then does not notice.
TEST_CASE("A host that starts does not end by SIGHUP")
{
    const std::string command = GENERATE("gateway", "serve");
    const int delay = GENERATE(0, 1, 2, 4, 8, 12, 20);
    INFO(command << ", " << delay << " ms");
    StartingHost host(command);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    host.process().signal(SIGHUP);
    CHECK(eventually([&] { return host.hasLogged("process_started"); }, 10s));
    if (command == "gateway")
        CHECK(eventually([&] { return host.hasLogged(R"("outcome":"applied")"); }, 10s));
    CHECK(host.process().isRunning());
    host.process().signal(SIGTERM);
    CHECK(host.process().waitForExit(20s) == 0);
}

// Guards against a host that serves on, or ends as if it had failed, because it was told to stop while it started.
TEST_CASE("A host that is told to stop while it starts ends in order")
{
    const std::string command = GENERATE("gateway", "serve");
    const int signalNumber = GENERATE(SIGTERM, SIGINT);
    const int delay = GENERATE(0, 2, 8, 20);
    INFO(command << ", signal " << signalNumber << ", " << delay << " ms");
    StartingHost host(command);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    host.process().signal(signalNumber);
    CHECK(host.process().waitForExit(20s) == 0);
}
