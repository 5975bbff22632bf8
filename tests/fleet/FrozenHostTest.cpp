#include "fleet/GatewayFleet.h"
#include <catch2/catch.hpp>
#include <csignal>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t requestsOfEachKind = 40;
constexpr Duration processingTime = 500ms;
constexpr auto timeBeforeFreeze = 200ms;
constexpr auto freezeTime = 1500ms;

HttpCall callTo(const GatewayFleet& fleet, const std::string& path, std::size_t number)
{
    const std::string id = path.substr(1, path.size() - 2) + std::to_string(number);
    HttpCall call { fleet.callerPort(0), "POST", path + id,
        { { "Host", "test.example" }, { "Catkinwell-Request-Id", id }, { "Catkinwell-Deadline-Ms", "8000" },
            { "Authorization", "Bearer key-a" } },
        "body", 9s };
    if (path == "/note/")
        call.headers["Catkinwell-Model"] = "m" + std::to_string(number % 2 + 1);
    return call;
}

} // namespace

// Guards against a host that takes the time in which it stood still itself for the silence of its endpoints.
TEST_CASE("Answers that endpoints made while their host stood still are delivered")
{
    GatewayFleet fleet({ 1, 2, 4 });
    fleet.onLoop([&fleet] {
        for (std::size_t i = 0; i < fleet.endpointCount(); ++i)
            fleet.endpoint(i).setCapacity(requestsOfEachKind * 2, processingTime);
    });
    std::vector<HttpCall> calls;
    for (const char* path : { "/order/", "/read/", "/note/" }) {
        for (std::size_t i = 0; i < requestsOfEachKind; ++i)
            calls.push_back(callTo(fleet, path, i));
    }
    std::thread freeze([&fleet] {
        std::this_thread::sleep_for(timeBeforeFreeze);
        fleet.process(0).signal(SIGSTOP);
        std::this_thread::sleep_for(freezeTime);
        fleet.process(0).signal(SIGCONT);
    });
    const std::vector<HttpAnswer> answers = sendTogether(calls);
    freeze.join();
    std::vector<std::string> unserved;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (answers[i].status != 200 || !answers[i].complete)
            unserved.push_back(calls[i].target + ": " + std::to_string(answers[i].status) + " " + answers[i].body);
    }
    CHECK(unserved == std::vector<std::string> {});
    CHECK(fleet.records().executions.size() == calls.size());
}
