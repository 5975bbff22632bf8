#include "fleet/CallerLoad.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct ViolationCase {
    const char* what;
    std::string path;
    int status;
    std::string body;
    std::vector<Execution> runs;
    bool isViolation;
};

// The events of request "r", each with the version that wrote it.
std::string streamOf(const std::vector<std::string>& versions)
{
    std::string events;
    for (std::size_t i = 0; i < versions.size(); ++i)
        events += "id: " + std::to_string(i + 1) + "\ndata: r " + versions[i] + "\n\n";
    return events;
}

Execution runFor(const std::string& account) { return { "o-0", "r", account, {} }; }

} // namespace

// Guards against a check of the fleet tests that detects nothing.
TEST_CASE("Each kind of violation is found")
{
    const auto test = GENERATE(values<ViolationCase>({
        { "an order that ran once", "/order/", 200, "answer to r", { runFor("a") }, false },
        { "an order that ran twice", "/order/", 200, "answer to r", { runFor("a"), runFor("a") }, true },
        { "a read that ran twice", "/read/", 200, "answer to r", { runFor("a"), runFor("a") }, false },
        { "a refusal that did not run", "/order/", 503, "", {}, false },
        { "a refusal that ran", "/order/", 503, "", { runFor("a") }, true },
        { "a failure that ran", "/order/", 502, "", { runFor("a") }, false },
        { "an execution for another account", "/read/", 200, "answer to r", { runFor("b") }, true },
        { "the answer to another request", "/read/", 200, "answer to q", { runFor("a") }, true },
        { "an answer without an execution", "/read/", 200, "answer to r", {}, true },
        { "an incomplete stream that is reported as complete", "/note/", 200, "id: 1\ndata: r v1\n\n", { runFor("a") },
            true },
        { "a whole stream", "/note/", 200, streamOf({ "v1", "v1", "v1", "v1", "v1" }), { runFor("a") }, false },
        { "a stream of two versions", "/note/", 200, streamOf({ "v1", "v1", "v2", "v2", "v2" }), { runFor("a") },
            true },
    }));
    GatewayFleet fleet({ 1, 1, 0 });
    CallerRequest request { "r", test.path, "a", 0, { test.status, {}, test.body, true }, {} };
    INFO(test.what);
    CHECK(findViolations({ request }, { test.runs, {} }, fleet).empty() != test.isViolation);
}

// Guards against a check that accepts orders of two hosts to one engine in quick succession.
TEST_CASE("Orders of two holders to one engine in quick succession are found")
{
    const auto [milliseconds, isViolation] = GENERATE(table<int, bool>({ { 2900, true }, { 3100, false } }));
    GatewayFleet fleet({ 1, 1, 0 });
    const MonotonicTime first { std::chrono::hours(1) };
    const EndpointHistory records { {},
        { { "e", "host-0", first }, { "e", "host-1", first + std::chrono::milliseconds(milliseconds) } } };
    CHECK(findViolations({}, records, fleet).empty() != isViolation);
}

// Guards against a check that overlooks a stream that another version goes on with over its caller's requests.
TEST_CASE("A stream that a caller takes up at another version is found")
{
    const auto [version, isViolation] = GENERATE(table<const char*, bool>({ { "v2", true }, { "v1", false } }));
    GatewayFleet fleet({ 1, 1, 0 });
    const CallerRequest first { "r", "/note/", "a", 0, { 200, {}, streamOf({ "v1", "v1" }), false }, {} };
    CallerRequest second { "r-again", "/note/", "a", 0, { 200, {}, "", true }, {}, "r", 2 };
    for (int event = 3; event <= 5; ++event)
        second.answer.body += "id: " + std::to_string(event) + "\ndata: r-again " + version + "\n\n";
    const EndpointHistory records { { { "e", "r", "a", {} }, { "e", "r-again", "a", {} } }, {} };
    CHECK(findViolations({ first, second }, records, fleet).empty() != isViolation);
}
