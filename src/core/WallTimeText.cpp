#include <catkinwell/core/WallTimeText.h>

#include <array>
#include <ctime>

namespace Catkinwell {

namespace {

    constexpr const char* timeFormat = "%Y-%m-%dT%H:%M:%SZ";

} // namespace

std::string formatWallTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const std::size_t size = std::strftime(text.data(), text.size(), timeFormat, &parts);
    return { text.data(), size };
}

std::optional<WallTime> parseWallTime(const std::string& text)
{
    std::tm parts {};
    const char* end = strptime(text.c_str(), timeFormat, &parts);
    if (!end || end != text.c_str() + text.size())
        return std::nullopt;
    // 64 bits of nanoseconds since 1970 last until the year 2262.
    constexpr std::time_t lastSecond = 9'223'372'036;
    const std::time_t seconds = timegm(&parts);
    if (seconds < -lastSecond || seconds > lastSecond)
        return std::nullopt;
    const auto time = std::chrono::system_clock::from_time_t(seconds);
    // timegm() moves days such as February 31 to the next month; they are rejected.
    return formatWallTime(time) == text ? std::optional(time) : std::nullopt;
}

} // namespace Catkinwell
