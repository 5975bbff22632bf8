#include <catch2/catch.hpp>
#include <catkinwell/requests/CompletionRequest.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace Catkinwell;

namespace {

auto parse(const std::string& body)
{
    return parseCompletionRequest(body, [](const std::string&) { return TokenCount { 77 }; });
}

} // namespace

// Guards against invalid bodies that crash the process or reach the engine.
TEST_CASE("Wrong bodies get a typed error")
{
    const auto [body, code, field] = GENERATE_COPY(table<std::string, ApiErrorCode, std::string>({
        { "", ApiErrorCode::InvalidJson, "" },
        { "{", ApiErrorCode::InvalidJson, "" },
        { "[]", ApiErrorCode::InvalidJson, "" },
        { std::string("{\"model\":\"\xff\xfe\",\"prompt\":\"x\"}"), ApiErrorCode::InvalidJson, "" },
        { std::string(100'000, '['), ApiErrorCode::InvalidJson, "" },
        { "{\"prompt\":\"x\"}", ApiErrorCode::InvalidRequest, "model" },
        { "{\"model\":7,\"prompt\":\"x\"}", ApiErrorCode::InvalidRequest, "model" },
        { "{\"model\":\"m\"}", ApiErrorCode::InvalidRequest, "prompt" },
        { "{\"model\":\"m\",\"prompt\":{}}", ApiErrorCode::InvalidRequest, "prompt" },
        { "{\"model\":\"m\",\"messages\":[]}", ApiErrorCode::InvalidRequest, "messages" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":\"yes\"}", ApiErrorCode::InvalidRequest, "stream" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}", ApiErrorCode::InvalidRequest, "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e30}", ApiErrorCode::InvalidRequest, "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":18446744073709551615}", ApiErrorCode::InvalidRequest,
            "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"n\":1000}", ApiErrorCode::InvalidRequest, "n" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"stream_options\":3}", ApiErrorCode::InvalidRequest, "stream_options" },
    }));
    INFO(body.substr(0, 80));
    const auto result = parse(body);
    REQUIRE(std::holds_alternative<ApiError>(result));
    CHECK(describe(std::get<ApiError>(result).code).name == describe(code).name);
    CHECK(std::get<ApiError>(result).parameter == field);
}

// Guards against a token reservation that is not an upper bound, because the engine's body has no token limit.
TEST_CASE("A request without a limit gets the model's default in the engine's body")
{
    const auto result = parse(R"({"model":"m","prompt":"hello","stream":true})");
    const auto& request = std::get<CompletionRequest>(result);
    const auto body = nlohmann::json::parse(request.engineBody);
    CHECK(request.maxTokens == 77);
    CHECK(body["max_tokens"] == 77);
    CHECK(body["stream_options"]["include_usage"] == true);
    CHECK(request.promptBytes == 5);
}

TEST_CASE("A complete request is passed on byte for byte")
{
    const std::string body = R"({ "model":"m", "messages":[{"role":"user","content":"é"}], "max_tokens":3 })";
    const auto result = parse(body);
    CHECK(std::get<CompletionRequest>(result).engineBody == body);
}
