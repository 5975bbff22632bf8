#include "platform/EngineState.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

struct RunReportCase {
    const char* text;
    std::optional<std::map<std::string, std::uint64_t>> events;
    unsigned waiting;
};

} // namespace

// Guards against a running request that counts as ended because an entry beside it cannot be read.
TEST_CASE("An engine's report lists the requests that it runs")
{
    const auto test = GENERATE(values<RunReportCase>({
        { R"({"waiting":2,"runs":[["a",140,3,5],["b",90,0,1]]})", { { { "a", 3 }, { "b", 0 } } }, 2 },
        { R"({"runs":[["a",140,3,5],["b"],7,["c",1,-1,5],[4,1,1,5]]})", { { { "a", 3 } } }, 0 },
        { R"({"runs":[]})", std::map<std::string, std::uint64_t>(), 0 },
        { R"({"runs":"none","waiting":-1})", std::nullopt, 0 },
        { R"({"waiting":1})", std::nullopt, 1 },
        { R"(["runs"])", std::nullopt, 0 },
        { "null", std::nullopt, 0 },
    }));
    INFO(test.text);
    const RunReport report = readRunReport(nlohmann::json::parse(test.text), EndpointId("x"), MonotonicTime());
    CHECK(report.events == test.events);
    CHECK(report.waiting == test.waiting);
}
