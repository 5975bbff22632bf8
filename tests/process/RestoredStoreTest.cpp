#include "process/FleetFixture.h"
#include <catch2/catch.hpp>
#include <thread>

using namespace Catkinwell::Testing;
using Json = nlohmann::json;
using namespace std::chrono_literals;

namespace {

// The target's time for a change to be in force everywhere is 19 s; a small fleet needs less.
constexpr auto configurationBound = 10s;

Json configurationOf(const FleetFixture& fleet, std::size_t host)
{
    return Json::parse(send(fleet.admin("GET", "/admin/v1/configuration", {}, host)).body);
}

// Changes the rate of the account and returns the answer.
HttpAnswer changeConfiguration(const FleetFixture& fleet, std::size_t host, int change)
{
    Json document = configurationOf(fleet, host);
    const auto version = document["version"].get<std::uint64_t>();
    Json& item = document.contains("item") ? document["item"] : document;
    item["defaults"]["monthly_accelerator_hours"] = 1000 + change;
    HttpCall call = fleet.admin("PUT", "/admin/v1/configuration", item, host);
    call.headers["If-Match"] = std::to_string(version);
    call.headers["X-Audit-Reason"] = "change " + std::to_string(change);
    return send(call);
}

std::uint64_t versionOf(const FleetFixture& fleet, std::size_t host)
{
    return configurationOf(fleet, host)["version"].get<std::uint64_t>();
}

} // namespace

// Guards against an accepted configuration that comes back older, on hosts that run and on one that starts, and against
// a store that takes no change after it was restored.
TEST_CASE("A serving fleet keeps its configuration when the store is restored from a copy")
{
    FleetOptions options;
    options.hosts = 3;
    FleetFixture fleet(options);
    fleet.setStoreFaults({ { "save_copy", true } });
    const HttpAnswer changed = changeConfiguration(fleet, 0, 1);
    INFO(changed.body);
    REQUIRE(changed.status == 200);
    const std::uint64_t version = versionOf(fleet, 0);
    for (std::size_t host = 0; host < 3; ++host)
        REQUIRE(eventually([&] { return versionOf(fleet, host) == version; }, configurationBound));
    fleet.setStoreFaults({ { "restore", true } });
    fleet.stopHost(2);
    fleet.startHost(2);
    CHECK(eventually([&] { return versionOf(fleet, 2) == version; }, configurationBound));
    for (std::size_t host = 0; host < 2; ++host)
        CHECK(versionOf(fleet, host) == version);
    const HttpAnswer next = changeConfiguration(fleet, 1, 2);
    INFO(next.body);
    CHECK(next.status == 200);
    for (std::size_t host = 0; host < 3; ++host)
        CHECK(eventually([&] { return versionOf(fleet, host) == version + 1; }, configurationBound));
    CHECK(send(fleet.completion("notes", "after the restore")).status == 200);
}

// Guards against an order that runs again because the store lost its claim.
TEST_CASE("A keyed order that ran before the store was restored does not run again")
{
    FleetOptions options;
    options.hosts = 3;
    FleetFixture fleet(options);
    fleet.setStoreFaults({ { "save_copy", true } });
    for (std::size_t host = 0; host < 3; ++host)
        REQUIRE(send(fleet.order("order " + std::to_string(host), "key-" + std::to_string(host), host)).status == 200);
    std::this_thread::sleep_for(1s);
    fleet.setStoreFaults({ { "restore", true } });
    std::this_thread::sleep_for(2s);
    for (std::size_t host = 0; host < 3; ++host)
        send(fleet.order("order " + std::to_string(host), "key-" + std::to_string(host), (host + 1) % 3));
    std::map<std::string, int> runs;
    for (const Json& execution : fleet.serviceExecutions())
        ++runs[execution["body"].get<std::string>()];
    std::vector<std::string> broken;
    for (const auto& [body, count] : runs) {
        if (count > 1)
            broken.push_back(body + " ran again after the restore");
    }
    INFO("claims lost by a restore");
    CHECK(broken == std::vector<std::string> {});
}
