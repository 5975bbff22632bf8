#include "http/FieldSyntax.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    bool isTokenCharacter(char c)
    {
        constexpr std::string_view others = "!#$%&'*+-.^_`|~";
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || others.find(c) != std::string_view::npos;
    }

    bool isFieldValueCharacter(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    }

} // namespace

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool isFieldValue(std::string_view text) { return std::all_of(text.begin(), text.end(), isFieldValueCharacter); }

} // namespace Catkinwell
