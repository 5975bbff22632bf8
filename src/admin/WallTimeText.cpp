#include <admin/WallTimeText.h>

#include <array>
#include <ctime>

namespace Catkinwell {

std::string wallTimeText(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), size };
}

std::optional<WallTime> parseWallTime(const std::string& text)
{
    std::tm parts {};
    const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (!end || end != text.c_str() + text.size())
        return std::nullopt;
    const WallTime time = std::chrono::system_clock::from_time_t(timegm(&parts));
    // Refuses dates such as February 30th, which timegm moves into the next month.
    return wallTimeText(time) == text ? std::optional(time) : std::nullopt;
}

} // namespace Catkinwell
