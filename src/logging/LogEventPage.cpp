#include <catkinwell/logging/LogEventPage.h>

#include <array>
#include <catkinwell/logging/LogEvent.h>
#include <string_view>
#include <utility>

namespace Catkinwell {

namespace {

    constexpr int rangeSize = 100;

    constexpr std::array<std::pair<int, std::string_view>, 11> ranges { {
        { 1000, "process" },
        { 1100, "requests" },
        { 1200, "routing" },
        { 1300, "shares" },
        { 1400, "orders" },
        { 1500, "placement" },
        { 1600, "membership" },
        { 1700, "configuration" },
        { 1800, "peer" },
        { 1900, "store" },
        { 2000, "administration" },
    } };

    std::string cell(std::string_view text)
    {
        std::string escaped;
        for (const char character : text) {
            if (character == '|')
                escaped += '\\';
            escaped += character;
        }
        return escaped.empty() ? "none" : escaped;
    }

    std::string rowOf(const LogEventDescription& event)
    {
        std::string row = "| " + std::to_string(static_cast<int>(event.event)) + " | `" + std::string(event.name);
        row += "` | " + std::string(nameOf(event.severity)) + " | " + cell(event.meaning) + " | " + cell(event.action);
        return row + " |\n";
    }

    std::string_view rangeName(int start)
    {
        for (const auto& [candidate, name] : ranges) {
            if (candidate == start)
                return name;
        }
        return "other";
    }

} // namespace

std::string renderLogEventPage()
{
    std::string page
        = "# Log events\n\n"
          "This page is generated from the catalogue in `src/logging/LogEvent.cpp`; a test checks that it is current. "
          "Each module has a range of one hundred numbers. A number is never reused for another "
          "meaning. Fields never contain keys or request bodies.\n";
    int currentRange = 0;
    for (const LogEventDescription& event : logEventCatalogue()) {
        const int number = static_cast<int>(event.event);
        if (const int range = number - number % rangeSize; range != currentRange) {
            currentRange = range;
            page += "\n## " + std::to_string(range) + ": " + std::string(rangeName(range)) + "\n\n";
            page += "| number | name | severity | meaning | action |\n| --- | --- | --- | --- | --- |\n";
        }
        page += rowOf(event);
    }
    return page;
}

} // namespace Catkinwell
