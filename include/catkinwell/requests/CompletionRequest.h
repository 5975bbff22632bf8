#pragma once

#include <catkinwell/core/TokenAmount.h>
#include <catkinwell/requests/ApiError.h>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <variant>

namespace Catkinwell {

// The parsed fields of a completion or chat completion request.
struct CompletionRequest {
    std::string model;
    bool stream = false;
    // Whether the caller asked for a usage chunk at the end of a stream.
    bool wantsStreamUsage = false;
    // 0 if the caller set no limit.
    TokenCount maxTokens = 0;
    // The number of answers that the caller asked for: the larger of n and best_of.
    std::uint32_t choices = 1;
    std::size_t promptBytes = 0;
    // Hash of the model and of the beginning of the prompt, for prefix affinity.
    std::uint64_t prefixHash = 0;
    // Hash of the model and of the whole prompt, without the sampling parameters, for the crash quarantine.
    std::uint64_t contentHash = 0;
    // Hashes of the messages, or of a plain prompt, for the crash quarantine.
    std::set<std::uint64_t> promptParts;
    // The body for the engine: the caller's body, with the default token limit added if it has none, and with the
    // usage chunk requested for a stream.
    std::string engineBody;
};

// Returns a model's token limit for requests that set none.
using DefaultMaxTokens = std::function<TokenCount(const std::string& model)>;

// Parses the body of a request. Adds the default token limit if the caller set none, so that the token reservation
// is an upper bound. An error holds the code and the invalid field. Thread safe.
std::variant<CompletionRequest, ApiError> parseCompletionRequest(const std::string& body, const DefaultMaxTokens&);

} // namespace Catkinwell
