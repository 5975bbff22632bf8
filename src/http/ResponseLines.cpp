#include "http/ResponseLines.h"

#include "http/FieldSyntax.h"
#include "http/HeaderText.h"
#include <algorithm>

namespace Catkinwell {

namespace {

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    // RFC 9110 knows the classes 1 to 5.
    bool isStatus(std::string_view text)
    {
        return text.size() == 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2]);
    }

} // namespace

std::string_view findStatusLineFault(std::string_view line)
{
    const std::size_t blank = std::min(line.find(' '), line.size());
    std::string_view status = trimmedSpaces(line.substr(blank));
    status = status.substr(0, status.find(' '));
    if (!isStatus(status))
        return "its status is not a number from 100 to 599";
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

} // namespace Catkinwell
