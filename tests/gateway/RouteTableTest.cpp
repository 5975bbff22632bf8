#include <catch2/catch.hpp>
#include <catkinwell/gateway/RouteTable.h>

using namespace Catkinwell;

namespace {

Route routeOf(const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    return route;
}

struct LookupCase {
    const char* host;
    const char* path;
    // Empty if no route matches.
    const char* expected;
};

} // namespace

TEST_CASE("The route with the longest prefix of the host is found")
{
    RouteTable table;
    table.configure({ routeOf("h", "/a/"), routeOf("h", "/a/b/"), routeOf("i", "/") });
    const auto test = GENERATE(values<LookupCase>({
        { "h", "/a/x", "h/a/" },
        { "h:80", "/a/x", "h/a/" },
        { "H", "/a/b/", "h/a/b/" },
        { "h", "/a/b", "h/a/" },
        { "h", "/ab/c", "" },
        { "h", "/", "" },
        { "i", "/anything/at/all", "i/" },
        { "k", "/a/x", "" },
        { "", "/a/x", "" },
    }));
    const Route* found = table.find(test.host, test.path);
    INFO(test.host << " " << test.path);
    CHECK((found ? found->name : "") == test.expected);
}

TEST_CASE("Requests are split by the weights of the services, consistently per request identifier")
{
    Route route = routeOf("h", "/");
    route.targets = { { "first", 90 }, { "second", 10 } };
    int second = 0;
    for (int i = 0; i < 5000; ++i) {
        const std::string id = "request-" + std::to_string(i);
        REQUIRE(chooseService(route, id) == chooseService(route, id));
        second += chooseService(route, id) == "second" ? 1 : 0;
    }
    CHECK(second > 400);
    CHECK(second < 600);
}
