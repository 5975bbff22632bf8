#include "TextForms.h"

#include <algorithm>
#include <event2/util.h>
#include <sys/socket.h>

namespace Catkinwell {

namespace {

    constexpr std::size_t longestName = 128;
    constexpr std::size_t longestText = 200;
    constexpr std::size_t shortestReason = 10;
    constexpr std::size_t longestReason = 1000;

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    }

    bool isPrintable(char c) { return static_cast<unsigned char>(c) >= ' ' && c != '\x7f'; }

    bool isAddress(std::string_view text)
    {
        sockaddr_storage storage {};
        int size = sizeof(storage);
        auto* address = reinterpret_cast<sockaddr*>(&storage);
        if (text.size() > longestName || evutil_parse_sockaddr_port(std::string(text).c_str(), address, &size) != 0)
            return false;
        // libevent accepts an address without a port and sets the port to 0.
        const auto port = address->sa_family == AF_INET ? reinterpret_cast<sockaddr_in*>(address)->sin_port
                                                        : reinterpret_cast<sockaddr_in6*>(address)->sin6_port;
        return port != 0 && text.find('\0') == std::string_view::npos;
    }

    bool isPathPrefix(std::string_view text)
    {
        return !text.empty() && text.size() <= longestText && text[0] == '/'
            && std::all_of(
                text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
    }

    bool isReason(std::string_view text)
    {
        const auto letters = std::count_if(text.begin(), text.end(), [](char c) { return c != ' '; });
        return text.size() >= shortestReason && text.size() <= longestReason && letters > 0
            && std::all_of(text.begin(), text.end(), isPrintable);
    }

    bool isSha256(std::string_view text)
    {
        return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        });
    }

    bool isName(std::string_view text, std::string_view additional)
    {
        return !text.empty() && text.size() <= longestName && std::all_of(text.begin(), text.end(), [&](char c) {
            return isNameCharacter(c) || additional.find(c) != std::string_view::npos;
        });
    }

} // namespace

bool hasForm(std::string_view text, TextForm form)
{
    switch (form) {
    case TextForm::Name:
        return isName(text, "");
    case TextForm::ModelName:
        return isName(text, "/:@");
    case TextForm::Sha256:
        return isSha256(text);
    case TextForm::Address:
        return isAddress(text);
    case TextForm::PathPrefix:
        return isPathPrefix(text);
    case TextForm::Label:
        return text.size() <= longestText && std::all_of(text.begin(), text.end(), isPrintable);
    case TextForm::Reason:
        return isReason(text);
    case TextForm::Text:
        return !text.empty() && text.size() <= longestText && std::all_of(text.begin(), text.end(), isPrintable);
    case TextForm::JsonScalar:
        return true;
    }
    return false;
}

std::string_view describeForm(TextForm form)
{
    switch (form) {
    case TextForm::Name:
        return "1 to 128 of the characters A-Z a-z 0-9 . _ -";
    case TextForm::ModelName:
        return "1 to 128 of the characters A-Z a-z 0-9 . _ - / : @";
    case TextForm::Sha256:
        return "64 lower-case hexadecimal digits";
    case TextForm::Address:
        return "a numeric IP address and a port, such as \"127.0.0.1:9001\" or \"[::1]:9001\"";
    case TextForm::PathPrefix:
        return "a path that starts with \"/\", without spaces, \"?\" and \"#\"";
    case TextForm::Label:
        return "a string of at most 200 printable characters";
    case TextForm::Reason:
        return "a reason of 10 to 1000 printable characters";
    case TextForm::Text:
        return "a string of 1 to 200 printable characters";
    case TextForm::JsonScalar:
        return "a number, a string or a boolean";
    }
    return "";
}

} // namespace Catkinwell
