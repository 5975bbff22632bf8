#include "http/ResponseLines.h"

#include "http/FieldSyntax.h"
#include "http/HeaderText.h"
#include <charconv>

namespace Catkinwell {

namespace {

    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::string_view switchingProtocols = "101";

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    // Whether the line begins with a version HTTP/1.x and a blank.
    bool hasVersion(std::string_view line)
    {
        const std::size_t end = protocol.size() + 1;
        return line.starts_with(protocol) && line.size() > end && isDigit(line[end - 1]) && line[end] == ' ';
    }

    // RFC 9110 knows the classes 1 to 5.
    bool isStatus(std::string_view text)
    {
        return text.size() == 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2]);
    }

} // namespace

std::string_view findStatusLineFault(std::string_view line)
{
    if (!hasVersion(line))
        return "its version is not HTTP/1";
    std::string_view status = trimmedSpaces(line.substr(protocol.size() + 1));
    status = status.substr(0, status.find(' '));
    if (!isStatus(status))
        return "its status is not a number from 100 to 599";
    // Nothing that this program sends asks for it.
    if (status == switchingProtocols)
        return "it switches to another protocol";
    return {};
}

std::string_view findFieldLineFault(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return "the name of a field is missing or has a character that names may not have";
    return findFoldedLineFault(line.substr(colon + 1));
}

std::string_view findFoldedLineFault(std::string_view line)
{
    return isFieldValue(line) ? "" : "the value of a field has a control character";
}

bool isFoldedLine(std::string_view line) { return line.starts_with(' ') || line.starts_with('\t'); }

std::optional<std::uint64_t> chunkSizeOf(std::string_view line)
{
    std::uint64_t size = 0;
    const char* const end = line.data() + line.size();
    const auto digits = std::from_chars(line.data(), end, size, 16);
    if (digits.ec != std::errc())
        return std::nullopt;
    const std::string_view extensions = trimmedSpaces({ digits.ptr, static_cast<std::size_t>(end - digits.ptr) });
    const bool isSound = extensions.empty() || (extensions.starts_with(';') && isFieldValue(extensions));
    return isSound ? std::optional(size) : std::nullopt;
}

} // namespace Catkinwell
