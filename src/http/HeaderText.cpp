#include "http/HeaderText.h"

#include <algorithm>
#include <map>

namespace Catkinwell {

namespace {

    char lowered(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

} // namespace

std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), lowered);
    return lower;
}

std::string_view trimmedSpaces(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lowered(a) == lowered(b); });
}

const std::string* findHeader(const HeaderList& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const auto& header) { return equalIgnoringCase(header.first, name); });
    return found == headers.end() ? nullptr : &found->second;
}

std::string headerValue(const HeaderList& headers, std::string_view name)
{
    const std::string* value = findHeader(headers, name);
    return value ? *value : std::string();
}

std::string_view reasonPhrase(int status)
{
    static const std::map<int, std::string_view> phrases { { 200, "OK" }, { 201, "Created" }, { 202, "Accepted" },
        { 204, "No Content" }, { 304, "Not Modified" }, { 400, "Bad Request" }, { 401, "Unauthorized" },
        { 403, "Forbidden" }, { 404, "Not Found" }, { 405, "Method Not Allowed" }, { 408, "Request Timeout" },
        { 409, "Conflict" }, { 413, "Content Too Large" }, { 421, "Misdirected Request" },
        { 422, "Unprocessable Content" }, { 429, "Too Many Requests" }, { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" }, { 501, "Not Implemented" }, { 502, "Bad Gateway" },
        { 503, "Service Unavailable" }, { 504, "Gateway Timeout" }, { 505, "HTTP Version Not Supported" } };
    const auto found = phrases.find(status);
    return found == phrases.end() ? "Status" : found->second;
}

} // namespace Catkinwell
