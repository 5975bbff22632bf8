#include "http/RequestSanitizer.h"

#include "http/HeaderText.h"
#include "http/PercentEncoding.h"
#include <algorithm>
#include <array>
#include <catkinwell/core/Digest.h>
#include <cctype>
#include <optional>

namespace Catkinwell {

namespace {

    constexpr std::array<std::string_view, 10> keyParameterNames { "key", "api_key", "apikey", "api-key",
        "access_token", "token", "authorization", "auth", "secret", "password" };

    // Shorter texts may occur in a body by coincidence; no granted key is shorter than this.
    constexpr std::size_t minimumScannedKeyBytes = 8;
    constexpr std::size_t maximumHeaders = 100;

    // Returns the token of "Bearer <token>", or nothing for another scheme.
    std::optional<std::string> bearerToken(std::string_view value)
    {
        constexpr std::string_view scheme = "bearer ";
        value = trimmedSpaces(value);
        if (value.size() <= scheme.size() || toLowerCase(value.substr(0, scheme.size())) != scheme)
            return std::nullopt;
        return std::string(trimmedSpaces(value.substr(scheme.size())));
    }

    bool isKeyParameter(const std::string& name)
    {
        const std::string lower = toLowerCase(percentDecoded(name));
        return std::find(keyParameterNames.begin(), keyParameterNames.end(), lower) != keyParameterNames.end();
    }

    std::string withoutKeyParameters(const std::string& query)
    {
        std::string kept;
        std::size_t start = 0;
        while (start < query.size()) {
            const std::size_t end = std::min(query.find('&', start), query.size());
            const std::string parameter = query.substr(start, end - start);
            if (!isKeyParameter(parameter.substr(0, parameter.find('='))))
                kept += (kept.empty() ? "" : "&") + parameter;
            start = end + 1;
        }
        return kept;
    }

    // Result of parsing the headers.
    struct ParsedHeaders {
        std::string key;
        bool conflictingKeys = false;
        HeaderList allowed;
    };

    void interpretHeader(const std::string& name, const std::string& value, RequestArrived& request)
    {
        struct Interpreted {
            std::string_view name;
            std::string RequestArrived::*target;
        };
        static constexpr std::array<Interpreted, 3> interpreted { {
            { "idempotency-key", &RequestArrived::idempotencyKey },
            { "x-request-deadline-ms", &RequestArrived::deadlineHeader },
            { "x-request-priority", &RequestArrived::priorityHeader },
        } };
        for (const auto& entry : interpreted) {
            if (entry.name == name)
                request.*entry.target = value;
        }
    }

    ParsedHeaders readHeaders(
        const HeaderList& headers, const std::vector<std::string>& allowedHeaders, RequestArrived& request)
    {
        ParsedHeaders parsed;
        for (const auto& [name, value] : headers) {
            const std::string lower = toLowerCase(name);
            if (lower == "authorization") {
                const auto token = bearerToken(value);
                if (!token)
                    continue;
                parsed.conflictingKeys = parsed.conflictingKeys || (!parsed.key.empty() && parsed.key != *token);
                parsed.key = *token;
                continue;
            }
            interpretHeader(lower, value, request);
            if (std::find(allowedHeaders.begin(), allowedHeaders.end(), lower) != allowedHeaders.end())
                parsed.allowed.emplace_back(lower, value);
        }
        return parsed;
    }

    bool carriesKey(const RequestArrived& request, const std::string& key)
    {
        if (key.size() < minimumScannedKeyBytes)
            return false;
        const auto holds = [&key](const std::string& text) { return text.find(key) != std::string::npos; };
        if (holds(request.body) || holds(request.path) || holds(percentDecoded(request.path)) || holds(request.query)
            || holds(percentDecoded(request.query)) || holds(request.idempotencyKey))
            return true;
        return std::any_of(
            request.headers.begin(), request.headers.end(), [&](const auto& entry) { return holds(entry.second); });
    }

} // namespace

RequestArrived sanitizeRequest(RawRequest raw, const std::vector<std::string>& allowedHeaders)
{
    RequestArrived request;
    request.method = std::move(raw.method);
    request.path = std::move(raw.path);
    request.query = withoutKeyParameters(raw.query);
    request.body = std::move(raw.body);
    if (raw.headers.size() > maximumHeaders) {
        request.rejection = "the request has more than " + std::to_string(maximumHeaders) + " headers; send fewer";
        return request;
    }
    ParsedHeaders parsed = readHeaders(raw.headers, allowedHeaders, request);
    request.headers = std::move(parsed.allowed);
    if (!parsed.key.empty())
        request.keyDigest = sha256Hex(parsed.key);
    if (parsed.conflictingKeys)
        request.rejection = "the request has several different Authorization headers; send one";
    if (carriesKey(request, parsed.key)) {
        request.rejection = "the key occurs outside the Authorization header; send it only there";
        request.path = "/";
        request.query.clear();
        request.body.clear();
        request.headers.clear();
        request.idempotencyKey.clear();
    }
    return request;
}

RequestArrived forwardedRequest(RawRequest raw)
{
    static constexpr std::array<std::string_view, 9> hopByHopHeaders { "connection", "keep-alive", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length" };
    RequestArrived request;
    request.method = std::move(raw.method);
    request.path = std::move(raw.path);
    request.query = std::move(raw.query);
    request.body = std::move(raw.body);
    std::vector<std::string> named;
    for (const auto& [name, value] : raw.headers) {
        if (equalIgnoringCase(name, "connection"))
            named.push_back(toLowerCase(value) + ",");
    }
    const auto isNamed = [&named](const std::string& name) {
        return std::any_of(named.begin(), named.end(), [&name](std::string list) {
            std::erase(list, ' ');
            list.insert(list.begin(), ',');
            return list.find(',' + name + ',') != std::string::npos;
        });
    };
    std::string key;
    for (auto& [name, value] : raw.headers) {
        const std::string lower = toLowerCase(name);
        if (lower == "authorization") {
            const std::string token = bearerToken(value).value_or("");
            if (!key.empty() && key != token)
                request.rejection = "the request has several different Authorization headers; send one";
            key = token;
            continue;
        }
        if (std::find(hopByHopHeaders.begin(), hopByHopHeaders.end(), lower) == hopByHopHeaders.end()
            && !isNamed(lower))
            request.headers.emplace_back(std::move(name), std::move(value));
    }
    if (!key.empty())
        request.keyDigest = sha256Hex(key);
    return request;
}

} // namespace Catkinwell
