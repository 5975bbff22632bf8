#include <admin/AdminCall.h>

#include "http/HeaderText.h"
#include "http/PercentEncoding.h"
#include <algorithm>
#include <array>
#include <catkinwell/core/BoundedJson.h>
#include <catkinwell/core/Digest.h>
#include <charconv>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumReasonBytes = 512;
    constexpr std::size_t maximumIdentifierBytes = 200;
    constexpr std::array<std::string_view, 5> knownParameters { "dry_run", "expected_version", "change_id", "reason",
        "view" };

    // Returns nothing if a parameter has no value or occurs twice.
    std::optional<std::map<std::string, std::string>> parseQuery(const std::string& query)
    {
        std::map<std::string, std::string> parameters;
        if (query.empty())
            return parameters;
        evkeyvalq pairs {};
        bool valid = evhttp_parse_query_str(query.c_str(), &pairs) == 0;
        for (const evkeyval* pair = valid ? pairs.tqh_first : nullptr; pair; pair = pair->next.tqe_next)
            valid = parameters.emplace(pair->key, pair->value).second && valid;
        evhttp_clear_headers(&pairs);
        return valid ? std::optional(parameters) : std::nullopt;
    }

    std::optional<ConfigurationVersion> parseVersion(std::string_view text)
    {
        ConfigurationVersion version = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), version);
        const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
        return whole ? std::optional(version) : std::nullopt;
    }

    // Accepts a strong entity tag in quotes, or the number without quotes.
    std::string_view unquoted(std::string_view tag)
    {
        if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
            return tag.substr(1, tag.size() - 2);
        return tag;
    }

    std::optional<Json> parseBody(const std::string& body)
    {
        Json json = parseBoundedJson(body);
        return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
    }

    // Reads the expected version from If-Match, the query or the body; they must not differ.
    std::optional<AdminProblem> readVersion(const RequestArrived& request, AdminCall& call)
    {
        const auto take = [&](std::string_view text) {
            const auto version = parseVersion(text);
            if (!version || call.expectedVersion.value_or(*version) != *version)
                return false;
            call.expectedVersion = version;
            return true;
        };
        const AdminProblem problem = invalidRequest("expected_version",
            "the version must be an integer, and the same in If-Match and expected_version",
            "send the version from the last answer, for example If-Match: \"17\"");
        const std::string header = headerValue(request.headers, "If-Match");
        if (!header.empty() && !take(unquoted(header)))
            return problem;
        if (const auto parameter = call.query.find("expected_version");
            parameter != call.query.end() && !take(parameter->second))
            return problem;
        if (!call.body.is_object() || !call.body.contains("expected_version"))
            return std::nullopt;
        const Json field = call.body["expected_version"];
        call.body.erase("expected_version");
        if (!field.is_number_unsigned() || !take(field.dump()))
            return problem;
        return std::nullopt;
    }

    // Reads a text from a header, the query or the body.
    std::optional<AdminProblem> readText(const RequestArrived& request, AdminCall& call, const char* header,
        const char* field, bool keepField, std::string& text)
    {
        text = headerValue(request.headers, header);
        if (const auto parameter = call.query.find(field); text.empty() && parameter != call.query.end())
            text = parameter->second;
        if (!call.body.is_object() || !call.body.contains(field))
            return std::nullopt;
        const Json value = call.body[field];
        if (!value.is_string())
            return invalidRequest(field, std::string("the field ") + field + " must be a string", "send a JSON string");
        if (text.empty())
            text = value.get<std::string>();
        if (!keepField)
            call.body.erase(field);
        return std::nullopt;
    }

    // Unknown parameters are refused, so that a misspelt dry_run does not make the change.
    std::optional<AdminProblem> readQuery(const RequestArrived& request, AdminCall& call)
    {
        auto parameters = parseQuery(request.query);
        if (!parameters)
            return invalidRequest(
                "query", "a query parameter has no value or occurs twice", "send each parameter once, as name=value");
        call.query = std::move(*parameters);
        for (const auto& [name, value] : call.query) {
            const auto& known = knownParameters;
            if (std::find(known.begin(), known.end(), name) == known.end())
                return invalidRequest(
                    name, "unknown query parameter", "use dry_run, expected_version, change_id, reason or view");
        }
        return std::nullopt;
    }

    std::optional<AdminProblem> readDryRun(AdminCall& call)
    {
        const auto parameter = call.query.find("dry_run");
        if (parameter == call.query.end())
            return std::nullopt;
        if (parameter->second != "true" && parameter->second != "false")
            return invalidRequest("dry_run", "dry_run must be true or false", "send ?dry_run=true");
        call.dryRun = parameter->second == "true";
        return std::nullopt;
    }

    std::optional<AdminProblem> checkTexts(AdminCall& call)
    {
        if (!call.target.empty() && !isPlainIdentifier(call.target))
            return invalidRequest("path", "an identifier must have 1 to 200 printable ASCII characters",
                "send a valid identifier, percent-encoded if needed");
        if (!call.changeId.empty() && !isPlainIdentifier(call.changeId))
            return invalidRequest("change_id", "a change identifier must have 1 to 200 printable ASCII characters",
                "send a random identifier such as a UUID");
        if (call.reason.size() > maximumReasonBytes)
            return invalidRequest("reason", "the reason is longer than 512 bytes", "shorten the reason");
        std::replace_if(
            call.reason.begin(), call.reason.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
        return std::nullopt;
    }

} // namespace

bool isPlainIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdentifierBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
}

std::variant<AdminCall, AdminProblem> parseAdminCall(
    const RequestArrived& request, const AdminCredential& who, MonotonicTime now, WallTime wallNow)
{
    AdminCall call { request.id, now, wallNow, who, request.method, {}, {}, {}, {}, {}, {}, {}, false,
        sha256Hex(request.method + "\n" + request.path + "\n" + request.body) };
    const std::string rest = request.path.substr(adminPathPrefix.size());
    const std::size_t slash = rest.find('/');
    call.resource = rest.substr(0, slash);
    if (slash != std::string::npos)
        call.target = percentDecoded(rest.substr(slash + 1));
    if (!request.body.empty()) {
        auto body = parseBody(request.body);
        if (!body)
            return invalidRequest("body", "the body is not valid JSON, or is nested deeper than 32 levels",
                "send one JSON document in UTF-8");
        call.body = std::move(*body);
    }
    if (auto problem = readQuery(request, call))
        return *problem;
    if (auto problem = readVersion(request, call))
        return *problem;
    const bool reasonIsContent = call.resource == "exceptions" || call.resource == "evacuations";
    if (auto problem = readText(request, call, "X-Audit-Reason", "reason", reasonIsContent, call.reason))
        return *problem;
    if (auto problem = readText(request, call, "X-Change-Id", "change_id", false, call.changeId))
        return *problem;
    if (auto problem = readDryRun(call))
        return *problem;
    if (auto problem = checkTexts(call))
        return *problem;
    return call;
}

} // namespace Catkinwell
