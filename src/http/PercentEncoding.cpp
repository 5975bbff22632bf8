#include "http/PercentEncoding.h"

#include <charconv>

namespace Catkinwell {

namespace {

    bool isUnreserved(char c)
    {
        constexpr std::string_view marks = "-._~/";
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || marks.find(c) != std::string_view::npos;
    }

} // namespace

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4]);
        encoded.push_back(digits[byte & 0xf]);
    }
    return encoded;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char* begin = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(begin, begin + 2, value, 16).ptr == begin + 2) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

} // namespace Catkinwell
