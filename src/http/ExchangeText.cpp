#include "http/ExchangeText.h"

#include "http/HeaderText.h"
#include <charconv>

namespace Catkinwell {

namespace {

    // Fraction of the keep-alive time announced by the peer during which an idle connection is reused.
    constexpr double reusableIdleFraction = 0.6;

} // namespace

Duration idleTimeOf(const HeaderList& headers)
{
    const std::string* keepAlive = findHeader(headers, "keep-alive");
    if (!keepAlive)
        return defaultIdleTime;
    const std::size_t at = keepAlive->find("timeout=");
    if (at == std::string::npos)
        return defaultIdleTime;
    int seconds = 0;
    const char* begin = keepAlive->data() + at + 8;
    std::from_chars(begin, keepAlive->data() + keepAlive->size(), seconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * reusableIdleFraction));
}

bool isRefusal(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string echoValueOf(const HttpExchange& request)
{
    return request.echoHeader.empty() ? "" : headerValue(request.headers, request.echoHeader);
}

std::string serializeRequest(const HttpExchange& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (!findHeader(request.headers, "host"))
        text += "Host: " + request.address + "\r\n";
    for (const auto& [name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

} // namespace Catkinwell
