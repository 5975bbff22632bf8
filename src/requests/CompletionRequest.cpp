#include <catkinwell/requests/CompletionRequest.h>

#include <catkinwell/core/Digest.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr int maximumNesting = 64;
    constexpr std::size_t prefixBytes = 256;
    constexpr TokenCount largestMaxTokens = 1'000'000;
    constexpr std::uint32_t largestChoices = 16;

    ApiError invalidField(const std::string& field, const std::string& message)
    {
        return ApiError { ApiErrorCode::InvalidRequest, message, RunOutcome::NotRun, field };
    }

    // Measures the nesting depth without parsing into a document, so that a malicious body costs little.
    bool isNestedTooDeeply(const std::string& body)
    {
        int depth = 0;
        bool inString = false;
        for (std::size_t i = 0; i < body.size(); ++i) {
            const char c = body[i];
            if (inString) {
                if (c == '\\')
                    ++i;
                else if (c == '"')
                    inString = false;
                continue;
            }
            if (c == '"')
                inString = true;
            else if (c == '{' || c == '[')
                ++depth;
            else if (c == '}' || c == ']')
                --depth;
            if (depth > maximumNesting)
                return true;
        }
        return false;
    }

    std::variant<std::uint64_t, ApiError> readPositive(const Json& body, const char* field, std::uint64_t largest)
    {
        if (!body.contains(field) || body[field].is_null())
            return std::uint64_t { 0 };
        const Json& value = body[field];
        if (!value.is_number_integer() || value.get<std::int64_t>() < 1 || value.get<std::uint64_t>() > largest)
            return invalidField(field,
                std::string(field) + " is " + value.dump().substr(0, 40) + "; expected an integer from 1 to "
                    + std::to_string(largest));
        return value.get<std::uint64_t>();
    }

    std::variant<std::string, ApiError> readPrompt(const Json& body)
    {
        if (body.contains("messages")) {
            if (!body["messages"].is_array() || body["messages"].empty())
                return invalidField("messages", "messages must be a list of at least one message");
            return body["messages"].dump();
        }
        if (!body.contains("prompt"))
            return invalidField("prompt", "the request has neither prompt nor messages");
        if (body["prompt"].is_string())
            return body["prompt"].get<std::string>();
        if (body["prompt"].is_array())
            return body["prompt"].dump();
        return invalidField("prompt", "prompt must be a string or a list");
    }

    std::set<std::uint64_t> promptPartsOf(const Json& body)
    {
        std::set<std::uint64_t> parts;
        if (body.contains("prompt"))
            parts.insert(stableHash(body["prompt"].dump()));
        if (!body.contains("messages"))
            return parts;
        for (const Json& message : body["messages"])
            parts.insert(stableHash(message.dump()));
        return parts;
    }

    std::variant<Json, ApiError> parseObject(const std::string& body)
    {
        if (isNestedTooDeeply(body))
            return ApiError { ApiErrorCode::InvalidJson,
                "the body is nested more than " + std::to_string(maximumNesting) + " levels deep" };
        Json document = Json::parse(body, nullptr, false);
        if (document.is_discarded())
            return ApiError { ApiErrorCode::InvalidJson, "the body is not valid JSON in UTF-8" };
        if (!document.is_object())
            return ApiError { ApiErrorCode::InvalidJson, "the body is not a JSON object" };
        return document;
    }

    std::variant<std::monostate, ApiError> readStreaming(const Json& document, CompletionRequest& request)
    {
        if (document.contains("stream")) {
            if (!document["stream"].is_boolean())
                return invalidField("stream", "stream must be true or false");
            request.stream = document["stream"].get<bool>();
        }
        if (!document.contains("stream_options") || document["stream_options"].is_null())
            return std::monostate {};
        const Json& options = document["stream_options"];
        if (!options.is_object() || (options.contains("include_usage") && !options["include_usage"].is_boolean()))
            return invalidField("stream_options", "stream_options must be an object with include_usage true or false");
        request.wantsStreamUsage = options.value("include_usage", false);
        return std::monostate {};
    }

    std::variant<std::monostate, ApiError> readLimits(const Json& document, CompletionRequest& request)
    {
        for (const char* field : { "max_tokens", "max_completion_tokens" }) {
            const auto limit = readPositive(document, field, static_cast<std::uint64_t>(largestMaxTokens));
            if (std::holds_alternative<ApiError>(limit))
                return std::get<ApiError>(limit);
            request.maxTokens = std::max(request.maxTokens, static_cast<TokenCount>(std::get<std::uint64_t>(limit)));
        }
        for (const char* field : { "n", "best_of" }) {
            const auto choices = readPositive(document, field, largestChoices);
            if (std::holds_alternative<ApiError>(choices))
                return std::get<ApiError>(choices);
            request.choices = std::max(request.choices, static_cast<std::uint32_t>(std::get<std::uint64_t>(choices)));
        }
        return std::monostate {};
    }

} // namespace

std::variant<CompletionRequest, ApiError> parseCompletionRequest(
    const std::string& body, const DefaultMaxTokens& defaultMaxTokens)
{
    auto parsed = parseObject(body);
    if (std::holds_alternative<ApiError>(parsed))
        return std::get<ApiError>(parsed);
    Json document = std::get<Json>(std::move(parsed));
    CompletionRequest request;
    if (!document.contains("model") || !document["model"].is_string())
        return invalidField("model", "model must be the name of a model");
    request.model = document["model"].get<std::string>();
    const auto streaming = readStreaming(document, request);
    if (std::holds_alternative<ApiError>(streaming))
        return std::get<ApiError>(streaming);
    const auto limits = readLimits(document, request);
    if (std::holds_alternative<ApiError>(limits))
        return std::get<ApiError>(limits);
    const auto prompt = readPrompt(document);
    if (std::holds_alternative<ApiError>(prompt))
        return std::get<ApiError>(prompt);

    const std::string& text = std::get<std::string>(prompt);
    request.promptBytes = text.size();
    request.prefixHash = stableHash(request.model + '\n' + text.substr(0, prefixBytes));
    request.contentHash = stableHash(request.model + '\n' + text);
    request.promptParts = promptPartsOf(document);
    bool rewritten = false;
    if (request.maxTokens == 0) {
        request.maxTokens = defaultMaxTokens(request.model);
        document["max_tokens"] = request.maxTokens;
        rewritten = true;
    }
    if (request.stream && !request.wantsStreamUsage) {
        document["stream_options"]["include_usage"] = true;
        rewritten = true;
    }
    request.engineBody = rewritten ? document.dump() : body;
    return request;
}

} // namespace Catkinwell
