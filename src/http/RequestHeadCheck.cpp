#include "http/RequestHeadCheck.h"

#include "http/FieldSyntax.h"
#include "http/HeaderText.h"
#include "http/PercentEncoding.h"
#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumLengthDigits = 15;

    bool isVisible(char c) { return c > 0x20 && c != 0x7f; }

    // Whether the path has a segment "." or "..", possibly percent-encoded: servers resolve these differently.
    bool hasDotSegment(std::string_view target)
    {
        const std::string_view path = target.substr(0, target.find('?'));
        std::size_t start = 0;
        while (start <= path.size()) {
            const std::size_t end = std::min(path.find('/', start), path.size());
            const std::string segment = percentDecoded(path.substr(start, end - start));
            if (segment == "." || segment == "..")
                return true;
            start = end + 1;
        }
        return false;
    }

    std::optional<RequestHeadFault> requestLineFault(std::string_view line)
    {
        const std::size_t first = line.find(' ');
        const std::size_t last = line.rfind(' ');
        if (first == std::string_view::npos || first == last)
            return RequestHeadFault { 400, "the request line is not \"METHOD TARGET VERSION\"" };
        const std::string_view target = line.substr(first + 1, last - first - 1);
        const std::string_view version = line.substr(last + 1);
        if (!isToken(line.substr(0, first)))
            return RequestHeadFault { 400, "the method is not a token" };
        if (!std::all_of(target.begin(), target.end(), isVisible))
            return RequestHeadFault { 400,
                "the request target contains a space or a control character; percent-encode it" };
        if (!target.starts_with('/') && target != "*")
            return RequestHeadFault { 400, "the request target does not begin with a slash" };
        if (hasDotSegment(target))
            return RequestHeadFault { 400, "the path has a segment \".\" or \"..\"; send the resolved path" };
        if (version != "HTTP/1.1" && version != "HTTP/1.0")
            return RequestHeadFault { 505, "the version is neither HTTP/1.1 nor HTTP/1.0" };
        return std::nullopt;
    }

    // How often each header occurs that identifies or delimits the request.
    struct FramingFieldCounts {
        int hosts = 0;
        int lengths = 0;
        int encodings = 0;
    };

    std::optional<RequestHeadFault> fieldFault(std::string_view line, FramingFieldCounts& framing)
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return RequestHeadFault { 400, "a header line is not \"Name: value\" with a token as the name" };
        const std::string name = toLowerCase(line.substr(0, colon));
        const std::string_view value = trimmedSpaces(line.substr(colon + 1));
        if (!isFieldValue(value))
            return RequestHeadFault { 400, "the header \"" + name + "\" contains a control character" };
        if (name == "host")
            ++framing.hosts;
        if (name == "content-length") {
            ++framing.lengths;
            if (value.empty() || value.size() > maximumLengthDigits
                || !std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; }))
                return RequestHeadFault { 400, "Content-Length is not a decimal number" };
        }
        if (name == "transfer-encoding") {
            ++framing.encodings;
            if (toLowerCase(value) != "chunked")
                return RequestHeadFault { 501, "the transfer encoding is not \"chunked\", the only one supported" };
        }
        return std::nullopt;
    }

} // namespace

std::optional<RequestHeadFault> findRequestHeadFault(std::string_view head)
{
    FramingFieldCounts framing;
    bool isFirst = true;
    bool isVersion11 = false;
    for (std::size_t start = 0; start < head.size();) {
        const std::size_t end = head.find("\r\n", start);
        if (end == std::string_view::npos)
            return RequestHeadFault { 400, "a line of the head does not end with CR LF" };
        const std::string_view line = head.substr(start, end - start);
        start = end + 2;
        if (line.empty() && isFirst)
            return RequestHeadFault { 400, "the request begins with an empty line" };
        if (line.empty())
            break;
        auto fault = isFirst ? requestLineFault(line) : fieldFault(line, framing);
        if (fault)
            return fault;
        isVersion11 = isVersion11 || (isFirst && line.ends_with("HTTP/1.1"));
        isFirst = false;
    }
    if (framing.hosts > 1 || (isVersion11 && framing.hosts == 0))
        return RequestHeadFault { 400, "the request needs exactly one Host header" };
    if (framing.lengths > 1 || framing.encodings > 1 || (framing.lengths > 0 && framing.encodings > 0))
        return RequestHeadFault { 400, "the request states its length more than once" };
    return std::nullopt;
}

} // namespace Catkinwell
