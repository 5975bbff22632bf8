#include <catch2/catch.hpp>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/settings/ProcessSettings.h>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace Catkinwell;

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string sample(const std::string& name) { return std::string(CATKINWELL_SAMPLES) + "/" + name; }

} // namespace

// Guards against sample configurations that are not valid as shipped.
TEST_CASE("The shipped samples are valid")
{
    setenv("CATKINWELL_CLUSTER_SECRET", "a-secret-of-more-than-16-characters", 1);
    const std::string user = GENERATE("volta-ramp-keepers", "zvolenske-musle");
    const auto settings = loadProcessSettings(sample(user + "/host.json"));
    INFO(user << ": " << (isError(settings) ? errorOf(settings).message : ""));
    CHECK_FALSE(isError(settings));
    const auto fleet = parseFleetConfiguration(readFile(sample(user + "/fleet.json")));
    INFO(user << ": " << (isError(fleet) ? errorOf(fleet).message : ""));
    CHECK_FALSE(isError(fleet));
}

// Guards against errors without the path of the field, the value found or the remedy.
TEST_CASE("A wrong field is reported with its path and a remedy")
{
    setenv("CATKINWELL_CLUSTER_SECRET", "a-secret-of-more-than-16-characters", 1);
    struct Case {
        const char* pointer;
        nlohmann::json value;
        const char* path;
        const char* hint;
    };
    const std::vector<Case> cases {
        { "/callers/lisen", "127.0.0.1:1", "/callers/lisen", "listen" },
        { "/callers/listen", 5, "/callers/listen", "5" },
        { "/callers/listen", "localhost:80", "/callers/listen", "IP address" },
        { "/store/address", "127.0.0.1", "/store/address", "IP address and port" },
        { "/peers/relay_listen", "127.0.0.1", "/peers/relay_listen", "IP address and port" },
        { "/source_address", "127.0.0.1:80", "/source_address", "IP address" },
        { "/peers/cluster_secret", { { "environment", "NOT_SET_ANYWHERE" } }, "/peers/cluster_secret",
            "NOT_SET_ANYWHERE" },
        { "/peers/cluster_secret", { { "value", "secret" } }, "/peers/cluster_secret", "unknown field" },
        { "/shutdown_grace_seconds", 0, "/shutdown_grace_seconds", "0" },
        { "/log", { { "severity", "loud" } }, "/log/severity", "loud" },
    };
    for (const Case& test : cases) {
        auto document = nlohmann::json::parse(readFile(sample("volta-ramp-keepers/host.json")));
        document[nlohmann::json::json_pointer(test.pointer)] = test.value;
        const auto settings = parseProcessSettings(document.dump());
        INFO(test.pointer);
        REQUIRE(isError(settings));
        const std::string message = errorOf(settings).message;
        INFO(message);
        CHECK(message.find(test.path) != std::string::npos);
        CHECK(message.find(test.hint) != std::string::npos);
    }
}
