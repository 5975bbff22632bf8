#pragma once

#include <catkinwell/core/TokenAmount.h>
#include <catkinwell/requests/ApiError.h>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace Catkinwell {

// What the host needs to know of a completion or chat completion request.
struct CompletionRequest {
    std::string model;
    bool stream = false;
    // Whether the caller asked for a usage chunk at the end of a stream.
    bool wantsStreamUsage = false;
    // 0 if the caller set no limit.
    TokenCount maxTokens = 0;
    // Answers that the caller asked for at once.
    std::uint32_t choices = 1;
    std::size_t promptBytes = 0;
    // Hash of the beginning of the prompt, for prefix affinity.
    std::uint64_t prefixHash = 0;
    // Hash of the whole prompt without regard to sampling parameters, for quarantine.
    std::uint64_t contentHash = 0;
    // The body for the engine: as the caller sent it, with a token limit and with the usage chunk asked for.
    std::string engineBody;
};

// Returns the token limit of a model for requests that name none.
using DefaultMaxTokens = std::function<TokenCount(const std::string& model)>;

// Reads a request's body. The default limit is put in where the caller set none, so
// that the reservation is an upper bound. Errors: the code and the wrong field. Thread safe.
std::variant<CompletionRequest, ApiError> parseCompletionRequest(const std::string& body, const DefaultMaxTokens&);

} // namespace Catkinwell
