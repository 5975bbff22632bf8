#include <catch2/catch.hpp>
#include <catkinwell/logging/LogEvent.h>
#include <catkinwell/logging/LogEventPage.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace Catkinwell;

namespace {

const std::filesystem::path pagePath
    = std::filesystem::path(CATKINWELL_SAMPLES).parent_path() / "docs" / "log-events.md";

std::string readPage()
{
    std::ifstream file(pagePath);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against a page that differs from the catalogue. After a change of the catalogue,
// run this test once with CATKINWELL_WRITE_PAGES=1 in the environment to write the page.
TEST_CASE("docs/log-events.md is the rendered catalogue")
{
    if (std::getenv("CATKINWELL_WRITE_PAGES"))
        std::ofstream(pagePath) << renderLogEventPage();
    CHECK(readPage() == renderLogEventPage());
}

// Guards against duplicate numbers or names, and against an order in which the binary search of describe() fails.
TEST_CASE("the catalogue is in the order of the numbers, without repeats")
{
    std::set<std::string_view> names;
    int last = 0;
    for (const LogEventDescription& entry : logEventCatalogue()) {
        INFO(entry.name);
        CHECK(static_cast<int>(entry.event) > last);
        last = static_cast<int>(entry.event);
        CHECK(names.insert(entry.name).second);
        CHECK(describe(entry.event).name == entry.name);
        CHECK(!entry.meaning.empty());
        // Warnings and errors need an action.
        CHECK((entry.severity < LogSeverity::Warning || !entry.action.empty()));
    }
}
